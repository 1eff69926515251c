package test

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAcknowledgedChangeIsLostWithTwoDisks has a fleet that was founded by
// three replicas and has to bear two lost disks. It wipes two disks right after
// a change was acknowledged, while all nodes are killed.
func TestAcknowledgedChangeIsLostWithTwoDisks(t *testing.T) {
	for round, lost := range [][]string{{"a", "b"}, {"b", "c"}} {
		t.Run(fmt.Sprint(round), func(t *testing.T) { loseDisks(t, lost) })
	}
}

func loseDisks(t *testing.T, lost []string) {
	f := newFleet(t)
	for i, name := range []string{"a", "b", "c", "d", "e", "g"} {
		n := f.add(name, []string{"east", "west", "north"}[i%3], true)
		n.spare = i >= 3
		n.extra = map[string]any{"heal": true, "tolerance": 2}
	}
	f.start()
	a := f.nodes["g"]
	f.until("the node knows the replicas", func() bool { return a.metric("version") > 0 })
	f.until("a change is acknowledged", func() bool {
		_, code := a.primrose("confirm", a.plan(withRate(1000)))
		return code == 0
	})
	acked := a.metric("version")
	for _, n := range f.nodes {
		f.kill(n.daemon)
	}
	for _, name := range lost {
		f.Assert(os.RemoveAll(f.path(name+".data")), qt.IsNil)
	}
	for _, name := range f.order {
		n := f.nodes[name]
		n.extra["found"] = false
		n.startDaemon()
	}
	f.until("every node has the acknowledged change", func() bool {
		for _, n := range f.nodes {
			if n.metric("version") < acked {
				return false
			}
		}
		return true
	})
	out, code := a.primrose("show")
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "1000")
	f.until("a further change is accepted", func() bool {
		_, code := a.primrose("confirm", a.plan(withRate(2000)))
		return code == 0
	})
}
