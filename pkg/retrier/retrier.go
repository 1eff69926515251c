// Package retrier bounds retries in two ways: a root request has one retry
// budget for its whole call chain, and each node limits its retries to a service
// to a fraction of the first attempts.
package retrier

import "sync"

// Budget is the part of a root request's retry budget that this node holds.
// Concurrent calls draw from the same budget.
type Budget struct {
	mu        sync.Mutex
	remaining uint32
	closed    bool
}

// NewBudget returns a budget with the given number of remaining retries.
func NewBudget(remaining uint32) *Budget { return &Budget{remaining: remaining} }

// Take uses one retry and reports whether one was left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Delegate withdraws the retries that a call may use downstream: all but one,
// which stays here to retry the call itself.
func (b *Budget) Delegate() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.remaining < 2 {
		return 0
	}
	delegated := b.remaining - 1
	b.remaining = 1
	return delegated
}

// Return puts back the delegated retries that a call has not used. The answer
// reports their number; if the answer is lost, they all count as used.
func (b *Budget) Return(unused uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.remaining += unused
	}
}

// Close ends the budget and returns the retries left, to be reported with the
// answer.
func (b *Budget) Close() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	b.closed = true
	return b.remaining
}

const (
	// defaultRatio is the number of retries that each first attempt allows if
	// the settings define no fleet-wide retry budget.
	defaultRatio = 0.1
	// defaultReserve is the number of retries that a node may send at once to a
	// service, even to one that it rarely calls, if the settings define no
	// fleet-wide retry budget.
	defaultReserve = 10
	// chainDepth is the number of consecutive services among which the
	// fleet-wide budget is divided: a retried call repeats its own calls, and
	// these count as retries too.
	chainDepth = 4
	// minReserve is the minimum of a node's reserve. It exceeds 1, so that a node
	// can retry even calls to a service that it rarely calls.
	minReserve = 1.5
)

// Bounds limits the retries of one node to one service. The credit for retries
// begins at Reserve; a first attempt adds Ratio to it, up to Reserve, and a retry
// takes 1 from it.
type Bounds struct {
	// Ratio of retries to first attempts.
	Ratio float64
	// Reserve is the number of retries that may be sent at once.
	Reserve float64
}

// DefaultBounds returns the bounds used if the settings define no fleet-wide
// retry budget.
func DefaultBounds() Bounds { return Bounds{Ratio: defaultRatio, Reserve: defaultReserve} }

// NodeBounds returns one node's share of a fleet-wide retry budget, which is a
// ratio of the first attempts and a number of retries (slack) beyond it.
func NodeBounds(ratio, slack float64, nodes int) Bounds {
	return Bounds{Ratio: ratio / chainDepth, Reserve: max(slack/float64(max(nodes, 1))/chainDepth, minReserve)}
}

// ServiceBudgets limits the retries to each service to a fraction of the first
// attempts, so that under overload retries stop before first attempts do. The
// zero value is ready to use.
type ServiceBudgets struct {
	mu     sync.Mutex
	credit map[string]float64
}

// RecordFirstAttempt adds the credit that a first attempt to the service earns.
func (s *ServiceBudgets) RecordFirstAttempt(service string, b Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = map[string]float64{}
	}
	c, ok := s.credit[service]
	if !ok {
		c = b.Reserve
	}
	s.credit[service] = min(c+b.Ratio, b.Reserve)
}

// AllowRetry reports whether one more retry may be sent to the service, and
// takes it from the service's credit.
func (s *ServiceBudgets) AllowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit[service] < 1 {
		return false
	}
	s.credit[service]--
	return true
}
