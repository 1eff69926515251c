package shedder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entry feeds one entry node: every route gets the same number of requests.
type entry struct {
	chains Chains
	now    time.Time
	passed map[string]float64
	total  map[string]float64
}

func newEntry() *entry { return &entry{now: time.Unix(1000, 0)} }

// request is a route with the outcome of its requests.
type request struct {
	key     Key
	held    float64
	outcome Outcome
	// succeedEvery is the number of begun requests of which one succeeds; 0 for none.
	succeedEvery int
	begun        int
}

// run sends 50 requests a second of each route for a time, and counts the shares that
// pass. Without answers, the entry node learns nothing.
func (e *entry) run(duration time.Duration, answers bool, requests ...*request) {
	e.passed, e.total = map[string]float64{}, map[string]float64{}
	for end := e.now.Add(duration); e.now.Before(end); e.now = e.now.Add(20 * time.Millisecond) {
		for i, r := range requests {
			d := e.chains.Decide(r.key, e.now)
			e.total[r.key.Route]++
			e.passed[r.key.Route] += d.Share
			// The hash of the root is spread evenly.
			hash := float64((int(e.now.UnixMilli()/20)*97 + i*31) % hashCount)
			if !answers || (hash < hashCount*(1-d.Share) && !d.Probe) {
				continue
			}
			r.begun++
			o := r.outcome
			o.Succeeded = r.succeedEvery > 0 && r.begun%r.succeedEvery == 0
			o.CallFailed = o.CallFailed && !o.Succeeded
			if o.CallFailed && o.Calls > 0 {
				o.Calls, o.FailedCalls = 1, 1
			}
			e.chains.RecordLevel(r.key, r.held, e.now)
			e.chains.RecordOutcome(r.key, o, e.now)
		}
	}
}

func (e *entry) share(route string) float64 { return e.passed[route] / e.total[route] }

func costly(route string, rank uint32, held float64, cost time.Duration) *request {
	return &request{key: Key{"s", route, rank}, held: held, outcome: Outcome{Cost: cost, CallFailed: true}, succeedEvery: 1}
}

// TestLeastSuccessPerCostIsHeldBackFirst checks that of three routes of one rank, which
// must hold back 0.4 of their cost together, the most costly one keeps only the floor,
// the cheap ones pass whole, and a route without a cost is not touched. Shedding all in
// equal parts, as by the level alone, fails this.
func TestLeastSuccessPerCostIsHeldBackFirst(t *testing.T) {
	e := newEntry()
	one, four, eight := costly("one", 7, 0.4, 45*time.Millisecond), costly("four", 7, 0.4, 180*time.Millisecond), costly("eight", 7, 0.4, 360*time.Millisecond)
	none := &request{key: Key{"s", "none", 7}, succeedEvery: 1}
	e.run(2*time.Second, true, one, four, eight, none)
	e.run(2*time.Second, true, one, four, eight, none)
	comment := qt.Commentf("%v of %v", e.passed, e.total)
	qt.Check(t, e.share("none"), qt.Equals, 1.0, comment)
	qt.Check(t, e.share("one") > 0.99, qt.IsTrue, comment)
	qt.Check(t, e.share("four") > 0.9, qt.IsTrue, comment)
	// 0.4 of a cost of 45 + 180 + 360 are 234 of the 360 of this route.
	qt.Check(t, e.share("eight") > 0.3 && e.share("eight") < 0.4, qt.IsTrue, comment)
}

// TestEachRouteKeepsAFloor checks that a route that is held back wholly keeps a quarter
// of the mean share, also one of a lower rank.
func TestEachRouteKeepsAFloor(t *testing.T) {
	e := newEntry()
	high, low := costly("high", 11, 0.2, 100*time.Millisecond), costly("low", 3, 1, 100*time.Millisecond)
	e.run(3*time.Second, true, high, low)
	e.run(3*time.Second, true, high, low)
	// The mean share is 0.4, the floor 0.1.
	qt.Check(t, e.share("low") > 0.09 && e.share("low") < 0.2, qt.IsTrue, qt.Commentf("%v of %v", e.passed, e.total))
	qt.Check(t, e.share("high") > 0.78, qt.IsTrue, qt.Commentf("%v of %v", e.passed, e.total))
}

