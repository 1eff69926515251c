package admitter

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	team     string
	priority Priority
	since    time.Time
	// give receives nil when the request may run, or its refusal.
	give chan error
}

// lane holds the waiters of one team within one class.
type lane struct {
	team    string
	waiters []*waiter
	// deficit in seconds of target time; the lane may run while it is positive.
	deficit float64
}

// queue orders waiters by class, then by deficit round robin over teams.
type queue struct {
	lanes [classCount][]*lane
	size  int
}

// leastQuantum in seconds is the least target time that a lane gets in a round.
const leastQuantum = 0.0001

func (q *queue) push(w *waiter) {
	class := w.priority.class()
	q.size++
	for _, l := range q.lanes[class] {
		if l.team == w.team {
			l.waiters = append(l.waiters, w)
			return
		}
	}
	q.lanes[class] = append(q.lanes[class], &lane{team: w.team, waiters: []*waiter{w}})
}

// pop returns the next waiter to run; cost estimates a team's target time in
// seconds, and quantum is what each lane gets in a round: about one request,
// so that a team with few of them does not wait for many of another's.
func (q *queue) pop(cost func(team string) float64, quantum float64) *waiter {
	for class := classCount - 1; class >= 0; class-- {
		if w := q.popClass(class, cost, max(quantum, leastQuantum)); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) popClass(class int, cost func(string) float64, quantum float64) *waiter {
	for len(q.lanes[class]) > 0 {
		l := q.lanes[class][0]
		if len(l.waiters) == 0 {
			q.lanes[class] = q.lanes[class][1:]
			continue
		}
		if l.deficit <= 0 && len(q.lanes[class]) > 1 {
			l.deficit += quantum
			q.lanes[class] = append(q.lanes[class][1:], l)
			continue
		}
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.deficit -= cost(l.team)
		q.size--
		return w
	}
	return nil
}

// remove takes out a waiter that no longer waits.
func (q *queue) remove(w *waiter) bool {
	for _, l := range q.lanes[w.priority.class()] {
		for i, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
				q.size--
				return true
			}
		}
	}
	return false
}

// worst returns the waiter to refuse first: of the lowest class, of the team
// with the most waiters, the one with the lowest hash.
func (q *queue) worst() *waiter {
	for class := range classCount {
		var longest *lane
		for _, l := range q.lanes[class] {
			if len(l.waiters) > 0 && (longest == nil || len(l.waiters) > len(longest.waiters)) {
				longest = l
			}
		}
		if longest != nil {
			return lowest(longest.waiters)
		}
	}
	return nil
}

func lowest(waiters []*waiter) *waiter {
	worst := waiters[0]
	for _, w := range waiters[1:] {
		if w.priority < worst.priority {
			worst = w
		}
	}
	return worst
}

// expire takes out every waiter that has waited since before limit.
func (q *queue) expire(limit time.Time) []*waiter {
	var old []*waiter
	for class := range classCount {
		for _, l := range q.lanes[class] {
			kept := l.waiters[:0:0]
			for _, w := range l.waiters {
				if w.since.Before(limit) {
					old = append(old, w)
					continue
				}
				kept = append(kept, w)
			}
			l.waiters = kept
		}
	}
	q.size -= len(old)
	return old
}
