package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// minQueueTimeout is the minimum of the queue timeout, and of the delay after
	// which a rejected request may be retried.
	minQueueTimeout = 100 * time.Millisecond
	// queueFactor times the limit bounds the queue length.
	queueFactor = 2
	// minQueueLength is the minimum of that bound.
	minQueueLength = 8
	// costWeight is the weight of the newest request in the mean time in the
	// target, overall and by team.
	costWeight = 0.1
	// warmupFraction is the fraction of the limit with which a cold target begins:
	// it is slow, but has all its slots.
	warmupFraction = 0.6
	// minWarmupLimit is the minimum limit during the warm-up.
	minWarmupLimit = 2
)

// OverloadError is the error for a request that was rejected for lack of
// capacity.
type OverloadError struct {
	// Wait is the delay after which the request may be retried.
	Wait time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("no room, come back in %v", e.Wait)
}

// Admitter admits requests to one target. It admits none until SetSlots is called.
type Admitter struct {
	clock     timekeeper.Clock
	algorithm LimitAlgorithm

	mu    sync.Mutex
	slots int
	// warmupStart is when SetSlots last reported a target that had just started.
	warmupStart time.Time
	// warmupTime is how long after its start the target gets its full limit.
	warmupTime time.Duration
	limit      int
	inflight   int
	queue      queue
	level      level
	// costs are the mean times in the target by team, in seconds.
	costs map[string]float64
	// serviceSeconds is the mean time in the target over all teams.
	serviceSeconds float64
}

// New returns an admitter that uses the given algorithm for the limit.
func New(clock timekeeper.Clock, algorithm LimitAlgorithm) *Admitter {
	return &Admitter{clock: clock, algorithm: algorithm, costs: map[string]float64{}}
}

// SetSlots sets the number of slots of the target. warmup is how long a target
// that just started is slow; it is negative if the target has not just started.
func (a *Admitter) SetSlots(slots int, warmup time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.limit = min(slots, max(a.limit, minLimit))
	if warmup >= 0 {
		a.warmupStart, a.warmupTime = a.clock.Now(), warmup
		a.limit = initialLimit(a.algorithm, slots)
	}
	a.dispatch()
}

// Ticket represents an admitted request; Done must be called exactly once.
type Ticket struct {
	admitter *Admitter
	team     string
	began    time.Time
	// inflight is the number of requests in flight when this one began.
	inflight int
}

// Admit waits for a slot, at most for the queue timeout. It returns an
// *OverloadError if the request got none, or an error that wraps the context's
// error if the context was done first.
func (a *Admitter) Admit(ctx context.Context, team string, p Priority) (*Ticket, error) {
	a.mu.Lock()
	now := a.clock.Now()
	a.level.advance(now, a.serviceTime())
	a.level.recordArrival(p, float64(a.inflight+1)/float64(max(a.currentLimit(now), 1)))
	a.rejectExpired(now)
	if a.inflight < a.currentLimit(now) && a.queue.size == 0 {
		t := a.acquire(team, now)
		a.level.recordWait(0)
		a.mu.Unlock()
		return t, nil
	}
	w := &waiter{team: team, priority: p, since: now, result: make(chan error, 1)}
	if err := a.enqueue(w); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	a.mu.Unlock()
	return a.wait(ctx, w)
}

// enqueue adds the waiter to the queue. If the queue is then too long, enqueue
// rejects the least urgent waiter, which may be the new one.
func (a *Admitter) enqueue(w *waiter) error {
	a.queue.push(w)
	a.dispatch()
	if a.queue.size <= a.maxQueueLength() {
		return nil
	}
	a.level.rejected = true
	leastUrgent := a.queue.leastUrgent()
	a.queue.remove(leastUrgent)
	if leastUrgent == w {
		return a.overloadError()
	}
	leastUrgent.result <- a.overloadError()
	return nil
}

// wait waits until the request gets a slot or is rejected, the queue timeout
// passes, or the context is done.
func (a *Admitter) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	select {
	case err := <-w.result:
		return a.ticket(w, err)
	case <-a.clock.After(a.queueTimeout()):
	case <-ctx.Done():
	}
	a.mu.Lock()
	removed := a.queue.remove(w)
	if removed {
		if ctx.Err() == nil {
			a.level.rejected = true
		}
		overloadError := a.overloadError()
		a.mu.Unlock()
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("wait for a slot: %w", err)
		}
		return nil, overloadError
	}
	a.mu.Unlock()
	return a.ticket(w, <-w.result)
}

