package admitter

import (
	"math"
	"time"
)

// LimitAlgorithm derives a concurrency limit from samples of a target's behaviour.
// It is sealed: the implementations are AIMD, Gradient and, for comparison, Static.
type LimitAlgorithm interface{ sealedLimitAlgorithm() }

// Static sets the limit to a fixed fraction of the announced slots, which leaves
// some free: targets slow down when nearly full, and a new connection may hold a
// slot for a moment.
type Static struct{}

// staticFraction is the fraction of the slots that Static uses.
const staticFraction = 0.94

// AIMD (additive increase, multiplicative decrease) adds one slot after as many
// good answers as the limit, and removes a tenth of the limit when the target
// rejects a request or does not answer in time.
type AIMD struct {
	limit float64
	good  int
}

// Gradient compares the recent time in the target with a long-term baseline and
// reduces the limit in proportion as the target slows down.
type Gradient struct {
	limit float64
	// baseline and recent are times in the target, in seconds.
	baseline float64
	recent   float64
}

func (Static) sealedLimitAlgorithm()    {}
func (*AIMD) sealedLimitAlgorithm()     {}
func (*Gradient) sealedLimitAlgorithm() {}

// sample describes one finished request.
type sample struct {
	// own is the time in the target without the time that the target waited for
	// its own calls.
	own time.Duration
	// shed says that the target rejected the request or did not answer in time.
	shed bool
	// inflight is the number of requests that ran when this one began, including
	// this one.
	inflight int
}

const (
	minLimit = 1
	// aimdDecrease is the factor applied to the limit after the target sheds a
	// request.
	aimdDecrease = 0.9
	// gradientTolerance is the growth of the recent time over the baseline that
	// counts as normal.
	gradientTolerance = 2.0
	// gradientSmoothing is the weight of the old limit.
	gradientSmoothing = 0.8
	// recentWeight and baselineWeight are the weights of the newest value in the
	// recent time and in the baseline.
	recentWeight   = 0.1
	baselineWeight = 0.002
	// headroomFactor times the square root of the limit is the queue that Gradient
	// allows in a target.
	headroomFactor = 1.0
)

// updateLimit applies a sample and returns the new limit, at most slots.
func updateLimit(algorithm LimitAlgorithm, s sample, slots int) int {
	switch a := algorithm.(type) {
	case *AIMD:
		return a.updateLimit(s, slots)
	case *Gradient:
		return a.updateLimit(s, slots)
	}
	return staticLimit(slots)
}

func staticLimit(slots int) int {
	return max(min(slots, int(math.Round(staticFraction*float64(slots)))), minLimit)
}

// initialLimit is the limit of a target before any sample.
func initialLimit(algorithm LimitAlgorithm, slots int) int {
	if _, ok := algorithm.(Static); ok {
		return staticLimit(slots)
	}
	return slots
}

// updateLimit counts a good answer only if at least half of the limit was in use.
func (a *AIMD) updateLimit(s sample, slots int) int {
	if a.limit == 0 {
		a.limit = float64(slots)
	}
	switch {
	case s.shed:
		a.limit *= aimdDecrease
		a.good = 0
	case s.inflight*2 >= int(a.limit):
		a.good++
		if a.good >= int(a.limit) {
			a.limit++
			a.good = 0
		}
	}
	a.limit = clamp(a.limit, slots)
	return int(a.limit)
}

// updateLimit raises the limit only if at least half of it was in use.
func (g *Gradient) updateLimit(s sample, slots int) int {
	if g.limit == 0 {
		g.limit = float64(slots)
	}
	if s.shed {
		g.limit = clamp(g.limit*aimdDecrease, slots)
		return int(g.limit)
	}
	g.observe(max(s.own.Seconds(), time.Microsecond.Seconds()))
	gradient := math.Max(0.5, math.Min(1, gradientTolerance*g.baseline/g.recent))
	next := g.limit*gradient + headroomFactor*math.Sqrt(g.limit)
	if s.inflight*2 < int(g.limit) && next > g.limit {
		return int(g.limit)
	}
	g.limit = clamp(gradientSmoothing*g.limit+(1-gradientSmoothing)*next, slots)
	return int(g.limit)
}

// observe updates the recent time, a fast moving average, and the baseline, which
// follows it down at once and up slowly.
func (g *Gradient) observe(seconds float64) {
	if g.baseline == 0 {
		g.baseline, g.recent = seconds, seconds
		return
	}
	g.recent += recentWeight * (seconds - g.recent)
	if g.recent < g.baseline {
		g.baseline = g.recent
		return
	}
	g.baseline += baselineWeight * (g.recent - g.baseline)
}

func clamp(limit float64, slots int) float64 {
	return math.Max(minLimit, math.Min(limit, float64(slots)))
}
