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

// Hand takes out what a call may use further down: all but one, which stays
// here for a retry of the call itself.
func (b *Budget) Hand() uint32 {
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
	// ratio is how many retries each first try allows.
	ratio = 0.1
	// reserve is how many retries a quiet edge may send at once.
	reserve = 10
)

// Edges bounds the retries towards each service by a share of the first
// tries, so that retries stop before first tries do. The zero value works.
type Edges struct {
	mu     sync.Mutex
	credit map[string]float64
}

// First counts a first try.
func (e *Edges) First(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.credit == nil {
		e.credit = map[string]float64{}
	}
	c, ok := e.credit[service]
	if !ok {
		c = reserve
	}
	e.credit[service] = min(c+ratio, reserve)
}

// Retry tells whether one more retry may be sent.
func (e *Edges) Retry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.credit[service] < 1 {
		return false
	}
	e.credit[service]--
	return true
}
