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
	maxQuarantineDelay = 3 * time.Second
	// spreadBound is the promise for withdrawn keys and leaving targets.
	maxSpreadDelay = 2 * time.Second
	// fleetSize is that of the fleet of the incident.
	fleetSize = 92
)

// digestOf names a request.
func digestOf(name string) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(name))
}

// bystanders names requests that ran at one crash only.
func otherRequests(crash, count int) [][]byte {
	var list [][]byte
	for i := range count {
		list = append(list, digestOf(fmt.Sprintf("crash %d request %d", crash, i)))
	}
	return list
}

// TestCrashingRequestWaitsBehindBystanders crashes three targets, each while
// many other requests run.
func TestCrashingRequestIsQuarantinedAmongOthers(t *testing.T) {
	for _, others := range []int{0, 100, 300, 500} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			g := newMesh(fleetSize)
			g.join()
			crasher := digestOf("killer")
			for c := range 3 {
				g.nodes[10+30*c].crash(fmt.Sprint("crash", c), append(otherRequests(c, others), crasher))
				g.advance(300 * time.Millisecond)
			}
			g.advance(maxQuarantineDelay - 300*time.Millisecond)
			qt.Assert(t, g.quarantinedCount(crasher), qt.Equals, fleetSize)
			for c := range 3 {
				for _, d := range otherRequests(c, others) {
					qt.Assert(t, g.quarantinedCount(d), qt.Equals, 0)
				}
			}
		})
	}
}

// TestWithdrawnKeyWaitsBehindCrashes withdraws a key and lets a target leave
// while the news of crashes is under way.
func TestWithdrawnKeySpreadsDuringCrashes(t *testing.T) {
	g := newMesh(fleetSize)
	g.join()
	for c := range 4 {
		g.nodes[10+10*c].crash(fmt.Sprint("crash", c), otherRequests(c, 300))
	}
	g.advance(time.Second)
	g.nodes[5].gossip.UpdateSelf(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	g.nodes[6].withdraw("key")
	g.advance(maxSpreadDelay)
	qt.Assert(t, g.allSee(g.nodes[5], control.State_STATE_LEAVING), qt.IsTrue)
	for _, m := range g.nodes {
		qt.Assert(t, m.withdrawn["key"], qt.IsTrue)
	}
}

// TestCrashingRequestStopsDuringStorm crashes three targets while others go
// down and up all the time, each with many requests running.
func TestCrashingRequestIsQuarantinedDuringManyCrashes(t *testing.T) {
	g := newMesh(fleetSize)
	g.join()
	crasher := digestOf("killer")
	crash := 100
	storm := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			for range 2 {
				n := g.nodes[crash*7%fleetSize]
				n.crash(fmt.Sprint("crash", crash), otherRequests(crash, 100))
				n.gossip.UpdateSelf(func(e *control.Entry) { e.Life = fmt.Sprint(crash) })
				crash++
			}
			g.step()
		}
	}
	storm(5 * time.Second)
	for c := range 3 {
		g.nodes[10+30*c].crash(fmt.Sprint("crash", c), append(otherRequests(c, 100), crasher))
		storm(300 * time.Millisecond)
	}
	g.nodes[6].withdraw("key")
	storm(maxSpreadDelay)
	for _, m := range g.nodes {
		qt.Assert(t, m.withdrawn["key"], qt.IsTrue)
	}
	storm(maxQuarantineDelay - 300*time.Millisecond - maxSpreadDelay)
	qt.Assert(t, g.quarantinedCount(crasher), qt.Equals, fleetSize)
}

// TestDecisionWaitsForTick crashes two targets one after the other within one
// tick of their nodes.
func TestQuarantineSpreadsBeforeTick(t *testing.T) {
	g := newMesh(3)
	g.join()
	crasher := digestOf("killer")
	for c := range 2 {
		g.clock.Advance(30 * time.Millisecond)
		g.nodes[c].crash(fmt.Sprint("crash", c), append(otherRequests(c, 10), crasher))
		g.deliver()
	}
	qt.Assert(t, g.quarantinedCount(crasher), qt.Equals, 3)
}
