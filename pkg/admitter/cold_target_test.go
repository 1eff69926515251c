package admitter_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// firstDeployment allows 5.4 x 1.5 + 8 = 16.1 requests in any second.
var firstDeployment = pacer.ColdBound{Rate: 5.4, Ratio: 1.5, Slack: 8}

// newColdAdmitter returns an admitter of a target with 50 slots that is warm, on a node
// that has been running for longer than the bound looks back.
func newColdAdmitter() *admitter.Admitter {
	a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
	a.SetColdBound(firstDeployment)
	time.Sleep(2 * time.Second)
	a.SetSlots(50, 0)
	a.ReportCold(0, true)
	return a
}

// reportEvery reports every 1.5 s that the target stays cold until a time.
func reportEvery(a *admitter.Admitter, until time.Time, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(1500 * time.Millisecond) {
		a.ReportCold(time.Until(until), true)
	}
}

// TestColdTargetServesWhatItCan sends three to ten times the bound at a target that
// starts cold: never more than the bound in any second, 0.8 of it is used, important
// requests come first, and the rest is told when to return.
func TestColdTargetServesWhatItCan(t *testing.T) {
	for _, load := range []float64{45, 150} {
		synctest.Test(t, func(t *testing.T) {
			a := newColdAdmitter()
			urgent := &stream{team: "a", rank: important, rate: 6, takes: 80 * time.Millisecond, admitter: a}
			rest := &stream{team: "b", rank: ordinary, rate: load, takes: 80 * time.Millisecond, admitter: a}
			const length = 15 * time.Second
			var running sync.WaitGroup
			running.Go(func() { reportEvery(a, time.Now().Add(time.Minute), length) })
			synctest.Wait()
			for _, s := range []*stream{urgent, rest} {
				running.Go(func() { s.run(length) })
			}
			running.Wait()
			most := mostWithin(append(urgent.begun, rest.begun...), time.Second)
			qt.Check(t, most <= 16, qt.IsTrue, qt.Commentf("load %v: %d in a second", load, most))
			begun := len(urgent.begun) + len(rest.begun)
			qt.Check(t, float64(begun) >= 0.8*16.1*length.Seconds(), qt.IsTrue, qt.Commentf("load %v: %d begun", load, begun))
			offered := len(urgent.begun) + urgent.paced
			qt.Check(t, float64(urgent.paced) < 0.1*float64(offered), qt.IsTrue, qt.Commentf("load %v: %d of %d rejected", load, urgent.paced, offered))
			qt.Check(t, urgent.other+rest.other, qt.Equals, 0)
			time.Sleep(2 * time.Second)
		})
	}
}

// TestTargetTurnsColdUnderLoad guards against requests that are already queued when the
// target turns cold and pass the bound, and against a target that is not used in full
// within a second of the end.
func TestTargetTurnsColdUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newColdAdmitter()
		s := &stream{team: "a", rank: ordinary, rate: 600, takes: 100 * time.Millisecond, admitter: a}
		var running sync.WaitGroup
		running.Go(func() { s.run(12 * time.Second) })
		start := time.Now()
		running.Go(func() { reportEvery(a, start, 2*time.Second) })
		time.Sleep(3 * time.Second)
		qt.Check(t, a.Load().Queued > 0, qt.IsTrue)
		turned := time.Now()
		until := turned.Add(4 * time.Second)
		running.Go(func() { reportEvery(a, until, 8*time.Second) })
		running.Wait()
		var cold, warm []time.Time
		for _, at := range s.begun {
			switch {
			case at.After(turned) && at.Before(until):
				cold = append(cold, at)
			case !at.Before(until) && at.Before(until.Add(2*time.Second)):
				warm = append(warm, at)
			}
		}
		qt.Check(t, mostWithin(cold, time.Second) <= 16, qt.IsTrue, qt.Commentf("%d", mostWithin(cold, time.Second)))
		// The requests of the last second while it was warm count as well.
		qt.Check(t, len(cold) >= 3*13, qt.IsTrue, qt.Commentf("%d", len(cold)))
		// 47 slots of 100 ms each.
		qt.Check(t, len(warm) >= 850, qt.IsTrue, qt.Commentf("%d", len(warm)))
		time.Sleep(2 * time.Second)
	})
}

