package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replay feeds a level with the load of one target: requests of several ranks
// arrive steadily, the entry nodes refuse what is below the level that they
// heard some time ago, and the target serves at a fixed rate.
type replay struct {
	level   level
	random  *rand.Rand
	now     time.Time
	backlog float64
	// running is how many requests the target runs, of all its slots.
	running float64
	// capacity and offered are requests per second.
	capacity float64
	offered  float64
	// ranks of the requests, one drawn for each.
	ranks []uint32
	heard []Priority
	// served counts requests that were let through, by rank, asked all.
	served, asked map[uint32]float64
}

const (
	replayStep = 10 * time.Millisecond
	// replayDelay is how many steps a level takes to be heard.
	replayDelay = 30
	// replayService is the time of one request in the target.
	replayService = 150 * time.Millisecond
)

func newReplay(capacity float64, ranks ...uint32) *replay {
	return &replay{
		random: rand.New(rand.NewPCG(5, 1)), now: time.Unix(1000, 0), capacity: capacity, ranks: ranks,
		served: map[uint32]float64{}, asked: map[uint32]float64{},
	}
}

func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(replayStep) {
		r.heard = append(r.heard, r.level.value())
		heard := r.heard[max(len(r.heard)-replayDelay, 0)]
		for range int(r.offered*replayStep.Seconds()*100) / 100 {
			rank := r.ranks[r.random.IntN(len(r.ranks))]
			p := NewPriority(rank, false, r.random.Uint32())
			r.asked[rank]++
			if p < heard {
				continue
			}
			r.served[rank]++
			r.backlog++
			r.level.arrive(p, min(1, (r.running+1)/r.slots()))
		}
		wait := time.Duration(r.backlog / r.capacity * float64(time.Second))
		r.level.waited(wait)
		r.level.refused = wait > replayService
		if wait > replayService {
			r.backlog = r.capacity * replayService.Seconds()
		}
		ended := r.running * replayStep.Seconds() / replayService.Seconds()
		begun := min(r.backlog, r.slots()-r.running+ended)
		r.running += begun - ended
		r.backlog -= begun
		r.level.step(r.now, replayService)
	}
}

// slots are how many requests the target runs at once.
func (r *replay) slots() float64 { return r.capacity * replayService.Seconds() }

func (r *replay) reset() { r.served, r.asked = map[uint32]float64{}, map[uint32]float64{} }

func sum(counts map[uint32]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// TestSurgeIsRefusedFromBelow replays a surge of 1.7 and of 3 times what the
// target serves: nearly all that it can do is let through, and the higher rank
// loses less than the lower one.
func TestSurgeIsRefusedFromBelow(t *testing.T) {
	for _, surge := range []float64{1.7, 3} {
		const capacity = 400
		r := newReplay(capacity, 9, 9, 9, 11)
		r.offered = capacity * surge
		r.run(5 * time.Second)
		r.reset()
		r.run(10 * time.Second)
		// What the slots allow, of which the stated target is nine tenths.
		qt.Check(t, sum(r.served) >= 0.9*capacity*10, qt.IsTrue, qt.Commentf("surge %v: %v", surge, sum(r.served)))
		qt.Check(t, r.served[11]/r.asked[11] > r.served[9]/r.asked[9], qt.IsTrue, qt.Commentf("surge %v: %v of %v", surge, r.served, r.asked))
	}
}

// TestLevelFallsSoonAfterASurge wants 95% let through two seconds after it.
func TestLevelFallsSoonAfterASurge(t *testing.T) {
	const capacity = 400
	r := newReplay(capacity, 9, 11)
	r.offered = 3 * capacity
	r.run(10 * time.Second)
	r.offered = capacity / 2
	r.run(2 * time.Second)
	r.reset()
	r.run(2 * time.Second)
	qt.Assert(t, sum(r.served) >= 0.95*sum(r.asked), qt.IsTrue, qt.Commentf("%v of %v", r.served, r.asked))
}

// TestNoLoadNoLevel refuses nothing while there is room.
func TestNoLoadNoLevel(t *testing.T) {
	r := newReplay(400, 9, 11)
	r.offered = 300
	r.run(10 * time.Second)
	qt.Assert(t, sum(r.served), qt.Equals, sum(r.asked))
}
