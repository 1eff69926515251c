package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// place is a target with its slots in a replay.
type place struct {
	entry *control.Entry
	// ends are when requests in its slots end; those that wait follow each other.
	ends   []time.Duration
	served int
}

// begin puts a request into the first slot that is free, and returns when it
// ends.
func (p *place) begin(now, work time.Duration) time.Duration {
	p.end(now)
	start := now
	if over := len(p.ends) - int(p.entry.Slots); over >= 0 {
		start = p.ends[over]
	}
	p.ends = append(p.ends, start+work)
	p.served++
	return start + work
}

// end drops requests that have ended.
func (p *place) end(now time.Duration) {
	var running []time.Duration
	for _, end := range p.ends {
		if end > now {
			running = append(running, end)
		}
	}
	p.ends = running
}

func (p *place) load(now time.Duration) float64 {
	p.end(now)
	return float64(len(p.ends)) / float64(p.entry.Slots)
}

// TestFullDataCentreSpills replays a service whose calls all begin in one data
// centre, at 1.5 times what the target there has slots for, while two others
// are idle: what does not fit goes there, and nothing waits for long.
func TestFullDataCentreSpills(t *testing.T) {
	const (
		slots  = 20
		work   = 20 * time.Millisecond
		gap    = work * 2 / (slots * 3)
		length = 10 * time.Second
	)
	clock := &timekeeper.Manual{}
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	places := map[string]*place{}
	var members []*control.Entry
	for _, centre := range []string{"near", "far", "further"} {
		e := &control.Entry{Instance: centre + "-1", Centre: centre, Slots: slots, State: control.State_STATE_ALIVE}
		members = append(members, e)
		places[e.Instance] = &place{entry: e}
	}
	type answer struct {
		at       time.Duration
		instance string
		took     time.Duration
	}
	var answers []answer
	waited := 0
	asked := 0
	for now := time.Duration(0); now < length; now += gap {
		clock.Advance(gap)
		var left []answer
		for _, a := range answers {
			if a.at > now {
				left = append(left, a)
				continue
			}
			r.RecordLoad(a.instance, places[a.instance].load(now))
			r.RecordResult(a.instance, router.Succeeded, a.took)
		}
		answers = left
		asked++
		e := r.Choose(members, nil)
		end := places[e.Instance].begin(now, work)
		if end-now > work*3/2 {
			waited++
		}
		answers = append(answers, answer{at: end, instance: e.Instance, took: end - now})
	}
	// The slots of all data centres are twice what is asked for.
	qt.Assert(t, float64(waited) < 0.01*float64(asked), qt.IsTrue, qt.Commentf("%d of %d waited", waited, asked))
	// A third does not fit the near target; not much more than that goes away.
	away := asked - places["near-1"].served
	qt.Assert(t, float64(away) < 0.5*float64(asked), qt.IsTrue, qt.Commentf("%d of %d went away", away, asked))
}

// TestOwnDataCentreIsFirst sends nothing away while the own target has room.
func TestOwnDataCentreIsFirst(t *testing.T) {
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
		r.RecordResult(e.Instance, router.Succeeded, 20*time.Millisecond)
	}
}
