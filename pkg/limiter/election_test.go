package limiter

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// renewStep is the time step of the tests in this file.
const renewStep = 50 * time.Millisecond

// renewInPhases advances the clock while each witness renews once per
// renewInterval, at its own phase.
func (f *deputyFleet) renewInPhases(steps int, phases []int) {
	for range steps {
		f.clock.Advance(renewStep)
		tick := int(f.clock.Now().UnixNano() / int64(renewStep))
		for i, w := range f.witnesses {
			if (tick+phases[i])%int(renewInterval/renewStep) == 0 {
				w.holder.Renew(context.Background())
				synctest.Wait()
			}
		}
	}
}

// TestHolderAfterPowerLoss restarts all witnesses at once, as after a loss of
// power. Their abstentions end one after the other. From the end of the last one
// it must take at most two renewal intervals until every shard has a holder.
func TestHolderAfterPowerLoss(t *testing.T) {
	for _, witnesses := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(witnesses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(30) {
					f := newDeputyFleet(seed, Allocation{Rate: 30, Burst: 30}, witnesses, 0)
					phases := make([]int, witnesses)
					for i, w := range f.witnesses {
						w.start()
						phases[i] = f.random.IntN(int(renewInterval / renewStep))
					}
					for _, at := range f.random.Perm(witnesses) {
						f.renewInPhases(1+f.random.IntN(3), phases)
						f.witnesses[at].witness.EndAbstention()
					}
					f.renewInPhases(int(2*renewInterval/renewStep), phases)
					for shard := range shardCount {
						held := slices.ContainsFunc(f.witnesses, func(w *fleetWitness) bool { return w.holder.holdsShard(shard) })
						qt.Check(t, held, qt.IsTrue, qt.Commentf("seed %d shard %d", seed, shard))
					}
				}
			})
		})
	}
}

// TestNewHolderRetriesDropTokens lets an instance get a lease while nodes are
// still starting and don't answer. Once they do, the next renewal must open the
// buckets.
func TestNewHolderRetriesDropTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeputyFleet(1, Allocation{Rate: 30, Burst: 30}, 3, 0)
		f.nodesStarting = true
		for _, w := range f.witnesses {
			w.start()
			w.witness.EndAbstention()
		}
		var holder *Holder
		for holder == nil {
			f.advance(renewStep)
			for _, w := range f.witnesses {
				if w.holder.holdsShard(0) {
					holder = w.holder
				}
			}
		}
		qt.Assert(t, holder.isClosed(0), qt.IsTrue)
		f.nodesStarting = false
		f.advance(renewInterval)
		qt.Assert(t, holder.isClosed(0), qt.IsFalse)
	})
}
