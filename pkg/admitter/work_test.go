package admitter_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// TestWorkTellsMeanTime checks that the mean time in the target is unknown while the
// target is new or was idle, right from the first request on, and follows a target
// that turns three times slower within a second of requests.
func TestWorkTellsMeanTime(t *testing.T) {
	const work, slow = 40 * time.Millisecond, 120 * time.Millisecond
	clock := &timekeeper.Manual{}
	a := admitter.New(clock, admitter.Static{})
	a.SetSlots(100, 0)
	run := func(took time.Duration) {
		ticket, err := a.Admit(context.Background(), "team", admitter.NewPriority(0, false, 0))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.Work().Running, qt.Equals, 1)
		clock.Advance(took)
		ticket.Done(0, false)
	}
	qt.Assert(t, a.Work(), qt.Equals, admitter.Work{Limit: 94})
	run(work)
	qt.Assert(t, a.Work().Time, qt.Equals, work)
	for range 10 {
		run(slow)
	}
	qt.Assert(t, a.Work().Time > (work+2*slow)/3, qt.IsTrue, qt.Commentf("%v", a.Work().Time))
	clock.Advance(6 * time.Second)
	qt.Assert(t, a.Work().Time, qt.Equals, time.Duration(0))
	run(work)
	qt.Assert(t, a.Work().Time, qt.Equals, work)
	a.SetSlots(100, 0)
	qt.Assert(t, a.Work().Time, qt.Equals, time.Duration(0))
}

// TestFailuresAtOnceAreNotFast checks that requests that a target fails at once don't
// make it look fast, which would attract more of them, and that slow failures count.
func TestFailuresAtOnceAreNotFast(t *testing.T) {
	clock := &timekeeper.Manual{}
	a := admitter.New(clock, admitter.Static{})
	a.SetSlots(100, 0)
	run := func(took time.Duration, failed bool) {
		ticket, err := a.Admit(context.Background(), "team", admitter.NewPriority(0, false, 0))
		qt.Assert(t, err, qt.IsNil)
		clock.Advance(took)
		if failed {
			ticket.MarkFailed()
		}
		ticket.Done(0, false)
	}
	run(40*time.Millisecond, false)
	for range 20 {
		run(time.Millisecond, true)
	}
	qt.Assert(t, a.Work().Time, qt.Equals, 40*time.Millisecond)
	run(time.Second, true)
	qt.Assert(t, a.Work().Time > 40*time.Millisecond, qt.IsTrue)
}
