package admitter

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// TestStopReleasesWaiters guards against requests that wait until the process that has to
// answer them has ended, and against waits that are given up while a run would still end in
// time, or that belong to another sender.
func TestStopReleasesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stopping, other = 1, 2
		a := New(timekeeper.RuntimeClock{}, Static{})
		a.SetSlots(1, -1)
		first, err := a.Admit(context.Background(), "team", 0)
		qt.Assert(t, err, qt.IsNil)
		a.serviceSeconds = 2
		results := map[uint64]chan error{stopping: make(chan error, 1), other: make(chan error, 1)}
		for sender, result := range results {
			go func() {
				_, err := a.AdmitRequest(context.Background(), Request{Team: "team", Weight: 1, Sender: sender})
				result <- err
			}()
		}
		synctest.Wait()
		qt.Assert(t, a.Release(stopping, 2100*time.Millisecond), qt.Equals, 0)
		qt.Assert(t, a.Release(stopping, 2*time.Second), qt.Equals, 1)
		var released *ReleasedError
		qt.Assert(t, errors.As(<-results[stopping], &released), qt.IsTrue)
		qt.Assert(t, released.Left, qt.Equals, 2*time.Second)
		qt.Assert(t, a.Load().Queued, qt.Equals, 1)
		first.Done(0, false)
		qt.Assert(t, <-results[other], qt.IsNil)
		qt.Assert(t, a.Release(0, 0), qt.Equals, 0)
	})
}
