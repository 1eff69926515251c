package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// simulatedTarget is a target that runs requests in its slots and queues others.
type simulatedTarget struct {
	entry *control.Entry
	// ends are the end times of running and waiting requests, in order of
	// arrival.
	ends   []time.Duration
	served int
}

// begin runs a request in the first slot that becomes free, and returns when the
// request ends.
func (s *simulatedTarget) begin(now, work time.Duration) time.Duration {
	s.end(now)
	start := now
	if over := len(s.ends) - int(s.entry.Slots); over >= 0 {
		start = s.ends[over]
	}
	s.ends = append(s.ends, start+work)
	s.served++
	return start + work
}

// end removes requests that have ended.
func (s *simulatedTarget) end(now time.Duration) {
	var running []time.Duration
	for _, end := range s.ends {
		if end > now {
			running = append(running, end)
		}
	}
	s.ends = running
}

func (s *simulatedTarget) load(now time.Duration) float64 {
	s.end(now)
	return float64(len(s.ends)) / float64(s.entry.Slots)
}

// TestFullDataCentreSpills simulates a service whose calls all come from one data
// centre, at 1.5 times the capacity of the target there, while the targets in two
// others are idle. The excess must go to the other data centres, and less than 1%
// of the requests may wait longer than half their service time.
func TestFullDataCentreSpills(t *testing.T) {
	const (
		slots    = 20
		work     = 20 * time.Millisecond
		interval = work * 2 / (slots * 3)
		length   = 10 * time.Second
	)
	clock := &timekeeper.Manual{}
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	targets := map[string]*simulatedTarget{}
	var members []*control.Entry
	for _, centre := range []string{"near", "far", "further"} {
		e := &control.Entry{Instance: centre + "-1", Centre: centre, Slots: slots, State: control.State_STATE_ALIVE}
		members = append(members, e)
		targets[e.Instance] = &simulatedTarget{entry: e}
	}
	type answer struct {
		at       time.Duration
		instance string
		took     time.Duration
	}
	var answers []answer
	waited := 0
	sent := 0
	for now := time.Duration(0); now < length; now += interval {
		clock.Advance(interval)
		var outstanding []answer
		for _, a := range answers {
			if a.at > now {
				outstanding = append(outstanding, a)
				continue
			}
			r.RecordLoad(a.instance, targets[a.instance].load(now))
			r.RecordAnswer(a.instance, a.took)
			r.RecordResult(a.instance, router.Succeeded, a.took)
		}
		answers = outstanding
		sent++
		e := r.Choose(members, nil)
		end := targets[e.Instance].begin(now, work)
		if end-now > work*3/2 {
			waited++
		}
		answers = append(answers, answer{at: end, instance: e.Instance, took: end - now})
	}
	// All data centres together have twice the capacity that the load needs.
	qt.Assert(t, float64(waited) < 0.01*float64(sent), qt.IsTrue, qt.Commentf("%d of %d waited", waited, sent))
	// A third of the requests exceeds the capacity of the local target; not much
	// more than that may go to other data centres.
	remote := sent - targets["near-1"].served
	qt.Assert(t, float64(remote) < 0.5*float64(sent), qt.IsTrue, qt.Commentf("%d of %d went to other data centres", remote, sent))
}

// TestLocalDataCentreIsPreferred checks that no request goes to another data
// centre while the local target has capacity.
func TestLocalDataCentreIsPreferred(t *testing.T) {
	clock := &timekeeper.Manual{}
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	members := []*control.Entry{
		{Instance: "near-1", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
		{Instance: "far-1", Centre: "far", Slots: 20, State: control.State_STATE_ALIVE},
	}
	for range 1000 {
		clock.Advance(time.Millisecond)
		e := r.Choose(members, nil)
		qt.Assert(t, e.Instance, qt.Equals, "near-1")
		r.RecordLoad(e.Instance, 0.6)
		r.RecordAnswer(e.Instance, 20*time.Millisecond)
		r.RecordResult(e.Instance, router.Succeeded, 20*time.Millisecond)
	}
}

// TestFailuresInFlightEjectOnce fails twenty requests that a target, the only one,
// got before it was ejected. The ejection must end after a second, when the target
// serves again.
func TestFailuresInFlightEjectOnce(t *testing.T) {
	clock := &timekeeper.Manual{}
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	members := []*control.Entry{
		{Instance: "near-1", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
		{Instance: "far-1", Centre: "far", Slots: 20, State: control.State_STATE_ALIVE},
	}
	for range 20 {
		qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "near-1")
		clock.Advance(time.Millisecond)
	}
	for range 20 {
		r.RecordResult("near-1", router.Failed, 500*time.Millisecond)
		clock.Advance(time.Millisecond)
	}
	qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "far-1")
	clock.Advance(time.Second)
	qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "near-1")
}

