package admitter

import (
	"time"

	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// SetColdBound sets the bound of requests to the target while it is cold.
func (a *Admitter) SetColdBound(b pacer.ColdBound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.SetBound(b, a.clock.Now())
	a.dispatch()
}

// ReportCold records a report of the target by which it stays cold for a time from now.
// periodic says whether the target reports at fixed intervals.
func (a *Admitter) ReportCold(cold time.Duration, periodic bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.cold.Doubted(now) {
		a.ramp.Begin(a.slots, now)
	}
	a.cold.Report(cold, periodic, now)
	a.dispatch()
}

// CloseTarget records that the life of the target has ended. With a bound for cold
// targets nothing begins until the next life reports.
func (a *Admitter) CloseTarget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.Close()
}

// Cold returns why the target counts as cold, and for how long if that is known.
func (a *Admitter) Cold() (reason pacer.ColdReason, left time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cold.Reason(a.clock.Now())
}

// paceReady reports whether neither the limit that the target names nor the bound of a
// cold target keeps a request from beginning.
func (a *Admitter) paceReady(now time.Time) bool {
	return a.pacer.Ready(now) && a.cold.Ready(now)
}

// paceWait returns the time until a request may begin under both.
func (a *Admitter) paceWait(now time.Time) time.Duration {
	return max(a.pacer.Wait(now), a.cold.Wait(now))
}

// paceUtilization returns the part in use of the one that is used more.
func (a *Admitter) paceUtilization(now time.Time) float64 {
	return max(a.pacer.Utilization(now), a.cold.Utilization(now))
}

// paceInterval returns the mean time between two requests that begin under the lower of
// both.
func (a *Admitter) paceInterval(now time.Time) time.Duration {
	if !a.pacer.Limited() {
		return a.cold.Interval(now)
	}
	return max(a.pacer.Interval(), a.cold.Interval(now))
}

// paceBegin counts a request that begins. It does not count as running yet.
func (a *Admitter) paceBegin(now time.Time) {
	a.ramp.Advance(a.inflight, now)
	a.pacer.Begin(now)
	a.cold.Begin(now)
}

// pacedError rejects a request because of the limit or the bound. The sender comes back
// no earlier than a request may begin.
func (a *Admitter) pacedError(now time.Time) error {
	reason, _ := a.cold.Reason(now)
	switch {
	case reason != pacer.Warm:
	case a.pacer.Limited() || !a.foundPace:
		return &PacedError{Wait: a.pacer.Backoff(now)}
	default:
		return &PacedError{Wait: max(minQueueTimeout, a.serviceTime()), Held: true}
	}
	rate := float64(time.Second) / float64(a.paceInterval(now))
	return &PacedError{Wait: max(a.pacer.BackoffAt(rate, now), a.cold.Wait(now)), Cold: reason}
}

// UseFoundPace makes the answers of a target that has started or recovered decide how
// many requests may run there. It must be called before the first request.
func (a *Admitter) UseFoundPace() { a.foundPace = true }

// effectiveLimit returns the limit as other nodes should see it. For a fixed warm-up it
// is the one after that.
func (a *Admitter) effectiveLimit(now time.Time) int {
	if a.foundPace {
		return a.currentLimit(now)
	}
	return a.limit
}

// demandLimit returns the limit with which the demand is compared: while the target is held
// back after a start or a recovery the one after that, as others may have room.
func (a *Admitter) demandLimit(now time.Time) int {
	if a.foundPace && a.ramp.Active(now) {
		return a.limit
	}
	return a.currentLimit(now)
}

// isHeldBack reports whether only its answers after a start or a recovery keep a request
// from beginning at the target. Other targets may have room, so its rejections must not
// make entry nodes shed.
func (a *Admitter) isHeldBack(now time.Time) bool {
	return a.foundPace && a.ramp.Active(now) && a.inflight >= a.currentLimit(now) && a.inflight < a.limit
}

// recordPace takes a request that ended, for the number of requests that may run. The
// request still counts as running.
func (a *Admitter) recordPace(t *Ticket, took, calls time.Duration, refused bool, now time.Time) {
	a.ramp.Advance(a.inflight, now)
	switch {
	case !a.foundPace:
	case t.answered:
		reason, _ := a.cold.Reason(now)
		a.ramp.RecordAnswer(pacer.Answer{Took: took, Calls: min(calls, took), Refused: refused}, reason != pacer.Warm, now)
	case t.unanswered:
		a.ramp.RecordNoAnswer(a.slots, now)
	}
}

// RecordNoAnswer records that the target has not answered the request: it could not be
// reached, its connection broke, or the deadline passed. It must precede Done.
func (t *Ticket) RecordNoAnswer() { t.unanswered = true }

// RecordAnswer records that the target has answered the request, as opposed to another
// process or nobody. It must precede Done.
func (t *Ticket) RecordAnswer() {
	t.answered = true
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.RecordAnswer(a.clock.Now())
}

// CheckDelay returns a *PacedError if the target is cold and more than the bound of cold
// targets tolerates has passed since the request began: it would arrive together with
// later ones. Load answered: the process is suspended and goes on with requests on
// their way. The request gives its place back and must not be sent.
func (t *Ticket) CheckDelay() error {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if reason, _ := a.cold.Reason(now); reason == pacer.Warm || now.Sub(t.begunAt) <= pacer.DeliveryMargin {
		return nil
	}
	a.cold.Release(t.begunAt)
	return a.pacedError(now)
}

// Send counts the request under the bound of cold targets as one of now, just before it
// goes to the target. It returns a *PacedError if it must not be sent any more. Load
// answered: a node that has just started beside its target, whose connections take long,
// so that requests that began apart arrive together.
func (t *Ticket) Send() error {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !a.cold.Send(t.begunAt, now) {
		return a.pacedError(now)
	}
	t.begunAt = now
	return nil
}

// Release gives back the place that the request took under the bound of a cold target,
// since the target has not got it.
func (t *Ticket) Release() {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.Release(t.begunAt)
	a.dispatch()
}
