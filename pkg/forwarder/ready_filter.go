package forwarder

import (
	"net/http"
	"time"
)

// readyFilter holds requests that reach a node before it is ready. Load answered: all
// nodes lose power at once, and callers return before the nodes have fetched the
// configuration and heard of the targets, which takes them tenths of a second.
type readyFilter struct{ forwarder *Forwarder }

// readyRetryDelay is the retry delay for a request that a node rejects because it is
// not ready.
const readyRetryDelay = time.Second

// Serve implements Filter.
func (r *readyFilter) Serve(x *Exchange, next func(*Exchange)) {
	deps := r.forwarder.deps
	if deps.Ready() {
		next(x)
		return
	}
	if !r.forwarder.awaitStart(x, deps.Ready) {
		if x.Context().Err() != nil {
			x.refuse(callerGoneRefusal(NotRun))
			return
		}
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonContact, readyRetryDelay, "this node knows no declaration yet"))
		return
	}
	x.config = deps.Config.Current()
	next(x)
}
