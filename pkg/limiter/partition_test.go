package limiter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSplitWitnessesHalveTheRate cuts a minority of the witnesses off from the
// holder. Nodes reach both sides and ask for four fifths of the rate, which the
// holder and the deputies that are cut off have between them.
func TestPartitionedWitnessesServeDemand(t *testing.T) {
	for _, witnesses := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(witnesses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPartitionedWitnesses(t, witnesses) })
		})
	}
}

func testPartitionedWitnesses(t *testing.T, witnesses int) {
	f := newDeputyFleet(1, Allocation{Rate: 100, Burst: 100}, witnesses, 0)
	network := &fleetHolders{f}
	var nodes []*TokenClient
	for i := range 8 {
		nodes = append(nodes, NewTokenClient(f.clock, network, ByDemand{}, fmt.Sprint("node", i), "", func() uint64 { return 1 }, network))
	}
	isolated := 0
	for _, w := range f.witnesses {
		if isolated < (witnesses-1)/2 && !w.holder.holdsShard(ShardOf(sharedTeam)) {
			w.partition = 1
			isolated++
		}
	}
	// Deputies stand in standbyDelay after the cut.
	f.advance(standbyDelay + standbyPollInterval)
	asked, admitted := 0, 0
	for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		for _, n := range nodes {
			asked++
			if n.Acquire(context.Background(), sharedTeam) == nil {
				admitted++
			}
		}
	}
	qt.Check(t, admitted >= asked*95/100, qt.IsTrue, qt.Commentf("%d of %d", admitted, asked))
}
