package forwarder

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// drainedPeers stands for the nodes of targets: those in the centres that are drained
// refuse, the others answer.
type drainedPeers struct {
	drained []string
	// asked lists the data centres to which attempts went.
	asked []string
}

// RoundTrip implements http.RoundTripper. The address of a target is its data centre.
func (p *drainedPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	p.asked = append(p.asked, r.URL.Host)
	w := httptest.NewRecorder()
	if slices.Contains(p.drained, r.URL.Host) {
		refuse(http.StatusServiceUnavailable, ReasonDrained, drainedRetryDelay, "drained").write(w)
	}
	return w.Result(), nil
}

// sendTo sends a request from an entry node in the data centre "west" that knows three
// targets in each data centre, and returns the response.
func sendTo(t *testing.T, n *staleNode, peers *drainedPeers, centres ...string) *httptest.ResponseRecorder {
	var targets []*control.Entry
	for _, centre := range centres {
		for _, name := range []string{"1", "2", "3"} {
			targets = append(targets, &control.Entry{Instance: centre + name, Centre: centre, Address: centre, Service: "hello", Slots: 9, State: control.State_STATE_ALIVE})
		}
	}
	clock := timekeeper.RuntimeClock{}
	n.forwarder.deps.Router = router.New(clock, "west0", "west", rand.New(rand.NewPCG(1, 1)))
	n.forwarder.deps.Targets = func(string) []*control.Entry { return targets }
	n.forwarder.deps.PeerTransport = peers
	n.forwarder.deps.Retries = func() retrier.Bounds { return retrier.Bounds{} }
	w := httptest.NewRecorder()
	x := &Exchange{
		writer: w, request: httptest.NewRequest(http.MethodGet, "/hello", nil), config: n.config.Current(),
		hop: &control.Hop{Service: "hello", Id: "r1"}, dialect: Native{}, budget: retrier.NewBudget(0),
		deadline: time.Now().Add(time.Minute), bufferedBody: []byte{},
	}
	(&sendFilter{n.forwarder}).Serve(x, nil)
	return w
}

// TestDrainedTargetsArePassedOver guards against an entry node that learns of a drain
// later than the nodes of the targets, and fails requests, or asks each target there in
// turn. It has no retry budget here.
func TestDrainedTargetsArePassedOver(t *testing.T) {
	for _, test := range []struct {
		name           string
		drained, asked []string
		status         int
	}{
		{"one data centre", []string{"west"}, []string{"west", "east"}, http.StatusOK},
		{"none", nil, []string{"west"}, http.StatusOK},
		{"all", []string{"west", "east"}, []string{"west", "east"}, http.StatusServiceUnavailable},
	} {
		n := newStaleNode(t)
		n.declare(t, 2, declarationWithKey(""))
		peers := &drainedPeers{drained: test.drained}
		w := sendTo(t, n, peers, "west", "east")
		qt.Check(t, w.Code, qt.Equals, test.status, qt.Commentf("%s", test.name))
		qt.Check(t, peers.asked, qt.DeepEquals, test.asked, qt.Commentf("%s", test.name))
		if test.status != http.StatusOK {
			qt.Check(t, w.Header().Get(HeaderReason), qt.Equals, string(ReasonDrained))
			qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(NotRun))
			qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
}

// TestDrainedServiceIsRefused checks that a request whose service has targets only in
// drained data centres is refused as not run and at once, and that a node which starts
// waits until it knows another target.
func TestDrainedServiceIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		// started is the age of the node, knownAt when it hears of another target.
		started, knownAt, took time.Duration
		served                 bool
	}{
		"no other target":         {started: time.Hour, knownAt: time.Hour},
		"start, target known":     {knownAt: 300 * time.Millisecond, took: 300 * time.Millisecond, served: true},
		"start, no other target":  {knownAt: time.Hour, took: maxStartWait},
		"other target from begin": {started: time.Hour, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newStaleNode(t)
				n.declare(t, 2, declarationWithKey(""))
				began := time.Now()
				n.forwarder.startedAt = began.Add(-c.started)
				n.forwarder.deps.DrainedCentres = func(string) []string {
					if time.Since(began) >= c.knownAt {
						return nil
					}
					return []string{"west"}
				}
				w := httptest.NewRecorder()
				x := &Exchange{writer: w, request: httptest.NewRequest(http.MethodGet, "/hello", nil), hop: newHop(), dialect: Native{}, startedAt: began}
				served := false
				(&drainFilter{n.forwarder}).Serve(x, func(*Exchange) { served = true })
				qt.Check(t, served, qt.Equals, c.served)
				qt.Check(t, time.Since(began), qt.Equals, c.took)
				if !c.served {
					qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
					qt.Check(t, w.Header().Get(HeaderReason), qt.Equals, string(ReasonDrained))
					qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(NotRun))
					qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			})
		})
	}
}

// TestOrderBeforeAttempt checks that a request which passed the drain filter before the
// order is refused for the order, not for want of a target.
func TestOrderBeforeAttempt(t *testing.T) {
	n := newStaleNode(t)
	n.declare(t, 2, declarationWithKey(""))
	n.forwarder.deps.DrainedCentres = func(string) []string { return []string{"west"} }
	w := sendTo(t, n, &drainedPeers{})
	qt.Check(t, w.Header().Get(HeaderReason), qt.Equals, string(ReasonDrained))
	qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(NotRun))
}

// TestOrderReleasesHops checks that an order rejects, on the target's node, the hop that
// waits for a slot and the next one, while the running one keeps its slot.
func TestOrderReleasesHops(t *testing.T) {
	n := newStaleNode(t)
	a := admitter.New(timekeeper.RuntimeClock{}, admitter.Static{})
	a.SetSlots(1, -1)
	n.forwarder.deps.Admitter = a
	n.forwarder.deps.Target = func() *Target { return &Target{Service: "hello"} }
	hop := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		x := &Exchange{
			writer: w, request: httptest.NewRequest(http.MethodGet, "/hello", nil), hop: &control.Hop{Service: "hello"},
			atTargetNode: true, budget: retrier.NewBudget(0), deadline: time.Now().Add(time.Minute),
		}
		(&admitFilter{n.forwarder}).Serve(x, func(*Exchange) {})
		return w
	}
	hop()
	waiting := make(chan *httptest.ResponseRecorder)
	go func() { waiting <- hop() }()
	for a.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, a.SetDrained(true), qt.Equals, 1)
	for _, w := range []*httptest.ResponseRecorder{<-waiting, hop()} {
		qt.Check(t, w.Header().Get(HeaderReason), qt.Equals, string(ReasonDrained))
		qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(NotRun))
	}
	qt.Check(t, a.Load().Inflight, qt.Equals, 1)
}
