package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// minQueueTimeout is the minimum of the queue timeout, and of the delay after
	// which a rejected request may be retried.
	minQueueTimeout = 100 * time.Millisecond
	// queueFactor times the limit bounds the queue length.
	queueFactor = 2
	// FullLoad is the load, as a fraction of the limit, of a target with a full queue.
	FullLoad = 1 + queueFactor
	// minQueueLength is the minimum of that bound.
	minQueueLength = 8
	// pacedIntervals is the queue timeout of a request that waits for the limit that
	// the target names, in intervals between two requests, and maxPacedTimeout bounds
	// it.
	pacedIntervals  = 2
	maxPacedTimeout = 500 * time.Millisecond
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

// PacedError is the error for a request that was rejected because of the limit that
// the target names, of the bound of a cold target, or of a target that is held back.
type PacedError struct {
	// Wait is the delay after which the request may be retried.
	Wait time.Duration
	// Cold is why the target counts as cold; pacer.Warm if it does not.
	Cold pacer.ColdReason
	// Held says that the target is held back after a start or a recovery.
	Held bool
}

// Error implements error.
func (e *PacedError) Error() string {
	if e.Cold != pacer.Warm {
		return fmt.Sprintf("the target is cold (%s), come back in %v", e.Cold, e.Wait)
	}
	if e.Held {
		return fmt.Sprintf("the target has started or recovered and is held back, come back in %v", e.Wait)
	}
	return fmt.Sprintf("the target's limit is used up, come back in %v", e.Wait)
}

// DrainedError is the error for a request to a target whose data centre is drained.
type DrainedError struct{}

// Error implements error.
func (e *DrainedError) Error() string { return "the data centre is drained" }

// ReleasedError is the error for a request that no longer waits, since the node that has to
// answer it stops before a run would end.
type ReleasedError struct {
	// Left is the time in which the node can still take an answer.
	Left time.Duration
}

// Error implements error.
func (e *ReleasedError) Error() string {
	return fmt.Sprintf("a run would not end in the %v that are left", max(e.Left, 0))
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
	// drained is set while no request may begin, since the data centre is drained.
	drained bool
	// demand is the demand for slots, from which the admission level follows.
	demand demand
	// objectives is set by UseObjectives.
	objectives bool
	// pacer keeps the limit that the target names; pacedLevel is the admission level
	// that follows from it.
	pacer      pacer.Pacer
	pacedLevel level
	// cold keeps the bound of requests to a cold target.
	cold pacer.Cold
	// foundPace is set by UseFoundPace; ramp then holds back a target that has started or
	// recovered.
	foundPace bool
	ramp      pacer.Ramp
	// wakeupAt is when the earliest pacedDispatch that is running ends; zero without
	// one.
	wakeupAt time.Time
	// costs are the mean times in the target by team, in seconds.
	costs map[string]float64
	// serviceSeconds is the mean time in the target over all teams.
	serviceSeconds float64
	// workTime is the same for entry nodes.
	workTime workTime
}

// New returns an admitter that uses the given algorithm for the limit.
func New(clock timekeeper.Clock, algorithm LimitAlgorithm) *Admitter {
	return &Admitter{clock: clock, algorithm: algorithm, costs: map[string]float64{}}
}

// UseDownstreamFirst makes calls of requests that have begun come before all others,
// whatever their rank. It must be called before the first request.
func (a *Admitter) UseDownstreamFirst() { a.queue.downstreamFirst = true }

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
		a.workTime = workTime{}
		a.ramp.Begin(slots, a.clock.Now())
	}
	a.dispatch()
}

// SetTargetLimit sets the limit that the target names, in requests a second.
func (a *Admitter) SetTargetLimit(rate float64, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !limited && !a.pacer.Limited() {
		return
	}
	a.pacer.SetLimit(rate, limited, a.clock.Now())
	a.dispatch()
}

// SetDrained sets whether the data centre is drained. If it is, SetDrained rejects all
// requests that wait, with a *DrainedError, and returns their number; running ones are
// not affected.
func (a *Admitter) SetDrained(drained bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drained && !drained {
		// The target may have turned cold shortly before, and its report be on its way.
		a.cold.MarkIdle()
	}
	a.drained = drained
	if !drained {
		return 0
	}
	waiting := a.queue.clear()
	for _, w := range waiting {
		w.result <- &DrainedError{}
	}
	return len(waiting)
}

