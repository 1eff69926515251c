package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/proto/control"
)

// routeFilter finds the route, and with it the service, the importance, the
// deadline and the retries. A call from a target takes all but the service
// from the request in flight that it belongs to.
type routeFilter struct{ forwarder *Forwarder }

// maxDepth bounds a chain of calls; a call in a loop ends here.
const maxCallDepth = 64

// Serve implements Filter.
func (r *routeFilter) Serve(x *Exchange, next func(*Exchange)) {
	if !r.forwarder.deps.Ready() {
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonContact, time.Second, "this node knows no declaration yet"))
		return
	}
	route := x.config.Route(x.request.Host, x.request.Method, x.request.URL.Path)
	if route == nil {
		x.refuse(refuse(http.StatusNotFound, ReasonRoute, 0, "no route for %s %s", x.request.Method, x.request.URL.Path))
		return
	}
	if !x.checkBodySize(x.config.Declaration().Limits.Body) {
		return
	}
	x.route = route
	x.hop.Service = r.forwarder.trafficSplits.next(route)
	x.hop.Arrival = route.Name
	x.hop.Objective = (time.Duration(route.Objective) * time.Millisecond).Microseconds()
	x.hop.Idempotent = enforcer.Idempotent(route, x.request.Method)
	if x.parent != nil {
		r.inherit(x)
	} else {
		r.beginRoot(x, route)
	}
	if x.hop.Call && x.parent == nil {
		r.inferParent(x)
	}
	if x.hop.Depth > maxCallDepth {
		x.refuse(refuse(http.StatusLoopDetected, ReasonRoute, 0, "the chain of calls is over %d deep", maxCallDepth))
		return
	}
	if key := x.request.Header.Get(headerIdempotency); key != "" && !x.hop.Idempotent {
		x.idempotencyKey = key
	}
	next(x)
}

// fits refuses a body that is known to be over the limit in bytes, and cuts
// one whose length is not known; 0 is no limit.
func (x *Exchange) checkBodySize(limit int64) bool {
	if limit <= 0 || x.request.Body == nil {
		return true
	}
	if x.request.ContentLength > limit {
		x.refuse(refuse(http.StatusRequestEntityTooLarge, ReasonRequest, 0, "the body is over %d bytes", limit))
		return false
	}
	if x.request.ContentLength < 0 {
		x.request.Body = http.MaxBytesReader(x.writer, x.request.Body, limit)
	}
	return true
}

// inherit takes what a call has from its root request.
func (r *routeFilter) inherit(x *Exchange) {
	p := x.parent
	x.hop.Team = p.hop.Team
	x.hop.Rank = p.hop.Rank
	x.hop.Depth = p.hop.Depth + 1
	x.hop.Root = p.hop.Root
	x.hop.Route = p.hop.Route
	x.budget = p.budget
	x.deadline = earliest(x.deadline, p.deadline)
	// The call ends with the request that it belongs to.
	context.AfterFunc(p.ctx, x.cancel)
}

// infer takes from the likely parent of a call what decides its place under
// overload, and nothing that a wrong guess could do harm with.
func (r *routeFilter) inferParent(x *Exchange) {
	x.hop.Rank = declarer.MaxRank
	x.inferredParent = r.forwarder.inFlightTable.inferParent(x.route.Name, x.deadline)
	if x.inferredParent == nil {
		return
	}
	x.hop.Inferred = true
	x.hop.Rank = x.inferredParent.hop.Rank
	x.hop.Root = x.inferredParent.hop.Root
	x.hop.Depth = x.inferredParent.hop.Depth + 1
	x.hop.Route = x.inferredParent.hop.Route
}

// begin sets up a root request.
func (r *routeFilter) beginRoot(x *Exchange, route *declarer.Route) {
	x.hop.Route = route.Name
	x.hop.Root = uint32(xxhash.Sum64String(r.forwarder.newID()))
	x.budget = retrier.NewBudget(route.RetryCount())
	timeout := time.Duration(route.Timeout) * time.Millisecond
	if timeout == 0 {
		timeout = declarer.DefaultTimeout * time.Millisecond
	}
	x.deadline = earliest(x.deadline, x.startedAt.Add(timeout))
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// parseTimeout reads the caller's own timeout in milliseconds; it can only
// shorten the route's.
func parseTimeout(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > declarer.MaxTimeout {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func formatTimeout(left time.Duration) string {
	return strconv.FormatInt(ceilMilliseconds(left), 10)
}

// newHop makes an empty hop.
func newHop() *control.Hop { return &control.Hop{} }
