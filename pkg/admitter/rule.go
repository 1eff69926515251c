package admitter

import (
	"math"
	"time"
)

// LimitAlgorithm finds a concurrency limit from samples of a target's behaviour. It is
// sealed: AIMD and Gradient are all there is, and Static for comparison.
type LimitAlgorithm interface{ sealedLimitAlgorithm() }

// Static keeps a part of the announced slots: targets slow down when nearly
// full, and a new connection may hold a slot for a moment.
type Static struct{}

// staticPart is that part.
const staticPart = 0.94

// AIMD adds one slot after a round of good answers and takes a tenth away
// when the target refuses or times out.
type AIMD struct {
	limit float64
	good  int
}

// Gradient compares the recent time in the target with its long-time floor
// and shrinks the limit in proportion as the target slows down.
type Gradient struct {
	limit float64
	floor float64
	short float64
}

func (Static) sealedLimitAlgorithm()    {}
func (*AIMD) sealedLimitAlgorithm()     {}
func (*Gradient) sealedLimitAlgorithm() {}

// sample is one finished request.
type sample struct {
	// own is the time in the target less the time that it waited for calls.
	own time.Duration
	// shed tells that the target refused, or did not answer in time.
	shed bool
	// inflight is how many ran when it began.
	inflight int
}

const (
	minLimit = 1
	// aimdCut is what is left of the limit after a refusal by the target.
	aimdCut = 0.9
	// gradientTolerance is the growth of the time that counts as normal.
	gradientTolerance = 2.0
	// gradientSmooth is the weight of the old limit.
	gradientSmooth = 0.8
	// shortWeight and floorWeight are those of the newest sample.
	shortWeight = 0.1
	floorWeight = 0.002
	// headroomOf times the root of the limit is the queue allowed in a target.
	headroomOf = 1.0
)

// learn takes a sample and returns the limit, at most slots.
func learn(rule LimitAlgorithm, s sample, slots int) int {
	switch r := rule.(type) {
	case *AIMD:
		return r.learn(s, slots)
	case *Gradient:
		return r.learn(s, slots)
	}
	return staticLimit(slots)
}

func staticLimit(slots int) int {
	return max(min(slots, int(math.Round(staticPart*float64(slots)))), minLimit)
}

// firstLimit is the limit of a target of which nothing is known yet.
func firstLimit(rule LimitAlgorithm, slots int) int {
	if _, ok := rule.(Static); ok {
		return staticLimit(slots)
	}
	return slots
}

func (r *AIMD) learn(s sample, slots int) int {
	if r.limit == 0 {
		r.limit = float64(slots)
	}
	switch {
	case s.shed:
		r.limit *= aimdCut
		r.good = 0
	case s.inflight*2 >= int(r.limit):
		r.good++
		if r.good >= int(r.limit) {
			r.limit++
			r.good = 0
		}
	}
	r.limit = clamp(r.limit, slots)
	return int(r.limit)
}

func (r *Gradient) learn(s sample, slots int) int {
	if r.limit == 0 {
		r.limit = float64(slots)
	}
	if s.shed {
		r.limit = clamp(r.limit*aimdCut, slots)
		return int(r.limit)
	}
	r.observe(max(s.own.Seconds(), time.Microsecond.Seconds()))
	gradient := math.Max(0.5, math.Min(1, gradientTolerance*r.floor/r.short))
	next := r.limit*gradient + headroomOf*math.Sqrt(r.limit)
	if s.inflight*2 < int(r.limit) && next > r.limit {
		return int(r.limit)
	}
	r.limit = clamp(gradientSmooth*r.limit+(1-gradientSmooth)*next, slots)
	return int(r.limit)
}

// observe keeps a quick average and a floor that falls fast and rises slowly.
func (r *Gradient) observe(t float64) {
	if r.floor == 0 {
		r.floor, r.short = t, t
		return
	}
	r.short += shortWeight * (t - r.short)
	if r.short < r.floor {
		r.floor = r.short
		return
	}
	r.floor += floorWeight * (r.short - r.floor)
}

func clamp(limit float64, slots int) float64 {
	return math.Max(minLimit, math.Min(limit, float64(slots)))
}
