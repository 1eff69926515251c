package test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// nodesWithoutDisk is the number of nodes in addition to the three replicas.
	nodesWithoutDisk = 17
	// maxSpreadTime is the guaranteed time until a confirmed version is in force on
	// every node.
	maxSpreadTime = 2 * time.Second
	// maxChanges is the number of changes that are confirmed until a node has frozen.
	// Which nodes the others fetch a version from is drawn, and now and then it is none
	// of the three.
	maxChanges = 5
)

// TestVersionSpreadsDespiteFrozenNodes confirms a change while three nodes advertise
// the new version but freeze as soon as another node fetches it from them. The other
// nodes must still get the version in time. It is repeated until at least one node has
// frozen, without which the test would show nothing.
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
	f.waitUntil("every node has a configuration", func() bool {
		return !slices.ContainsFunc(others, func(n *node) bool { return n.metric("version") < 1 })
	})
	a := f.nodes["a"]
	f.armFault()
	frozen := 0
	for change := 1; frozen == 0 && change <= maxChanges; change++ {
		out, code := a.primrose("confirm", a.plan(declarationWithRate(change)))
		f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
		time.Sleep(maxSpreadTime)
		for i, n := range others {
			version := n.metric("version")
			if i%6 == 0 && version < 0 {
				frozen++
				continue
			}
			f.Check(version, qt.Equals, float64(1+change), qt.Commentf("%s", n.name))
		}
	}
	f.Check(frozen > 0, qt.IsTrue)
}
