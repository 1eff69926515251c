package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// maxTimeLeft bounds the time left that a node takes from another; it is above every
// objective in use.
const maxTimeLeft = 24 * time.Hour

// setDueAt sets when the objective of a request ends: that of its own route, or for a
// call that of the request which made it if that ends sooner.
func (f *Forwarder) setDueAt(x *Exchange) {
	if !f.deps.Objectives {
		return
	}
	if x.hop.Objective > 0 {
		x.dueAt = x.startedAt.Add(time.Duration(x.hop.Objective) * time.Microsecond)
	}
	parent := x.parent
	if parent == nil {
		parent = x.inferredParent
	}
	if parent != nil && !parent.dueAt.IsZero() {
		x.dueAt = earliest(x.dueAt, parent.dueAt)
	}
}

// setLeftHeader tells the target's node how much of the objective is left, which may be
// negative.
func setLeftHeader(h http.Header, x *Exchange, now time.Time) {
	if !x.dueAt.IsZero() {
		h.Set(headerLeft, strconv.FormatInt(x.dueAt.Sub(now).Microseconds(), 10))
	}
}

// readLeft reads what setLeftHeader wrote, as the time when the objective ends; zero if
// it is not known.
func readLeft(h http.Header, now time.Time) time.Time {
	micros, err := strconv.ParseInt(h.Get(headerLeft), 10, 64)
	if err != nil || micros > maxTimeLeft.Microseconds() || micros < -maxTimeLeft.Microseconds() {
		return time.Time{}
	}
	return now.Add(time.Duration(micros) * time.Microsecond)
}

// honouredWaitDivisor bounds a retry delay to a sixth of the time that the caller has
// left. Callers honour a third of it, and jitter doubles a delay at most.
const honouredWaitDivisor = 6

// capWait bounds the retry delay of a refusal for lack of capacity to what the caller
// honours, so that it returns while it can still be served.
func (f *Forwarder) capWait(x *Exchange, r *Refusal, now time.Time) *Refusal {
	if f.deps.Objectives && r.Reason == ReasonLoad && r.Wait > 0 {
		r.Wait = min(r.Wait, max(x.timeLeft(now)/honouredWaitDivisor, time.Millisecond))
	}
	return r
}