// Release rejects the requests of one sender that wait, or all if sender is 0, with a
// *ReleasedError, if a run that begins now would last longer than the time left. Running
// ones are not affected. It returns their number.
func (a *Admitter) Release(sender uint64, left time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.serviceTime() < left {
		return 0
	}
	released := a.queue.extract(func(w *waiter) bool { return sender == 0 || w.sender == sender })
	for _, w := range released {
		w.result <- &ReleasedError{Left: left}
	}
	return len(released)
}

// Ticket represents an admitted request; Done must be called exactly once.
type Ticket struct {
	admitter *Admitter
	team     string
	priority Priority
	began    time.Time
	// begunAt is when the request was counted as begun.
	begunAt time.Time
	// inflight is the number of requests in flight when this one began.
	inflight int
	// failed is set if the target failed the request.
	failed bool
	// answered and unanswered say whether the target has answered, or has not; neither
	// if nobody knows.
	answered, unanswered bool
}

// MarkFailed records that the target failed the request or did not answer. It precedes
// Done.
func (t *Ticket) MarkFailed() { t.failed = true }

// Admit waits for a slot, at most for the queue timeout. It returns an
// *OverloadError if the request got none, a *PacedError if that was for the limit
// that the target names, a *DrainedError if the data centre is drained, a *ReleasedError if
// Release has rejected it, or an error that wraps the context's error if the context was
// done first.
func (a *Admitter) Admit(ctx context.Context, team string, p Priority) (*Ticket, error) {
	return a.AdmitRequest(ctx, Request{Team: team, Priority: p, Weight: 1})
}

// Request is a request for a slot.
type Request struct {
	Team     string
	Priority Priority
	// Weight is for how many requests this one stands, all others of which the entry
	// nodes rejected. It is 0 for a request that another node of the service has already
	// rejected, or UnknownWeight.
	Weight float64
	// Objective is the time in which requests like this are to be answered, 0 if none is
	// declared. DueAt is when the request is to be answered, zero if that is not known,
	// and Deadline when nobody waits for the answer any more. They count only with
	// UseObjectives.
	Objective       time.Duration
	DueAt, Deadline time.Time
	// Sender identifies the process that waits for the answer, see Release.
	Sender uint64
}

// AdmitRequest is Admit with all that is known of the request.
func (a *Admitter) AdmitRequest(ctx context.Context, r Request) (*Ticket, error) {
	a.mu.Lock()
	if a.drained {
		a.mu.Unlock()
		return nil, &DrainedError{}
	}
	now := a.clock.Now()
	a.recordArrival(r.Priority, now)
	a.demand.recordArrival(r.Priority, r.Weight)
	a.rejectExpired(now)
	if a.hasRoom(now) && a.queue.size == 0 {
		t := a.acquire(r.Team, r.Priority, now)
		a.pacedLevel.recordWait(0)
		a.mu.Unlock()
		return t, nil
	}
	w := &waiter{team: r.Team, priority: r.Priority, since: now, sender: r.Sender, result: make(chan error, 1)}
	if err := a.bound(w, r); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	if err := a.enqueue(w); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	a.mu.Unlock()
	return a.wait(ctx, w)
}

// recordArrival counts a request for the level of the target's own limit.
func (a *Admitter) recordArrival(p Priority, now time.Time) {
	a.advanceLevels(now)
	a.pacedLevel.recordArrival(p, a.paceUtilization(now))
	a.pacer.RecordArrival(now)
}

func (a *Admitter) advanceLevels(now time.Time) {
	a.demand.advance(now, a.demandLimit(now), a.queue.size, a.serviceTime())
	a.pacedLevel.advance(now, a.serviceTime())
}

// hasRoom reports whether a request may begin: there is a free slot, and neither the
// limit that the target names nor the bound of a cold target is used up.
func (a *Admitter) hasRoom(now time.Time) bool {
	return a.inflight < a.currentLimit(now) && a.paceReady(now)
}

