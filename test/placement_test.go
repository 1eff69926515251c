package test

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPlacementByFinish checks that nodes with the setting place requests and log why,
// that an entry node whose data centre has no target of the service counts what leaves,
// and that a caller does not get the header for entry nodes.
func TestPlacementByFinish(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "east", true, "-service", "front", "-next", "/back/deep")
	c := f.add("c", "west", false, "-service", "back")
	for _, n := range f.nodes {
		n.extraSettings = map[string]any{"placement": "finish"}
	}
	f.start()
	a.declare(twoServicesDeclaration)
	f.waitUntil("both nodes serve", func() bool {
		return a.send("GET", "/open", nil, nil).status == 200 && c.send("GET", "/open", nil, nil).status == 200
	})
	got := a.send("GET", "/open", nil, nil)
	qt.Assert(t, got.status, qt.Equals, 200)
	qt.Assert(t, got.header.Get("Primrose-Work"), qt.Equals, "")
	qt.Assert(t, a.metric("left_absent") > 0 || c.metric("left_absent") > 0, qt.IsTrue)
	for _, cause := range []string{"home", "absent"} {
		f.waitUntil("a line with placed="+cause, func() bool {
			for _, n := range f.nodes {
				log, err := os.ReadFile(f.path(n.name + ".log"))
				qt.Assert(t, err, qt.IsNil)
				if regexp.MustCompile(`msg=request .* at=\w+ .*placed=` + cause).Match(log) {
					return true
				}
			}
			return false
		})
	}
}
