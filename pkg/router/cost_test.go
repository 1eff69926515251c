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

// newFleet returns a router and the members of a service with size targets in six
// data centres.
func newFleet(size int) (*router.Router, []*control.Entry) {
	clock := &timekeeper.Manual{}
	clock.Advance(time.Hour)
	var members []*control.Entry
	for i := range size {
		members = append(members, &control.Entry{Instance: fmt.Sprint("instance", i), Centre: fmt.Sprint("centre", i%6), Service: "service", Slots: 50})
	}
	return router.New(clock, "self", "centre0", rand.New(rand.NewPCG(1, 1))), members
}

func choose(r *router.Router, members []*control.Entry) {
	e := r.Choose(members, nil)
	r.RecordAnswer(e.Instance, time.Millisecond)
	r.RecordResult(e.Instance, router.Succeeded, time.Millisecond)
}

// TestChooseDoesNotAllocate checks that Choose allocates nothing, in a small and
// in a large fleet.
func TestChooseDoesNotAllocate(t *testing.T) {
	for _, size := range []int{20, 1000} {
		r, members := newFleet(size)
		for range 1000 {
			choose(r, members)
		}
		qt.Check(t, testing.AllocsPerRun(1000, func() { choose(r, members) }), qt.Equals, 0.0, qt.Commentf("%d targets", size))
	}
}

// TestChangedMembersReplaceCandidates checks that Choose selects new candidates
// when the list of members changes: here, once it has no local targets any more.
func TestChangedMembersReplaceCandidates(t *testing.T) {
	r, members := newFleet(60)
	qt.Assert(t, r.Choose(members, nil).Centre, qt.Equals, "centre0")
	var others []*control.Entry
	for _, e := range members {
		if e.Centre != "centre0" {
			others = append(others, e)
		}
	}
	qt.Assert(t, r.Choose(others, nil).Centre, qt.Not(qt.Equals), "centre0")
}

// BenchmarkChoose measures a choice for various numbers of targets.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{20, 77, 300, 1000, 4100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, members := newFleet(size)
			b.ReportAllocs()
			for b.Loop() {
				choose(r, members)
			}
		})
	}
}

// TestPlaceByFinishDoesNotAllocate checks that the choice by the expected time of
// completion allocates nothing, in a small and in a large fleet, with room and without.
func TestPlaceByFinishDoesNotAllocate(t *testing.T) {
	for _, size := range []int{20, 4100} {
		for _, running := range []int{20, 60} {
			r, members := newFleet(size)
			r.PlaceByFinish()
			for range 1000 {
				place(r, members, running)
			}
			qt.Check(t, testing.AllocsPerRun(1000, func() { place(r, members, running) }), qt.Equals, 0.0, qt.Commentf("%d targets, %d running", size, running))
		}
	}
}

// place chooses by the expected time of completion, and tells how many requests run at
// the target.
func place(r *router.Router, members []*control.Entry, running int) {
	e, _ := r.Place(members, nil)
	r.RecordWork(e.Instance, router.Work{Running: running, Limit: 50, Time: 10 * time.Millisecond, Spent: 10 * time.Millisecond}, 11*time.Millisecond)
	r.RecordAnswer(e.Instance, 11*time.Millisecond)
	r.RecordResult(e.Instance, router.Succeeded, 11*time.Millisecond)
}

// BenchmarkPlaceByFinish measures a choice by the expected time of completion and
// the two records without which targets would fill up, where targets have room and where
// all are full.
func BenchmarkPlaceByFinish(b *testing.B) {
	for _, running := range []int{20, 60} {
		for _, size := range []int{20, 4100} {
			b.Run(fmt.Sprintf("%d of 50 running/%d", running, size), func(b *testing.B) {
				r, members := newFleet(size)
				r.PlaceByFinish()
				for range 10000 {
					place(r, members, running)
				}
				b.ReportAllocs()
				for b.Loop() {
					e, _ := r.Place(members, nil)
					r.RecordResult(e.Instance, router.Succeeded, 11*time.Millisecond)
					r.RecordWork(e.Instance, router.Work{Running: running, Limit: 50, Time: 10 * time.Millisecond}, 0)
				}
			})
		}
	}
}
