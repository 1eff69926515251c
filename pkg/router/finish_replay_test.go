package router_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	replaySlots = 138
	replayNodes = 60
	// replayWork is the mean time of a request in a target of speed 1.
	replayWork = 80 * time.Millisecond
	// nearLatency and farLatency are one-way latencies inside and between data centres.
	nearLatency = 200 * time.Microsecond
	farLatency  = 1400 * time.Microsecond
	// maxSends is the number of targets that an entry node asks.
	maxSends = 3
)

// replay plays the calls of 60 entry nodes, each with its own router, in data centres
// with one target each. Targets run, queue and reject requests like the admitter.
type replay struct {
	clock   *timekeeper.Manual
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	members []*control.Entry
	targets map[string]*replayTarget
	nodes   []*replayNode
	// load is the demand that begins in a data centre, relative to a quarter of the
	// capacity.
	load func(centre int, now time.Duration) float64
	// reportsLost is set if nodes tell nothing about their targets.
	reportsLost bool
	// capacity is how many requests a second the targets can finish at the start.
	capacity float64
	calls    []replayCall
}

// replayCall is a call that has ended.
type replayCall struct {
	began, took time.Duration
	home        int
	// centre is that of the last target asked.
	centre  int
	refused bool
	// idle is the number of free slots in the whole fleet at the refusal.
	idle int
}

type replayNode struct {
	router *router.Router
	centre int
}

type replayTarget struct {
	replay  *replay
	centre  int
	speed   float64
	running int
	queue   []*replaySend
	mean    float64
	lastEnd time.Duration
}

// replaySend is one attempt at a target.
type replaySend struct {
	node    *replayNode
	target  *replayTarget
	tried   map[string]bool
	began   time.Duration
	sent    time.Duration
	arrived time.Duration
	started bool
}

type replayEvent struct {
	at  time.Duration
	run func()
}

type eventHeap []replayEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(replayEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newReplay(finish bool, speeds ...float64) *replay {
	p := &replay{clock: &timekeeper.Manual{}, random: rand.New(rand.NewPCG(7, 7)), targets: map[string]*replayTarget{}}
	p.clock.Advance(time.Hour)
	for i, speed := range speeds {
		e := &control.Entry{Instance: fmt.Sprint("target", i), Centre: fmt.Sprint("centre", i), Service: "deep", Slots: replaySlots, State: control.State_STATE_ALIVE}
		p.members = append(p.members, e)
		p.targets[e.Instance] = &replayTarget{replay: p, centre: i, speed: speed}
		p.capacity += speed * replaySlots / replayWork.Seconds()
	}
	for i := range replayNodes {
		centre := i % len(speeds)
		r := router.New(p.clock, fmt.Sprint("node", i), fmt.Sprint("centre", centre), rand.New(rand.NewPCG(uint64(i), 1)))
		if finish {
			r.PlaceByFinish()
		}
		p.nodes = append(p.nodes, &replayNode{router: r, centre: centre})
	}
	return p
}

func (p *replay) after(d time.Duration, run func()) {
	heap.Push(&p.events, replayEvent{p.now + d, run})
}

func (p *replay) play(length time.Duration) {
	for _, n := range p.nodes {
		p.arrive(n)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(replayEvent)
		if e.at > length {
			return
		}
		p.clock.Advance(e.at - p.now)
		p.now = e.at
		e.run()
	}
}

// arrive begins the next call of a node, and the ones after it.
func (p *replay) arrive(n *replayNode) {
	perNode := p.load(n.centre, p.now) * p.capacity / replayNodes
	p.after(time.Duration(p.random.ExpFloat64()/perNode*float64(time.Second)), func() {
		p.send(n, map[string]bool{}, p.now)
		p.arrive(n)
	})
}

func (p *replay) send(n *replayNode, tried map[string]bool, began time.Duration) {
	e := n.router.Choose(p.members, tried)
	tried[e.Instance] = true
	s := &replaySend{node: n, target: p.targets[e.Instance], tried: tried, began: began, sent: p.now}
	p.after(s.latency(), func() { s.target.take(s) })
}

func (s *replaySend) latency() time.Duration {
	if s.node.centre == s.target.centre {
		return nearLatency
	}
	return farLatency
}

func (t *replayTarget) take(s *replaySend) {
	s.arrived = t.replay.now
	switch {
	case t.running < replaySlots:
		t.start(s)
	case len(t.queue) >= 2*replaySlots:
		t.answer(s, router.Shed)
	default:
		t.queue = append(t.queue, s)
		t.replay.after(max(100*time.Millisecond, time.Duration(t.mean*float64(time.Second))), func() { t.expire(s) })
	}
}

func (t *replayTarget) expire(s *replaySend) {
	if s.started {
		return
	}
	for i, other := range t.queue {
		if other == s {
			t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
		}
	}
	t.answer(s, router.Shed)
}

func (t *replayTarget) start(s *replaySend) {
	s.started = true
	t.running++
	work := replayWork.Seconds() / t.speed * (0.5 + 0.5*t.replay.random.ExpFloat64())
	t.replay.after(time.Duration(work*float64(time.Second)), func() { t.end(s, work) })
}

func (t *replayTarget) end(s *replaySend, work float64) {
	t.running--
	weight := min(0.1, (t.replay.now-t.lastEnd).Seconds()/0.2)
	if t.mean == 0 {
		weight = 1
	}
	t.mean += weight * (work - t.mean)
	t.lastEnd = t.replay.now
	t.answer(s, router.Succeeded)
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.start(next)
	}
}

