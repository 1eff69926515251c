package admitter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// TestDrainReleasesWaiters guards against a waiter that gets a slot after the order,
// when a running request ends, and against an admitter that stays closed after the end.
func TestDrainReleasesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
		a.SetSlots(2, 0)
		var running []*admitter.Ticket
		for range 2 {
			ticket, err := a.Admit(context.Background(), "acme", 0)
			qt.Assert(t, err, qt.IsNil)
			running = append(running, ticket)
		}
		results := make(chan error, 3)
		admit := func(p admitter.Priority) {
			_, err := a.Admit(context.Background(), "acme", p)
			results <- err
		}
		for rank := range uint32(3) {
			go admit(admitter.NewPriority(rank, rank == 2, 7))
		}
		synctest.Wait()
		began := time.Now()
		qt.Check(t, a.SetDrained(true), qt.Equals, 3)
		running[0].Done(0, false)
		var drained *admitter.DrainedError
		for range 3 {
			qt.Check(t, errors.As(<-results, &drained), qt.IsTrue)
		}
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
		qt.Check(t, a.Load().Inflight, qt.Equals, 1)
		admit(0)
		qt.Check(t, errors.As(<-results, &drained), qt.IsTrue)
		a.SetDrained(false)
		admit(0)
		qt.Check(t, <-results, qt.IsNil)
		running[1].Done(0, false)
	})
}
