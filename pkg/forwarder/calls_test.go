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

// TestCallFindsItsParent replays a chain: a call that names no parent ends
// with it, up to what the way through one machine takes.
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

// TestEdgesAreLearned mixes requests that make calls with requests that make
// none, where no call can be matched by its deadline.
func TestCallGraphLearnsCallers(t *testing.T) {
	var table inFlightTable
	random := rand.New(rand.NewPCG(2, 1))
	far := time.Unix(1000, 0)
	var open []*InFlightRequest
	for i := range 3000 {
		arrival := "upload"
		if random.IntN(2) == 0 {
			arrival = "index"
		}
		open = append(open, addInFlight(&table, fmt.Sprint(i), arrival, far))
		if len(open) > 6 {
			table.remove(open[0], far)
			open = open[1:]
		}
		if arrival == "index" {
			for range 4 {
				table.inferParent("stock", time.Unix(0, 0))
			}
		}
	}
	qt.Assert(t, table.callGraph.makesCalls("index", "stock"), qt.IsTrue)
	qt.Assert(t, table.callGraph.makesCalls("upload", "stock"), qt.IsFalse, qt.Commentf("%v", table.callGraph.callRate("upload", "stock")))
	// Pressure from below reaches only those that cause it.
	table.raiseLevels("stock", 700)
	for _, r := range open {
		want := admitter.Priority(0)
		if r.hop.Arrival == "index" {
			want = 700
		}
		qt.Assert(t, r.callLevel(), qt.Equals, want)
	}
}

// TestSplitKeepsToItsWeights looks at every run of a hundred requests.
func TestTrafficSplitFollowsWeights(t *testing.T) {
	var s trafficSplits
	r := &declarer.Route{Name: "r", Split: []declarer.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	var taken []string
	for range 1000 {
		taken = append(taken, s.next(r))
	}
	for from := 0; from+100 <= len(taken); from += 7 {
		counts := map[string]int{}
		for _, name := range taken[from : from+100] {
			counts[name]++
		}
		qt.Assert(t, counts["b"] >= 9 && counts["b"] <= 11, qt.IsTrue, qt.Commentf("%v", counts))
		qt.Assert(t, counts["c"], qt.Equals, 0)
	}
}

// TestDeepServiceAndEntryRefuseTheSame compares, for every hash, what an entry
// node refuses at a level with what is below it.
func TestEntryRejectsSameHashesAsService(t *testing.T) {
	const rank = 9
	for level := range admitter.NewPriority(rank+1, false, 0) {
		refused := rejectedHashes(level, rank)
		qt.Assert(t, refused >= 0 && refused <= rootHashCount, qt.IsTrue)
		if refused > 0 && refused < rootHashCount {
			last := admitter.NewPriority(rank, false, uint32(refused-1)<<24)
			qt.Assert(t, last < level, qt.IsTrue)
		}
	}
}
