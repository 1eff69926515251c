package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReserveFitsTheTolerance adds up what all nodes may admit without holders.
func TestReservesFitTolerance(t *testing.T) {
	limit := Allocation{Rate: 94, Burst: 94}
	const nodes = 16
	reserve := NewReserve(limit, 5*time.Second, 0.1, 20, nodes)
	qt.Assert(t, reserve.Rate*5+reserve.Capacity > 0.5*5+1, qt.IsTrue)
	qt.Assert(t, nodes*(reserve.Rate*5+reserve.Capacity) <= (94*5+94)*0.1+20+1e-9, qt.IsTrue)
	// A whole request does not fit the part of so many nodes.
	qt.Assert(t, NewReserve(limit, 5*time.Second, 0.1, 20, 100), qt.Equals, Reserve{})
}