// ticket returns the ticket of a waiter to which dispatch gave a slot, or the
// error that rejected the waiter.
func (a *Admitter) ticket(w *waiter, err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Ticket{admitter: a, team: w.team, began: a.clock.Now(), inflight: a.inflight}, nil
}

// acquire takes a free slot.
func (a *Admitter) acquire(team string, now time.Time) *Ticket {
	a.inflight++
	return &Ticket{admitter: a, team: team, began: now, inflight: a.inflight}
}

// dispatch gives free slots to waiters.
func (a *Admitter) dispatch() {
	now := a.clock.Now()
	currentLimit := a.currentLimit(now)
	for a.inflight < currentLimit {
		w := a.queue.pop(a.cost, a.serviceSeconds)
		if w == nil {
			return
		}
		a.inflight++
		a.level.recordWait(now.Sub(w.since))
		w.result <- nil
	}
}

// rejectExpired rejects the waiters whose queue timeout has passed.
func (a *Admitter) rejectExpired(now time.Time) {
	for _, w := range a.queue.expire(now.Add(-a.queueTimeoutLocked())) {
		a.level.rejected = true
		w.result <- a.overloadError()
	}
}

// queueTimeoutLocked returns the queue timeout: a slow target keeps its slots
// busy only if requests may wait about as long as one runs. The caller holds the
// lock.
func (a *Admitter) queueTimeoutLocked() time.Duration {
	return max(minQueueTimeout, a.serviceTime())
}

func (a *Admitter) queueTimeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queueTimeoutLocked()
}

// serviceTime returns the mean time in the target.
func (a *Admitter) serviceTime() time.Duration {
	return time.Duration(a.serviceSeconds * float64(time.Second))
}

// currentLimit returns the limit, which grows linearly during the warm-up.
func (a *Admitter) currentLimit(now time.Time) int {
	age := now.Sub(a.warmupStart)
	if age >= a.warmupTime {
		return a.limit
	}
	fraction := warmupFraction + (1-warmupFraction)*age.Seconds()/a.warmupTime.Seconds()
	return min(a.limit, max(minWarmupLimit, int(fraction*float64(a.limit))))
}

func (a *Admitter) maxQueueLength() int { return max(minQueueLength, queueFactor*a.limit) }

// overloadError returns an *OverloadError whose delay is the estimated time that
// the target needs for the queue.
func (a *Admitter) overloadError() error {
	drainSeconds := a.serviceSeconds * float64(a.queue.size+1) / float64(max(a.limit, 1))
	return &OverloadError{Wait: max(minQueueTimeout, time.Duration(drainSeconds*float64(time.Second)))}
}

// cost estimates the time of a team's request in the target, in seconds.
func (a *Admitter) cost(team string) float64 {
	if c, ok := a.costs[team]; ok {
		return c
	}
	return a.serviceSeconds
}

// Done releases the slot. callTime is the time that the target spent waiting for
// its own calls; shed says that the target rejected the request or did not answer
// in time.
func (t *Ticket) Done(callTime time.Duration, shed bool) {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	elapsed := now.Sub(t.began)
	a.inflight--
	a.serviceSeconds += costWeight * (elapsed.Seconds() - a.serviceSeconds)
	a.costs[t.team] = a.cost(t.team) + costWeight*(elapsed.Seconds()-a.cost(t.team))
	a.limit = updateLimit(a.algorithm, sample{own: max(elapsed-callTime, 0), shed: shed, inflight: t.inflight}, a.slots)
	a.level.advance(now, a.serviceTime())
	a.dispatch()
}

// Level returns the admission level: the priority below which the entry node
// should reject requests.
func (a *Admitter) Level() Priority {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.level.advance(a.clock.Now(), a.serviceTime())
	return a.level.threshold()
}

// Load is a snapshot of the admitter, for metrics and for the load reported to
// other nodes.
type Load struct {
	Slots, Limit, Inflight, Queued int
	Level                          Priority
}

// Load returns a snapshot.
func (a *Admitter) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{Slots: a.slots, Limit: a.limit, Inflight: a.inflight, Queued: a.queue.size, Level: a.level.threshold()}
}
