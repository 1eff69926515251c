package test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// versionNodes are beside the three replicas.
	nodesWithoutDisk = 17
	// inForceMost is the promise for a confirmed version.
	maxSpreadTime = 2 * time.Second
)

// TestTellersOfAVersionFreeze confirms a change while three processes freeze as
// soon as one of those that they have told asks them for it.
func TestVersionSpreadsDespiteFrozenNodes(t *testing.T) {
	f := newFleet(t)
	for _, name := range []string{"a", "b", "c"} {
		f.add(name, "east", true)
	}
	var others []*node
	for i := range nodesWithoutDisk {
		n := f.add(fmt.Sprint("n", i), "east", false)
		if i%6 == 0 {
			n.fault = "fetch-asked=freeze"
		}
		others = append(others, n)
	}
	f.start()
	f.waitUntil("every node knows the replicas", func() bool {
		return !slices.ContainsFunc(others, func(n *node) bool { return n.metric("version") < 1 })
	})
	a := f.nodes["a"]
	f.armFault()
	out, code := a.primrose("confirm", a.plan(declarationWithRate(1)))
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	time.Sleep(maxSpreadTime)
	frozen := 0
	for i, n := range others {
		version := n.metric("version")
		if i%6 == 0 && version < 0 {
			frozen++
			continue
		}
		f.Check(version, qt.Equals, float64(2), qt.Commentf("%s", n.name))
	}
	f.Check(frozen > 0, qt.IsTrue)
}
