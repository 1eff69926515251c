package forwarder

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRateWaitWithinObjective checks that the jittered delay for a caller whose team is
// far over its rate is at most half of the objective.
func TestRateWaitWithinObjective(t *testing.T) {
	const objective = 800 * time.Millisecond
	r := refuse(http.StatusTooManyRequests, ReasonRate, capRateWait(3*time.Second, objective), "")
	for range 100 {
		qt.Assert(t, r.JitteredWait() <= objective/2, qt.IsTrue)
	}
	qt.Assert(t, capRateWait(40*time.Millisecond, objective), qt.Equals, 40*time.Millisecond)
	// Without an objective the delay is not bounded.
	qt.Assert(t, capRateWait(3*time.Second, 0), qt.Equals, 3*time.Second)
}
