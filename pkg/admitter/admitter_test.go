package admitter_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// admission is one request to an admitter whose clock stands still, so that
// waiting requests do not time out.
type admission struct {
	admitter *admitter.Admitter
	priority admitter.Priority
	team     string
	done     chan result
}

type result struct {
	priority admitter.Priority
	ticket   *admitter.Ticket
	err      error
}

func (a *admission) run() {
	t, err := a.admitter.Admit(context.Background(), a.team, a.priority)
	a.done <- result{a.priority, t, err}
}

// waitFor waits until the condition holds for the admitter's load.
func waitFor(a *admitter.Admitter, condition func(admitter.Load) bool) {
	for !condition(a.Load()) {
		time.Sleep(time.Millisecond)
	}
}

// important and ordinary are two ranks.
const important, ordinary = 10, 9

// TestImportantIsRejectedLast sends ordinary and important requests in random
// order to a full target. As long as an ordinary request waits, the admitter must
// not reject an important one.
func TestImportantIsRejectedLast(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		clock := &timekeeper.Manual{}
		a := admitter.New(clock, admitter.Static{})
		a.SetSlots(2, 3*time.Second)
		clock.Advance(time.Minute)
		done := make(chan result, 100)
		offered, rejected := 0, 0
		for i := range 60 {
			rank := uint32(ordinary)
			if random.IntN(4) == 0 {
				rank = important
			}
			p := admitter.NewPriority(rank, random.IntN(2) == 0, random.Uint32())
			if rank == important {
				offered++
			}
			request := &admission{a, p, "team", done}
			go request.run()
			waitFor(a, func(l admitter.Load) bool {
				return l.Inflight+l.Queued+len(done)-2 >= min(i-1, 8) && l.Inflight+l.Queued <= 10
			})
			time.Sleep(100 * time.Microsecond)
		}
		waitFor(a, func(l admitter.Load) bool { return len(done) == 52 })
		for range 52 {
			got := <-done
			var overload *admitter.OverloadError
			if errors.As(got.err, &overload) && got.priority >= admitter.NewPriority(important, false, 0) {
				rejected++
			}
		}
		// Two requests run and eight wait. The admitter may reject important ones
		// only if there are more than eight of them.
		if offered <= 8 {
			qt.Assert(t, rejected, qt.Equals, 0, qt.Commentf("seed %d", seed))
		}
		qt.Assert(t, rejected <= max(offered-8, 0), qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, rejected, offered))
	}
}

// TestQueueIsFairToTeams queues many requests of one team before few of another.
// When four slots become free, both requests of the small team must get one.
func TestQueueIsFairToTeams(t *testing.T) {
	clock := &timekeeper.Manual{}
	a := admitter.New(clock, admitter.Static{})
	a.SetSlots(4, 3*time.Second)
	clock.Advance(time.Minute)
	done := make(chan result, 100)
	var running []*admitter.Ticket
	for range 4 {
		ticket, err := a.Admit(context.Background(), "large", 0)
		qt.Assert(t, err, qt.IsNil)
		running = append(running, ticket)
	}
	waiting := make(chan result, 100)
	for i, team := range []string{"large", "large", "large", "large", "large", "small", "small"} {
		request := &admission{a, 0, team, waiting}
		if team == "small" {
			request.done = done
		}
		go request.run()
		waitFor(a, func(l admitter.Load) bool { return l.Queued == i+1 })
	}
	clock.Advance(20 * time.Millisecond)
	for _, ticket := range running {
		ticket.Done(0, false)
	}
	qt.Assert(t, (<-done).err, qt.IsNil)
	qt.Assert(t, (<-done).err, qt.IsNil)
}

// TestAIMDLimitFollowsTarget checks that AIMD lowers the limit when the target
// sheds requests, but not when it merely takes longer.
func TestAIMDLimitFollowsTarget(t *testing.T) {
	clock := &timekeeper.Manual{}
	a := admitter.New(clock, &admitter.AIMD{})
	a.SetSlots(20, 3*time.Second)
	clock.Advance(time.Minute)
	for range 50 {
		ticket, err := a.Admit(context.Background(), "team", 0)
		qt.Assert(t, err, qt.IsNil)
		clock.Advance(time.Second)
		ticket.Done(0, false)
	}
	qt.Assert(t, a.Load().Limit, qt.Equals, 20)
	for range 10 {
		ticket, err := a.Admit(context.Background(), "team", 0)
		qt.Assert(t, err, qt.IsNil)
		ticket.Done(0, true)
	}
	qt.Assert(t, a.Load().Limit < 10, qt.IsTrue)
}
