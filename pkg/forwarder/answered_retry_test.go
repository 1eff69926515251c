package forwarder

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// failingPeers stands for the nodes of targets: the first attempt gets the target's own
// failure, all later ones are refused by the node.
type failingPeers struct{ attempts int }

// RoundTrip implements http.RoundTripper.
func (p *failingPeers) RoundTrip(*http.Request) (*http.Response, error) {
	p.attempts++
	w := httptest.NewRecorder()
	if p.attempts == 1 {
		w.WriteHeader(http.StatusInternalServerError)
	} else {
		refuse(http.StatusServiceUnavailable, ReasonLoad, time.Second, "no room").write(w)
	}
	return w.Result(), nil
}

// TestRefusalAfterFailedRunClaimsNotRun guards against a request that ran at one target,
// was answered 500 there and refused elsewhere, and is reported as not run.
func TestRefusalAfterFailedRunClaimsNotRun(t *testing.T) {
	n := newStaleNode(t)
	n.declare(t, 2, declarationWithKey(""))
	var targets []*control.Entry
	for _, name := range []string{"1", "2", "3"} {
		targets = append(targets, &control.Entry{Instance: name, Centre: "west", Address: "west", Service: "hello", Slots: 9, State: control.State_STATE_ALIVE})
	}
	peers := &failingPeers{}
	n.forwarder.deps.Router = router.New(timekeeper.RuntimeClock{}, "west0", "west", rand.New(rand.NewPCG(1, 1)))
	n.forwarder.deps.Targets = func(string) []*control.Entry { return targets }
	n.forwarder.deps.PeerTransport = peers
	n.forwarder.deps.Retries = retrier.DefaultBounds
	w := httptest.NewRecorder()
	x := &Exchange{
		writer: w, request: httptest.NewRequest(http.MethodGet, "/hello", nil), config: n.config.Current(),
		hop: &control.Hop{Service: "hello", Id: "r1", Idempotent: true}, dialect: Native{}, budget: retrier.NewBudget(3),
		deadline: time.Now().Add(time.Minute), bufferedBody: []byte{},
	}
	(&sendFilter{n.forwarder}).Serve(x, nil)
	qt.Assert(t, peers.attempts > 1, qt.IsTrue)
	qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(Unknown))
	qt.Check(t, w.Code, qt.Equals, http.StatusBadGateway)
}

// fullPeers stands for the nodes of targets that reject all requests with a full queue.
type fullPeers struct{ attempts int }

// RoundTrip implements http.RoundTripper.
func (p *fullPeers) RoundTrip(*http.Request) (*http.Response, error) {
	p.attempts++
	w := httptest.NewRecorder()
	w.Header().Set(headerLoad, "300")
	refuse(http.StatusServiceUnavailable, ReasonLoad, time.Second, "no room").write(w)
	return w.Result(), nil
}

// TestRejectedRequestsAskFullTargets guards against requests that are sent to every target of a
// service whose targets have all just told of a full queue: each of two hundred must be sent
// once, but for those by which the node learns of the queues, and of their end after 0.1 s.
func TestRejectedRequestsAskFullTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, interval = 200, time.Millisecond
		n := newStaleNode(t)
		n.declare(t, 2, declarationWithKey(""))
		var targets []*control.Entry
		for _, name := range []string{"1", "2", "3", "4"} {
			targets = append(targets, &control.Entry{Instance: name, Centre: "west", Address: "west", Service: "hello", Slots: 9, State: control.State_STATE_ALIVE})
		}
		peers := &fullPeers{}
		n.forwarder.deps.Clock = timekeeper.RuntimeClock{}
		n.forwarder.deps.Router = router.New(timekeeper.RuntimeClock{}, "west0", "west", rand.New(rand.NewPCG(1, 1)))
		n.forwarder.deps.Targets = func(string) []*control.Entry { return targets }
		n.forwarder.deps.PeerTransport = peers
		n.forwarder.deps.Retries = retrier.DefaultBounds
		for range requests {
			x := &Exchange{
				writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodGet, "/hello", nil), config: n.config.Current(),
				hop: &control.Hop{Service: "hello", Id: "r1"}, dialect: Native{}, budget: retrier.NewBudget(0),
				deadline: time.Now().Add(time.Minute), bufferedBody: []byte{},
			}
			(&sendFilter{n.forwarder}).Serve(x, nil)
			time.Sleep(interval)
		}
		// In each tenth of a second a node asks each of the four targets at most once more.
		qt.Check(t, peers.attempts <= requests+3*len(targets), qt.IsTrue, qt.Commentf("%d attempts", peers.attempts))
	})
}

// connectionlessPeers stands for a node that may open no more connections.
type connectionlessPeers struct{ attempts int }

// RoundTrip implements http.RoundTripper.
func (p *connectionlessPeers) RoundTrip(*http.Request) (*http.Response, error) {
	p.attempts++
	return nil, &dialer.FullError{Limit: 1}
}

// TestMissingConnectionsEjectTargets guards against targets that count as unreachable, since
// this node may open no more connections: the request is refused as not run, at the first
// target, and the targets stay in use.
func TestMissingConnectionsEjectTargets(t *testing.T) {
	n := newStaleNode(t)
	n.declare(t, 2, declarationWithKey(""))
	targets := []*control.Entry{{Instance: "1", Centre: "west", Address: "west", Service: "hello", Slots: 9, State: control.State_STATE_ALIVE}}
	peers := &connectionlessPeers{}
	n.forwarder.deps.Router = router.New(timekeeper.RuntimeClock{}, "west0", "west", rand.New(rand.NewPCG(1, 1)))
	n.forwarder.deps.Targets = func(string) []*control.Entry { return targets }
	n.forwarder.deps.PeerTransport = peers
	n.forwarder.deps.Retries = retrier.DefaultBounds
	const requests = 5
	for range requests {
		w := httptest.NewRecorder()
		x := &Exchange{
			writer: w, request: httptest.NewRequest(http.MethodGet, "/hello", nil), config: n.config.Current(),
			hop: &control.Hop{Service: "hello", Id: "r1"}, dialect: Native{}, budget: retrier.NewBudget(3),
			deadline: time.Now().Add(time.Minute), bufferedBody: []byte{},
		}
		(&sendFilter{n.forwarder}).Serve(x, nil)
		qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, w.Header().Get(HeaderOutcome), qt.Equals, string(NotRun))
		qt.Check(t, w.Header().Get(HeaderReason), qt.Equals, string(ReasonLoad))
	}
	qt.Check(t, peers.attempts, qt.Equals, requests)
	qt.Check(t, n.forwarder.deps.Router.HasUntried(targets, nil), qt.IsTrue)
}
