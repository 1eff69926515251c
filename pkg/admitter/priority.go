package admitter

// Priority orders requests under overload; higher is kept longer. The same
// request has the same hash at every node, so that the nodes of a chain agree
// on what to refuse.
type Priority uint16

const (
	hashBits = 8
	rankBits = 4
	// MaxPriority is higher than every priority in use.
	MaxPriority Priority = 1 << (rankBits + 1 + hashBits)
	paidBit     Priority = 1 << hashBits
	classCount           = 1 << (rankBits + 1)
)

// NewPriority combines the rank of the request, whether upstream services have
// already spent work on it, and a stable hash of the root request.
func NewPriority(rank uint32, paid bool, root uint32) Priority {
	p := Priority(min(rank, 1<<rankBits-1))<<(hashBits+1) | Priority(root>>(32-hashBits))
	if paid {
		p |= paidBit
	}
	return p
}

// rank is that of the request.
func (p Priority) rank() uint32 { return uint32(p >> (hashBits + 1)) }

// class is the part of the priority that orders the queue; the hash only
// decides who is refused.
func (p Priority) class() int { return int(p >> hashBits) }
