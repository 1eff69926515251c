package admitter

import (
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	team     string
	priority Priority
	since    time.Time
	// expiresAt is when its queue timeout passes.
	expiresAt time.Time
	// dueAt is when its objective ends; zero unless it was bounded by it, see bound.
	dueAt time.Time
	// paced is set if it had to wait for the limit that the target names, for the bound
	// of a cold target, or for a target that is held back.
	paced bool
	// sender is the process that waits for the answer.
	sender uint64
	// begunAt is when it got its slot.
	begunAt time.Time
	// result receives nil when the request may run, or the error that rejects it.
	result chan error
}

// before reports whether w is served before an earlier waiter of its team: if its
// objective ends sooner. A request without an objective keeps its place.
func (w *waiter) before(other *waiter) bool {
	return !w.dueAt.IsZero() && !other.dueAt.IsZero() && w.dueAt.Before(other.dueAt)
}

// teamQueue holds the waiters of one team within one class.
type teamQueue struct {
	team    string
	waiters []*waiter
	// deficit is the target time in seconds that the team may still use in this
	// round. A waiter may run while the deficit is positive, or while the class
	// has no other team queue.
	deficit float64
}

// queue orders waiters by class, then by deficit round robin over teams.
type queue struct {
	classes [classCount][]*teamQueue
	size    int
	// downstreamFirst orders calls of requests that have begun before all others,
	// whatever their rank: rejecting one wastes the work already spent. By default the
	// rank comes first.
	downstreamFirst bool
	// nextExpiry is no later than when the first queue timeout passes; zero if nothing
	// waits, or a waiter may have one that was not noted.
	nextExpiry time.Time
}

// class returns the class of a waiter.
func (q *queue) class(p Priority) int {
	if !q.downstreamFirst {
		return p.class()
	}
	if p&downstreamBit != 0 {
		return 1<<rankBits + int(p.rank())
	}
	return int(p.rank())
}

// minQuantum is the minimum target time in seconds that a team gets in a round.
const minQuantum = 0.0001

func (q *queue) push(w *waiter) {
	class := q.class(w.priority)
	q.size++
	for _, t := range q.classes[class] {
		if t.team == w.team {
			index := len(t.waiters)
			for index > 0 && w.before(t.waiters[index-1]) {
				index--
			}
			t.waiters = slices.Insert(t.waiters, index, w)
			return
		}
	}
	q.classes[class] = append(q.classes[class], &teamQueue{team: w.team, waiters: []*waiter{w}})
}

// pop removes and returns the next waiter to run, or nil. cost estimates the
// target time of a team's request in seconds. quantum is the target time that
// each team gets in a round: about one request, so that a team with few requests
// does not wait for many requests of another team.
func (q *queue) pop(cost func(team string) float64, quantum float64) *waiter {
	for class := classCount - 1; class >= 0; class-- {
		if w := q.popClass(class, cost, max(quantum, minQuantum)); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) popClass(class int, cost func(string) float64, quantum float64) *waiter {
	for len(q.classes[class]) > 0 {
		t := q.classes[class][0]
		if len(t.waiters) == 0 {
			q.classes[class] = q.classes[class][1:]
			continue
		}
		if t.deficit <= 0 && len(q.classes[class]) > 1 {
			t.deficit += quantum
			q.classes[class] = append(q.classes[class][1:], t)
			continue
		}
		w := t.waiters[0]
		t.waiters = t.waiters[1:]
		t.deficit -= cost(t.team)
		q.size--
		return w
	}
	return nil
}

// remove removes a waiter and reports whether it was still in the queue.
func (q *queue) remove(w *waiter) bool {
	for _, t := range q.classes[q.class(w.priority)] {
		for i, other := range t.waiters {
			if other == w {
				t.waiters = append(t.waiters[:i:i], t.waiters[i+1:]...)
				q.size--
				return true
			}
		}
	}
	return false
}

// leastUrgent returns the waiter to reject first: in the lowest class, of the team
// with the most waiters, the one with the lowest hash, or with objectives the one whose
// objective ends last, which can best afford to return.
func (q *queue) leastUrgent() *waiter {
	for class := range classCount {
		var longest *teamQueue
		for _, t := range q.classes[class] {
			if len(t.waiters) > 0 && (longest == nil || len(t.waiters) > len(longest.waiters)) {
				longest = t
			}
		}
		if longest != nil {
			if last := longest.waiters[len(longest.waiters)-1]; !last.dueAt.IsZero() {
				return last
			}
			return lowestPriority(longest.waiters)
		}
	}
	return nil
}

func lowestPriority(waiters []*waiter) *waiter {
	lowest := waiters[0]
	for _, w := range waiters[1:] {
		if w.priority < lowest.priority {
			lowest = w
		}
	}
	return lowest
}

// clear removes and returns all waiters.
func (q *queue) clear() []*waiter {
	return q.extract(func(*waiter) bool { return true })
}

// noteExpiry notes the queue timeout of a waiter in the queue.
func (q *queue) noteExpiry(w *waiter) {
	if q.nextExpiry.IsZero() || w.expiresAt.Before(q.nextExpiry) {
		q.nextExpiry = w.expiresAt
	}
}

// expire removes and returns the waiters whose queue timeout has passed. It looks at them
// only if there may be one.
func (q *queue) expire(now time.Time) []*waiter {
	if q.size == 0 || now.Before(q.nextExpiry) {
		return nil
	}
	q.nextExpiry = time.Time{}
	return q.extract(func(w *waiter) bool {
		if w.expiresAt.Before(now) {
			return true
		}
		q.noteExpiry(w)
		return false
	})
}

// extract removes and returns the waiters that match.
func (q *queue) extract(matches func(*waiter) bool) []*waiter {
	var extracted []*waiter
	for class := range classCount {
		for _, t := range q.classes[class] {
			kept := t.waiters[:0:0]
			for _, w := range t.waiters {
				if matches(w) {
					extracted = append(extracted, w)
					continue
				}
				kept = append(kept, w)
			}
			t.waiters = kept
		}
	}
	q.size -= len(extracted)
	return extracted
}
