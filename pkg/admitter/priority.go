package admitter

// Priority orders requests under overload; higher is kept longer. The same
// request has the same hash at every node, so that the nodes of a chain agree
// on what to refuse.
type Priority uint16

const (
	hashBits = 8
	// MaxPriority is higher than every priority in use.
	MaxPriority  Priority = 1 << 10
	importantBit Priority = 1 << 9
	paidBit      Priority = 1 << 8
)

// NewPriority combines importance, whether upstream services have already
// spent work on the request, and a stable hash of the root request.
func NewPriority(important, paid bool, root uint32) Priority {
	p := Priority(root >> (32 - hashBits))
	if important {
		p |= importantBit
	}
	if paid {
		p |= paidBit
	}
	return p
}

// Important tells whether the priority is that of an important request.
func (p Priority) Important() bool { return p&importantBit != 0 }

// class is the part of the priority that orders the queue; the hash only
// decides who is refused.
func (p Priority) class() int { return int(p >> hashBits) }

const classCount = 4