// TestNothingBeginsBeforeFirstReport guards against waiters that reach a new life of
// the target which has not reported, and against waiters that miss its report.
func TestNothingBeginsBeforeFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newColdAdmitter()
		a.CloseTarget()
		done := make(chan result, 1)
		request := &admission{a, 0, "team", done}
		go request.run()
		synctest.Wait()
		qt.Assert(t, a.Load().Queued, qt.Equals, 1)
		qt.Assert(t, a.Load().Cold, qt.Equals, pacer.ColdUnknown)
		time.Sleep(50 * time.Millisecond)
		a.ReportCold(3*time.Second, true)
		synctest.Wait()
		qt.Assert(t, (<-done).err, qt.IsNil)
		time.Sleep(2 * time.Second)
	})
}

// TestMisdirectedRequestFreesItsPlace guards against a bound that is used up by requests
// that another process answered, and against waiters that aren't told.
func TestMisdirectedRequestFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newColdAdmitter()
		a.ReportCold(time.Minute, true)
		var tickets []*admitter.Ticket
		for len(tickets) < 16 {
			ticket, err := a.Admit(context.Background(), "team", 0)
			qt.Assert(t, err, qt.IsNil)
			tickets = append(tickets, ticket)
		}
		for _, ticket := range tickets {
			ticket.Release()
			ticket.Done(0, false)
		}
		began := time.Now()
		for range 8 {
			_, err := a.Admit(context.Background(), "team", 0)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, time.Since(began) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		time.Sleep(2 * time.Second)
	})
}

// TestColdRefusalSaysSo guards against a refusal that names another cause than the cold
// target, or a time to return at which nothing can begin.
func TestColdRefusalSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newColdAdmitter()
		a.SetColdBound(pacer.ColdBound{Rate: 1, Ratio: 1})
		a.ReportCold(time.Minute, true)
		_, err := a.Admit(context.Background(), "team", 0)
		qt.Assert(t, err, qt.IsNil)
		_, err = a.Admit(context.Background(), "team", 0)
		var paced *admitter.PacedError
		qt.Assert(t, errors.As(err, &paced), qt.IsTrue)
		qt.Check(t, paced.Cold, qt.Equals, pacer.ColdReported)
		qt.Check(t, paced.Error(), qt.Contains, "the target is cold (report)")
		time.Sleep(paced.Wait)
		_, err = a.Admit(context.Background(), "team", 0)
		qt.Check(t, err, qt.IsNil)
		time.Sleep(2 * time.Second)
	})
}

// TestSuspendedNodeDeliversTogether guards against requests that began before the process
// was suspended and reach a cold target together with later ones.
func TestSuspendedNodeDeliversTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newColdAdmitter()
		a.SetColdBound(pacer.ColdBound{Rate: 1, Ratio: 1})
		a.ReportCold(time.Minute, true)
		ticket, err := a.Admit(context.Background(), "team", 0)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(pacer.DeliveryMargin)
		qt.Check(t, ticket.CheckDelay(), qt.IsNil)
		time.Sleep(time.Millisecond)
		var paced *admitter.PacedError
		qt.Assert(t, errors.As(ticket.CheckDelay(), &paced), qt.IsTrue)
		ticket.Done(0, false)
		// Its place is free.
		_, err = a.Admit(context.Background(), "team", 0)
		qt.Check(t, err, qt.IsNil)
		a.ReportCold(0, true)
		qt.Check(t, ticket.CheckDelay(), qt.IsNil)
		time.Sleep(2 * time.Second)
	})
}

// TestTargetIsColdAfterDrain guards against a target that turned cold shortly before the
// end of a drain, and gets more than its bound until its next report.
func TestTargetIsColdAfterDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newColdAdmitter()
		a.SetDrained(true)
		time.Sleep(time.Second)
		a.SetDrained(false)
		reason, _ := a.Cold()
		qt.Check(t, reason, qt.Equals, pacer.ColdIdle)
		a.ReportCold(0, true)
		reason, _ = a.Cold()
		qt.Check(t, reason, qt.Equals, pacer.Warm)
	})
}
