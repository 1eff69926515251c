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

// TestSlowLocalTargetIsReplaced slows the only target of the node's data centre down
// to a tenth of its speed for a while. Of the calls after the first ten slow answers,
// those to the slow target may be no more than probes. Before it, and from a second
// after it, at least 19 of 20 calls must stay in the data centre.
func TestSlowLocalTargetIsReplaced(t *testing.T) {
	const (
		work, slowWork       = 30 * time.Millisecond, 300 * time.Millisecond
		slowAt, fastAt       = 5 * time.Second, 15 * time.Second
		interval, length     = 10 * time.Millisecond, 25 * time.Second
		noticedAt, settledAt = slowAt + slowWork + 10*interval, fastAt + time.Second + slowWork
		probesPerSecond      = 10
	)
	clock := &timekeeper.Manual{}
	f := &cutFleet{clock: clock, router: router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))}
	for _, centre := range []string{"near", "far"} {
		f.members = append(f.members, &control.Entry{Instance: centre + "-1", Centre: centre, Slots: 100, State: control.State_STATE_ALIVE})
	}
	slow, calm, calmLocal := 0, 0, 0
	for now := time.Duration(0); now < length; now += interval {
		f.finish(now)
		e := f.router.Choose(f.members, nil)
		c := pendingCall{instance: e.Instance, sent: now, ends: now + work, result: router.Succeeded, answered: true}
		local := e.Centre == "near"
		if local && now >= slowAt && now < fastAt {
			c.ends = now + slowWork
		}
		f.pending = append(f.pending, c)
		switch {
		case local && now >= noticedAt && now < fastAt:
			slow++
		case now < slowAt || now >= settledAt:
			calm++
			if local {
				calmLocal++
			}
		}
		clock.Advance(interval)
	}
	qt.Check(t, slow <= int((fastAt-noticedAt).Seconds()*probesPerSecond)+1, qt.IsTrue, qt.Commentf("%d calls to the slow target", slow))
	qt.Check(t, calmLocal*20 >= calm*19, qt.IsTrue, qt.Commentf("%d of %d calls stayed", calmLocal, calm))
}
