package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReserveFitsTheTolerance adds up what all nodes may admit without holders.
func TestReserveFitsTheTolerance(t *testing.T) {
	limit := Allocation{Rate: 94, Burst: 94}
	const nodes = 16
	each := NewReserve(limit, 5*time.Second, 0.1, 20, nodes)
	qt.Assert(t, each.Rate*5+each.Saved > 0.5*5+1, qt.IsTrue)
	qt.Assert(t, nodes*(each.Rate*5+each.Saved) <= (94*5+94)*0.1+20+1e-9, qt.IsTrue)
	// A whole request does not fit the part of so many nodes.
	qt.Assert(t, NewReserve(limit, 5*time.Second, 0.1, 20, 100), qt.Equals, Reserve{})
}
