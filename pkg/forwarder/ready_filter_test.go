package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
)

// TestStartingNodeHoldsRequests starts a node that becomes ready after a while.
// Requests that arrive in the meantime must be served as soon as it is ready, and
// otherwise be rejected at the end of their wait.
func TestStartingNodeHoldsRequests(t *testing.T) {
	for name, c := range map[string]struct {
		// arrives and readyAt count from the start of the node; took is how long
		// the request waits.
		arrives, readyAt, timeout, took time.Duration
		served                          bool
	}{
		"ready":            {arrives: 2 * time.Second, readyAt: time.Second, timeout: 5 * time.Second, served: true},
		"ready soon":       {arrives: 0, readyAt: 400 * time.Millisecond, timeout: 5 * time.Second, took: 400 * time.Millisecond, served: true},
		"ready late":       {arrives: 0, readyAt: 2 * time.Second, timeout: 5 * time.Second, took: time.Second},
		"short timeout":    {arrives: 0, readyAt: time.Second, timeout: 800 * time.Millisecond, took: 200 * time.Millisecond},
		"no timeout":       {arrives: 0, readyAt: 2 * time.Second, took: time.Second},
		"start is over":    {arrives: 4 * time.Second, readyAt: 5 * time.Second, timeout: 5 * time.Second},
		"start ends first": {arrives: 2800 * time.Millisecond, readyAt: 5 * time.Second, timeout: 5 * time.Second, took: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newStaleNode(t)
				start := time.Now()
				n.forwarder.startedAt = start
				n.forwarder.deps.Ready = func() bool { return time.Since(start) >= c.readyAt }
				time.Sleep(c.arrives)
				reason, took := n.await(context.Background(), c.timeout)
				qt.Check(t, took, qt.Equals, c.took)
				qt.Check(t, reason == "", qt.Equals, c.served)
			})
		})
	}
}

// TestCallerLeavesStartingNode disconnects the caller while its request waits for
// the node.
func TestCallerLeavesStartingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newStaleNode(t)
		n.forwarder.startedAt = time.Now()
		n.forwarder.deps.Ready = func() bool { return false }
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		reason, took := n.await(ctx, 5*time.Second)
		qt.Check(t, took, qt.Equals, 50*time.Millisecond)
		qt.Check(t, reason, qt.Equals, string(ReasonGone))
	})
}

// TestStartingNodeWaitsForTargets sends a request to a node that is ready but hears
// of the first target of the service only later. The request must wait for it, less
// what it has waited before.
func TestStartingNodeWaitsForTargets(t *testing.T) {
	for name, c := range map[string]struct {
		waited, knownAt, took time.Duration
	}{
		"known soon": {knownAt: 300 * time.Millisecond, took: 300 * time.Millisecond},
		"known late": {knownAt: 2 * time.Second, took: time.Second},
		"has waited": {waited: 800 * time.Millisecond, knownAt: 2 * time.Second, took: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newStaleNode(t)
				start := time.Now()
				n.forwarder.startedAt = start
				n.forwarder.deps.Targets = func(string) []*control.Entry {
					if time.Since(start) < c.knownAt {
						return nil
					}
					return []*control.Entry{{Instance: "other"}}
				}
				time.Sleep(c.waited)
				began := time.Now()
				x := &Exchange{
					request: httptest.NewRequest(http.MethodGet, "/hello", nil), hop: newHop(),
					startedAt: start, hasCallerTimeout: true, deadline: start.Add(5 * time.Second),
				}
				(&sendFilter{n.forwarder}).awaitTargets(x)
				qt.Check(t, time.Since(began), qt.Equals, c.took)
			})
		})
	}
}

// await sends a request with a timeout, 0 for none, through the ready filter. It
// returns the reason of the refusal, empty if there was none, and the time that the
// filter took.
func (n *staleNode) await(ctx context.Context, timeout time.Duration) (reason string, took time.Duration) {
	w := httptest.NewRecorder()
	began := time.Now()
	x := &Exchange{
		writer: w, request: httptest.NewRequest(http.MethodGet, "/hello", nil).WithContext(ctx), config: n.config.Current(),
		hop: newHop(), dialect: Native{}, hasCallerTimeout: timeout > 0, startedAt: began, deadline: began.Add(timeout),
	}
	(&readyFilter{n.forwarder}).Serve(x, func(*Exchange) {})
	return w.Header().Get(HeaderReason), time.Since(began)
}
