package limiter_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestAllocationsAddUpToLimit checks for many limits that the allocations of all
// data centres add up to exactly the limit, with its burst in whole tokens.
func TestAllocationsAddUpToLimit(t *testing.T) {
	for centres := 1; centres <= 11; centres++ {
		d := &declarer.Declaration{Centres: map[string]declarer.Centre{}, Teams: map[string]declarer.Team{}}
		for i := range centres {
			d.Centres[fmt.Sprint("centre", i)] = declarer.Centre{Witnesses: []string{"w"}, Share: float64(i % 3)}
		}
		for _, burst := range []float64{1, 2, 5, 10.5, 997} {
			d.Teams["team"] = declarer.Team{Rate: 33, Burst: burst}
			rate, tokens := 0.0, 0.0
			for centre := range d.Centres {
				p := limiter.Allocate(d, "team", centre)
				rate, tokens = rate+p.Rate, tokens+p.Burst
			}
			qt.Assert(t, math.Abs(rate-33) < 1e-9, qt.IsTrue, qt.Commentf("%v", rate))
			qt.Assert(t, tokens, qt.Equals, math.Floor(burst))
		}
	}
}

// TestLoweredRateSubtractsUnreachableCentre lowers a rate while a data centre is
// unreachable and may still use its former allocation. The other data centre may
// use only the rest of the new limit.
func TestLoweredRateSubtractsUnreachableCentre(t *testing.T) {
	old := &declarer.Declaration{
		Centres: map[string]declarer.Centre{"a": {Witnesses: []string{"x"}}, "b": {Witnesses: []string{"y"}}},
		Teams:   map[string]declarer.Team{"team": {Rate: 200, Burst: 100}},
	}
	next := &declarer.Declaration{Centres: old.Centres, Teams: map[string]declarer.Team{"team": {Rate: 150, Burst: 80}}}
	former := limiter.FormerDivisions(old, next, nil, 2)
	unreachable := []*control.Division{}
	for _, f := range former {
		if f.Centre == "b" {
			unreachable = append(unreachable, f)
		}
	}
	qt.Assert(t, limiter.EffectiveAllocation(next, "team", "a", unreachable), qt.Equals, limiter.Allocation{Rate: 50, Burst: 30})
	qt.Assert(t, limiter.EffectiveAllocation(next, "team", "a", nil), qt.Equals, limiter.Allocation{Rate: 75, Burst: 40})
}

// TestRestartedWitnessAbstains requests the vote of a witness that has just
// started. It may have voted for another holder before, so it must abstain until
// that lease has expired.
func TestRestartedWitnessAbstains(t *testing.T) {
	clock := &timekeeper.Manual{}
	w := limiter.NewWitness(clock, func() uint64 { return 1 })
	request := &control.LeaseRequest{Name: "east/0", Instance: "a", Version: 1, Session: 1}
	clock.Advance(1500 * time.Millisecond)
	qt.Assert(t, w.Vote(request).Granted, qt.IsFalse)
	clock.Advance(time.Second)
	qt.Assert(t, w.Vote(request).Granted, qt.IsTrue)
	// A new session of the same instance counts as another holder.
	restarted := &control.LeaseRequest{Name: "east/0", Instance: "a", Version: 1, Session: 2}
	qt.Assert(t, w.Vote(restarted).Granted, qt.IsFalse)
}

// TestHolderVersionNeverDecreases lets a lease expire and checks that no instance
// with an older version than its holder gets the next one.
func TestHolderVersionNeverDecreases(t *testing.T) {
	clock := &timekeeper.Manual{}
	w := limiter.NewWitness(clock, func() uint64 { return 1 })
	clock.Advance(time.Minute)
	qt.Assert(t, w.Vote(&control.LeaseRequest{Name: "east/0", Instance: "a", Version: 5}).Granted, qt.IsTrue)
	clock.Advance(time.Minute)
	qt.Assert(t, w.Vote(&control.LeaseRequest{Name: "east/0", Instance: "b", Version: 4}).Granted, qt.IsFalse)
	qt.Assert(t, w.Vote(&control.LeaseRequest{Name: "east/0", Instance: "b", Version: 5}).Granted, qt.IsTrue)
}

// TestNewHolderRepliesWithWait requests tokens from a holder whose lease has just
// begun. The team is not over its rate, so the reply must not say that; it
// announces when the bucket opens.
func TestNewHolderRepliesWithWait(t *testing.T) {
	f := &fleet{clock: &timekeeper.Manual{}, random: rand.New(rand.NewPCG(1, 1))}
	f.change(1, 1)
	for _, name := range []string{"e0", "e1", "e2", "w0", "w1", "w2"} {
		i := &instance{name: name, centre: "east"}
		f.instances = append(f.instances, i)
		f.restart(i)
	}
	f.clock.Advance(5 * time.Second)
	waits := 0
	for _, i := range f.instances[:3] {
		i.holder.Renew(context.Background())
		reply := i.holder.Tokens(&control.TokensRequest{Team: team, Count: 1})
		qt.Assert(t, reply.Absent, qt.IsTrue)
		if reply.Wait > 0 {
			waits++
		}
	}
	qt.Assert(t, waits, qt.Equals, 1)
}

// TestRepeatedReportsCountOnce spends all but the last token of a burst and
// reports that token as unspent again and again, as a network does that
// duplicates messages. The holder may take it back only once.
func TestRepeatedReportsCountOnce(t *testing.T) {
	f := &fleet{clock: &timekeeper.Manual{}, random: rand.New(rand.NewPCG(1, 1))}
	f.change(99, 0.01)
	for _, name := range []string{"e0", "e1", "e2", "w0", "w1", "w2"} {
		i := &instance{name: name, centre: "east"}
		f.instances = append(f.instances, i)
		f.restart(i)
	}
	f.advance(5 * time.Second)
	holder := f.instances[slices.IndexFunc(f.instances, func(i *instance) bool {
		return !i.holder.Tokens(&control.TokensRequest{Team: team}).Absent
	})].holder
	var spent, unspent []*control.Spent
	total := uint32(0)
	for range 20 {
		r := holder.Tokens(&control.TokensRequest{Team: team, Count: 1, Spent: spent})
		if r.Count == 0 {
			break
		}
		total++
		spent = []*control.Spent{{Batch: r.Batch, Count: 1, Closed: true}}
		if total == burst {
			spent = []*control.Spent{{Batch: r.Batch, Closed: true}}
			unspent = spent
		}
	}
	qt.Assert(t, total, qt.Equals, uint32(burst)+1)
	for range 5 {
		qt.Assert(t, holder.Tokens(&control.TokensRequest{Team: team, Count: 5, Spent: unspent}).Count, qt.Equals, uint32(0))
	}
}