// answer sends an answer or a refusal with the report of the target's node.
func (t *replayTarget) answer(s *replaySend, result router.Result) {
	p := t.replay
	w := router.Work{Running: t.running, Queued: len(t.queue), Limit: replaySlots, Time: time.Duration(t.mean * float64(time.Second)), Spent: p.now - s.arrived}
	p.after(s.latency(), func() { p.finish(s, result, w) })
}

func (p *replay) finish(s *replaySend, result router.Result, w router.Work) {
	instance := p.members[s.target.centre].Instance
	took := p.now - s.sent
	r := s.node.router
	if !p.reportsLost {
		r.RecordLoad(instance, float64(w.Running+w.Queued)/float64(w.Limit))
		r.RecordWork(instance, w, took)
	}
	r.RecordAnswer(instance, took)
	r.RecordResult(instance, result, took)
	if result == router.Shed && len(s.tried) < maxSends {
		p.send(s.node, s.tried, s.began)
		return
	}
	c := replayCall{began: s.began, took: p.now - s.began, home: s.node.centre, centre: s.target.centre, refused: result == router.Shed}
	if c.refused {
		for _, t := range p.targets {
			c.idle = max(c.idle, replaySlots-t.running)
		}
	}
	p.calls = append(p.calls, c)
}

// figures sum up the calls that began in a part of a replay.
type figures struct {
	calls, served, refused int
	// far is the share of calls of the home data centre that were sent to others last.
	far  float64
	mean time.Duration
	// share is the share of the served calls by data centre.
	share []float64
	// idle is the highest number of free slots of a target at a refusal.
	idle int
}

// figures sums up the calls that began between two times, of one data centre or, if
// home is negative, of all.
func (p *replay) figures(from, to time.Duration, home int) figures {
	f := figures{share: make([]float64, len(p.members))}
	far := 0
	var took time.Duration
	for _, c := range p.calls {
		if c.began < from || c.began >= to || home >= 0 && c.home != home {
			continue
		}
		f.calls++
		if c.centre != c.home {
			far++
		}
		if c.refused {
			f.refused++
			f.idle = max(f.idle, c.idle)
			continue
		}
		f.served++
		f.share[c.centre]++
		took += c.took
	}
	for i := range f.share {
		f.share[i] /= float64(f.served)
	}
	f.far = float64(far) / float64(f.calls)
	f.mean = (took / time.Duration(f.served)).Round(100 * time.Microsecond)
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("calls %d refused %.4f far %.3f mean %v share %.3f idle %d", f.calls, float64(f.refused)/float64(f.calls), f.far, f.mean, f.share, f.idle)
}

