package admitter_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// stream is a load on an admitter: requests of one rank and team at a mean rate, each
// of which takes its time in the target.
type stream struct {
	admitter *admitter.Admitter
	team     string
	rank     uint32
	// rate is in requests a second.
	rate  float64
	takes time.Duration

	mu      sync.Mutex
	begun   []time.Time
	paced   int
	other   int
	maxWait time.Duration
	running sync.WaitGroup
}

// run sends requests for so long.
func (s *stream) run(length time.Duration) {
	random := rand.New(rand.NewPCG(3, uint64(s.rank)))
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		s.running.Add(1)
		go s.runOne(admitter.NewPriority(s.rank, false, random.Uint32()))
	}
	s.running.Wait()
}

// runOne sends one request.
func (s *stream) runOne(p admitter.Priority) {
	defer s.running.Done()
	arrivedAt := time.Now()
	ticket, err := s.admitter.Admit(context.Background(), s.team, p)
	now := time.Now()
	var paced *admitter.PacedError
	s.mu.Lock()
	switch {
	case err == nil:
		s.begun = append(s.begun, now)
	case errors.As(err, &paced):
		s.paced++
	default:
		s.other++
	}
	s.maxWait = max(s.maxWait, now.Sub(arrivedAt))
	s.mu.Unlock()
	if err == nil {
		time.Sleep(s.takes)
		ticket.Done(0, false)
	}
}

// runStreams runs streams side by side on an admitter of a target with 50 slots that
// names a limit.
func runStreams(limit float64, length time.Duration, streams ...*stream) *admitter.Admitter {
	a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
	a.SetSlots(50, 0)
	a.SetTargetLimit(limit, true)
	var running sync.WaitGroup
	for _, s := range streams {
		s.admitter = a
		running.Go(func() { s.run(length) })
	}
	running.Wait()
	return a
}

// mostWithin returns the highest number of times in any window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestImportantBeginsFirstUnderTargetLimit sends half of the limit in important
// requests, and ten times the limit in ordinary ones. Nearly all important requests
// must begin, and the rest of the limit goes to ordinary ones.
func TestImportantBeginsFirstUnderTargetLimit(t *testing.T) {
	for _, limit := range []float64{5, 20, 100} {
		synctest.Test(t, func(t *testing.T) {
			urgent := &stream{team: "a", rank: important, rate: limit / 2, takes: 20 * time.Millisecond}
			rest := &stream{team: "b", rank: ordinary, rate: limit * 10, takes: 20 * time.Millisecond}
			const length = 40 * time.Second
			a := runStreams(limit, length, urgent, rest)
			offered := len(urgent.begun) + urgent.paced
			qt.Check(t, float64(urgent.paced) < 0.1*float64(offered), qt.IsTrue, qt.Commentf("limit %v: %d of %d rejected", limit, urgent.paced, offered))
			begun := float64(len(urgent.begun) + len(rest.begun))
			qt.Check(t, begun >= 0.8*limit*length.Seconds(), qt.IsTrue, qt.Commentf("limit %v: %v begun", limit, begun))
			most := mostWithin(append(urgent.begun, rest.begun...), 4*time.Second)
			qt.Check(t, float64(most) <= 1.5*4*limit+5, qt.IsTrue, qt.Commentf("limit %v: %d in 4 s", limit, most))
			qt.Check(t, urgent.other+rest.other, qt.Equals, 0)
			qt.Check(t, rest.maxWait <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("limit %v: %v", limit, rest.maxWait))
			// The slots are mostly free, so answers must not shed at the entries.
			qt.Check(t, a.Load().Level, qt.Equals, admitter.Priority(0))
		})
	}
}

// TestTargetLimitIsFairToTeams sends ten times as many requests of one team as of
// another; the small team's share of the limit is several times its share of the load.
func TestTargetLimitIsFairToTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := &stream{team: "large", rank: ordinary, rate: 400, takes: 20 * time.Millisecond}
		small := &stream{team: "small", rank: ordinary, rate: 40, takes: 20 * time.Millisecond}
		runStreams(100, 20*time.Second, large, small)
		share := float64(len(small.begun)) / float64(len(small.begun)+len(large.begun))
		qt.Check(t, share > 0.2, qt.IsTrue, qt.Commentf("%v", share))
	})
}

// TestLevelFollowsTargetLimit checks that rejections because of the limit raise the
// level that goes with them, so that a chain whose call cannot be served is not begun.
func TestLevelFollowsTargetLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := runStreams(10, 3*time.Second, &stream{team: "a", rank: ordinary, rate: 100, takes: 20 * time.Millisecond})
		qt.Check(t, a.Load().PacedLevel > admitter.NewPriority(ordinary, false, 0), qt.IsTrue, qt.Commentf("%d", a.Load().PacedLevel))
	})
}

// TestWaiterBeginsWhenLimitAllows checks that a request that waits for the limit begins
// as soon as that allows it, without another request or answer.
func TestWaiterBeginsWhenLimitAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
		a.SetSlots(50, 0)
		a.SetTargetLimit(4, true)
		began := time.Now()
		_, err := a.Admit(context.Background(), "team", 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(began) <= 251*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}

// TestEndedLimitServesWaiters checks that requests that wait begin at once when the
// target names no limit any more.
func TestEndedLimitServesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
		a.SetSlots(50, 0)
		a.SetTargetLimit(1, true)
		done := make(chan result, 1)
		request := &admission{a, 0, "team", done}
		go request.run()
		synctest.Wait()
		qt.Assert(t, a.Load().Queued, qt.Equals, 1)
		began := time.Now()
		a.SetTargetLimit(0, false)
		qt.Assert(t, (<-done).err, qt.IsNil)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		// The wake-up for the next request ends, too.
		time.Sleep(time.Second)
	})
}
