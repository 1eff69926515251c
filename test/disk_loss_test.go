package test

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAcknowledgedChangeIsLostWithTwoDisks guards against an acknowledged change
// that is lost with two disks. The fleet is founded by three replicas and must
// tolerate the loss of two disks. The test kills all nodes right after a change is
// acknowledged, wipes two disks and restarts the nodes: the change must be in force
// on every node, and a further change must be accepted.
func TestAcknowledgedChangeIsLostWithTwoDisks(t *testing.T) {
	for round, lost := range [][]string{{"a", "b"}, {"b", "c"}} {
		t.Run(fmt.Sprint(round), func(t *testing.T) { checkLostDisks(t, lost) })
	}
}

func checkLostDisks(t *testing.T, lost []string) {
	f := newFleet(t)
	for i, name := range []string{"a", "b", "c", "d", "e", "g"} {
		n := f.add(name, []string{"east", "west", "north"}[i%3], true)
		n.joinsLater = i >= 3
		n.extraSettings = map[string]any{"heal": true, "tolerance": 2}
	}
	f.start()
	admin := f.nodes["g"]
	f.waitUntil("the node has a configuration", func() bool { return admin.metric("version") > 0 })
	f.waitUntil("a change is acknowledged", func() bool {
		_, code := admin.primrose("confirm", admin.plan(declarationWithRate(1000)))
		return code == 0
	})
	acknowledged := admin.metric("version")
	for _, n := range f.nodes {
		f.kill(n.daemon)
	}
	for _, name := range lost {
		f.Assert(os.RemoveAll(f.path(name+".data")), qt.IsNil)
	}
	for _, name := range f.names {
		n := f.nodes[name]
		n.extraSettings["found"] = false
		n.startDaemon()
	}
	f.waitUntil("every node has the acknowledged change", func() bool {
		for _, n := range f.nodes {
			if n.metric("version") < acknowledged {
				return false
			}
		}
		return true
	})
	out, code := admin.primrose("show")
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "1000")
	f.waitUntil("a further change is accepted", func() bool {
		_, code := admin.primrose("confirm", admin.plan(declarationWithRate(2000)))
		return code == 0
	})
}
