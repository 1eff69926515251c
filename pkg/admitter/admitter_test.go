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

// offer is one request at a entry whose queue never moves: the clock stands.
type offer struct {
	admitter *admitter.Admitter
	priority admitter.Priority
	team     string
	done     chan answer
}

type answer struct {
	priority admitter.Priority
	ticket   *admitter.Ticket
	err      error
}

func (o *offer) run() {
	t, err := o.admitter.Admit(context.Background(), o.team, o.priority)
	o.done <- answer{o.priority, t, err}
}

// waitFor waits until the admitter's load is as wanted.
func waitFor(a *admitter.Admitter, ready func(admitter.Load) bool) {
	for !ready(a.Load()) {
		time.Sleep(time.Millisecond)
	}
}

// important and ordinary are two ranks.
const important, ordinary = 10, 9

// TestImportantIsShedLast fills a entry with ordinary and important requests
// in drawn orders: as long as an ordinary one waits, no important one is
// refused.
func TestImportantIsShedLast(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		clock := &timekeeper.Manual{}
		a := admitter.New(clock, admitter.Static{})
		a.SetSlots(2, 3*time.Second)
		clock.Advance(time.Minute)
		done := make(chan answer, 100)
		offered, refused := 0, 0
		for i := range 60 {
			rank := uint32(ordinary)
			if random.IntN(4) == 0 {
				rank = important
			}
			p := admitter.NewPriority(rank, random.IntN(2) == 0, random.Uint32())
			if rank == important {
				offered++
			}
			o := &offer{a, p, "team", done}
			go o.run()
			waitFor(a, func(l admitter.Load) bool {
				return l.Inflight+l.Queued+len(done)-2 >= min(i-1, 8) && l.Inflight+l.Queued <= 10
			})
			time.Sleep(100 * time.Microsecond)
		}
		waitFor(a, func(l admitter.Load) bool { return len(done) == 52 })
		for range 52 {
			got := <-done
			var load *admitter.OverloadError
			if errors.As(got.err, &load) && got.priority >= admitter.NewPriority(important, false, 0) {
				refused++
			}
		}
		// Two run, eight wait. An important one may be refused only when
		// there are more than eight of them.
		if offered <= 8 {
			qt.Assert(t, refused, qt.Equals, 0, qt.Commentf("seed %d", seed))
		}
		qt.Assert(t, refused <= max(offered-8, 0), qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, refused, offered))
	}
}

// TestTeamsTakeTurns lets a large team wait with many requests and a small one
// with few: the small team's run among the first.
func TestTeamsTakeTurns(t *testing.T) {
	clock := &timekeeper.Manual{}
	a := admitter.New(clock, admitter.Static{})
	a.SetSlots(4, 3*time.Second)
	clock.Advance(time.Minute)
	done := make(chan answer, 100)
	var running []*admitter.Ticket
	for range 4 {
		ticket, err := a.Admit(context.Background(), "large", 0)
		qt.Assert(t, err, qt.IsNil)
		running = append(running, ticket)
	}
	waiting := make(chan answer, 100)
	for i, team := range []string{"large", "large", "large", "large", "large", "small", "small"} {
		o := &offer{a, 0, team, waiting}
		if team == "small" {
			o.done = done
		}
		go o.run()
		waitFor(a, func(l admitter.Load) bool { return l.Queued == i+1 })
	}
	clock.Advance(20 * time.Millisecond)
	for _, ticket := range running {
		ticket.Done(0, false)
	}
	qt.Assert(t, (<-done).err, qt.IsNil)
	qt.Assert(t, (<-done).err, qt.IsNil)
}

// TestLimitFollowsTheTarget lowers the limit when the target refuses, and not
// when it only takes longer.
func TestLimitFollowsTheTarget(t *testing.T) {
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
