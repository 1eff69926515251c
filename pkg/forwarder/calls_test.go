package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/proto/control"
)

func addInFlight(t *inFlightTable, id, arrival string, deadline time.Time) *InFlightRequest {
	r := &InFlightRequest{id: id, hop: &control.Hop{Arrival: arrival}, deadline: deadline}
	t.add(r)
	return r
}

// TestInferParentByDeadline checks that a call without a call id is assigned to the
// request in flight whose deadline differs from its own by at most 1.5 ms, and that
// a call with a deadline near none of them gets no parent.
func TestInferParentByDeadline(t *testing.T) {
	var table inFlightTable
	now := time.Unix(100, 0)
	random := rand.New(rand.NewPCG(1, 1))
	found := 0
	for i := range 20 {
		addInFlight(&table, fmt.Sprint(i), "lookup", now.Add(time.Duration(i)*37*time.Millisecond))
	}
	for i := range 20 {
		seen := now.Add(time.Duration(i)*37*time.Millisecond + time.Duration(random.IntN(3000)-1500)*time.Microsecond)
		if parent := table.inferParent("read", seen); parent != nil && parent.id == fmt.Sprint(i) {
			found++
		}
	}
	qt.Assert(t, found, qt.Equals, 20)
	qt.Assert(t, table.inferParent("read", now.Add(-time.Second)), qt.IsNil)
}

// TestCallGraphLearnsCallers checks that the call graph distinguishes a route that
// makes calls from one that makes none, when both are in flight at the same time and
// no call can be matched by its deadline.
func TestCallGraphLearnsCallers(t *testing.T) {
	var table inFlightTable
	random := rand.New(rand.NewPCG(2, 1))
	far := time.Unix(1000, 0)
	var inFlight []*InFlightRequest
	for i := range 3000 {
		arrival := "upload"
		if random.IntN(2) == 0 {
			arrival = "index"
		}
		inFlight = append(inFlight, addInFlight(&table, fmt.Sprint(i), arrival, far))
		if len(inFlight) > 6 {
			table.remove(inFlight[0], far)
			inFlight = inFlight[1:]
		}
		if arrival == "index" {
			for range 4 {
				table.inferParent("stock", time.Unix(0, 0))
			}
		}
	}
	qt.Assert(t, table.callGraph.makesCalls("index", "stock"), qt.IsTrue)
	qt.Assert(t, table.callGraph.makesCalls("upload", "stock"), qt.IsFalse, qt.Commentf("%v", table.callGraph.callRate("upload", "stock")))
	// A level that comes back for a call raises only the requests of the route that
	// makes such calls.
	table.raiseCalleeLevels("stock", "stock", 700)
	for _, r := range inFlight {
		want := admitter.Priority(0)
		if r.hop.Arrival == "index" {
			want = 700
		}
		qt.Assert(t, r.callLevel(), qt.Equals, want)
	}
}

// TestTrafficSplitFollowsWeights checks, in series of 100 consecutive requests, that
// the service of weight 10 gets 9 to 11 of them and that of weight 0 none.
func TestTrafficSplitFollowsWeights(t *testing.T) {
	var s trafficSplits
	r := &declarer.Route{Name: "r", Split: []declarer.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	var services []string
	for range 1000 {
		services = append(services, s.next(r))
	}
	for from := 0; from+100 <= len(services); from += 7 {
		counts := map[string]int{}
		for _, name := range services[from : from+100] {
			counts[name]++
		}
		qt.Assert(t, counts["b"] >= 9 && counts["b"] <= 11, qt.IsTrue, qt.Commentf("%v", counts))
		qt.Assert(t, counts["c"], qt.Equals, 0)
	}
}

// TestEntryRejectsSameHashesAsService checks for every admission level that the highest
// hash value that an entry node rejects lies below the level, so that the service
// would reject it too.
func TestEntryRejectsSameHashesAsService(t *testing.T) {
	const rank = 9
	for level := range admitter.NewPriority(rank+1, false, 0) {
		rejected := rejectedHashes(level, rank)
		qt.Assert(t, rejected >= 0 && rejected <= rootHashCount, qt.IsTrue)
		if rejected > 0 && rejected < rootHashCount {
			last := admitter.NewPriority(rank, false, uint32(rejected-1)<<24)
			qt.Assert(t, last < level, qt.IsTrue)
		}
	}
}
