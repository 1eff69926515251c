package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// demandSimulation applies a load to a demand: requests arrive at random, the entry
// nodes know the level of some time ago, and those that pass reach the target after
// the rest of the delay.
type demandSimulation struct {
	demand  demand
	random  *rand.Rand
	now     time.Time
	delay   time.Duration
	offered float64
	// advertised holds the level at the beginning of each step, onWay the requests that
	// reach the target in it.
	advertised []Priority
	onWay      map[int][]weightedArrival
	step       int
	// arrived and admitted count the requests at the entry nodes by rank.
	arrived, admitted map[uint32]float64
}

type weightedArrival struct {
	priority Priority
	weight   float64
}

const (
	demandStep     = 10 * time.Millisecond
	demandSlots    = 138
	demandSlotTime = 45 * time.Millisecond
	// demandCapacity is the number of requests a second that fill the slots.
	demandCapacity = 3066.0
)

func newDemandSimulation(delay time.Duration) *demandSimulation {
	return &demandSimulation{
		random: rand.New(rand.NewPCG(7, 1)), now: time.Unix(1000, 0), delay: delay,
		onWay: map[int][]weightedArrival{}, arrived: map[uint32]float64{}, admitted: map[uint32]float64{},
	}
}

func (s *demandSimulation) run(duration time.Duration) {
	half := int(s.delay / 2 / demandStep)
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(demandStep) {
		s.advertised = append(s.advertised, s.demand.level)
		level := s.advertised[max(s.step-half, 0)]
		expected := s.offered * demandStep.Seconds()
		for range int(expected + s.random.Float64()) {
			rank := []uint32{7, 10, 10, 15}[s.random.IntN(4)]
			passing := 1 - min(max(float64(level)-float64(NewPriority(rank, false, 0)), 0), 254)/hashCount
			passing = max(passing, floorFraction*min(1, demandCapacity/s.offered))
			s.arrived[rank]++
			if s.random.Float64() >= passing {
				continue
			}
			s.admitted[rank]++
			s.onWay[s.step+half] = append(s.onWay[s.step+half], weightedArrival{NewPriority(rank, true, 0), 1 / passing})
		}
		for _, a := range s.onWay[s.step] {
			s.demand.recordArrival(a.priority, a.weight)
			s.demand.recordEnd(a.priority, demandSlotTime)
		}
		delete(s.onWay, s.step)
		s.demand.advance(s.now, demandSlots, 0, demandSlotTime)
		s.step++
	}
}

func (s *demandSimulation) resetCounts() {
	s.arrived, s.admitted = map[uint32]float64{}, map[uint32]float64{}
}

// TestDemandFindsLevelDespiteDelay simulates overloads of 1.2 to 3 times, with feedback
// delays of 0.2 to 1.5 s. From half a second and the delay after the beginning on, the
// admitted requests must fill 85 to 105 % of the slots in each quarter of a second, the
// higher rank must not lose any, and one second and the delay after the end none may be
// rejected. A level that oscillates with the delay fails this.
func TestDemandFindsLevelDespiteDelay(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond} {
		for _, overload := range []float64{1.2, 1.7, 3} {
			s := newDemandSimulation(delay)
			s.offered = 0.8 * demandCapacity
			s.run(2 * time.Second)
			s.offered = overload * demandCapacity
			s.run(500*time.Millisecond + delay)
			s.resetCounts()
			for range 20 {
				before := sum(s.admitted)
				s.run(250 * time.Millisecond)
				fill := (sum(s.admitted) - before) / (demandCapacity / 4)
				qt.Check(t, fill > 0.85 && fill < 1.05, qt.IsTrue, qt.Commentf("delay %v, overload %v: %.2f", delay, overload, fill))
			}
			if overload < 2 {
				qt.Check(t, s.admitted[15], qt.Equals, s.arrived[15], qt.Commentf("delay %v, overload %v", delay, overload))
			}
			s.offered = 0.5 * demandCapacity
			s.run(time.Second + delay)
			s.resetCounts()
			s.run(time.Second)
			qt.Check(t, sum(s.admitted), qt.Equals, sum(s.arrived), qt.Commentf("delay %v, overload %v", delay, overload))
		}
	}
}

// TestDemandRejectsNothingBelowCapacity checks that the level stays 0 at 92 % of the
// capacity, where random arrivals exceed the capacity in single windows.
func TestDemandRejectsNothingBelowCapacity(t *testing.T) {
	s := newDemandSimulation(800 * time.Millisecond)
	s.offered = 0.92 * demandCapacity
	s.run(30 * time.Second)
	qt.Assert(t, sum(s.admitted), qt.Equals, sum(s.arrived))
}

// TestUnknownWeightsCountAsTheMean checks that calls whose parent is unknown do not
// hide what the entry nodes hold back.
func TestUnknownWeightsCountAsTheMean(t *testing.T) {
	var known, mixed demand
	now := time.Unix(1000, 0)
	for range 20 {
		for i := range 400 {
			known.recordArrival(NewPriority(9, true, 0), 2)
			weight := 2.0
			if i%2 == 0 {
				weight = UnknownWeight
			}
			mixed.recordArrival(NewPriority(9, true, 0), weight)
		}
		known.recordEnd(NewPriority(9, true, 0), demandSlotTime)
		mixed.recordEnd(NewPriority(9, true, 0), demandSlotTime)
		now = now.Add(demandInterval)
		known.advance(now, demandSlots, 0, demandSlotTime)
		mixed.advance(now, demandSlots, 0, demandSlotTime)
	}
	qt.Assert(t, known.level > 0, qt.IsTrue)
	qt.Assert(t, mixed.level, qt.Equals, known.level)
}

// TestFullQueueStandsAtCapacity guards against a queue that stays full while the demand is just
// within the capacity: each call of a chain waits in it. The level must leave as much of the
// limit as works the queue off in half a second.
func TestFullQueueStandsAtCapacity(t *testing.T) {
	const queued = 2 * demandSlots
	for _, load := range []float64{0.96, 0.99, 1.01} {
		var d demand
		now := time.Unix(1000, 0)
		for range 20 {
			for range int(load * demandCapacity * demandInterval.Seconds()) {
				d.recordArrival(NewPriority(10, true, 0), 1)
				d.recordEnd(NewPriority(10, true, 0), demandSlotTime)
			}
			now = now.Add(demandInterval)
			d.advance(now, demandSlots, queued, demandSlotTime)
		}
		passing := 1 - (float64(d.level)-float64(NewPriority(10, false, 0)))/hashCount
		needed := queued * demandSlotTime.Seconds() / 0.5
		qt.Check(t, d.level > 0 && passing*load*demandSlots <= demandSlots-needed, qt.IsTrue, qt.Commentf("load %v: level %d", load, d.level))
	}
}
