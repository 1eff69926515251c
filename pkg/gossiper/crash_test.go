package gossiper_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// stabilityWindow is the users' bound: a request that has crashed three
	// targets is refused everywhere this long after the third crash.
	stabilityWindow = 3 * time.Second
	// spreadBound is the promise for withdrawn keys and leaving targets.
	spreadBound = 2 * time.Second
	// fleetSize is that of the fleet of the incident.
	fleetSize = 92
)

// digestOf names a request.
func digestOf(name string) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(name))
}

// bystanders names requests that ran at one crash only.
func bystanders(crash, count int) [][]byte {
	var list [][]byte
	for i := range count {
		list = append(list, digestOf(fmt.Sprintf("crash %d request %d", crash, i)))
	}
	return list
}

// TestCrashingRequestWaitsBehindBystanders crashes three targets, each while
// many other requests run.
func TestCrashingRequestWaitsBehindBystanders(t *testing.T) {
	for _, others := range []int{0, 100, 300, 500} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			g := newMesh(fleetSize)
			g.join()
			killer := digestOf("killer")
			for c := range 3 {
				g.nodes[10+30*c].crash(fmt.Sprint("crash", c), append(bystanders(c, others), killer))
				g.run(300 * time.Millisecond)
			}
			g.run(stabilityWindow - 300*time.Millisecond)
			qt.Assert(t, g.refusing(killer), qt.Equals, fleetSize)
			for c := range 3 {
				for _, d := range bystanders(c, others) {
					qt.Assert(t, g.refusing(d), qt.Equals, 0)
				}
			}
		})
	}
}

// TestWithdrawnKeyWaitsBehindCrashes withdraws a key and lets a target leave
// while the news of crashes is under way.
func TestWithdrawnKeyWaitsBehindCrashes(t *testing.T) {
	g := newMesh(fleetSize)
	g.join()
	for c := range 4 {
		g.nodes[10+10*c].crash(fmt.Sprint("crash", c), bystanders(c, 300))
	}
	g.run(time.Second)
	g.nodes[5].gossip.UpdateSelf(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	g.nodes[6].withdraw("key")
	g.run(spreadBound)
	qt.Assert(t, g.all(g.nodes[5], control.State_STATE_LEAVING), qt.IsTrue)
	for _, m := range g.nodes {
		qt.Assert(t, m.merged["key"], qt.IsTrue)
	}
}

// TestCrashingRequestStopsDuringStorm crashes three targets while others go
// down and up all the time, each with many requests running.
func TestCrashingRequestStopsDuringStorm(t *testing.T) {
	g := newMesh(fleetSize)
	g.join()
	killer := digestOf("killer")
	crash := 100
	storm := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			for range 2 {
				n := g.nodes[crash*7%fleetSize]
				n.crash(fmt.Sprint("crash", crash), bystanders(crash, 100))
				n.gossip.UpdateSelf(func(e *control.Entry) { e.Life = fmt.Sprint(crash) })
				crash++
			}
			g.step()
		}
	}
	storm(5 * time.Second)
	for c := range 3 {
		g.nodes[10+30*c].crash(fmt.Sprint("crash", c), append(bystanders(c, 100), killer))
		storm(300 * time.Millisecond)
	}
	g.nodes[6].withdraw("key")
	storm(spreadBound)
	for _, m := range g.nodes {
		qt.Assert(t, m.merged["key"], qt.IsTrue)
	}
	storm(stabilityWindow - 300*time.Millisecond - spreadBound)
	qt.Assert(t, g.refusing(killer), qt.Equals, fleetSize)
}

// TestDecisionWaitsForTick crashes two targets one after the other within one
// tick of their nodes.
func TestDecisionWaitsForTick(t *testing.T) {
	g := newMesh(3)
	g.join()
	killer := digestOf("killer")
	for c := range 2 {
		g.clock.Advance(30 * time.Millisecond)
		g.nodes[c].crash(fmt.Sprint("crash", c), append(bystanders(c, 10), killer))
		g.deliver()
	}
	qt.Assert(t, g.refusing(killer), qt.Equals, 3)
}
