package forwarder

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestObjectiveTravelsWithCalls checks that a call is due when its own objective or that
// of the request which made it ends, whichever is sooner, that the target's node reads
// the time left, also when it is over, and that nothing is sent without the setting.
func TestObjectiveTravelsWithCalls(t *testing.T) {
	clock := &timekeeper.Manual{}
	clock.Advance(time.Hour)
	now := clock.Now()
	f := &Forwarder{deps: Deps{Clock: clock, Objectives: true}}
	parent := &InFlightRequest{dueAt: now.Add(300 * time.Millisecond)}
	for _, test := range []struct {
		objective      time.Duration
		parent         *InFlightRequest
		inferredParent *InFlightRequest
		want           time.Duration
	}{
		{objective: time.Second, want: time.Second},
		{objective: time.Second, parent: parent, want: 300 * time.Millisecond},
		{objective: time.Second, inferredParent: parent, want: 300 * time.Millisecond},
		{parent: parent, want: 300 * time.Millisecond},
		{objective: 100 * time.Millisecond, parent: parent, want: 100 * time.Millisecond},
	} {
		x := &Exchange{startedAt: now, parent: test.parent, inferredParent: test.inferredParent, hop: &control.Hop{Objective: test.objective.Microseconds()}}
		f.setDueAt(x)
		for _, later := range []time.Duration{0, 2 * time.Second} {
			h := http.Header{}
			setLeftHeader(h, x, now.Add(later))
			qt.Check(t, readLeft(h, now.Add(later)).Sub(now), qt.Equals, test.want, qt.Commentf("%+v", test))
		}
	}
	h := http.Header{}
	setLeftHeader(h, &Exchange{}, now)
	qt.Check(t, h, qt.HasLen, 0)
	for _, text := range []string{"", "x", "1e3", "99999999999999999"} {
		qt.Check(t, readLeft(http.Header{headerLeft: {text}}, now).IsZero(), qt.IsTrue, qt.Commentf("%q", text))
	}
	off := &Exchange{startedAt: now, parent: parent, hop: &control.Hop{Objective: 1000}}
	(&Forwarder{}).setDueAt(off)
	qt.Check(t, off.dueAt.IsZero(), qt.IsTrue)
}

// TestRetryDelayIsHonoured checks that a refusal for lack of capacity names, jitter
// included, at most a third of the time that the caller has left.
func TestRetryDelayIsHonoured(t *testing.T) {
	now := time.Unix(1000, 0)
	x := &Exchange{deadline: now.Add(900 * time.Millisecond)}
	for _, objectives := range []bool{false, true} {
		f := &Forwarder{deps: Deps{Objectives: objectives}}
		r := f.capWait(x, refuse(http.StatusServiceUnavailable, ReasonLoad, time.Second, ""), now)
		want := time.Second
		if objectives {
			want = 150 * time.Millisecond
		}
		qt.Check(t, r.Wait, qt.Equals, want)
	}
}
