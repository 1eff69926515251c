package admitter

import (
	"testing"

	qt "github.com/frankban/quicktest"
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