// enqueue adds the waiter to the queue. If the queue is then too long, enqueue
// rejects the least urgent waiter, which may be the new one.
func (a *Admitter) enqueue(w *waiter) error {
	a.queue.push(w)
	a.dispatch()
	w.paced = !a.paceReady(w.since) || a.isHeldBack(w.since)
	if w.dueAt.IsZero() {
		w.expiresAt = w.since.Add(a.queueTimeout(w.paced, w.since))
	}
	a.queue.noteExpiry(w)
	if a.queue.size <= a.maxQueueLength(w.since) {
		return nil
	}
	leastUrgent := a.queue.leastUrgent()
	a.queue.remove(leastUrgent)
	err := a.reject(leastUrgent, w.since)
	if leastUrgent == w {
		return err
	}
	leastUrgent.result <- err
	return nil
}

// reject records that a waiter is rejected for lack of capacity, and returns the error
// for it. The target may have turned cold while it waited for a slot.
func (a *Admitter) reject(w *waiter, now time.Time) error {
	if w.paced || !a.cold.Ready(now) {
		a.pacedLevel.rejected = true
		return a.pacedError(now)
	}
	a.demand.recordRejection(w.priority)
	return a.overloadError()
}

// wait waits until the request gets a slot or is rejected, the queue timeout
// passes, or the context is done.
func (a *Admitter) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	select {
	case err := <-w.result:
		return a.ticket(w, err)
	case <-a.clock.After(w.expiresAt.Sub(w.since)):
	case <-ctx.Done():
	}
	a.mu.Lock()
	removed := a.queue.remove(w)
	if removed {
		if err := ctx.Err(); err != nil {
			a.mu.Unlock()
			return nil, fmt.Errorf("wait for a slot: %w", err)
		}
		err := a.reject(w, a.clock.Now())
		a.mu.Unlock()
		return nil, err
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
	return &Ticket{admitter: a, team: w.team, priority: w.priority, began: a.clock.Now(), begunAt: w.begunAt, inflight: a.inflight}, nil
}

// acquire takes a free slot.
func (a *Admitter) acquire(team string, p Priority, now time.Time) *Ticket {
	a.paceBegin(now)
	a.inflight++
	return &Ticket{admitter: a, team: team, priority: p, began: now, begunAt: now, inflight: a.inflight}
}

// dispatch gives free slots to waiters.
func (a *Admitter) dispatch() {
	now := a.clock.Now()
	for a.hasRoom(now) {
		w := a.queue.pop(a.cost, a.serviceSeconds)
		if w == nil {
			return
		}
		if !w.dueAt.IsZero() && w.expiresAt.Before(now) {
			w.result <- a.reject(w, now)
			continue
		}
		a.paceBegin(now)
		a.inflight++
		w.begunAt = now
		if w.paced {
			a.pacedLevel.recordWait(now.Sub(w.since))
		}
		w.result <- nil
	}
	if wait := a.paceWait(now); wait > 0 && a.queue.size > 0 {
		a.scheduleDispatch(wait, now)
	}
}

// scheduleDispatch starts a pacedDispatch unless one ends no later: what keeps requests
// from beginning may end earlier than it was expected to.
func (a *Admitter) scheduleDispatch(wait time.Duration, now time.Time) {
	at := now.Add(wait)
	if !a.wakeupAt.IsZero() && !at.Before(a.wakeupAt) {
		return
	}
	a.wakeupAt = at
	d := &pacedDispatch{admitter: a, at: at, wait: wait}
	go d.run()
}

// pacedDispatch dispatches when the limit that the target names, or the bound of a cold
// target, allows the next request.
type pacedDispatch struct {
	admitter *Admitter
	at       time.Time
	wait     time.Duration
}

