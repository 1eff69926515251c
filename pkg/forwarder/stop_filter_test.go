package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestStopTakesOnlyWhatEndsInTime guards against a stopping node that takes a request,
// from a caller or from another node, and ends before its deadline.
func TestStopTakesOnlyWhatEndsInTime(t *testing.T) {
	const callersGone, nodesGone, ends = 3 * time.Second, 1500 * time.Millisecond, 5600 * time.Millisecond
	for _, test := range []struct {
		name        string
		at, timeout time.Duration
		hop, upload bool
		parent      *InFlightRequest
		taken       bool
	}{
		{name: "a caller that cannot know yet", at: 2900 * time.Millisecond, timeout: 5 * time.Second, taken: true},
		{name: "a short request after that", at: 4 * time.Second, timeout: 1500 * time.Millisecond, taken: true},
		{name: "a long request after that", at: 4 * time.Second, timeout: 1700 * time.Millisecond},
		{name: "a request at the very end", at: ends, timeout: time.Second},
		{name: "an upload without a time bound", at: 4 * time.Second, timeout: time.Second, upload: true},
		{name: "a call whose parent runs here", at: 5 * time.Second, timeout: 5 * time.Second, parent: &InFlightRequest{}, taken: true},
		{name: "a hop of a node that cannot know yet", at: time.Second, timeout: 5 * time.Second, hop: true, taken: true},
		{name: "a short hop after that", at: 2 * time.Second, timeout: 3 * time.Second, hop: true, taken: true},
		{name: "a long hop after that", at: 2 * time.Second, timeout: 4 * time.Second, hop: true},
	} {
		clock := &timekeeper.Manual{}
		began := clock.Now()
		stop := &Stop{CallersGone: began.Add(callersGone), NodesGone: began.Add(nodesGone), Ends: began.Add(ends)}
		clock.Advance(test.at)
		f := New(Deps{Clock: clock, Stopping: func() *Stop { return stop }})
		w := httptest.NewRecorder()
		x := &Exchange{
			writer: w, request: httptest.NewRequest(http.MethodPost, "/x", nil), hop: &control.Hop{}, dialect: Native{},
			atTargetNode: test.hop, deadline: clock.Now().Add(test.timeout), parent: test.parent,
			budget: retrier.NewBudget(0),
		}
		if test.upload {
			x.request.ContentLength = maxReplayableBody + 1
		}
		taken := false
		(&stopFilter{f}).Serve(x, func(*Exchange) { taken = true })
		qt.Check(t, taken, qt.Equals, test.taken, qt.Commentf("%s", test.name))
		if taken {
			continue
		}
		qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", test.name))
		qt.Check(t, w.Header().Get(HeaderReason), qt.Equals, string(ReasonStop), qt.Commentf("%s", test.name))
		qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(NotRun), qt.Commentf("%s", test.name))
		qt.Check(t, w.Header().Get(HeaderWait), qt.Not(qt.Equals), "", qt.Commentf("%s", test.name))
	}
}

// TestStopBeginsAttemptsThatMayWait guards against a stopping node that, at the end of its
// stop, begins an attempt that may wait at the target's node for longer than that.
func TestStopBeginsAttemptsThatMayWait(t *testing.T) {
	clock := &timekeeper.Manual{}
	began := clock.Now()
	stop := &Stop{WaitsEnd: began.Add(5 * time.Second), Ends: began.Add(5500 * time.Millisecond)}
	f := New(Deps{Clock: clock, Stopping: func() *Stop { return stop }})
	for _, test := range []struct {
		name        string
		at, timeout time.Duration
		attempts    int
		parent      *InFlightRequest
		begins      bool
	}{
		{name: "before the waits end", at: 4900 * time.Millisecond, timeout: time.Minute, attempts: 1, begins: true},
		{name: "a request that lasts longer", at: 5 * time.Second, timeout: time.Minute},
		{name: "another attempt", at: 5 * time.Second, timeout: 400 * time.Millisecond, attempts: 1},
		{name: "a request that ends in time", at: 5 * time.Second, timeout: 400 * time.Millisecond, begins: true},
		{name: "a call whose parent runs here", at: 5 * time.Second, timeout: time.Minute, parent: &InFlightRequest{}, begins: true},
	} {
		now := began.Add(test.at)
		x := &Exchange{request: httptest.NewRequest(http.MethodGet, "/x", nil), hop: &control.Hop{}, parent: test.parent, attemptsSent: test.attempts, deadline: now.Add(test.timeout)}
		r := f.refuseAttempt(x, now)
		qt.Check(t, r == nil, qt.Equals, test.begins, qt.Commentf("%s", test.name))
		if r != nil {
			qt.Check(t, r.Reason, qt.Equals, ReasonStop)
			qt.Check(t, r.Wait >= restartDelay, qt.IsTrue)
		}
	}
}
