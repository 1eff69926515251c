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

// TestColdTargetIsUsedLess guards against an entry node that goes on sending its part to
// a cold target, whether it has heard of it by gossip or with an answer, and against one
// that no longer uses what such a target can serve. A target without room is passed over.
func TestColdTargetIsUsedLess(t *testing.T) {
	for _, byGossip := range []bool{true, false} {
		clock := &timekeeper.Manual{}
		clock.Advance(time.Minute)
		r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
		r.UseCold()
		members := []*control.Entry{
			{Instance: "cold", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
			{Instance: "near-1", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
			{Instance: "near-2", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
		}
		count := func() int {
			cold := 0
			for range 900 {
				instance := r.Choose(members, nil).Instance
				r.RecordResult(instance, router.Succeeded, 20*time.Millisecond)
				if instance == "cold" {
					cold++
				}
			}
			return cold
		}
		count()
		clock.Advance(10 * time.Second)
		qt.Check(t, count() > 200, qt.IsTrue)
		if byGossip {
			told := &control.Entry{Instance: "cold", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE, Cold: 2000, Stamp: 1}
			members = append([]*control.Entry{told}, members[1:]...)
		} else {
			r.RecordCold("cold", 2*time.Second)
		}
		cold := count()
		qt.Check(t, cold > 50 && cold < 150, qt.IsTrue, qt.Commentf("%d", cold))
		r.RecordLoad("cold", 1)
		qt.Check(t, count(), qt.Equals, 0)
		clock.Advance(2 * time.Second)
		// The same entry in another list tells nothing new.
		members = append([]*control.Entry(nil), members...)
		qt.Check(t, count() > 200, qt.IsTrue)
	}
}

// TestColdTargetByFinish guards against a choice by the expected time of completion that
// sends requests to a cold target while others have room, that leaves it idle while they
// have none, and that goes on when its bound is used up.
func TestColdTargetByFinish(t *testing.T) {
	clock := &timekeeper.Manual{}
	clock.Advance(time.Minute)
	r := router.New(clock, "near-0", "near", rand.New(rand.NewPCG(1, 1)))
	r.UseCold()
	r.PlaceByFinish()
	members := []*control.Entry{
		{Instance: "cold", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
		{Instance: "near-1", Centre: "near", Slots: 20, State: control.State_STATE_ALIVE},
	}
	report := func(running int) {
		for _, e := range members {
			work := router.Work{Limit: 20, Time: 20 * time.Millisecond}
			if e.Instance != "cold" {
				work.Running = running
			}
			r.RecordWork(e.Instance, work, 20*time.Millisecond)
		}
	}
	count := func(running int) int {
		cold := 0
		for range 100 {
			report(running)
			instance := r.Choose(members, nil).Instance
			r.RecordResult(instance, router.Succeeded, 20*time.Millisecond)
			if instance == "cold" {
				cold++
			}
		}
		return cold
	}
	count(0)
	qt.Check(t, count(0) > 20, qt.IsTrue)
	r.RecordCold("cold", 2*time.Second)
	qt.Check(t, count(10), qt.Equals, 0)
	qt.Check(t, count(20), qt.Equals, 100)
	r.RecordLoad("cold", 1)
	qt.Check(t, count(19), qt.Equals, 0)
	clock.Advance(2 * time.Second)
	qt.Check(t, count(0) > 20, qt.IsTrue)
}
