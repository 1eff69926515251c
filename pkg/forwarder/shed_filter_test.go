package forwarder

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// shedEntry is the shed filter of an entry node whose answers carry one level.
type shedEntry struct {
	forwarder *Forwarder
	clock     timekeeper.Manual
	random    *rand.Rand
	// level is what answers carry; there are none while silent is set.
	level  admitter.Priority
	silent bool
}

func newShedEntry(level admitter.Priority) *shedEntry {
	e := &shedEntry{random: rand.New(rand.NewPCG(17, 1)), level: level}
	e.clock.Advance(time.Hour)
	e.forwarder = &Forwarder{deps: Deps{Clock: &e.clock}}
	return e
}

// send lets one root request of a rank arrive. It returns nil if the request is held back.
func (e *shedEntry) send(rank uint32) *Exchange {
	x := &Exchange{
		writer: discardWriter{}, dialect: &replayRefusal{}, startedAt: e.clock.Now(), route: &declarer.Route{Name: "root"},
		hop: &control.Hop{Service: "front", Route: "root", Rank: rank, Root: e.random.Uint32(), Team: "acme"},
	}
	var passed *Exchange
	(&shedFilter{e.forwarder}).Serve(x, func(*Exchange) { passed = x })
	return passed
}

// discardWriter is an http.ResponseWriter of which nothing is read.
type discardWriter struct{}

// Header implements http.ResponseWriter.
func (discardWriter) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// run sends 100 requests a second of each rank for some time, and answers what passes. It
// returns the fraction that passed, and the sum of the weights over what arrived, by rank.
func (e *shedEntry) run(duration time.Duration, ranks ...uint32) (passed, weight map[uint32]float64) {
	passed, weight = map[uint32]float64{}, map[uint32]float64{}
	count := 0.0
	for end := e.clock.Now().Add(duration); e.clock.Now().Before(end); e.clock.Advance(10 * time.Millisecond) {
		count++
		for _, rank := range ranks {
			x := e.send(rank)
			if x == nil {
				continue
			}
			h := http.Header{}
			setWeightHeader(h, x)
			w, _ := readWeight(h)
			passed[rank]++
			weight[rank] += w
			if !e.silent {
				e.forwarder.recordLevel(x, e.level, e.clock.Now())
			}
		}
	}
	for _, rank := range ranks {
		passed[rank] /= count
		weight[rank] /= count
	}
	return passed, weight
}

// TestHeldBackRequestsHideDemand guards against a level that falls as soon as entry nodes hold
// requests back: those that pass must stand for all that arrive.
func TestHeldBackRequestsHideDemand(t *testing.T) {
	e := newShedEntry(admitter.NewPriority(10, false, 192<<24))
	e.run(2*time.Second, 10)
	passed, weight := e.run(20*time.Second, 10)
	qt.Check(t, passed[10] > 0.2 && passed[10] < 0.3, qt.IsTrue, qt.Commentf("%v", passed))
	qt.Check(t, weight[10] > 0.9 && weight[10] < 1.1, qt.IsTrue, qt.Commentf("%v", weight))
}

// TestLowestRankStarves guards against lasting overload that leaves a rank nothing: each must
// get at least a quarter of the mean fraction that passes.
func TestLowestRankStarves(t *testing.T) {
	e := newShedEntry(admitter.NewPriority(10, false, 64<<24))
	e.run(3*time.Second, 9, 10, 11)
	passed, _ := e.run(200*time.Second, 9, 10, 11)
	mean := (passed[9] + passed[10] + passed[11]) / 3
	// 20,000 requests pass at random.
	const samplingError = 0.05
	qt.Check(t, passed[9] >= mean/4*(1-samplingError), qt.IsTrue, qt.Commentf("%v", passed))
}

// TestLostAnswersEndShedding guards against entry nodes that let everything pass while an
// overload keeps answers from coming: for as long as a chain of calls takes, what was held
// back must stay held back, but for a probe each half second and the floor.
func TestLostAnswersEndShedding(t *testing.T) {
	const chainTime = 1500 * time.Millisecond
	e := newShedEntry(admitter.NewPriority(11, false, 0))
	e.run(2*time.Second, 10)
	e.silent = true
	passed, _ := e.run(chainTime, 10)
	// Of 150 requests three pass as probes, and 1 % more at random.
	qt.Check(t, passed[10]*150 <= 8, qt.IsTrue, qt.Commentf("%v", passed))
	e.silent, e.level = false, 0
	e.run(time.Second, 10)
	passed, _ = e.run(time.Second, 10)
	qt.Check(t, passed[10], qt.Equals, 1.0)
}
