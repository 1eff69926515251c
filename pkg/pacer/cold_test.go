package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// firstDeployment is the bound of the first deployment: 5.4 x 1.5 + 8 = 16.1.
var firstDeployment = pacer.ColdBound{Rate: 5.4, Ratio: 1.5, Slack: 8}

// coldReplay sends requests to a cold target: arrivals holds when each one reaches it,
// after a delay from the decision of up to 100 ms.
type coldReplay struct {
	cold     pacer.Cold
	random   *rand.Rand
	now      time.Time
	arrivals []time.Time
}

func newColdReplay(bound pacer.ColdBound, seed uint64) *coldReplay {
	r := &coldReplay{random: rand.New(rand.NewPCG(seed, 2)), now: epoch}
	r.cold.SetBound(bound, r.now)
	r.now = r.now.Add(2 * time.Second)
	return r
}

// run sends requests at a mean rate for so long; those that may not begin go elsewhere.
func (r *coldReplay) run(length time.Duration, load float64) {
	for end := r.now.Add(length); r.now.Before(end); {
		r.now = r.now.Add(time.Duration(r.random.ExpFloat64() / load * float64(time.Second)))
		if r.cold.Ready(r.now) {
			r.cold.Begin(r.now)
			r.cold.RecordAnswer(r.now)
			r.arrivals = append(r.arrivals, r.now.Add(time.Duration(r.random.Int64N(int64(100*time.Millisecond)))))
		}
	}
}

