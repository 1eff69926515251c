package limiter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPartitionedWitnessesServeDemand partitions a minority of the witnesses from
// the holder. Nodes reach both sides and request four fifths of the rate. The
// holder and the isolated deputies together must serve at least 95 % of that.
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
	// The isolated deputies grant tokens from standbyDelay after the partition.
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
