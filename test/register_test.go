package test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newThreeReplicaFleet starts three replicas, a, b and c, and one node without a
// data folder, d.
func newThreeReplicaFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.add("a", "east", true)
	f.add("b", "east", true)
	f.add("c", "west", true)
	f.add("d", "west", false)
	f.start()
	for _, n := range f.nodes {
		f.waitUntil("every node has the founding version", func() bool { return n.metric("version") == 1 })
	}
	return f
}

// declarationWithRate returns a declaration whose one team has the given rate.
func declarationWithRate(rate int) string {
	return fmt.Sprintf(`{"centres": {"east": {"witnesses": ["a"]}}, "teams": {"acme": {"keys": [], "rate": %d, "burst": 10}}, "routes": []}`, rate)
}

// identityOf returns the identity of the other node's data folder, read from the
// output of the verb status.
func (n *node) identityOf(other *node) string {
	out, code := n.primrose("status")
	n.fleet.Assert(code, qt.Equals, 0)
	for _, line := range strings.Split(out, "\n") {
		words := strings.Fields(line)
		if len(words) > 6 && words[1] == other.name {
			return words[len(words)-1]
		}
	}
	n.fleet.Fatalf("no replica %s in %s", other.name, out)
	return ""
}

// TestConcurrentConfirmations confirms plans with the same base version on several
// nodes at once. One succeeds; the others fail and name the operator and version
// that came first. A repeated confirmation of the successful plan gets the first
// answer again.
func TestConcurrentConfirmations(t *testing.T) {
	f := newThreeReplicaFleet(t)
	for round := range 5 {
		var ids []string
		for i, name := range f.names {
			ids = append(ids, f.nodes[name].plan(declarationWithRate(1000*(round+1)+i)))
		}
		outs, codes := f.confirmAll(ids)
		won := 0
		for i, code := range codes {
			if code == 0 {
				won++
				again, code := f.nodes[f.names[(i+1)%len(ids)]].primrose("confirm", ids[i])
				f.Assert(code, qt.Equals, 0)
				f.Assert(again, qt.Contains, fmt.Sprintf("version %d holds this change already", round+2))
				continue
			}
			f.Assert(code, qt.Equals, 3, qt.Commentf("%s", outs[i]))
			f.Assert(outs[i], qt.Contains, fmt.Sprintf("tester (unverified) made version %d", round+2))
		}
		f.Assert(won, qt.Equals, 1, qt.Commentf("%v", outs))
		f.waitForVersion(f.nodes["a"])
		f.waitForVersion(f.nodes["d"])
	}
}

// confirmAll confirms all plans at once, each on a different node, and returns the
// outputs and exit codes.
func (f *fleet) confirmAll(ids []string) ([]string, []int) {
	outs, codes := make([]string, len(ids)), make([]int, len(ids))
	var group sync.WaitGroup
	for i, name := range f.names {
		c := &confirmation{node: f.nodes[name], id: ids[i], out: &outs[i], code: &codes[i], group: &group}
		group.Add(1)
		go c.run()
	}
	group.Wait()
	return outs, codes
}

type confirmation struct {
	node  *node
	id    string
	out   *string
	code  *int
	group *sync.WaitGroup
}

func (c *confirmation) run() {
	defer c.group.Done()
	*c.out, *c.code = c.node.primrose("confirm", c.id)
}

// TestRestartAfterHundredsOfChanges makes changes through different nodes while one
// replica is down, then kills and restarts all nodes. All must get the last version
// and the complete audit trail, also the replica that was down.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	const changes = 3
	f := newThreeReplicaFleet(t)
	f.kill(f.nodes["c"].daemon)
	live := []string{"a", "b", "d"}
	for i := range changes {
		n := f.nodes[live[i%3]]
		f.waitUntil("the node has the previous version", func() bool { return n.metric("version") == float64(i+1) })
		out, code := n.primrose("confirm", n.plan(declarationWithRate(i+1)))
		f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	}
	for _, name := range live {
		f.kill(f.nodes[name].daemon)
	}
	for _, name := range f.names {
		f.nodes[name].startDaemon()
	}
	for _, name := range f.names {
		n := f.nodes[name]
		f.waitUntil("the last version is in force again", func() bool { return n.metric("version") == changes+1 })
		f.waitUntil("the audit trail is complete", func() bool {
			out, _ := n.primrose("audit")
			return strings.Count(out, "version=") == changes+1
		})
	}
	out, _ := f.nodes["c"].primrose("audit")
	for v := 2; v <= changes+1; v++ {
		f.Assert(out, qt.Contains, fmt.Sprintf("version=%d base=%d ", v, v-1))
	}
}

// TestReplicaReplaced wipes the disk of a replica and replaces the replica, then
// wipes a second disk and replaces that one too. At last the third replica is
// killed, and the two new ones must carry the register alone.
func TestReplicaReplaced(t *testing.T) {
	f := newThreeReplicaFleet(t)
	a, b, c, d := f.nodes["a"], f.nodes["b"], f.nodes["c"], f.nodes["d"]
	d.declare(declarationWithRate(1))
	lost := d.identityOf(c)
	f.wipeDisk(c)
	out, code := d.primrose("replace", "-leaving", lost, "-joining", c.peer)
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "version 3 is accepted")

	second := d.identityOf(b)
	f.wipeDisk(b)
	f.waitUntil("the register accepts a change", func() bool {
		_, code := d.primrose("confirm", d.plan(declarationWithRate(2)))
		return code == 0
	})
	f.waitUntil("the second replica is replaced", func() bool {
		out, code = d.primrose("replace", "-leaving", second, "-joining", b.peer)
		return code == 0
	})
	f.kill(a.daemon)
	f.waitUntil("the two new replicas accept a change", func() bool {
		_, code := d.primrose("confirm", d.plan(declarationWithRate(3)))
		return code == 0
	})
	out, _ = d.primrose("show")
	f.Assert(out, qt.Contains, `"rate": 3`)
	f.waitUntil("the audit trail is complete on a new replica", func() bool {
		out, _ := b.primrose("audit")
		return strings.Count(out, "version=") == 6
	})
}

// TestEmptyDisksHaveNoVote wipes two of three disks at once. No change may be
// accepted after that, because the remaining replica cannot know whether it has the
// last version.
func TestEmptyDisksHaveNoVote(t *testing.T) {
	f := newThreeReplicaFleet(t)
	d := f.nodes["d"]
	d.declare(declarationWithRate(1))
	f.wipeDisk(f.nodes["b"])
	f.wipeDisk(f.nodes["c"])
	id := d.plan(declarationWithRate(2))
	out, code := d.primrose("confirm", id)
	f.Assert(code, qt.Equals, 1, qt.Commentf("%s", out))
	f.Assert(out, qt.Contains, "1 of 2 replicas needed answered")
	out, _ = d.primrose("show")
	f.Assert(out, qt.Contains, `"rate": 1`)
}

// wipeDisk kills a replica, removes its data folder and starts it again.
func (f *fleet) wipeDisk(n *node) {
	f.kill(n.daemon)
	f.Assert(os.RemoveAll(f.path(n.name+".data")), qt.IsNil)
	n.startDaemon()
	f.waitUntil("the node has a configuration again", func() bool { return n.metric("version") > 0 })
}
