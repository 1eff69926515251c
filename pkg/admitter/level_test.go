package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulation applies the load of one target to a level: requests of several ranks
// arrive at a constant rate, the entry nodes reject those below the level that
// was advertised some time ago, and the target serves at a fixed rate.
type simulation struct {
	level   level
	random  *rand.Rand
	now     time.Time
	backlog float64
	// running is the number of requests that occupy a slot of the target.
	running float64
	// capacity and offered are requests per second.
	capacity float64
	offered  float64
	// ranks are the ranks from which that of each request is drawn.
	ranks []uint32
	// advertised holds the level at the beginning of each step.
	advertised []Priority
	// admitted counts the requests that the entry nodes admitted, by rank,
	// arrived all requests.
	admitted, arrived map[uint32]float64
}

const (
	simulationStep = 10 * time.Millisecond
	// levelDelaySteps is the number of steps until the entry nodes know a level.
	levelDelaySteps = 30
	// simulatedServiceTime is the time of one request in the target.
	simulatedServiceTime = 150 * time.Millisecond
)

func newSimulation(capacity float64, ranks ...uint32) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(5, 1)), now: time.Unix(1000, 0), capacity: capacity, ranks: ranks,
		admitted: map[uint32]float64{}, arrived: map[uint32]float64{},
	}
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		s.advertised = append(s.advertised, s.level.threshold())
		advertised := s.advertised[max(len(s.advertised)-levelDelaySteps, 0)]
		for range int(s.offered*simulationStep.Seconds()*100) / 100 {
			rank := s.ranks[s.random.IntN(len(s.ranks))]
			p := NewPriority(rank, false, s.random.Uint32())
			s.arrived[rank]++
			if p < advertised {
				continue
			}
			s.admitted[rank]++
			s.backlog++
			s.level.recordArrival(p, min(1, (s.running+1)/s.slots()))
		}
		wait := time.Duration(s.backlog / s.capacity * float64(time.Second))
		s.level.recordWait(wait)
		s.level.rejected = wait > simulatedServiceTime
		if wait > simulatedServiceTime {
			s.backlog = s.capacity * simulatedServiceTime.Seconds()
		}
		ended := s.running * simulationStep.Seconds() / simulatedServiceTime.Seconds()
		begun := min(s.backlog, s.slots()-s.running+ended)
		s.running += begun - ended
		s.backlog -= begun
		s.level.advance(s.now, simulatedServiceTime)
	}
}

// slots is the number of requests that the target can run at once.
func (s *simulation) slots() float64 { return s.capacity * simulatedServiceTime.Seconds() }

func (s *simulation) resetCounts() {
	s.admitted, s.arrived = map[uint32]float64{}, map[uint32]float64{}
}

func sum(counts map[uint32]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// TestSurgeRejectsLowerRankFirst simulates surges of 1.7 and 3 times the target's
// capacity. The entry nodes must still admit nearly the capacity, and a larger
// fraction of the higher rank's requests than of the lower one's.
func TestSurgeRejectsLowerRankFirst(t *testing.T) {
	for _, surge := range []float64{1.7, 3} {
		const capacity = 400
		s := newSimulation(capacity, 9, 9, 9, 11)
		s.offered = capacity * surge
		s.run(5 * time.Second)
		s.resetCounts()
		s.run(10 * time.Second)
		// The objective is 90% of the capacity of the slots.
		qt.Check(t, sum(s.admitted) >= 0.9*capacity*10, qt.IsTrue, qt.Commentf("surge %v: %v", surge, sum(s.admitted)))
		qt.Check(t, s.admitted[11]/s.arrived[11] > s.admitted[9]/s.arrived[9], qt.IsTrue, qt.Commentf("surge %v: %v of %v", surge, s.admitted, s.arrived))
	}
}

// TestLevelFallsAfterSurge checks that from two seconds after a surge on, the
// entry nodes admit at least 95% of the requests.
func TestLevelFallsAfterSurge(t *testing.T) {
	const capacity = 400
	s := newSimulation(capacity, 9, 11)
	s.offered = 3 * capacity
	s.run(10 * time.Second)
	s.offered = capacity / 2
	s.run(2 * time.Second)
	s.resetCounts()
	s.run(2 * time.Second)
	qt.Assert(t, sum(s.admitted) >= 0.95*sum(s.arrived), qt.IsTrue, qt.Commentf("%v of %v", s.admitted, s.arrived))
}

// TestLevelRejectsNothingBelowCapacity checks that the entry nodes admit all
// requests at three quarters of the target's capacity.
func TestLevelRejectsNothingBelowCapacity(t *testing.T) {
	s := newSimulation(400, 9, 11)
	s.offered = 300
	s.run(10 * time.Second)
	qt.Assert(t, sum(s.admitted), qt.Equals, sum(s.arrived))
}