// evenly is a demand of so much of the capacity.
func evenly(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// playBoth plays a replay with the choice by load and with that by the expected time of
// completion, and logs the figures of a part of both.
func playBoth(t *testing.T, name string, length, from, to time.Duration, home int, setUp func(*replay), speeds ...float64) (byLoad, byFinish *replay) {
	for _, finish := range []bool{false, true} {
		p := newReplay(finish, speeds...)
		setUp(p)
		p.play(length)
		t.Logf("%s, by finish %v: %v", name, finish, p.figures(from, to, home))
		byLoad, byFinish = byFinish, p
	}
	return byLoad, byFinish
}

// TestUnevenTargetsNearCapacity plays 0.95 of the capacity against targets of which one
// is 2.3 times as fast. No call may be refused, calls must end sooner than with the
// choice by load, and the fast target must get its part.
func TestUnevenTargetsNearCapacity(t *testing.T) {
	byLoad, byFinish := playBoth(t, "0.95", 6*time.Second, time.Second, 5*time.Second, -1, func(p *replay) { p.load = evenly(0.95) }, 0.7, 0.7, 1.6, 0.7)
	before, after := byLoad.figures(time.Second, 5*time.Second, -1), byFinish.figures(time.Second, 5*time.Second, -1)
	qt.Check(t, after.refused, qt.Equals, 0)
	qt.Check(t, after.mean < before.mean, qt.IsTrue)
	qt.Check(t, after.share[2] > 0.95*1.6/3.7, qt.IsTrue)
}

// TestUnevenTargetsOverCapacity plays 1.2 of the capacity. Each target must get what it
// can finish, and no target may have idle slots, up to what a round trip frees, when
// a call is refused.
func TestUnevenTargetsOverCapacity(t *testing.T) {
	const from, to = 2 * time.Second, 5 * time.Second
	_, p := playBoth(t, "1.2", 6*time.Second, from, to, -1, func(p *replay) { p.load = evenly(1.2) }, 0.7, 0.7, 1.6, 0.7)
	f := p.figures(from, to, -1)
	for i, speed := range []float64{0.7, 0.7, 1.6, 0.7} {
		qt.Check(t, f.share[i] > 0.95*speed/3.7, qt.IsTrue, qt.Commentf("target %d: %v", i, f))
	}
	qt.Check(t, float64(f.served) > 0.97*p.capacity*(to-from).Seconds(), qt.IsTrue, qt.Commentf("%v", f))
	qt.Check(t, f.idle < replaySlots/10, qt.IsTrue, qt.Commentf("%v", f))
}

// TestWaveOfDemand lets the demand of one data centre rise by half above 0.75 of its
// capacity and fall again, in a wave of 17 s. Its calls must go to other data centres
// once and return once, none may be refused, and outside the wave no more of them may
// leave than twice the probes.
func TestWaveOfDemand(t *testing.T) {
	const (
		wave = 17 * time.Second
		step = time.Second
		// Calls go out when the share is above outShare, and have returned below backShare.
		outShare, backShare = 0.05, 0.02
	)
	demand := func(now time.Duration) float64 {
		return 0.75 * (1 + 0.5*max(0, -math.Cos(2*math.Pi*now.Seconds()/wave.Seconds())))
	}
	turns := func(p *replay) (turns int, calm figures) {
		out := false
		calmCalls, calmFar := 0, 0.0
		for from := time.Second; from < wave; from += step {
			f := p.figures(from, from+step, 0)
			if out && f.far < backShare || !out && f.far > outShare {
				out = !out
				turns++
			}
			if from > wave/2 && demand(from) <= 0.8 {
				calmCalls += f.calls
				calmFar += f.far * float64(f.calls)
			}
		}
		return turns, figures{calls: calmCalls, far: calmFar / float64(calmCalls)}
	}
	byLoad, byFinish := playBoth(t, "wave", wave+time.Second, time.Second, wave, 0, func(p *replay) {
		p.load = func(centre int, now time.Duration) float64 {
			if centre == 0 {
				return demand(now)
			}
			return 0.75
		}
	}, 1, 1, 1, 1)
	before, calmBefore := turns(byLoad)
	after, calmAfter := turns(byFinish)
	t.Logf("changes of direction %d and %d, share that left in calm times %.4f and %.4f", before, after, calmBefore.far, calmAfter.far)
	qt.Check(t, byFinish.figures(0, wave, -1).refused, qt.Equals, 0)
	qt.Check(t, after, qt.Equals, 2)
	qt.Check(t, calmAfter.far < 2.0/128, qt.IsTrue)
}

// TestSlowTargetIsLeftAndReturnedTo turns the target of one data centre three times as
// slow and back. Three seconds after each change its calls must have left, up to probes,
// or returned. Before, first probes of unknown targets are 1 in 32 at most.
func TestSlowTargetIsLeftAndReturnedTo(t *testing.T) {
	const slowAt, fastAt, length, delay = 3 * time.Second, 8 * time.Second, 14 * time.Second, 3 * time.Second
	_, p := playBoth(t, "slow", length, slowAt+delay, fastAt, 0, func(p *replay) {
		p.load = evenly(0.5)
		p.after(slowAt, func() { p.targets["target0"].speed = 1.0 / 3 })
		p.after(fastAt, func() { p.targets["target0"].speed = 1 })
	}, 1, 1, 1, 1)
	for _, part := range []struct {
		from, to  time.Duration
		low, high float64
	}{{time.Second, slowAt - time.Second, 0, 2.0 / 32}, {slowAt + delay, fastAt, 0.85, 1}, {fastAt + delay, length - time.Second, 0, 0.03}} {
		f := p.figures(part.from, part.to, 0)
		qt.Check(t, f.far >= part.low && f.far <= part.high, qt.IsTrue, qt.Commentf("from %v: %v", part.from, f))
	}
}

// TestOwnObservationsWithoutReports loses everything that nodes report on targets, from
// the start or from 1 s on. Own observations must keep the work near what the targets can
// finish, and hardly a call may be refused below the capacity.
func TestOwnObservationsWithoutReports(t *testing.T) {
	const from, to = 2 * time.Second, 5 * time.Second
	for _, c := range []struct {
		load   float64
		lostAt time.Duration
	}{{0.95, 0}, {0.95, time.Second}, {1.2, 0}} {
		_, p := playBoth(t, fmt.Sprintf("%v without reports from %v", c.load, c.lostAt), 6*time.Second, from, to, -1, func(p *replay) {
			p.load = evenly(c.load)
			p.after(c.lostAt, func() { p.reportsLost = true })
		}, 0.7, 0.7, 1.6, 0.7)
		f := p.figures(from, to, -1)
		qt.Check(t, float64(f.served) > 0.97*min(c.load, 1)*p.capacity*(to-from).Seconds(), qt.IsTrue, qt.Commentf("%v", f))
		if c.load < 1 {
			qt.Check(t, float64(f.refused) < 0.001*float64(f.calls), qt.IsTrue, qt.Commentf("%v", f))
		}
	}
}