// TestAbandonedRequestIsNoSuccess ejects a target and lets the caller of the first
// request after the ejection disconnect. The target must not count as recovered: only
// one request at a time may go there.
func TestAbandonedRequestIsNoSuccess(t *testing.T) {
	clock := &timekeeper.Manual{}
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	members := []*control.Entry{
		{Instance: "near-1", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
		{Instance: "far-1", Centre: "far", Slots: 20, State: control.State_STATE_ALIVE},
	}
	for range 3 {
		qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "near-1")
		r.RecordResult("near-1", router.Failed, time.Millisecond)
	}
	clock.Advance(time.Second)
	qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "near-1")
	r.RecordResult("near-1", router.Abandoned, time.Millisecond)
	qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "near-1")
	qt.Assert(t, r.Choose(members, nil).Instance, qt.Equals, "far-1")
}

// TestPausedTargetIsPassedOver checks that requests go to targets in other data centres
// while the local one has no room in the limit that it names, to it when its pause is
// over, and to paused ones if there are no others.
func TestPausedTargetIsPassedOver(t *testing.T) {
	clock := &timekeeper.Manual{}
	clock.Advance(time.Minute)
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	members := []*control.Entry{
		{Instance: "near-1", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
		{Instance: "far-1", Centre: "far", Slots: 20, State: control.State_STATE_ALIVE},
		{Instance: "far-2", Centre: "far", Slots: 20, State: control.State_STATE_ALIVE},
	}
	choose := func() string {
		instance := r.Choose(members, nil).Instance
		r.RecordResult(instance, router.Succeeded, 20*time.Millisecond)
		return instance
	}
	qt.Assert(t, choose(), qt.Equals, "near-1")
	r.RecordPaced("near-1", time.Second)
	for range 50 {
		qt.Assert(t, choose(), qt.Not(qt.Equals), "near-1")
	}
	r.RecordPaced("far-1", 2*time.Second)
	for range 50 {
		qt.Assert(t, choose(), qt.Equals, "far-2")
	}
	r.RecordPaced("far-2", 2*time.Second)
	qt.Assert(t, choose(), qt.Equals, "near-1")
	qt.Assert(t, r.HasUntried(members, map[string]bool{"near-1": true, "far-1": true}), qt.IsTrue)
	qt.Assert(t, r.HasUntried(members, map[string]bool{"near-1": true, "far-1": true, "far-2": true}), qt.IsFalse)
	clock.Advance(time.Second)
	qt.Assert(t, choose(), qt.Equals, "near-1")
}

// TestLeavingLifeIsNotUsed checks that no request goes to a life of a target that
// states that it leaves, even if it is the only one known and other nodes still tell
// that it is ready, and that its next life is used.
func TestLeavingLifeIsNotUsed(t *testing.T) {
	clock := &timekeeper.Manual{}
	clock.Advance(time.Minute)
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	leaving := &control.Entry{Instance: "near-1", Centre: "near", Slots: 20, Life: "a", State: control.State_STATE_ALIVE}
	other := &control.Entry{Instance: "far-1", Centre: "far", Slots: 20, Life: "b", State: control.State_STATE_ALIVE}
	qt.Assert(t, r.Choose([]*control.Entry{leaving}, nil), qt.Equals, leaving)
	s, changed := r.RecordStatement(leaving, "a", pacer.Statement{}.WithLeaving(), clock.Now())
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, s.Leaving(), qt.IsTrue)
	r.RecordResult("near-1", router.Succeeded, 20*time.Millisecond)
	qt.Assert(t, r.Choose([]*control.Entry{leaving}, nil), qt.IsNil)
	for range 50 {
		qt.Assert(t, r.Choose([]*control.Entry{leaving, other}, nil), qt.Equals, other)
	}
	// An answer that overtook the first one changes nothing.
	_, changed = r.RecordStatement(leaving, "a", pacer.Statement{}, clock.Now())
	qt.Assert(t, changed, qt.IsFalse)
	qt.Assert(t, r.Choose([]*control.Entry{leaving}, nil), qt.IsNil)
	next := &control.Entry{Instance: "near-1", Centre: "near", Slots: 20, Life: "c", State: control.State_STATE_ALIVE}
	qt.Assert(t, r.Choose([]*control.Entry{next}, nil), qt.Equals, next)
}
