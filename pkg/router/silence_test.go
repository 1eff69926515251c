package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// pendingCall is a call on its way to a target, which ends at a given time.
type pendingCall struct {
	instance string
	sent     time.Duration
	ends     time.Duration
	result   router.Result
	answered bool
}

// cutFleet simulates the calls of one node whose own data centre has no target of
// the service. The data centre "cut" receives nothing between cutAt and healsAt:
// calls sent there end at their deadline.
type cutFleet struct {
	clock          *timekeeper.Manual
	router         *router.Router
	members        []*control.Entry
	cutAt, healsAt time.Duration
	pending        []pendingCall
}

const (
	callWork     = 30 * time.Millisecond
	callDeadline = 700 * time.Millisecond
	callInterval = 10 * time.Millisecond
)

func newCutFleet(cutAt, healsAt time.Duration) *cutFleet {
	clock := &timekeeper.Manual{}
	f := &cutFleet{clock: clock, router: router.New(clock, "home-0", "home", rand.New(rand.NewPCG(1, 1))), cutAt: cutAt, healsAt: healsAt}
	for _, centre := range []string{"cut", "other"} {
		f.members = append(f.members, &control.Entry{Instance: centre + "-1", Centre: centre, Slots: 20, State: control.State_STATE_ALIVE})
	}
	return f
}

// send chooses a target for a call at a time and returns its data centre.
func (f *cutFleet) send(now time.Duration) string {
	e := f.router.Choose(f.members, nil)
	c := pendingCall{instance: e.Instance, sent: now, ends: now + callWork, result: router.Succeeded, answered: true}
	if e.Centre == "cut" && now+callWork >= f.cutAt && now < f.healsAt {
		c.ends, c.result, c.answered = now+callDeadline, router.Expired, false
	}
	f.pending = append(f.pending, c)
	return e.Centre
}

// finish reports the calls that have ended.
func (f *cutFleet) finish(now time.Duration) {
	var running []pendingCall
	for _, c := range f.pending {
		switch took := c.ends - c.sent; {
		case c.ends > now:
			running = append(running, c)
			continue
		case c.answered:
			f.router.RecordAnswer(c.instance, took)
		default:
			f.router.RecordNoAnswer(c.instance, c.result, took)
		}
		f.router.RecordResult(c.instance, c.result, c.ends-c.sent)
	}
	f.pending = running
}

// TestCutDataCentreIsAvoided cuts off one of two data centres that have targets.
// From minSilence and one call interval after the cut, only a probe a second
// may go there; once the cut has ended, the data centre must be used again within
// two seconds.
func TestCutDataCentreIsAvoided(t *testing.T) {
	const (
		cutAt, healsAt, length = 5 * time.Second, 10 * time.Second, 15 * time.Second
		// minSilence is several round trips and a retransmission.
		minSilence = 200 * time.Millisecond
	)
	f := newCutFleet(cutAt, healsAt)
	const noticedAt = cutAt + minSilence + callInterval
	lost, usedAfter := 0, 0
	for now := time.Duration(0); now < length; now += callInterval {
		f.finish(now)
		centre := f.send(now)
		switch {
		case centre == "cut" && now > noticedAt && now < healsAt:
			lost++
		case centre == "cut" && now > healsAt+2*time.Second:
			usedAfter++
		}
		f.clock.Advance(callInterval)
	}
	qt.Check(t, lost <= int((healsAt-noticedAt)/time.Second)+1, qt.IsTrue, qt.Commentf("%d calls lost", lost))
	qt.Check(t, usedAfter > 0, qt.IsTrue)
}

// TestSilentDataCentreIsUsedAsLastResort offers only targets in a silent data
// centre: sending there is better than failing at once.
func TestSilentDataCentreIsUsedAsLastResort(t *testing.T) {
	f := newCutFleet(0, time.Hour)
	f.members = f.members[:1]
	for now := time.Duration(0); now < time.Second; now += callInterval {
		f.finish(now)
		qt.Assert(t, f.send(now), qt.Equals, "cut")
		f.clock.Advance(callInterval)
	}
}

// TestSlowAnswersAreNoSilence sends long calls, each once the one before has been
// answered. A call that lasts as long as usual must not make its data centre silent,
// neither at first nor later: the next calls, sent before the answer, may go there.
func TestSlowAnswersAreNoSilence(t *testing.T) {
	f := newCutFleet(time.Hour, time.Hour)
	// The other data centre has no target with free slots, so that it is not chosen
	// unless the first one is avoided.
	f.members[1].State = control.State_STATE_SUSPECT
	const long = 500 * time.Millisecond
	for i := range 100 {
		first := f.router.Choose(f.members, nil)
		f.clock.Advance(long)
		// Were the data centre silent, one of the next two could go there as a probe.
		tried := map[string]bool{"other-1": true}
		second, third := f.router.Choose(f.members, tried), f.router.Choose(f.members, tried)
		qt.Assert(t, second.Instance, qt.Equals, "cut-1", qt.Commentf("call %d", i))
		qt.Assert(t, third.Instance, qt.Equals, "cut-1", qt.Commentf("call %d", i))
		for _, e := range []*control.Entry{first, second, third} {
			f.router.RecordAnswer(e.Instance, long)
			f.router.RecordResult(e.Instance, router.Succeeded, long)
		}
		f.clock.Advance(time.Second)
	}
}
