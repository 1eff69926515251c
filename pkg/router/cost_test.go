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
