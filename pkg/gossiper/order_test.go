package gossiper

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewall/primrosewall/proto/control"
)

// drawEntry draws an entry from few values, so that two entries often agree in
// some of them.
func drawEntry(t *rapid.T, name string) *control.Entry {
	return &control.Entry{
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, name+" incarnation"),
		Stamp:       rapid.Uint64Range(0, 2).Draw(t, name+" stamp"),
		State: rapid.SampledFrom([]control.State{
			control.State_STATE_ALIVE, control.State_STATE_SUSPECT, control.State_STATE_LEAVING, control.State_STATE_DEAD,
		}).Draw(t, name+" state"),
	}
}

// TestSupersedesIsPartialOrder checks that supersedes is antisymmetric and
// transitive: all nodes must end with the same entry of a member, in whatever
// order they receive its entries.
func TestSupersedesIsPartialOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, "a"), drawEntry(t, "b"), drawEntry(t, "c")
		if supersedes(a, b) && supersedes(b, a) {
			t.Fatal("two entries supersede each other")
		}
		if supersedes(a, b) && supersedes(b, c) && !supersedes(a, c) {
			t.Fatal("the order is not transitive")
		}
	})
}
