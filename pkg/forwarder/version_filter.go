package forwarder

import (
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
)

const (
	// catchUpMost is how long a request waits for a version that this node has
	// heard of: a few fetches, of which each takes milliseconds.
	versionWaitTimeout = 250 * time.Millisecond
	// freshMost is how long after the first news of a version requests wait for
	// it: a node that is not cut off has it in force by then.
	maxAdvertAge = 2 * time.Second
	// catchUpReturn is the shortest time after which a caller may come back to a
	// node that is still behind.
	behindRetryDelay = 250 * time.Millisecond
)

// versionFilter keeps a node that knows that it is behind from refusing for good
// what the newer version may allow.
type versionFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (v *versionFilter) Serve(x *Exchange, next func(*Exchange)) {
	advertised, age := v.forwarder.deps.Behind()
	if advertised > x.config.Version() && v.forwarder.deps.Ready() && !v.awaitVersion(x, advertised, min(versionWaitTimeout, maxAdvertAge-age)) {
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonBehind, behindRetryDelay,
			"version %d does not allow this request, and a newer one, %d, is not in force at this node yet", x.config.Version(), advertised))
		return
	}
	next(x)
}

// await waits until the configuration in force allows the request or is the one
// that was heard of, and returns whether it does or is.
func (v *versionFilter) awaitVersion(x *Exchange, advertised uint64, timeout time.Duration) bool {
	deps := v.forwarder.deps
	expired := deps.Clock.After(timeout)
	for {
		changed := deps.Changed()
		x.config = deps.Config.Current()
		if x.config.Version() >= advertised || v.allows(x.config, x) {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return false
		case <-x.Context().Done():
			return false
		}
	}
}

// allows tells whether a configuration has the route and the key of a request. A
// withdrawn key is refused by any version.
func (v *versionFilter) allows(c *enforcer.Config, x *Exchange) bool {
	route := c.Route(x.request.Host, x.request.Method, x.request.URL.Path)
	if route == nil {
		return false
	}
	if route.Open || x.parent != nil || v.forwarder.deps.Withdrawn.Has(x.keyHash) {
		return true
	}
	_, known := c.Team(x.keyHash)
	return known
}
