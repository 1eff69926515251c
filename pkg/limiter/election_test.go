package limiter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
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

// announcedWaits asks every witness for a token and returns the waits that those
// without one announced.
func (f *deputyFleet) announcedWaits() (waits []uint32, granted bool) {
	for _, w := range f.witnesses {
		reply := w.holder.Tokens(&control.TokensRequest{Instance: "node", Team: sharedTeam, Count: 1})
		if reply.Count > 0 {
			return nil, true
		}
		waits = append(waits, reply.Wait)
	}
	return waits, false
}

// TestWitnessesAnnounceElection restarts all witnesses at once, as after a loss of
// power. Requests are within their limits and no tokens are granted yet, so every
// witness must announce a wait that lets requests wait, until tokens are granted.
func TestWitnessesAnnounceElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(30) {
			f := newDeputyFleet(seed, Allocation{Rate: 30, Burst: 30}, 3, 0)
			for _, w := range f.witnesses {
				w.start()
			}
			began := f.clock.Now()
			for {
				waits, granted := f.announcedWaits()
				if granted {
					break
				}
				for _, wait := range waits {
					inBounds := wait > 0 && time.Duration(wait)*time.Millisecond <= maxPostponement
					qt.Assert(t, inBounds, qt.IsTrue, qt.Commentf("seed %d, %v after the start: %d ms", seed, f.clock.Now().Sub(began), wait))
				}
				f.advance(renewStep)
			}
		}
	})
}

// TestMinorityAnnouncesNoElection restarts witnesses that don't reach each other,
// so that none can become the holder. After electionTime callers must not wait.
func TestMinorityAnnouncesNoElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDeputyFleet(1, Allocation{Rate: 30, Burst: 30}, 3, 0)
		for i, w := range f.witnesses {
			w.partition = i + 1
			w.start()
		}
		f.advance(electionTime)
		waits, granted := f.announcedWaits()
		qt.Assert(t, granted, qt.IsFalse)
		qt.Assert(t, waits, qt.DeepEquals, []uint32{0, 0, 0})
	})
}

// announcingHolders is fleetHolders with the waits that the witnesses announce.
type announcingHolders struct{ fleetHolders }

// RequestTokens implements Holders.
func (h *announcingHolders) RequestTokens(_ context.Context, _ string, r *control.TokensRequest) (*control.TokensReply, error) {
	absent := &control.TokensReply{Absent: true}
	for _, w := range h.fleet.witnesses {
		reply := w.holder.Tokens(r)
		if IsFinal(reply) {
			return reply, nil
		}
		if reply.Wait > 0 && absent.Holder == "" {
			absent = reply
		}
	}
	return absent, nil
}

// TestHeldRequestsAreServedByNewHolder restarts all witnesses at once while a team
// sends 60 requests per second, at a rate of 100. Of the requests that wait when the
// buckets open, and of later ones, the n-th gets a token after n/100 s, which is
// within maxPostponement of its arrival: 0.566 s of 60 per second need 0.34 s. So
// none of them may be rejected.
func TestHeldRequestsAreServedByNewHolder(t *testing.T) {
	synctest.Test(t, testHeldRequestsAreServedByNewHolder)
}

func testHeldRequestsAreServedByNewHolder(t *testing.T) {
	f := newDeputyFleet(1, Allocation{Rate: 100, Burst: 100}, 3, 0)
	network := &announcingHolders{fleetHolders{f}}
	var nodes []*TokenClient
	for i := range 6 {
		nodes = append(nodes, NewTokenClient(f.clock, network, ByDemand{}, fmt.Sprint("node", i), "", func() uint64 { return 1 }, network))
	}
	for _, w := range f.witnesses {
		w.start()
	}
	var mu sync.Mutex
	var arrivedAt, rejectedAt []time.Time
	group := &sync.WaitGroup{}
	send := func(n *TokenClient) {
		group.Add(1)
		arrived := f.clock.Now()
		arrivedAt = append(arrivedAt, arrived)
		go func() {
			defer group.Done()
			if n.Acquire(context.Background(), sharedTeam) != nil {
				mu.Lock()
				defer mu.Unlock()
				rejectedAt = append(rejectedAt, arrived)
			}
		}()
	}
	const step, perStep, steps, abstention = 50 * time.Millisecond, 3, 80, 10
	var openedAt time.Time
	for i := range steps {
		if i == abstention {
			for _, w := range f.witnesses {
				w.witness.EndAbstention()
			}
		}
		for range perStep {
			send(nodes[f.random.IntN(len(nodes))])
		}
		synctest.Wait()
		for range 5 {
			f.advance(step / 5)
			synctest.Wait()
		}
		holds := func(w *fleetWitness) bool {
			return w.holder.holdsShard(ShardOf(sharedTeam)) && !w.holder.isClosed(ShardOf(sharedTeam))
		}
		if openedAt.IsZero() && slices.ContainsFunc(f.witnesses, holds) {
			openedAt = f.clock.Now()
		}
	}
	for range 20 {
		f.advance(step)
		synctest.Wait()
	}
	group.Wait()
	qt.Assert(t, openedAt.IsZero(), qt.IsFalse)
	inTime := func(times []time.Time) (count int) {
		for _, at := range times {
			if at.After(openedAt.Add(step - maxPostponement)) {
				count++
			}
		}
		return count
	}
	qt.Assert(t, inTime(rejectedAt), qt.Equals, 0, qt.Commentf("of %d", inTime(arrivedAt)))
}
