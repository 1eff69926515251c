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
func TestSplitWitnessesHalveTheRate(t *testing.T) {
	for _, witnesses := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(witnesses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { splitWitnesses(t, witnesses) })
		})
	}
}

func splitWitnesses(t *testing.T, witnesses int) {
	f := newWholeFleet(1, Allocation{Rate: 100, Burst: 100}, witnesses, 0)
	network := &fleetHolders{f}
	var nodes []*TokenClient
	for i := range 8 {
		nodes = append(nodes, NewTokenClient(f.clock, network, ByDemand{}, fmt.Sprint("node", i), "", func() uint64 { return 1 }, network))
	}
	cut := 0
	for _, w := range f.witnesses {
		if cut < (witnesses-1)/2 && !w.holder.holdsShard(ShardOf(sharedTeam)) {
			w.island = 1
			cut++
		}
	}
	// Deputies stand in standbyDelay after the cut.
	f.advance(standbyDelay + standbyPoll)
	asked, admitted := 0, 0
	for span := time.Duration(0); span < 4*time.Second; span += 100 * time.Millisecond {
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
