package test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestartForgetsAcknowledgedDeparture guards against a node that acknowledges that
// its target leaves, restarts, and takes a report of readiness of the same life. The next
// life of the target is used.
func TestRestartForgetsAcknowledgedDeparture(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		f := newLimitedFleet(t, s, 10*time.Millisecond)
		end := f.load(100)
		// The target goes on saying that it is ready, as reports under way would.
		f.announce(t, s, true)
		acknowledged := time.Now()
		for range 2 {
			f.restartNode(t)
			time.Sleep(leavingDrain)
		}
		got := countBetween(f.target.arrivedTimes(), acknowledged.Add(leavingDrain), time.Now())
		end()
		qt.Check(t, got, qt.Equals, 0)
		f.starts.Add(1)
		for _, e := range f.entries {
			f.sendUntil(t, func() *http.Request { return s.request(e, "/open/x", "") }, hasStatus(http.StatusOK))
		}
	})
}

// takenAgainBound is two reports, at the interval at which targets report.
const takenAgainBound = 3 * time.Second

// TestForeignReportStarvesTarget guards against one announcement of another writer that
// keeps the own target out of use: no setting names the service here, so only the next
// reports of the target can tell.
func TestForeignReportStarvesTarget(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		f := newLimitedFleet(t, s, 10*time.Millisecond)
		response, err := http.DefaultClient.Do(s.foreign(f.interfaceFleet))
		qt.Assert(t, err, qt.IsNil)
		response.Body.Close()
		time.Sleep(takenAgainBound)
		for _, e := range f.entries {
			response, err := http.DefaultClient.Do(s.request(e, "/open/x", ""))
			qt.Assert(t, err, qt.IsNil)
			response.Body.Close()
			qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
		}
	})
}
