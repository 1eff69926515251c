package forwarder

import (
	"net/http"
	"time"
)

// Stop holds the times of a node's graceful stop. A node that is told to stop takes
// requests until their senders have had time to go elsewhere. After that it takes only
// those that it can answer before its process ends.
type Stop struct {
	// CallersGone and NodesGone are when callers, and other nodes with requests for
	// this node's target, have had that time.
	CallersGone, NodesGone time.Time
	// Ends is when the process ends at the latest.
	Ends time.Time
}

// stop returns the times of the node's stop, or nil before it begins.
func (f *Forwarder) stop() *Stop {
	if f.deps.Stopping == nil {
		return nil
	}
	return f.deps.Stopping()
}

// stopFilter rejects requests that a stopping node may not answer before it ends. What
// counts is the deadline, not how long a request usually takes: its caller is promised
// an answer until then.
type stopFilter struct{ forwarder *Forwarder }

// restartDelay is the shortest retry delay of these rejections: near the end of the
// process, the time in which a supervisor starts the next one.
const restartDelay = 500 * time.Millisecond

// Serve implements Filter.
func (s *stopFilter) Serve(x *Exchange, next func(*Exchange)) {
	stop := s.forwarder.stop()
	if stop == nil {
		next(x)
		return
	}
	now := s.forwarder.deps.Clock.Now()
	from := stop.CallersGone
	if x.atTargetNode {
		from = stop.NodesGone
	}
	// A call with a known parent ends with it: the parent runs at this node's target,
	// and rejecting the call would make it fail for certain.
	if x.parent != nil || now.Before(from) || x.endsBefore(stop.Ends) {
		next(x)
		return
	}
	s.forwarder.count("refused_stop")
	x.refuse(refuse(http.StatusServiceUnavailable, ReasonStop, max(stop.Ends.Sub(now), restartDelay), "this node ends before the deadline of the request"))
}

// endsBefore reports whether the request is answered by a time, or its deadline passes. A
// long body on a route without an objective has no such bound, see allowance.
func (x *Exchange) endsBefore(t time.Time) bool {
	return !x.deadline.After(t) && (x.hop.Objective != 0 || !hasLongBody(x.request))
}
