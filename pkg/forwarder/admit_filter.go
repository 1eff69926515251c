package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
)

// admitFilter waits for a slot of the own target, or refuses at once when
// there is no room or no time.
type admitFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (a *admitFilter) Serve(x *Exchange, next func(*Exchange)) {
	deps := a.forwarder.deps
	target := deps.Target()
	if target == nil || target.Service != x.hop.Service || target.Closed {
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonTarget, noTargetRetryDelay, "instance has no target of service %s", x.hop.Service))
		return
	}
	x.target = target
	ctx, cancel := context.WithDeadline(x.Context(), x.deadline)
	defer cancel()
	ticket, err := deps.Admitter.Admit(ctx, x.hop.Team, priorityOf(x))
	var overload *admitter.OverloadError
	switch {
	case err == nil:
		x.ticket = ticket
		next(x)
	case errors.As(err, &overload):
		a.forwarder.count("refused_load")
		a.setLoadHeaders(x)
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonLoad, overload.Wait, "%v", overload))
	default:
		x.refuse(refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline passed while the request waited for a slot"))
	}
}

func priorityOf(x *Exchange) admitter.Priority {
	return admitter.NewPriority(x.hop.Rank, x.hop.Call, x.hop.Root)
}

// setLevel tells the node before this one what is better refused at the entry.
func (a *admitFilter) setLoadHeaders(x *Exchange) {
	setLoadHeaders(x, a.forwarder.deps.Admitter.Load(), 0)
}

// millisecondsUp rounds up, so that a short time does not become none.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
