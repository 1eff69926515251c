package forwarder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestCallsOfUnknownRootsRefuseAllRanks guards against calls that count as the highest rank
// since their own deadline is shorter than that of their parents: a level that holds them
// back would have entry nodes refuse the roots of all ranks below.
func TestCallsOfUnknownRootsRefuseAllRanks(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &Forwarder{deps: Deps{Clock: &timekeeper.Manual{}}}
	table := &f.inFlightTable
	far := now.Add(time.Minute)
	for i := range 200 {
		r := addInFlight(table, fmt.Sprint("learn", i), "lookup", far)
		table.inferParent("stock", far)
		table.remove(r, now)
		other := addInFlight(table, fmt.Sprint("other", i), "payment", far)
		table.remove(other, now)
	}
	for i := range 30 {
		rank := uint32(9 + i%2)
		r := addInFlight(table, fmt.Sprint(i), "lookup", far)
		r.hop.Rank, r.hop.Root, r.hop.Route, r.weight = rank, uint32(i)<<24, fmt.Sprint("root", rank), 2
		payment := addInFlight(table, fmt.Sprint("payment", i), "payment", far)
		payment.hop.Rank = 11
	}
	ranks := map[uint32]int{}
	for range 400 {
		x := &Exchange{route: &declarer.Route{Name: "stock"}, deadline: now.Add(time.Second), hop: &control.Hop{Call: true}}
		(&routeFilter{f}).inferParent(x)
		ranks[x.hop.Rank]++
		qt.Assert(t, x.hop.Route, qt.Equals, fmt.Sprint("root", x.hop.Rank))
		// The call stands for as many requests as the one that is likely to have made it.
		x.inheritWeight()
		qt.Assert(t, x.weight, qt.Equals, 2.0)
		// A level within the ranks of the roots may hold the call back, too.
		qt.Assert(t, priorityOf(x) < admitter.NewPriority(11, false, 0), qt.IsTrue)
	}
	// Each of the two ranks has half of the requests in flight that make such calls.
	qt.Assert(t, ranks[9] > 100 && ranks[10] > 100, qt.IsTrue, qt.Commentf("%v", ranks))
}
