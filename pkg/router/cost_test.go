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

// fleetOf is a router with a service of so many targets in six data centres.
func fleetOf(size int) (*router.Router, []*control.Entry) {
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
	r.RecordResult(e.Instance, router.Succeeded, time.Millisecond)
}

// TestChoiceGrowsWithTheFleet counts allocations, which a choice must not make
// however many targets there are.
func TestChoiceGrowsWithTheFleet(t *testing.T) {
	for _, size := range []int{20, 1000} {
		r, members := fleetOf(size)
		for range 1000 {
			choose(r, members)
		}
		qt.Check(t, testing.AllocsPerRun(1000, func() { choose(r, members) }), qt.Equals, 0.0, qt.Commentf("%d targets", size))
	}
}

// TestChangedListIsChosenFromAnew takes the near targets out of the list.
func TestChangedListIsChosenFromAnew(t *testing.T) {
	r, members := fleetOf(60)
	qt.Assert(t, r.Choose(members, nil).Centre, qt.Equals, "centre0")
	var others []*control.Entry
	for _, e := range members {
		if e.Centre != "centre0" {
			others = append(others, e)
		}
	}
	qt.Assert(t, r.Choose(others, nil).Centre, qt.Not(qt.Equals), "centre0")
}

// BenchmarkChoose is a choice by the number of targets of the service.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{20, 77, 300, 1000, 4100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, members := fleetOf(size)
			b.ReportAllocs()
			for b.Loop() {
				choose(r, members)
			}
		})
	}
}
