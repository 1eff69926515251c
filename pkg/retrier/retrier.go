// Package retrier bounds retries: by one count for a root request over its
// whole chain, and by a share of the first tries towards each service.
package retrier

import "sync"

// Budget is what is left of the count of a root request on this node. Calls
// that run at the same time take from the same budget.
type Budget struct {
	mu     sync.Mutex
	left   uint32
	closed bool
}

// NewBudget makes a budget of so many retries.
func NewBudget(left uint32) *Budget { return &Budget{left: left} }

// Take uses one retry, if there is one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Delegate takes out what a call may use further down: all but one, which stays
// here for a retry of the call itself.
func (b *Budget) Delegate() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.left < 2 {
		return 0
	}
	part := b.left - 1
	b.left = 1
	return part
}

// Return puts back what a call has not used. What a lost answer would have
// brought back counts as used.
func (b *Budget) Return(part uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.left += part
	}
}

// Close ends the budget and returns what is left, for the answer.
func (b *Budget) Close() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	b.closed = true
	return b.left
}

const (
	// defaultRatio is how many retries each first try allows where the settings
	// bound no budget of the fleet.
	defaultRatio = 0.1
	// defaultReserve is how many retries a quiet edge may then send at once.
	defaultReserve = 10
	// depth is the number of services in a row over which the budget of the
	// fleet is divided: a call that is made again makes its own calls again,
	// and these count as retries too.
	depth = 4
	// leastReserve lets a quiet edge retry at all.
	leastReserve = 1.5
)

// Bounds are what one node may send again towards one service.
type Bounds struct {
	// Ratio of retries to first tries.
	Ratio float64
	// Reserve is how many retries may be sent at once.
	Reserve float64
}

// DefaultBounds are used where the settings bound no budget of the fleet.
func DefaultBounds() Bounds { return Bounds{Ratio: defaultRatio, Reserve: defaultReserve} }

// NodeBounds is one node's part of a budget of the fleet: a ratio of the first
// tries, and a number of retries beyond it.
func NodeBounds(ratio, slack float64, nodes int) Bounds {
	return Bounds{Ratio: ratio / depth, Reserve: max(slack/float64(max(nodes, 1))/depth, leastReserve)}
}

// ServiceBudgets bounds the retries towards each service by a share of the first
// tries, so that retries stop before first tries do. The zero value works.
type ServiceBudgets struct {
	mu     sync.Mutex
	credit map[string]float64
}

// RecordFirstAttempt counts a first try.
func (e *ServiceBudgets) RecordFirstAttempt(service string, b Bounds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.credit == nil {
		e.credit = map[string]float64{}
	}
	c, ok := e.credit[service]
	if !ok {
		c = b.Reserve
	}
	e.credit[service] = min(c+b.Ratio, b.Reserve)
}

// AllowRetry tells whether one more retry may be sent.
func (e *ServiceBudgets) AllowRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.credit[service] < 1 {
		return false
	}
	e.credit[service]--
	return true
}