// TestHopelessRouteIsRefused checks that a route of the highest rank whose chains of
// calls never succeed is refused but for probes while another does better, and passes
// again at once after a success. When the first target itself fails, or no route does
// better, nothing is refused.
func TestHopelessRouteIsRefused(t *testing.T) {
	e := newEntry()
	chain, single := costly("chain", 15, 0, 0), costly("single", 3, 0, 0)
	chain.succeedEvery, single.succeedEvery = 0, 2
	e.run(2*time.Second, true, chain, single)
	begun := chain.begun
	e.run(10*time.Second, true, chain, single)
	qt.Check(t, e.share("chain") < 0.02, qt.IsTrue, qt.Commentf("%v of %v", e.passed, e.total))
	qt.Check(t, e.share("single"), qt.Equals, 1.0)
	// Two of 256 are 4 of 500; a probe every 0.7 s are 14.
	qt.Check(t, chain.begun-begun >= 8 && chain.begun-begun <= 22, qt.IsTrue, qt.Commentf("%d", chain.begun-begun))
	chain.succeedEvery = 1
	e.run(time.Second, true, chain, single)
	e.run(time.Second, true, chain, single)
	qt.Check(t, e.share("chain"), qt.Equals, 1.0, qt.Commentf("%v of %v", e.passed, e.total))

	e = newEntry()
	chain.succeedEvery, chain.outcome.CallFailed = 0, false
	e.run(4*time.Second, true, chain, single)
	qt.Check(t, e.share("chain"), qt.Equals, 1.0)

	e = newEntry()
	chain.outcome.CallFailed, single.succeedEvery = true, 0
	e.run(4*time.Second, true, chain, single)
	qt.Check(t, e.share("chain"), qt.Equals, 1.0)
}

// TestChainIsPredictedFromCalls checks that a chain of eight calls is refused within half
// a second after single calls begin to fail in every second case, long before its own
// outcomes show it, passes again within a second after single calls succeed, and that a
// chain of the same length whose own calls succeed is not touched.
func TestChainIsPredictedFromCalls(t *testing.T) {
	e := newEntry()
	chain, single, other := costly("chain", 15, 0, 0), costly("single", 3, 0, 0), costly("other", 3, 0, 0)
	chain.outcome.Calls, single.outcome.Calls, other.outcome.Calls = 8, 1, 8
	e.run(2*time.Second, true, chain, single, other)
	chain.succeedEvery, single.succeedEvery = 0, 2
	e.run(500*time.Millisecond, true, chain, single)
	begun := chain.begun
	e.run(time.Second, true, chain, single)
	qt.Check(t, chain.begun-begun <= 4, qt.IsTrue, qt.Commentf("%d", chain.begun-begun))
	e.run(time.Second, true, chain, single, other)
	qt.Check(t, e.share("other"), qt.Equals, 1.0, qt.Commentf("%v of %v", e.passed, e.total))
	qt.Check(t, e.share("single"), qt.Equals, 1.0, qt.Commentf("%v of %v", e.passed, e.total))
	chain.succeedEvery, single.succeedEvery = 1, 1
	e.run(time.Second, true, chain, single)
	e.run(time.Second, true, chain, single)
	qt.Check(t, e.share("chain"), qt.Equals, 1.0, qt.Commentf("%v of %v", e.passed, e.total))
}

// TestAllPassWithoutInformation checks that a second after the last answer all requests
// pass, those of a hopeless route too.
func TestAllPassWithoutInformation(t *testing.T) {
	e := newEntry()
	chain, single, eight := costly("chain", 15, 0, 0), costly("single", 3, 0.9, 45*time.Millisecond), costly("eight", 3, 0.9, 400*time.Millisecond)
	chain.succeedEvery = 0
	e.run(4*time.Second, true, chain, single, eight)
	qt.Check(t, e.share("chain") < 0.3 && e.share("eight") < 0.3, qt.IsTrue, qt.Commentf("%v of %v", e.passed, e.total))
	e.run(informationTime+planInterval, false, chain, single, eight)
	e.run(time.Second, false, chain, single, eight)
	for route := range e.total {
		qt.Check(t, e.share(route), qt.Equals, 1.0, qt.Commentf("%s", route))
	}
}

// TestDecideAllocatesNothing checks the cost of a decision during an overload with 300
// routes: no allocation.
func TestDecideAllocatesNothing(t *testing.T) {
	e := newEntry()
	var requests []*request
	for i := range 300 {
		requests = append(requests, costly(fmt.Sprint("r", i), uint32(i%4), 0.5, time.Duration(i+1)*time.Millisecond))
	}
	e.run(time.Second, true, requests...)
	i := 0
	allocated := testing.AllocsPerRun(10000, func() {
		i++
		e.now = e.now.Add(100 * time.Microsecond)
		e.chains.RecordLevel(requests[i%300].key, 0.5, e.now)
		e.chains.Decide(requests[i%300].key, e.now)
	})
	qt.Assert(t, allocated, qt.Equals, 0.0)
}

// BenchmarkDecide measures a decision during an overload with 300 routes.
func BenchmarkDecide(b *testing.B) {
	e := newEntry()
	var requests []*request
	for i := range 300 {
		requests = append(requests, costly(fmt.Sprint("r", i), uint32(i%4), 0.5, time.Duration(i+1)*time.Millisecond))
	}
	e.run(time.Second, true, requests...)
	b.ReportAllocs()
	for i := range b.N {
		e.now = e.now.Add(time.Millisecond)
		e.chains.RecordLevel(requests[i%300].key, 0.5, e.now)
		e.chains.Decide(requests[i%300].key, e.now)
	}
}
