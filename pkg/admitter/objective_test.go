package admitter_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	objectiveSlots = 20
	objectiveTime  = 50 * time.Millisecond
	// objectiveCapacity is the number of requests a second that fill the slots that the
	// static rule uses, 19 of 20.
	objectiveCapacity = 380
)

// objectiveStream sends requests of one team, with an objective, at a rate.
type objectiveStream struct {
	team      string
	rank      uint32
	rate      float64
	objective time.Duration
	// spent is the part of the objective that has passed when a request arrives.
	spent time.Duration

	mu sync.Mutex
	// inTime, late and refused count the ends of requests; slowest is the longest wait
	// of a refused one.
	inTime, late, refused float64
	slowest               time.Duration
}

func (s *objectiveStream) request(a *admitter.Admitter, priority admitter.Priority) {
	arrived := time.Now()
	due := arrived.Add(s.objective - s.spent)
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(s.objective))
	defer cancel()
	ticket, err := a.AdmitRequest(ctx, admitter.Request{
		Team: s.team, Priority: priority, Weight: 1, Objective: s.objective, DueAt: due, Deadline: due.Add(s.objective),
	})
	waited := time.Since(arrived)
	if err == nil {
		time.Sleep(objectiveTime)
		ticket.Done(0, false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var overload *admitter.OverloadError
	switch {
	case errors.As(err, &overload):
		s.refused++
		s.slowest = max(s.slowest, waited)
	case err == nil && !time.Now().After(due):
		s.inTime++
	default:
		s.late++
	}
}

// runObjectives plays streams for 5 s after a second without counting.
func runObjectives(t *testing.T, objectives bool, streams ...*objectiveStream) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
		if objectives {
			a.UseObjectives()
		}
		a.SetSlots(objectiveSlots, -1)
		a.SetSlots(objectiveSlots, 0)
		var running sync.WaitGroup
		for i, s := range streams {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			running.Go(func() {
				for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
					priority := admitter.NewPriority(s.rank, false, random.Uint32())
					running.Go(func() { s.request(a, priority) })
					time.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
				}
			})
		}
		running.Wait()
	})
}

func (s *objectiveStream) share() float64 { return s.inTime / (s.inTime + s.late + s.refused) }

// TestShortObjectivesGoFirst plays 1.4 times the capacity, half of it with an objective
// of 120 ms and half with one of 2 s. With objectives more are answered in time in all,
// nearly all of the short ones, hardly any late, and a refusal comes within a quarter of
// the objective. A queue in order of arrival fails this.
func TestShortObjectivesGoFirst(t *testing.T) {
	play := func(objectives bool) (short, long *objectiveStream) {
		short = &objectiveStream{team: "a", rank: 9, rate: 0.7 * objectiveCapacity, objective: 120 * time.Millisecond}
		long = &objectiveStream{team: "a", rank: 9, rate: 0.7 * objectiveCapacity, objective: 2 * time.Second}
		runObjectives(t, objectives, short, long)
		return short, long
	}
	shortBefore, longBefore := play(false)
	short, long := play(true)
	for _, s := range []*objectiveStream{shortBefore, longBefore, short, long} {
		t.Logf("objective %v: in time %.0f late %.0f refused %.0f, refused after %v at most", s.objective, s.inTime, s.late, s.refused, s.slowest)
	}
	qt.Check(t, short.inTime+long.inTime > shortBefore.inTime+longBefore.inTime, qt.IsTrue)
	qt.Check(t, short.share() > 0.9, qt.IsTrue, qt.Commentf("%v", short.share()))
	qt.Check(t, short.late+long.late < 0.01*(short.inTime+long.inTime), qt.IsTrue)
	for _, s := range []*objectiveStream{short, long} {
		qt.Check(t, s.slowest <= s.objective/4, qt.IsTrue, qt.Commentf("objective %v: %v", s.objective, s.slowest))
	}
}

// TestObjectivesKeepRankAndTeam checks that a shorter objective neither overtakes a
// higher rank nor takes the share of another team.
func TestObjectivesKeepRankAndTeam(t *testing.T) {
	high := &objectiveStream{team: "a", rank: 11, rate: 0.4 * objectiveCapacity, objective: 2 * time.Second}
	small := &objectiveStream{team: "b", rank: 9, rate: 0.2 * objectiveCapacity, objective: 2 * time.Second}
	large := &objectiveStream{team: "c", rank: 9, rate: 1.5 * objectiveCapacity, objective: 300 * time.Millisecond}
	runObjectives(t, true, high, small, large)
	qt.Check(t, high.share() > 0.99, qt.IsTrue, qt.Commentf("%v", high.share()))
	qt.Check(t, small.share() > 0.95, qt.IsTrue, qt.Commentf("%v", small.share()))
}

// TestMissedObjectiveWaitsLast checks that requests which can no longer meet their
// objective do not take the place of those that can.
func TestMissedObjectiveWaitsLast(t *testing.T) {
	missed := &objectiveStream{team: "a", rank: 9, rate: 0.7 * objectiveCapacity, objective: time.Second, spent: time.Second}
	fresh := &objectiveStream{team: "a", rank: 9, rate: 0.7 * objectiveCapacity, objective: time.Second}
	runObjectives(t, true, missed, fresh)
	qt.Check(t, fresh.share() > 0.95, qt.IsTrue, qt.Commentf("%v of fresh", fresh.share()))
	qt.Check(t, missed.late > 0, qt.IsTrue)
}
