package forwarder

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReturnsWithinTheObjective bounds the latest return of a caller whose team
// is far over its rate, as spread over its answers.
func TestRateWaitWithinObjective(t *testing.T) {
	const objective = 800 * time.Millisecond
	r := refuse(http.StatusTooManyRequests, ReasonRate, capRateWait(3*time.Second, objective), "")
	for range 100 {
		qt.Assert(t, r.JitteredWait() <= objective/2, qt.IsTrue)
	}
	qt.Assert(t, capRateWait(40*time.Millisecond, objective), qt.Equals, 40*time.Millisecond)
	// A route without an objective bounds nothing.
	qt.Assert(t, capRateWait(3*time.Second, 0), qt.Equals, 3*time.Second)
}
