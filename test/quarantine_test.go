package test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCrashingRequestIsQuarantined repeats a request that crashes its target while
// crashed targets are restarted. After its second crash every node must reject the
// request permanently, and other requests must be served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f, a, b, c := newThreeNodeFleet(t)
	key, _ := a.issueKey("acme")
	f.waitForTokens(a, "/back", key)
	crashes := 0
	f.waitUntil("every node rejects the request permanently", func() bool {
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
	// Two crashes quarantine the request; a third may already be under way on the
	// other target.
	f.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	f.waitUntil("other requests are served", func() bool {
		return a.send("GET", "/back/good", nil, bearerHeader(key)).status == 200 && c.send("GET", "/back/good", nil, bearerHeader(key)).status == 200
	})
}
