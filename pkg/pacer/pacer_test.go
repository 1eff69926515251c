package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// The stated bound: no 4 s may hold more than one and a half times what the limit
// allows, and 5 requests.
const statedWindow = 4 * time.Second

func statedBound(rate float64) int { return int(1.5*rate*statedWindow.Seconds() + 5) }

// replay sends requests to a pacer at a mean rate, and holds the times at which they
// begin.
type replay struct {
	pacer  pacer.Pacer
	random *rand.Rand
	now    time.Time
	begun  []time.Time
}

func newReplay(seed uint64) *replay {
	return &replay{random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
}

// run sends requests for so long. backsOff says whether senders, of which there are so
// many, keep to the delay that they are given.
func (r *replay) run(length time.Duration, load float64, senders int, backsOff bool) {
	pausedUntil := make([]time.Time, senders)
	for end := r.now.Add(length); r.now.Before(end); {
		r.now = r.now.Add(time.Duration(r.random.ExpFloat64() / load * float64(time.Second)))
		sender := r.random.IntN(senders)
		if backsOff && r.now.Before(pausedUntil[sender]) {
			continue
		}
		r.pacer.RecordArrival(r.now)
		if r.pacer.Ready(r.now) {
			r.pacer.Begin(r.now)
			r.begun = append(r.begun, r.now)
			continue
		}
		backoff := r.pacer.Backoff(r.now)
		pausedUntil[sender] = r.now.Add(backoff + time.Duration(r.random.Float64()*float64(backoff)))
	}
}

// most returns the highest number of requests in a stated window.
func (r *replay) most() int {
	most, first := 0, 0
	for i, at := range r.begun {
		for at.Sub(r.begun[first]) >= statedWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitHoldsUnderExcessLoad replays 3 times the limit and more from 2 to 10 nodes:
// never more than the stated bound in 4 s, from the moment at which the limit is named,
// and at least 0.8 of the limit is used.
func TestLimitHoldsUnderExcessLoad(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 0.5, 1, 7.8, 10, 200} {
		for _, senders := range []int{2, 10} {
			for _, backsOff := range []bool{false, true} {
				for seed := range uint64(20) {
					r := newReplay(seed)
					r.pacer.SetLimit(rate, true, r.now)
					const length = 30 * time.Second
					r.run(length, max(3*rate, 40), senders, backsOff)
					name := fmt.Sprintf("limit %v, %d senders, back off %v, seed %d", rate, senders, backsOff, seed)
					qt.Assert(t, r.most() <= statedBound(rate), qt.IsTrue, qt.Commentf("%s: %d in 4 s", name, r.most()))
					used := float64(len(r.begun))
					qt.Assert(t, used >= 0.8*rate*length.Seconds(), qt.IsTrue, qt.Commentf("%s: %v begun", name, used))
				}
			}
		}
	}
}

// TestLimitHoldsAfterSilence replays a node that is suspended, or without requests, and
// then gets many at once: what was unused may not be made up for beyond the bound.
func TestLimitHoldsAfterSilence(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 10, 200} {
		r := newReplay(7)
		r.pacer.SetLimit(rate, true, r.now)
		for range 6 {
			r.run(3*time.Second, 100, 4, false)
			r.now = r.now.Add(time.Minute)
			for range 1000 {
				r.pacer.RecordArrival(r.now)
				if r.pacer.Ready(r.now) {
					r.pacer.Begin(r.now)
					r.begun = append(r.begun, r.now)
				}
			}
		}
		qt.Check(t, r.most() <= statedBound(rate), qt.IsTrue, qt.Commentf("limit %v: %d in 4 s", rate, r.most()))
	}
}

// TestLimitHoldsWhileItChanges replays a limit that changes and ends by turns: no 4 s
// hold more than the bound of the highest limit in them, while there is one.
func TestLimitHoldsWhileItChanges(t *testing.T) {
	r := newReplay(11)
	for range 50 {
		for _, rate := range []float64{20, 5, 12, 1} {
			r.pacer.SetLimit(rate, true, r.now)
			r.run(300*time.Millisecond, 200, 4, false)
		}
	}
	qt.Check(t, r.most() <= statedBound(20), qt.IsTrue, qt.Commentf("%d in 4 s", r.most()))
	r.pacer.SetLimit(0, false, r.now)
	r.begun = nil
	r.run(time.Second, 200, 4, false)
	qt.Check(t, len(r.begun) > 150, qt.IsTrue, qt.Commentf("%d", len(r.begun)))
}

// TestLimitOfZeroIsTried checks that a target that names a limit of 0 still gets a
// request now and then, since only an answer can end the limit.
func TestLimitOfZeroIsTried(t *testing.T) {
	r := newReplay(13)
	r.pacer.SetLimit(0, true, r.now)
	r.run(20*time.Second, 50, 2, false)
	qt.Check(t, len(r.begun) >= 4, qt.IsTrue, qt.Commentf("%d", len(r.begun)))
	qt.Check(t, r.most() <= statedBound(0), qt.IsTrue)
}
