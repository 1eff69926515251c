package forwarder

import (
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
)

const (
	// versionWaitTimeout is how long a request waits for an advertised version: a
	// few fetches, of which each takes milliseconds.
	versionWaitTimeout = 250 * time.Millisecond
	// maxStaleAge is for how long after a node has become stale requests wait for
	// the advertised version. A node that is not cut off applies it before that.
	maxStaleAge = 2 * time.Second
	// behindRetryDelay is the retry delay for a request that a stale node rejects.
	behindRetryDelay = 250 * time.Millisecond
)

// versionFilter keeps a stale node from giving a final rejection to a request that
// the advertised version may allow. A node is stale while a newer version than the
// one in force has been advertised to it. The request waits a short time for that
// version, and is then rejected with a delay for a retry.
type versionFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (v *versionFilter) Serve(x *Exchange, next func(*Exchange)) {
	advertised, age := v.forwarder.deps.Behind()
	if advertised > x.config.Version() && !v.awaitVersion(x, advertised, min(versionWaitTimeout, maxStaleAge-age)) {
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonBehind, behindRetryDelay,
			"version %d does not allow this request, and a newer one, %d, is not in force at this node yet", x.config.Version(), advertised))
		return
	}
	next(x)
}

// awaitVersion waits until the configuration in force allows the request or has
// reached the advertised version. It returns false when the timeout passes or the
// caller disconnects before that.
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

// allows reports whether a configuration has the route and, where needed, the key
// of a request. It also returns true for a withdrawn key, as every version rejects
// it and waiting would not help.
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
