package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReservesFitTolerance checks that the reserve of each node admits several
// requests, and that the reserves of all nodes together stay within the tolerance
// of the limit.
func TestReservesFitTolerance(t *testing.T) {
	limit := Allocation{Rate: 94, Burst: 94}
	const nodes = 16
	reserve := NewReserve(limit, 5*time.Second, 0.1, 20, nodes)
	qt.Assert(t, reserve.Rate*5+reserve.Capacity > 0.5*5+1, qt.IsTrue)
	qt.Assert(t, nodes*(reserve.Rate*5+reserve.Capacity) <= (94*5+94)*0.1+20+1e-9, qt.IsTrue)
	// With so many nodes the share of each is less than one request.
	qt.Assert(t, NewReserve(limit, 5*time.Second, 0.1, 20, 100), qt.Equals, Reserve{})
}
