package forwarder

import (
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
)

// Stop holds the times of a node's graceful stop. A node that is told to stop takes
// requests until their senders have had time to go elsewhere. After that it takes only
// those that it can answer before its process ends.
type Stop struct {
	// CallersGone and NodesGone are when callers, and other nodes with requests for
	// this node's target, have had that time.
	CallersGone, NodesGone time.Time
	// WaitsEnd is until when a request may wait that the node still has to answer; Ends is
	// when the process ends at the latest.
	WaitsEnd, Ends time.Time
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
	x.refuse(stop.refusal(now))
}

// refusal returns the refusal for a request that the node cannot answer any more.
func (s *Stop) refusal(now time.Time) *Refusal {
	return refuse(http.StatusServiceUnavailable, ReasonStop, max(s.Ends.Sub(now), restartDelay), "this node ends before the deadline of the request")
}

// refuseAttempt returns the refusal for an attempt that a stopping node must not begin, as
// its request might wait at the target's node past the end of the process, or nil. A call
// with a known parent ends with it.
func (f *Forwarder) refuseAttempt(x *Exchange, now time.Time) *Refusal {
	stop := f.stop()
	if stop == nil || now.Before(stop.WaitsEnd) || x.parent != nil || x.attemptsSent == 0 && x.endsBefore(stop.Ends) {
		return nil
	}
	return stop.refusal(now)
}

// releaseRefusal returns the refusal for a request that no longer waits for this node's
// target: its entry node stops, or this one does.
func (f *Forwarder) releaseRefusal(released *admitter.ReleasedError) *Refusal {
	f.count("released")
	now := f.deps.Clock.Now()
	if stop := f.stop(); stop != nil {
		return stop.refusal(now)
	}
	return refuse(http.StatusServiceUnavailable, ReasonRelease, max(released.Left, restartDelay), "the entry node stops: %v", released)
}

// Sender identifies this process in the requests that it sends to other nodes.
func (f *Forwarder) Sender() uint64 { return f.sender }

// endsBefore reports whether the request is answered by a time, or its deadline passes. A
// long body on a route without an objective has no such bound, see allowance.
func (x *Exchange) endsBefore(t time.Time) bool {
	return !x.deadline.After(t) && (x.hop.Objective != 0 || !hasLongBody(x.request))
}
