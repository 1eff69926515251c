package test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPoisonedRequestStops sends a request that crashes each target that runs
// it, again and again, while targets are restarted: after its second crash it
// is refused for good on every node, and others are served.
func TestPoisonedRequestStops(t *testing.T) {
	f, a, b, c := threeNodes(t)
	key, _ := a.giveKey("acme")
	f.first(a, "/back", key)
	crashes := 0
	f.until("the request is refused for good on every node", func() bool {
		refused := 0
		for _, n := range []*node{a, b, c} {
			got := n.ask("GET", "/back/crash", nil, bearer(key))
			if got.status == 422 && got.header.Get("Primrose-Reason") == "poison" {
				refused++
			}
		}
		for _, n := range []*node{b, c} {
			if n.ended() {
				crashes++
				n.startTarget()
			}
		}
		return refused == 3
	})
	// Two crashes bar it; one more may be under way on the other target.
	f.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	f.until("others are served", func() bool {
		return a.ask("GET", "/back/good", nil, bearer(key)).status == 200 && c.ask("GET", "/back/good", nil, bearer(key)).status == 200
	})
}
