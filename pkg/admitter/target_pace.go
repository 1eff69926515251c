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
	a.cold.Report(cold, periodic, a.clock.Now())
	a.dispatch()
}

// MarkIdle records that nothing could be sent to the target for a time, so that it may
// be cold: it counts as cold until its next report.
func (a *Admitter) MarkIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.MarkIdle()
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

// paceBegin counts a request that begins.
func (a *Admitter) paceBegin(now time.Time) {
	a.pacer.Begin(now)
	a.cold.Begin(now)
}

// pacedError rejects a request because of the limit or the bound. The sender comes back
// no earlier than a request may begin.
func (a *Admitter) pacedError(now time.Time) error {
	reason, _ := a.cold.Reason(now)
	if reason == pacer.Warm {
		return &PacedError{Wait: a.pacer.Backoff(now)}
	}
	rate := float64(time.Second) / float64(a.paceInterval(now))
	return &PacedError{Wait: max(a.pacer.BackoffAt(rate, now), a.cold.Wait(now)), Cold: reason}
}

// RecordAnswer records that the target has answered the request, as opposed to another
// process or nobody.
func (t *Ticket) RecordAnswer() {
	a := t.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.RecordAnswer(a.clock.Now())
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