func (d *pacedDispatch) run() {
	a := d.admitter
	<-a.clock.After(d.wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wakeupAt.Equal(d.at) {
		a.wakeupAt = time.Time{}
	}
	a.dispatch()
}

// rejectExpired rejects the waiters whose queue timeout has passed.
func (a *Admitter) rejectExpired(now time.Time) {
	for _, w := range a.queue.expire(now) {
		w.result <- a.reject(w, now)
	}
}

// queueTimeout returns the queue timeout: a slow target keeps its slots busy only if
// requests may wait about as long as one runs, and a low limit is left to urgent
// requests only if one of them may wait for the next that begins. The caller holds the
// lock.
func (a *Admitter) queueTimeout(paced bool, now time.Time) time.Duration {
	timeout := max(minQueueTimeout, a.serviceTime())
	if paced {
		return max(timeout, min(pacedIntervals*a.paceInterval(now), maxPacedTimeout))
	}
	return timeout
}

// serviceTime returns the mean time in the target.
func (a *Admitter) serviceTime() time.Duration {
	return time.Duration(a.serviceSeconds * float64(time.Second))
}

// currentLimit returns the limit, which grows linearly during the warm-up, or as the
// target's answers show.
func (a *Admitter) currentLimit(now time.Time) int {
	if a.foundPace {
		return a.ramp.Limit(a.limit, now)
	}
	age := now.Sub(a.warmupStart)
	if age >= a.warmupTime {
		return a.limit
	}
	fraction := warmupFraction + (1-warmupFraction)*age.Seconds()/a.warmupTime.Seconds()
	return min(a.limit, max(minWarmupLimit, int(fraction*float64(a.limit))))
}

func (a *Admitter) maxQueueLength(now time.Time) int {
	length := max(minQueueLength, queueFactor*a.effectiveLimit(now))
	if a.paceReady(now) {
		return length
	}
	// As many as may begin within the queue timeout.
	return min(length, max(1, int(a.queueTimeout(true, now)/max(a.paceInterval(now), 1))))
}

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
	a.recordPace(t, elapsed, callTime, shed, now)
	a.inflight--
	a.demand.recordEnd(t.priority, elapsed)
	a.serviceSeconds += costWeight * (elapsed.Seconds() - a.serviceSeconds)
	a.workTime.record(now, elapsed, t.failed)
	a.costs[t.team] = a.cost(t.team) + costWeight*(elapsed.Seconds()-a.cost(t.team))
	a.limit = updateLimit(a.algorithm, sample{own: max(elapsed-callTime, 0), shed: shed, inflight: t.inflight}, a.slots)
	a.advanceLevels(now)
	a.dispatch()
}

// Level returns the admission level: the priority below which the entry node
// should reject requests.
func (a *Admitter) Level() Priority {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.demand.advance(now, a.demandLimit(now), a.queue.size, a.serviceTime())
	return a.demand.level
}

// Cost returns the time for which the request has held its slot, or 0 while the slots
// of the target are not scarce.
func (t *Ticket) Cost() time.Duration {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.demand.scarce() {
		return 0
	}
	return a.clock.Now().Sub(t.began)
}

// Load is a snapshot of the admitter, for metrics and for the load reported to
// other nodes.
type Load struct {
	Slots, Limit, Inflight, Queued int
	Level                          Priority
	// Demand is the demand in slots, with what the entry nodes hold back.
	Demand float64
	// Paced is the part of the limit named by the target that is in use, from 0 to 1,
	// and PacedLevel the admission level that follows from that limit.
	Paced      float64
	PacedLevel Priority
	// Held says that the target is held back until its answers allow all its slots.
	Held bool
	// Cold is why the target counts as cold, and ColdLeft for how long if that is known.
	Cold     pacer.ColdReason
	ColdLeft time.Duration
}

// coldUntilReport stands for a time that ends with the next report of the target, which
// comes every 1.5 s.
const coldUntilReport = 2 * time.Second

// ColdTime returns for how long the target is likely to stay cold.
func (l Load) ColdTime() time.Duration {
	if l.Cold != pacer.Warm && l.ColdLeft == 0 {
		return coldUntilReport
	}
	return l.ColdLeft
}

// Load returns a snapshot.
func (a *Admitter) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	reason, left := a.cold.Reason(now)
	load := Load{
		Slots: a.slots, Limit: a.effectiveLimit(now), Inflight: a.inflight, Queued: a.queue.size, Level: a.demand.level,
		Paced: a.paceUtilization(now), PacedLevel: a.pacedLevel.threshold(), Cold: reason, ColdLeft: left,
		Held: a.foundPace && a.ramp.Active(now), Demand: a.demand.total,
	}
	return load
}
