package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// leastWait bounds the time in the queue, unless requests take longer.
	leastWait = 100 * time.Millisecond
	// queueFactor times the limit bounds the queue.
	queueFactor = 2
	// minQueue is the least bound of the queue.
	minQueue = 8
	// costWeight is that of the newest request in a team's average cost.
	costWeight = 0.1
	// rampStart is the part of the limit that a cold target begins with: it is slow, but has all its slots.
	rampStart = 0.6
	// minSlots is the least number of slots during the ramp.
	minSlots = 2
)

// OverloadError says that a request was refused for lack of room.
type OverloadError struct {
	// Wait is when to come back.
	Wait time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string { return fmt.Sprintf("no room, come back in %v", e.Wait) }

// Admitter guards one target. The zero value admits nothing until SetSlots.
type Admitter struct {
	clock timekeeper.Clock
	rule  LimitAlgorithm

	mu    sync.Mutex
	slots int
	since time.Time
	// ramp is how long the target takes after since to get its full limit.
	ramp     time.Duration
	limit    int
	inflight int
	queue    queue
	level    level
	costs    map[string]float64
	// service is the average time in the target, in seconds.
	service float64
}

// New makes an admitter with a rule for the limit.
func New(clock timekeeper.Clock, rule LimitAlgorithm) *Admitter {
	return &Admitter{clock: clock, rule: rule, costs: map[string]float64{}}
}

// SetSlots sets the slots of the target; cold is for how long the target is
// slow after a start, and below 0 when it has not just started.
func (a *Admitter) SetSlots(slots int, cold time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.limit = min(slots, max(a.limit, minLimit))
	if cold >= 0 {
		a.since, a.ramp = a.clock.Now(), cold
		a.limit = firstLimit(a.rule, slots)
	}
	a.fill()
}

// Ticket is an admitted request; Done must be called exactly once.
type Ticket struct {
	admitter *Admitter
	team     string
	began    time.Time
	inflight int
}

// Admit waits for a slot, at most for a short time. It returns a *OverloadError
// when there is none, or the context's error when the caller went away.
func (a *Admitter) Admit(ctx context.Context, team string, p Priority) (*Ticket, error) {
	a.mu.Lock()
	now := a.clock.Now()
	a.level.step(now, a.serviceTime())
	a.level.arrive(p, float64(a.inflight+1)/float64(max(a.allowed(now), 1)))
	a.dropOld(now)
	if a.inflight < a.allowed(now) && a.queue.size == 0 {
		t := a.take(team, now)
		a.level.waited(0)
		a.mu.Unlock()
		return t, nil
	}
	w := &waiter{team: team, priority: p, since: now, give: make(chan error, 1)}
	if err := a.enqueue(w); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	a.mu.Unlock()
	return a.wait(ctx, w)
}

// enqueue puts the waiter into the queue, or refuses it, or refuses the least
// urgent one in its place.
func (a *Admitter) enqueue(w *waiter) error {
	a.queue.push(w)
	a.fill()
	if a.queue.size <= a.queueBound() {
		return nil
	}
	a.level.refused = true
	worst := a.queue.worst()
	a.queue.remove(worst)
	if worst == w {
		return a.refusal()
	}
	worst.give <- a.refusal()
	return nil
}

func (a *Admitter) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	select {
	case err := <-w.give:
		return a.given(w, err)
	case <-a.clock.After(a.maxWait()):
	case <-ctx.Done():
	}
	a.mu.Lock()
	removed := a.queue.remove(w)
	if removed {
		if ctx.Err() == nil {
			a.level.refused = true
		}
		refusal := a.refusal()
		a.mu.Unlock()
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("wait for a slot: %w", err)
		}
		return nil, refusal
	}
	a.mu.Unlock()
	return a.given(w, <-w.give)
}

func (a *Admitter) given(w *waiter, err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Ticket{admitter: a, team: w.team, began: a.clock.Now(), inflight: a.inflight}, nil
}

func (a *Admitter) take(team string, now time.Time) *Ticket {
	a.inflight++
	return &Ticket{admitter: a, team: team, began: now, inflight: a.inflight}
}

// fill hands free slots to waiters.
func (a *Admitter) fill() {
	now := a.clock.Now()
	allowed := a.allowed(now)
	for a.inflight < allowed {
		w := a.queue.pop(a.cost, a.service)
		if w == nil {
			return
		}
		a.inflight++
		a.level.waited(now.Sub(w.since))
		w.give <- nil
	}
}

func (a *Admitter) dropOld(now time.Time) {
	for _, w := range a.queue.expire(now.Add(-a.longestWait())) {
		a.level.refused = true
		w.give <- a.refusal()
	}
}

// longestWait bounds the time in the queue: a slow target keeps its slots busy
// only if requests may wait about as long as one runs.
func (a *Admitter) longestWait() time.Duration {
	return max(leastWait, a.serviceTime())
}

func (a *Admitter) maxWait() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.longestWait()
}

// serviceTime is the average time in the target.
func (a *Admitter) serviceTime() time.Duration {
	return time.Duration(a.service * float64(time.Second))
}

// allowed is the limit, ramped up while the target is cold.
func (a *Admitter) allowed(now time.Time) int {
	age := now.Sub(a.since)
	if age >= a.ramp {
		return a.limit
	}
	part := rampStart + (1-rampStart)*age.Seconds()/a.ramp.Seconds()
	return min(a.limit, max(minSlots, int(part*float64(a.limit))))
}

func (a *Admitter) queueBound() int { return max(minQueue, queueFactor*a.limit) }

func (a *Admitter) refusal() error {
	drain := a.service * float64(a.queue.size+1) / float64(max(a.limit, 1))
	return &OverloadError{Wait: max(leastWait, time.Duration(drain*float64(time.Second)))}
}

func (a *Admitter) cost(team string) float64 {
	if c, ok := a.costs[team]; ok {
		return c
	}
	return a.service
}

// Done gives the slot back. calls is the time that the target spent waiting
// for its own calls, shed whether it refused or did not answer in time.
func (t *Ticket) Done(calls time.Duration, shed bool) {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	spent := now.Sub(t.began)
	a.inflight--
	a.service += costWeight * (spent.Seconds() - a.service)
	a.costs[t.team] = a.cost(t.team) + costWeight*(spent.Seconds()-a.cost(t.team))
	a.limit = learn(a.rule, sample{own: max(spent-calls, 0), shed: shed, inflight: t.inflight}, a.slots)
	a.level.step(now, a.serviceTime())
	a.fill()
}

// Level is the priority below which the target's node would rather see
// requests refused at the entry.
func (a *Admitter) Level() Priority {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.level.step(a.clock.Now(), a.serviceTime())
	return a.level.value()
}

// Load is a picture of the admitter for metrics.
type Load struct {
	Slots, Limit, Inflight, Queued int
	Level                          Priority
}

// Load returns the present picture.
func (a *Admitter) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{Slots: a.slots, Limit: a.limit, Inflight: a.inflight, Queued: a.queue.size, Level: a.level.value()}
}
