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

// routeFilter finds the route, which sets the service, the deadline and the retry
// budget of a root request. A call from a target takes its team, rank and retry
// budget from the request in flight that it belongs to, and its deadline unless
// its own is earlier.
type routeFilter struct{ forwarder *Forwarder }

// maxCallDepth bounds the length of a chain of calls, and so ends a loop of calls.
const maxCallDepth = 64

// Serve implements Filter.
func (r *routeFilter) Serve(x *Exchange, next func(*Exchange)) {
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

// checkBodySize rejects a body that is known to be longer than limit bytes, and
// limits the reader of one of unknown length. It reports whether the request may
// go on. A limit of 0 means no limit.
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

// inherit copies to a call what it has in common with its parent.
func (r *routeFilter) inherit(x *Exchange) {
	p := x.parent
	x.hop.Team = p.hop.Team
	x.hop.Rank = p.hop.Rank
	x.hop.Depth = p.hop.Depth + 1
	x.hop.Root = p.hop.Root
	x.hop.Route = p.hop.Route
	x.budget = p.budget
	x.deadline = earliest(x.deadline, p.deadline)
	// The end of the parent cancels the call.
	context.AfterFunc(p.ctx, x.cancel)
}

// inferParent copies from the probable parent of a call what decides about its
// admission under overload (rank, root hash and root route), and the call depth. It
// copies neither team, deadline nor retry budget, as the inference may be wrong.
// Without a probable parent it draws a likely one, so that calls have the ranks of the
// requests that make them: with a rank above all roots, an admission level that holds
// calls back would refuse the roots of every rank.
func (r *routeFilter) inferParent(x *Exchange) {
	x.hop.Rank = declarer.MaxRank
	table := &r.forwarder.inFlightTable
	x.inferredParent = table.inferParent(x.route.Name, x.deadline)
	parent := x.inferredParent
	if parent == nil {
		x.likelyParent = table.drawCaller(x.route.Name)
		parent = x.likelyParent
	}
	if parent == nil {
		return
	}
	x.hop.Inferred = x.inferredParent != nil
	x.hop.Rank = parent.hop.Rank
	x.hop.Root = parent.hop.Root
	x.hop.Depth = parent.hop.Depth + 1
	x.hop.Route = parent.hop.Route
}

// beginRoot sets the route, the root hash, the retry budget and the deadline of a
// request without a parent.
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

// earliest returns the earlier time; a zero a counts as no time.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// parseTimeout reads a caller's timeout in milliseconds; 0 stands for none or an
// invalid one. It can only shorten the route's timeout.
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

// newHop returns an empty hop.
func newHop() *control.Hop { return &control.Hop{} }
