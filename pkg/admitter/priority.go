package admitter

// Priority orders requests under overload; those with a lower priority are
// rejected first. A request has the same hash at every node, so that all nodes of
// a chain reject the same requests.
//
// From the most significant bit, a priority consists of the rank, a bit that is
// set for calls made while handling another request, and the hash.
type Priority uint16

const (
	hashBits = 8
	rankBits = 4
	// MaxPriority is higher than every priority in use.
	MaxPriority   Priority = 1 << (rankBits + 1 + hashBits)
	downstreamBit Priority = 1 << hashBits
	classCount             = 1 << (rankBits + 1)
)

// NewPriority combines the rank of the request, whether upstream services have
// already spent work on it (downstream), and a stable hash of the root request.
func NewPriority(rank uint32, downstream bool, root uint32) Priority {
	p := Priority(min(rank, 1<<rankBits-1))<<(hashBits+1) | Priority(root>>(32-hashBits))
	if downstream {
		p |= downstreamBit
	}
	return p
}

func (p Priority) rank() uint32 { return uint32(p >> (hashBits + 1)) }

// class is the priority without the hash. It orders the queue; the hash only
// decides which requests are rejected.
func (p Priority) class() int { return int(p >> hashBits) }