// most returns the highest number of arrivals in any second.
func (r *coldReplay) most() int {
	times := slices.SortedFunc(slices.Values(r.arrivals), time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdTargetIsOverloaded guards against a cold target that gets more than its bound
// in any second, and against one that is left idle: 0.8 of the bound must be used while
// callers wait.
func TestColdTargetIsOverloaded(t *testing.T) {
	for _, bound := range []pacer.ColdBound{firstDeployment, {Rate: 0.1, Ratio: 1, Slack: 1}, {Rate: 40, Ratio: 1.5, Slack: 0}, {Rate: 100, Ratio: 1, Slack: 1}} {
		limit := bound.Rate*bound.Ratio + bound.Slack
		for seed := range uint64(10) {
			r := newColdReplay(bound, seed)
			r.cold.Report(time.Minute, true, r.now)
			for range 20 {
				r.cold.Report(time.Minute, true, r.now)
				r.run(time.Second, 20*limit)
			}
			name := qt.Commentf("%+v, seed %d: most %d, begun %d", bound, seed, r.most(), len(r.arrivals))
			qt.Assert(t, float64(r.most()) <= limit, qt.IsTrue, name)
			qt.Assert(t, float64(len(r.arrivals)) >= 0.8*float64(int(limit))*20, qt.IsTrue, name)
		}
	}
}

// TestColdRequestsComeInBursts guards against a second's worth of requests that begin
// at once after a pause: up to a quarter of the bound may.
func TestColdRequestsComeInBursts(t *testing.T) {
	r := newColdReplay(firstDeployment, 1)
	r.cold.Report(time.Minute, true, r.now)
	begun := 0
	for r.cold.Ready(r.now) {
		r.cold.Begin(r.now)
		begun++
	}
	qt.Assert(t, begun >= 2 && begun <= 4, qt.IsTrue, qt.Commentf("%d", begun))
	qt.Assert(t, r.cold.Wait(r.now) < 100*time.Millisecond, qt.IsTrue)
}

// TestWarmRequestsCountWhenTargetTurnsCold guards against requests of the last second
// that don't count since the target was warm then.
func TestWarmRequestsCountWhenTargetTurnsCold(t *testing.T) {
	r := newColdReplay(firstDeployment, 3)
	r.cold.Report(0, true, r.now)
	r.run(time.Second, 200)
	qt.Assert(t, len(r.arrivals) > 150, qt.IsTrue)
	r.cold.Report(time.Minute, true, r.now)
	qt.Check(t, r.cold.Ready(r.now), qt.IsFalse)
	turned := r.now
	r.arrivals = nil
	r.run(900*time.Millisecond, 200)
	qt.Check(t, len(r.arrivals), qt.Equals, 0)
	r.run(10*time.Second, 200)
	qt.Check(t, r.most() <= 16, qt.IsTrue)
	qt.Check(t, r.arrivals[0].Sub(turned) < 1300*time.Millisecond, qt.IsTrue)
}

// TestFullRateAtOnceAfterCold guards against a target that is held back when its cold
// time is over: by its end, by a report, and though no report follows.
func TestFullRateAtOnceAfterCold(t *testing.T) {
	for name, end := range map[string]func(r *coldReplay){
		"time over": func(r *coldReplay) { r.run(time.Second, 200) },
		"report":    func(r *coldReplay) { r.cold.Report(0, true, r.now) },
	} {
		r := newColdReplay(firstDeployment, 4)
		r.cold.Report(time.Second, true, r.now)
		r.run(500*time.Millisecond, 200)
		end(r)
		reason, _ := r.cold.Reason(r.now)
		qt.Check(t, reason, qt.Equals, pacer.Warm, qt.Commentf("%s", name))
		r.arrivals = nil
		r.run(time.Second, 200)
		qt.Check(t, len(r.arrivals) > 150, qt.IsTrue, qt.Commentf("%s: %d", name, len(r.arrivals)))
	}
}

// TestGapsInReports guards against a target that turns cold unnoticed as its reports are
// lost: without report and answer for 2.2 s it is cold until the next report, whatever
// it answers then. Answers in time keep the last report in force.
func TestGapsInReports(t *testing.T) {
	for name, c := range map[string]struct {
		answers []int
		at      int
		want    pacer.ColdReason
	}{
		"in time":          {nil, 2199, pacer.Warm},
		"lost report":      {nil, 2200, pacer.ColdGap},
		"answers":          {[]int{1000, 3000, 5000}, 7000, pacer.Warm},
		"answers stop":     {[]int{1000}, 3300, pacer.ColdGap},
		"answer after gap": {[]int{2300, 2400}, 2500, pacer.ColdGap},
	} {
		var cold pacer.Cold
		cold.SetBound(firstDeployment, atMillis(-5000))
		cold.Report(0, true, atMillis(0))
		for _, ms := range c.answers {
			cold.RecordAnswer(atMillis(ms))
		}
		reason, _ := cold.Reason(atMillis(c.at))
		qt.Check(t, reason, qt.Equals, c.want, qt.Commentf("%s", name))
		cold.Report(0, true, atMillis(c.at))
		reason, _ = cold.Reason(atMillis(c.at))
		qt.Check(t, reason, qt.Equals, pacer.Warm, qt.Commentf("%s", name))
	}
}

// TestUnknownLifeGetsNothing guards against requests to a life that has not reported,
// and checks that a drained target is cold until its next report.
func TestUnknownLifeGetsNothing(t *testing.T) {
	var cold pacer.Cold
	cold.SetBound(firstDeployment, atMillis(-5000))
	qt.Check(t, cold.Ready(atMillis(0)), qt.IsFalse)
	cold.Report(0, true, atMillis(0))
	qt.Check(t, cold.Ready(atMillis(0)), qt.IsTrue)
	cold.Close()
	qt.Check(t, cold.Ready(atMillis(10)), qt.IsFalse)
	cold.Report(0, true, atMillis(20))
	cold.MarkIdle()
	reason, _ := cold.Reason(atMillis(20))
	qt.Check(t, reason, qt.Equals, pacer.ColdIdle)
	cold.Report(0, true, atMillis(30))
	reason, _ = cold.Reason(atMillis(30))
	qt.Check(t, reason, qt.Equals, pacer.Warm)
}

// TestRestartedNodeKeepsBound guards against a node that starts beside a cold target and
// does not know what its former process sent within the last second.
func TestRestartedNodeKeepsBound(t *testing.T) {
	former := newColdReplay(firstDeployment, 5)
	former.cold.Report(time.Minute, true, former.now)
	former.run(3*time.Second, 300)
	next := &coldReplay{random: former.random, now: former.now, arrivals: former.arrivals}
	next.cold.SetBound(firstDeployment, next.now)
	next.cold.Report(time.Minute, true, next.now)
	next.run(3*time.Second, 300)
	qt.Check(t, next.most() <= 16, qt.IsTrue, qt.Commentf("%d", next.most()))
	qt.Check(t, len(next.arrivals) > len(former.arrivals)+16, qt.IsTrue)
}

// TestReleasedPlacesAreUsed guards against requests that another process answered as
// misdirected and that count all the same: also one that began long before the last.
func TestReleasedPlacesAreUsed(t *testing.T) {
	for _, which := range []int{0, 1} {
		r := newColdReplay(pacer.ColdBound{Rate: 2, Ratio: 1}, 6)
		r.cold.Report(time.Minute, true, r.now)
		var begun []time.Time
		for range 2 {
			r.now = r.now.Add(r.cold.Wait(r.now))
			r.cold.Begin(r.now)
			begun = append(begun, r.now)
		}
		qt.Assert(t, r.cold.Wait(r.now) > 500*time.Millisecond, qt.IsTrue)
		r.cold.Release(begun[which])
		qt.Check(t, r.cold.Wait(r.now), qt.Equals, time.Duration(0))
		r.cold.Release(begun[which])
		r.cold.Begin(r.now)
		qt.Check(t, r.cold.Ready(r.now), qt.IsFalse, qt.Commentf("a place was released twice"))
	}
}

// TestNoBoundWithoutSettings guards against a target that is held back though nothing
// bounds it: no settings, or no declared rate.
func TestNoBoundWithoutSettings(t *testing.T) {
	for _, bound := range []pacer.ColdBound{{}, {Rate: 5}, {Ratio: 1.5, Slack: 8}} {
		var cold pacer.Cold
		cold.SetBound(bound, epoch)
		cold.Report(time.Minute, true, epoch)
		for range 100 {
			qt.Assert(t, cold.Ready(epoch), qt.IsTrue, qt.Commentf("%s", fmt.Sprint(bound)))
			cold.Begin(epoch)
		}
		qt.Check(t, cold.Utilization(epoch), qt.Equals, 0.0)
	}
}

// TestDelayedRequestsArriveTogether guards against requests that begin apart and arrive
// together at a cold target, since each took up to 2 s for its connection: counted from
// their beginning, more than the bound arrive in a second.
func TestDelayedRequestsArriveTogether(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		var cold pacer.Cold
		now := epoch
		cold.SetBound(pacer.ColdBound{Rate: 5.4, Ratio: 1.5, Slack: 8}, now)
		cold.Report(0, true, now)
		now = now.Add(time.Minute)
		cold.Report(time.Hour, true, now)
		type waiting struct{ begunAt, sendAt time.Time }
		var pending []waiting
		var sent []time.Time
		for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			cold.RecordAnswer(now)
			if cold.Ready(now) {
				cold.Begin(now)
				delay := time.Duration(random.IntN(100)) * time.Millisecond
				if random.IntN(4) == 0 {
					delay = time.Duration(random.IntN(2000)) * time.Millisecond
				}
				pending = append(pending, waiting{now, now.Add(delay)})
			}
			pending = slices.DeleteFunc(pending, func(w waiting) bool {
				if w.sendAt.After(now) {
					return false
				}
				if cold.Send(w.begunAt, now) {
					sent = append(sent, now)
				}
				return true
			})
		}
		most, first := 0, 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		qt.Check(t, most <= 16, qt.IsTrue, qt.Commentf("seed %d: %d in a second", seed, most))
		qt.Check(t, len(sent) >= 20*8, qt.IsTrue, qt.Commentf("seed %d: %d sent", seed, len(sent)))
	}
}
