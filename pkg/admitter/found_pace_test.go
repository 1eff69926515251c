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

// startedTarget is a target with 100 slots whose requests take exponentially distributed
// times: at first a multiple of the usual mean, in proportion to what runs, since what
// it lacks is shared by all.
type startedTarget struct {
	admitter *admitter.Admitter
	mean     time.Duration
	warmAt   time.Time

	mu      sync.Mutex
	random  *rand.Rand
	running int
	// peak is the highest number that ran at once before warmAt, and ends are the times
	// at which requests ended.
	peak int
	ends []time.Time
	// rejected counts the requests without a slot by cause.
	rejected map[string]int
}

const startedSlots = 100

// serve runs a request.
func (s *startedTarget) serve() {
	ticket, err := s.admitter.Admit(context.Background(), "team", 0)
	if err != nil {
		s.reject(err)
		return
	}
	s.mu.Lock()
	s.running++
	took := s.random.ExpFloat64() * float64(s.mean)
	if time.Now().Before(s.warmAt) {
		s.peak = max(s.peak, s.running)
		took *= 2 + 4*float64(s.running)/startedSlots
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(took))
	s.mu.Lock()
	s.running--
	s.ends = append(s.ends, time.Now())
	s.mu.Unlock()
	ticket.RecordAnswer()
	ticket.Done(0, false)
}

// reject counts a request that got no slot.
func (s *startedTarget) reject(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var paced *admitter.PacedError
	if errors.As(err, &paced) && paced.Held {
		s.rejected["held"]++
		return
	}
	s.rejected["load"]++
}

// load sends requests at a mean rate for so long.
func (s *startedTarget) load(rate float64, length time.Duration) {
	random := rand.New(rand.NewPCG(9, 9))
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		running.Go(s.serve)
	}
	running.Wait()
}

// endedBetween counts the requests that ended within a time after a moment.
func (s *startedTarget) endedBetween(from time.Time, after, until time.Duration) int {
	count := 0
	for _, at := range s.ends {
		if d := at.Sub(from); d >= after && d < until {
			count++
		}
	}
	return count
}

func newStartedTarget(seed uint64) *startedTarget {
	a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
	a.UseFoundPace()
	a.SetSlots(startedSlots, 0)
	s := &startedTarget{admitter: a, mean: 100 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 4)), rejected: map[string]int{}}
	// A first life, so that the usual time is known.
	s.load(600, 5*time.Second)
	s.ends, s.rejected = nil, map[string]int{}
	a.SetSlots(startedSlots, 0)
	return s
}

// TestSlowStartIsOverloaded guards against a target that gets most of its slots at once
// though it is several times slower after its start, and against one that isn't used in
// full within a second of the end of that.
func TestSlowStartIsOverloaded(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			s := newStartedTarget(seed)
			start := time.Now()
			s.warmAt = start.Add(3 * time.Second)
			s.load(700, 6*time.Second)
			// Before, it got 60 and more.
			qt.Check(t, s.peak <= 45, qt.IsTrue, qt.Commentf("seed %d: %d at once", seed, s.peak))
			served := s.endedBetween(s.warmAt, time.Second, 2*time.Second)
			qt.Check(t, served >= 600, qt.IsTrue, qt.Commentf("seed %d: %d in the second after the first", seed, served))
		})
	}
}

// TestFastStartIsLeftIdle guards against a target that is as fast as ever from its start
// on, and gets its full rate only after a fixed time.
func TestFastStartIsLeftIdle(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			s := newStartedTarget(seed)
			start := time.Now()
			s.load(700, 3*time.Second)
			served := s.endedBetween(start, time.Second, 2*time.Second)
			qt.Check(t, served >= 600, qt.IsTrue, qt.Commentf("seed %d: %d in the second after the first", seed, served))
			qt.Check(t, s.admitter.Load().Held, qt.IsFalse)
		})
	}
}

// TestSlowerTargetIsHeldBackForGood guards against a target that has become three times
// slower with its restart and never gets all its slots again.
func TestSlowerTargetIsHeldBackForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartedTarget(1)
		s.mean *= 3
		s.load(700, 12*time.Second)
		qt.Check(t, s.admitter.Load().Held, qt.IsFalse)
	})
}

// TestRecoveryBeginsLow guards against a target that answers nothing for a time and then
// gets all its slots at once.
func TestRecoveryBeginsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartedTarget(1)
		s.load(600, 2*time.Second)
		qt.Assert(t, s.admitter.Load().Limit > 90, qt.IsTrue)
		for range 3 {
			ticket, err := s.admitter.Admit(context.Background(), "team", 0)
			qt.Assert(t, err, qt.IsNil)
			ticket.RecordNoAnswer()
			ticket.Done(0, false)
		}
		qt.Check(t, s.admitter.Load().Limit, qt.Equals, startedSlots/4)
		s.load(600, 2*time.Second)
		qt.Check(t, s.admitter.Load().Limit > 90, qt.IsTrue)
	})
}

// TestHeldTargetShedsAtEntries guards against a starting target whose few slots make entry
// nodes refuse requests that other targets have room for: its rejections say that it is
// held back, and raise only the level that counts when no target takes a request.
func TestHeldTargetShedsAtEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartedTarget(1)
		s.warmAt = time.Now().Add(3 * time.Second)
		s.load(700, 2*time.Second)
		qt.Check(t, s.admitter.Load().Level, qt.Equals, admitter.Priority(0))
		qt.Check(t, s.rejected["held"] > 100, qt.IsTrue, qt.Commentf("%v", s.rejected))
		qt.Check(t, s.rejected["load"], qt.Equals, 0)
	})
}

// TestFullRateAfterColdTime guards against a target whose stated cold time is over and
// that its answers hold back for longer than a second.
func TestFullRateAfterColdTime(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			s := newStartedTarget(seed)
			s.admitter.SetColdBound(firstDeployment)
			time.Sleep(2 * time.Second)
			s.warmAt = time.Now().Add(3 * time.Second)
			s.admitter.SetSlots(startedSlots, 3*time.Second)
			var running sync.WaitGroup
			running.Go(func() { reportEvery(s.admitter, s.warmAt, 6*time.Second) })
			synctest.Wait()
			s.load(700, 6*time.Second)
			running.Wait()
			served := s.endedBetween(s.warmAt, time.Second, 2*time.Second)
			qt.Check(t, served >= 600, qt.IsTrue, qt.Commentf("seed %d: %d in the second after the first", seed, served))
			cold := s.endedBetween(s.warmAt, -2*time.Second, 0)
			qt.Check(t, cold <= 33, qt.IsTrue, qt.Commentf("seed %d: %d in 2 s", seed, cold))
			time.Sleep(2 * time.Second)
		})
	}
}

// TestGapBeginsLow guards against a target that was out of sight, without reports and
// answers, and gets all its slots with its next report.
func TestGapBeginsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartedTarget(1)
		s.admitter.ReportCold(0, true)
		s.load(600, 2*time.Second)
		s.admitter.ReportCold(0, true)
		qt.Assert(t, s.admitter.Load().Limit > 90, qt.IsTrue)
		time.Sleep(2 * time.Second)
		s.admitter.ReportCold(0, true)
		qt.Assert(t, s.admitter.Load().Limit > 90, qt.IsTrue)
		time.Sleep(3 * time.Second)
		s.admitter.ReportCold(0, true)
		qt.Check(t, s.admitter.Load().Limit, qt.Equals, startedSlots/4)
	})
}
