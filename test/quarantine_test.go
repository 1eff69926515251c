package test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPoisonedRequestStops sends a request that crashes each target that runs
// it, again and again, while targets are restarted: after its second crash it
// is refused for good on every node, and others are served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f, a, b, c := newThreeNodeFleet(t)
	key, _ := a.issueKey("acme")
	f.waitForTokens(a, "/back", key)
	crashes := 0
	f.waitUntil("the request is refused for good on every node", func() bool {
		quarantined := 0
		for _, n := range []*node{a, b, c} {
			got := n.send("GET", "/back/crash", nil, bearerHeader(key))
			if got.status == 422 && got.header.Get("Primrose-Reason") == "poison" {
				quarantined++
			}
		}
		for _, n := range []*node{b, c} {
			if n.targetEnded() {
				crashes++
				n.startTarget()
			}
		}
		return quarantined == 3
	})
	// Two crashes bar it; one more may be under way on the other target.
	f.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	f.waitUntil("others are served", func() bool {
		return a.send("GET", "/back/good", nil, bearerHeader(key)).status == 200 && c.send("GET", "/back/good", nil, bearerHeader(key)).status == 200
	})
}
