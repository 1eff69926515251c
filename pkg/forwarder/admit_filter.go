package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
)

// admitFilter waits for a free slot of this node's target. It rejects the
// request when there is no target of its service, when the admitter is overloaded,
// when the data centre is drained, or when the deadline passes in the queue.
type admitFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (a *admitFilter) Serve(x *Exchange, next func(*Exchange)) {
	deps := a.forwarder.deps
	target := deps.Target()
	if target == nil || target.Service != x.hop.Service || target.Closed {
		x.refuse(noTargetRefusal(x))
		return
	}
	x.target = target
	ctx, cancel := context.WithDeadline(x.Context(), x.deadline)
	defer cancel()
	a.forwarder.applyTargetLimit(target.Life)
	ticket, err := deps.Admitter.AdmitRequest(ctx, admitter.Request{
		Team: x.hop.Team, Priority: priorityOf(x), Weight: x.admissionWeight(),
		Objective: time.Duration(x.hop.Objective) * time.Microsecond, DueAt: x.dueAt, Deadline: x.deadline,
		Sender: x.hop.Sender,
	})
	var overload *admitter.OverloadError
	var paced *admitter.PacedError
	var drained *admitter.DrainedError
	var released *admitter.ReleasedError
	switch {
	case err == nil:
		x.ticket = ticket
		next(x)
	case errors.As(err, &overload):
		a.forwarder.count("refused_load")
		a.forwarder.setStateHeaders(x, 0)
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonLoad, overload.Wait, "%v", overload))
	case errors.As(err, &paced):
		a.forwarder.refusePaced(x, paced)
	case errors.As(err, &drained):
		a.forwarder.count("refused_drained")
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonDrained, drainedRetryDelay, "%v", drained))
	case errors.As(err, &released) && a.forwarder.rejectClosed(x):
	case errors.As(err, &released):
		x.refuse(a.forwarder.releaseRefusal(released))
	default:
		a.forwarder.setWorkHeader(x)
		x.refuse(refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline passed while the request waited for a slot"))
	}
}

func noTargetRefusal(x *Exchange) *Refusal {
	return refuse(http.StatusServiceUnavailable, ReasonTarget, noTargetRetryDelay, "instance has no target of service %s", x.hop.Service)
}

// rejectClosed rejects a released request if its target has been closed, or followed by
// another life, and reports whether it did. The entry node asks another target then.
func (f *Forwarder) rejectClosed(x *Exchange) bool {
	target := f.deps.Target()
	if target == nil || target.Life == x.target.Life && !target.Closed {
		return false
	}
	x.refuse(noTargetRefusal(x))
	return true
}

// refusePaced rejects a request that may not begin at the target yet.
func (f *Forwarder) refusePaced(x *Exchange, paced *admitter.PacedError) {
	f.count("refused_limit")
	f.setStateHeaders(x, f.deps.Admitter.Load().PacedLevel)
	x.refuse(refuse(http.StatusServiceUnavailable, ReasonLimit, paced.Wait, "%v", paced))
}

func priorityOf(x *Exchange) admitter.Priority {
	return admitter.NewPriority(x.hop.Rank, x.hop.Call, x.hop.Root)
}

// ceilMilliseconds rounds up, so that less than a millisecond does not become 0.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
