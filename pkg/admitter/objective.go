package admitter

import "time"

const (
	// objectiveWaitDivisor bounds the queue timeout to a quarter of the objective. An
	// eighth costs the caller nothing and three quarters cost the whole worth, so that a
	// refusal at a quarter, with time left for another try, is better than waiting on.
	objectiveWaitDivisor = 4
	// minObjectiveWait is the minimum of the queue timeout for short objectives: the
	// pauses of a processor that is shared.
	minObjectiveWait = 10 * time.Millisecond
	// missedDelay orders requests that can no longer meet their objective after all
	// that can. It is above every objective in use.
	missedDelay = 24 * time.Hour
)

// UseObjectives makes requests wait only as long as they can still be answered within
// their objective, and those whose objective ends first go first within their team. It
// must be called before the first request.
func (a *Admitter) UseObjectives() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.objectives = true
}

// bound sets until when a request may wait. A request that is expected to wait longer is
// rejected at once: its caller can use the time elsewhere, and its place would have kept
// others out. One that has missed its objective may wait as long as its deadline allows,
// but no longer than others do.
func (a *Admitter) bound(w *waiter, r Request) error {
	if !a.objectives || r.DueAt.IsZero() || !a.paceReady(w.since) {
		return nil
	}
	service := time.Duration(a.cost(r.Team) * float64(time.Second))
	timeout := a.queueTimeout(false, w.since)
	if r.Objective > 0 {
		timeout = max(r.Objective/objectiveWaitDivisor, minObjectiveWait)
	}
	w.dueAt = r.DueAt
	latest := r.DueAt.Add(-service)
	if latest.Before(w.since) {
		latest = r.Deadline.Add(-service)
		w.dueAt = r.Deadline.Add(missedDelay)
	}
	w.expiresAt = w.since.Add(timeout)
	if latest.Before(w.expiresAt) {
		w.expiresAt = latest
	}
	if w.since.Add(a.expectedWait(w)).After(w.expiresAt) {
		return a.reject(w, w.since)
	}
	return nil
}

// expectedWait estimates how long a request will wait: one slot becomes free in each
// service time divided by the limit.
func (a *Admitter) expectedWait(w *waiter) time.Duration {
	seconds := a.serviceSeconds * float64(a.queue.ahead(w)+1) / float64(max(a.effectiveLimit(w.since), 1))
	return time.Duration(seconds * float64(time.Second))
}

// ahead returns the number of waiters that are served before w: those of higher classes,
// those of its team whose objective ends sooner, and as many of each other team of its
// class.
func (q *queue) ahead(w *waiter) int {
	class := q.class(w.priority)
	count, own := 0, 0
	for higher := class + 1; higher < classCount; higher++ {
		for _, t := range q.classes[higher] {
			count += len(t.waiters)
		}
	}
	for _, t := range q.classes[class] {
		if t.team != w.team {
			continue
		}
		for _, other := range t.waiters {
			if !w.before(other) {
				own++
			}
		}
	}
	for _, t := range q.classes[class] {
		if t.team != w.team {
			count += min(len(t.waiters), own+1)
		}
	}
	return count + own
}
