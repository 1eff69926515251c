package admitter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// TestBegunRequestsComeFirst checks that with UseDownstreamFirst a call of the lowest rank is
// served before a request of the highest rank that has not begun, and without it after.
func TestBegunRequestsComeFirst(t *testing.T) {
	for _, begunFirst := range []bool{false, true} {
		q := queue{downstreamFirst: begunFirst}
		q.push(&waiter{team: "a", priority: NewPriority(15, false, 0)})
		q.push(&waiter{team: "b", priority: NewPriority(1, true, 0)})
		first := q.pop(func(string) float64 { return 0.01 }, 0.01)
		qt.Check(t, first.team == "b", qt.Equals, begunFirst)
	}
}

// TestArrivalsScanFullQueue guards against arrivals that cost the more the more requests wait,
// which is when the processor is needed: a rejection must not allocate more with 32 times as
// many waiting.
func TestArrivalsScanFullQueue(t *testing.T) {
	allocated := func(limit int) float64 {
		var a *Admitter
		result := 0.0
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			a = New(timekeeper.RuntimeClock{}, Static{})
			a.SetSlots(limit, 0)
			a.serviceSeconds = 60
			for range a.limit {
				_, err := a.Admit(ctx, "", NewPriority(10, true, 0))
				qt.Assert(t, err, qt.IsNil)
			}
			var waiting sync.WaitGroup
			for range a.limit * queueFactor {
				waiting.Go(func() { _, _ = a.Admit(ctx, "", NewPriority(10, true, 1<<24)) })
			}
			synctest.Wait()
			var overload *OverloadError
			result = testing.AllocsPerRun(100, func() {
				_, err := a.Admit(ctx, "", NewPriority(9, true, 0))
				qt.Assert(t, errors.As(err, &overload), qt.IsTrue)
			})
			cancel()
			waiting.Wait()
		})
		return result
	}
	qt.Assert(t, allocated(256) <= allocated(8), qt.IsTrue, qt.Commentf("%v, %v", allocated(256), allocated(8)))
}
