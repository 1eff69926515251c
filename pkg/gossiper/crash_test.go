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
	// maxQuarantineDelay is the users' requirement: all nodes quarantine a request
	// that has crashed three targets within this time of the third crash.
	maxQuarantineDelay = 3 * time.Second
	// maxSpreadDelay is the time in which all nodes must know of a withdrawn key or
	// a leaving target.
	maxSpreadDelay = 2 * time.Second
	// fleetSize is the size of the fleet in the incident behind these tests.
	fleetSize = 92
)

// digestOf returns the digest of a request.
func digestOf(name string) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(name))
}

// otherRequests returns the digests of requests in flight at one crash only.
func otherRequests(crash, count int) [][]byte {
	var list [][]byte
	for i := range count {
		list = append(list, digestOf(fmt.Sprintf("crash %d request %d", crash, i)))
	}
	return list
}

// TestCrashingRequestIsQuarantinedAmongOthers crashes three targets, each with many
// other requests in flight. The lists of those must not delay the decision about
// the request in flight at all three crashes, and no other one may be quarantined.
func TestCrashingRequestIsQuarantinedAmongOthers(t *testing.T) {
	for _, otherCount := range []int{0, 100, 300, 500} {
		t.Run(fmt.Sprint(otherCount), func(t *testing.T) {
			g := newMesh(fleetSize)
			g.join()
			crasher := digestOf("killer")
			for c := range 3 {
				g.nodes[10+30*c].crash(fmt.Sprint("crash", c), append(otherRequests(c, otherCount), crasher))
				g.advance(300 * time.Millisecond)
			}
			g.advance(maxQuarantineDelay - 300*time.Millisecond)
			qt.Assert(t, g.quarantinedCount(crasher), qt.Equals, fleetSize)
			for c := range 3 {
				for _, d := range otherRequests(c, otherCount) {
					qt.Assert(t, g.quarantinedCount(d), qt.Equals, 0)
				}
			}
		})
	}
}

// TestWithdrawnKeySpreadsDuringCrashes withdraws a key and lets a target leave
// while updates about crashes are in flight: these must not delay the two changes.
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

// TestCrashingRequestIsQuarantinedDuringManyCrashes crashes three targets while
// others constantly crash and restart, each with many requests in flight.
func TestCrashingRequestIsQuarantinedDuringManyCrashes(t *testing.T) {
	g := newMesh(fleetSize)
	g.join()
	crasher := digestOf("killer")
	crash := 100
	crashMany := func(d time.Duration) {
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
	crashMany(5 * time.Second)
	for c := range 3 {
		g.nodes[10+30*c].crash(fmt.Sprint("crash", c), append(otherRequests(c, 100), crasher))
		crashMany(300 * time.Millisecond)
	}
	g.nodes[6].withdraw("key")
	crashMany(maxSpreadDelay)
	for _, m := range g.nodes {
		qt.Assert(t, m.withdrawn["key"], qt.IsTrue)
	}
	crashMany(maxQuarantineDelay - 300*time.Millisecond - maxSpreadDelay)
	qt.Assert(t, g.quarantinedCount(crasher), qt.Equals, fleetSize)
}

// TestQuarantineSpreadsBeforeTick crashes two targets within one tick. All nodes
// must quarantine the request without waiting for the next tick.
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
