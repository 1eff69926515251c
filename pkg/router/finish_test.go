package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// placer is a router that places by the expected time of completion, among targets of
// two data centres, each with 100 slots.
type placer struct {
	clock   *timekeeper.Manual
	router  *router.Router
	members []*control.Entry
}

func newPlacer(near, far int) *placer {
	clock := &timekeeper.Manual{}
	clock.Advance(time.Minute)
	p := &placer{clock: clock, router: router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))}
	p.router.PlaceByFinish()
	for centre, count := range map[string]int{"near": near, "far": far} {
		for i := range count {
			p.members = append(p.members, &control.Entry{Instance: fmt.Sprintf("%s-%d", centre, i+1), Centre: centre, Slots: 100, State: control.State_STATE_ALIVE})
		}
	}
	return p
}

// visit lets a request go to each target and tells that so many requests run there and
// take the given time.
func (p *placer) visit(running map[string]int, takes map[string]time.Duration) {
	for visited := map[string]bool{}; len(visited) < len(p.members); {
		e := p.router.Choose(p.members, visited)
		visited[e.Instance] = true
		p.answer(e.Instance, running[e.Instance], takes[e.Instance], router.Succeeded)
	}
}

func (p *placer) answer(instance string, running int, takes time.Duration, result router.Result) {
	took := takes + time.Millisecond
	p.router.RecordWork(instance, router.Work{Running: running, Limit: 100, Time: takes, Spent: takes}, took)
	p.router.RecordAnswer(instance, took)
	p.router.RecordResult(instance, result, took)
}

// TestFullTargetIsNeverFirst checks that a request goes to the only target with room in
// the own data centre, and to another data centre only when there is none, or when a
// request was rejected there.
func TestFullTargetIsNeverFirst(t *testing.T) {
	p := newPlacer(10, 10)
	running, takes := map[string]int{}, map[string]time.Duration{}
	for _, e := range p.members {
		running[e.Instance], takes[e.Instance] = 120, 30*time.Millisecond
	}
	running["near-3"] = 40
	p.visit(running, takes)
	for range 50 {
		e, cause := p.router.Place(p.members, nil)
		qt.Assert(t, e.Instance, qt.Equals, "near-3")
		qt.Assert(t, cause, qt.Equals, router.CauseHome)
	}
	running["near-3"], running["far-7"] = 120, 40
	p.visit(running, takes)
	for range 50 {
		e, cause := p.router.Place(p.members, nil)
		qt.Assert(t, e.Instance, qt.Equals, "far-7")
		qt.Assert(t, cause, qt.Equals, router.CauseFull)
	}
	for _, e := range p.members {
		running[e.Instance] = 10
	}
	p.visit(running, takes)
	p.router.Choose(p.members, nil)
	p.answer("near-1", 10, 30*time.Millisecond, router.Shed)
	for range 50 {
		qt.Assert(t, p.router.Choose(p.members, nil).Instance, qt.Not(qt.Equals), "near-1")
	}
}

// TestGainBelowMarginStays checks that a request leaves its data centre only for a gain
// of 0.3, and returns only once the gain is below 0.15, so that work does not go back and
// forth between targets of about the same speed.
func TestGainBelowMarginStays(t *testing.T) {
	p := newPlacer(1, 1)
	for _, step := range []struct {
		far  time.Duration
		want router.Cause
	}{{80, router.CauseHome}, {60, router.CauseGain}, {80, router.CauseGain}, {95, router.CauseHome}, {80, router.CauseHome}} {
		p.visit(nil, map[string]time.Duration{"near-1": 100 * time.Millisecond, "far-1": step.far * time.Millisecond})
		_, cause := p.router.Place(p.members, nil)
		qt.Assert(t, cause, qt.Equals, step.want, qt.Commentf("%v", step))
	}
}

// TestUnknownTargetIsNotFast checks that requests do not leave for a target of which
// nothing is known, except as probes.
func TestUnknownTargetIsNotFast(t *testing.T) {
	p := newPlacer(1, 1)
	left := 0
	for range 640 {
		e, cause := p.router.Place(p.members, nil)
		if cause.Leaves() {
			qt.Assert(t, cause, qt.Equals, router.CauseProbe)
			left++
		} else {
			p.answer(e.Instance, 10, 100*time.Millisecond, router.Succeeded)
		}
		p.clock.Advance(time.Millisecond)
	}
	qt.Assert(t, left > 0 && left <= 640/32, qt.IsTrue, qt.Commentf("%d", left))
}
