package pacer

import "time"

const (
	// rampShare is the part of the slots with which a target begins that has started or
	// recovered: two doublings are left to all of them, which fit into a second for
	// requests of up to a third of one.
	rampShare = 0.25
	// minRampLimit is the least number of requests that may run at once.
	minRampLimit = 2
	// growFactor and shrinkFactor change the limit after an interval.
	growFactor   = 2
	shrinkFactor = 0.5
	// growBelow and shrinkAbove say by the mean time of an interval, as a multiple of the
	// best one seen, when the limit grows and when it shrinks. Between them it stays: the
	// mean of eight exponentially distributed times is 1.5 times too high in 1 of 12.
	growBelow   = 1.5
	shrinkAbove = 2.5
	// refusedShare is the part of an interval's requests that the target may reject
	// before the limit shrinks.
	refusedShare = 0.3
	// minIntervalAnswers is the number of answers of an interval, which lasts for the
	// best mean time, but within these bounds. After longInterval one answer is enough.
	minIntervalAnswers = 8
	minInterval        = 20 * time.Millisecond
	maxInterval        = 300 * time.Millisecond
	longInterval       = time.Second
	// maxRampTime bounds the time for which a target is held back by its answers: one
	// that is slower than before for good, or that refuses a part of its requests, is
	// left to the concurrency limit.
	maxRampTime = 5 * time.Second
	// recoveryFailures is the number of consecutive requests without an answer after
	// which a target has to recover.
	recoveryFailures = 3
	// meanWeight is the weight of the newest time in the mean, and bestWeight that of the
	// mean in the best one while that is lower, so that it follows a lasting change.
	meanWeight = 0.02
	bestWeight = 0.002
	// settledAnswers is the number of answers from which the best mean is known. Until
	// then only refusals hold a target back: there is nothing to compare its times with.
	settledAnswers = 100
)

// Ramp finds how many requests may run at once at a target that has started, recovered
// or been out of sight: few at first, twice as many after each interval in which answers
// come in good time, relative to the best mean seen, and half as many when they don't or
// the target refuses. The mean of an interval is the time that all requests ran in it,
// divided by the number of those that ended: the mean of the latter alone is too low at
// first, since the quick ones end first. The zero value holds nothing back. A Ramp is not
// safe for concurrent use.
type Ramp struct {
	active  bool
	begunAt time.Time
	// limit is the number of requests that may run, and slots that of the target.
	limit float64
	slots int
	// mean and best are times in the target in seconds; 0 without an answer. They are
	// kept over restarts of the target. observed counts the answers in them, up to
	// settledAnswers.
	mean, best float64
	observed   int
	// failures counts consecutive requests without an answer.
	failures int

	// since is when the interval began. runTime is the time in seconds that all requests
	// ran in it until advancedAt, callTime the part that they spent in calls of their
	// own, and answers and refused count those that ended.
	since             time.Time
	runTime, callTime float64
	advancedAt        time.Time
	answers, refused  int
}

// Begin holds back a target with so many slots.
func (r *Ramp) Begin(slots int, now time.Time) {
	r.active, r.begunAt, r.slots, r.failures = true, now, slots, 0
	r.limit = r.floor()
	r.beginInterval(now)
}

func (r *Ramp) floor() float64 { return max(minRampLimit, rampShare*float64(r.slots)) }

func (r *Ramp) beginInterval(now time.Time) {
	r.since, r.advancedAt = now, now
	r.runTime, r.callTime, r.answers, r.refused = 0, 0, 0, 0
}

// Active reports whether the target is held back.
func (r *Ramp) Active(now time.Time) bool {
	if r.active && now.Sub(r.begunAt) >= maxRampTime {
		r.active = false
	}
	return r.active
}

// Limit returns how many requests may run at once, at most limit.
func (r *Ramp) Limit(limit int, now time.Time) int {
	if !r.Active(now) {
		return limit
	}
	return min(limit, int(r.limit))
}

// Advance takes how many requests have been running until now. It must precede each
// change of that number.
func (r *Ramp) Advance(running int, now time.Time) {
	if !r.active {
		return
	}
	r.runTime += float64(running) * now.Sub(r.advancedAt).Seconds()
	r.advancedAt = now
}

// Answer describes a request that the target has answered.
type Answer struct {
	// Took is the time in the target, and Calls the part of it in which the target waited
	// for its own calls.
	Took, Calls time.Duration
	// Refused says that the target rejected the request.
	Refused bool
}

// RecordAnswer takes an answer. cold says that the target reports that it is cold, so
// that its time says nothing; the bound of cold targets holds it back then.
func (r *Ramp) RecordAnswer(a Answer, cold bool, now time.Time) {
	r.failures = 0
	switch {
	case cold:
		r.begunAt = now
		r.beginInterval(now)
	case a.Refused:
	case !r.active || r.observed < settledAnswers:
		r.observe((a.Took - a.Calls).Seconds())
	}
	if !cold && r.Active(now) {
		r.recordInterval(a, now)
	}
}

// recordInterval adds an answer to the interval, and ends that if it is long enough.
func (r *Ramp) recordInterval(a Answer, now time.Time) {
	if a.Refused {
		r.refused++
	} else {
		r.answers++
		r.callTime += a.Calls.Seconds()
	}
	length := now.Sub(r.since)
	ended := r.answers + r.refused
	best := time.Duration(r.best * float64(time.Second))
	if length < max(minInterval, min(best, maxInterval)) || ended < minIntervalAnswers && length < longInterval {
		return
	}
	mean := max(r.runTime-r.callTime, 0) / float64(max(r.answers, 1))
	switch {
	case float64(r.refused) > refusedShare*float64(ended):
		r.limit *= shrinkFactor
	case r.observed < settledAnswers || mean <= growBelow*r.best:
		r.limit *= growFactor
	case mean > shrinkAbove*r.best:
		r.limit *= shrinkFactor
	}
	r.limit = max(r.limit, r.floor())
	r.active = r.limit < float64(r.slots)
	r.beginInterval(now)
}

// RecordNoAnswer takes a request that the target has not answered.
func (r *Ramp) RecordNoAnswer(slots int, now time.Time) {
	r.failures++
	if r.failures >= recoveryFailures {
		r.Begin(slots, now)
	}
}

// observe takes the time of an answer for the best mean.
func (r *Ramp) observe(seconds float64) {
	if r.observed < settledAnswers {
		r.observed++
		r.mean += (seconds - r.mean) / float64(r.observed)
		r.best = r.mean
		return
	}
	r.mean += meanWeight * (seconds - r.mean)
	r.best = min(r.mean, r.best+bestWeight*(r.mean-r.best))
}
