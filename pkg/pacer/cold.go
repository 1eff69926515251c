package pacer

import (
	"math"
	"time"
)

const (
	// reportGap is the time without a report and without an answer after which a target
	// counts as cold: targets report every 1.5 s and state how long they stay cold, so a
	// change may be unknown by then.
	reportGap = 2200 * time.Millisecond
	// burstDivisor is the part of the bound that may begin at once while none of it is
	// used: callers that wait are spread over the second, as a cold target is slow.
	burstDivisor = 4
	// unknownWait is the time after which a request is worth another try while no report
	// of the target is known; targets report every 1.5 s.
	unknownWait = time.Second
)

// ColdBound bounds the requests that a cold target gets in any second.
type ColdBound struct {
	// Rate is what the target's service states, in requests a second; 0 if it states
	// nothing.
	Rate float64
	// Ratio and Slack are the settings: Rate times Ratio, and Slack, may be sent. A Ratio
	// of 0 enforces no bound.
	Ratio, Slack float64
}

// tracked reports whether the times of requests must be known, since a bound is in
// force or may be as soon as the service states a rate.
func (b ColdBound) tracked() bool { return b.Ratio > 0 }

func (b ColdBound) enforced() bool { return b.Ratio > 0 && b.Rate > 0 }

// Requests returns how many requests a cold target may get in any second.
func (b ColdBound) Requests() int {
	return int(b.Rate*b.Ratio + b.Slack + tokenRounding)
}

// ColdReason is one word for why a target counts as cold.
type ColdReason string

// The reasons. Warm is that of a target that does not count as cold.
const (
	Warm ColdReason = ""
	// ColdUnknown stands for a life of the target that has not reported yet; it gets
	// nothing.
	ColdUnknown ColdReason = "unknown"
	// ColdReported stands for the time that the last report states.
	ColdReported ColdReason = "report"
	// ColdGap stands for a time without a report and an answer.
	ColdGap ColdReason = "gap"
	// ColdIdle stands for a target to which nothing could be sent for a time.
	ColdIdle ColdReason = "idle"
)

// Cold decides when requests may begin at a target that is cold, so that the target
// gets no more in any second than its bound. It counts the requests while the target is
// warm, too, since the target may turn cold at any moment. The zero value enforces no
// bound. A Cold is not safe for concurrent use.
type Cold struct {
	bound  ColdBound
	window window
	// blockedUntil is when the requests that began before the first bound, in this
	// process or an earlier one, no longer count.
	blockedUntil time.Time
	// spacedAt is when the next request would begin if all were evenly spaced.
	spacedAt time.Time

	// reported is set while the last report is about the present life of the target.
	reported bool
	// until is when the time that the last report states is over.
	until time.Time
	// doubt is why the target counts as cold until its next report; Warm if it does not.
	doubt ColdReason
	// periodic is set if the target reports at fixed intervals. heardAt is when it last
	// reported or answered.
	periodic bool
	heardAt  time.Time
}

// SetBound sets the bound. What began before the first one is not known, so a cold
// target gets nothing until that no longer counts.
func (c *Cold) SetBound(b ColdBound, now time.Time) {
	if b.tracked() && !c.bound.tracked() {
		c.blockedUntil = now.Add(windowTime)
	}
	if !b.tracked() {
		c.window = window{}
	}
	c.bound = b
}

// Report records a report of the target by which it stays cold for a time from now.
// periodic says whether the target reports at fixed intervals.
func (c *Cold) Report(cold time.Duration, periodic bool, now time.Time) {
	c.reported, c.doubt, c.periodic, c.heardAt = true, Warm, periodic, now
	c.until = now.Add(max(cold, 0))
}

// RecordAnswer records that the target has answered a request.
func (c *Cold) RecordAnswer(now time.Time) {
	c.checkGap(now)
	c.heardAt = now
}

// MarkIdle records that nothing could be sent to the target for a time: it counts as
// cold until its next report.
func (c *Cold) MarkIdle() { c.doubt = ColdIdle }

// Close records that the life of the target has ended. Nothing begins until the next
// life reports.
func (c *Cold) Close() { c.reported = false }

func (c *Cold) checkGap(now time.Time) {
	if c.reported && c.periodic && c.doubt == Warm && now.Sub(c.heardAt) >= reportGap {
		c.doubt = ColdGap
	}
}

// Doubted reports whether the target was out of sight, for lack of reports or requests,
// so that it may not be what it was.
func (c *Cold) Doubted(now time.Time) bool {
	c.checkGap(now)
	return c.reported && c.doubt != Warm
}

// Reason returns why the target counts as cold, and for how long if that is known;
// otherwise it is until the next report. Without a bound the target counts as warm.
func (c *Cold) Reason(now time.Time) (reason ColdReason, left time.Duration) {
	if !c.bound.enforced() {
		return Warm, 0
	}
	c.checkGap(now)
	switch {
	case !c.reported:
		return ColdUnknown, 0
	case c.doubt != Warm:
		return c.doubt, 0
	case now.Before(c.until):
		return ColdReported, c.until.Sub(now)
	}
	return Warm, 0
}

// interval returns the time between two requests if all are evenly spaced.
func (c *Cold) interval() time.Duration {
	return windowTime / time.Duration(max(c.bound.Requests(), 1))
}

// Interval returns the mean time between two requests that begin; 0 if the target is
// warm.
func (c *Cold) Interval(now time.Time) time.Duration {
	if reason, _ := c.Reason(now); reason == Warm {
		return 0
	}
	return c.interval()
}

// Ready reports whether a request may begin.
func (c *Cold) Ready(now time.Time) bool { return c.Wait(now) == 0 }

// Wait returns the time until a request may begin; 0 if one may begin now.
func (c *Cold) Wait(now time.Time) time.Duration {
	reason, left := c.Reason(now)
	if reason == Warm {
		return 0
	}
	limit := c.bound.Requests()
	if reason == ColdUnknown || limit == 0 {
		if left > 0 {
			return min(left, unknownWait)
		}
		return unknownWait
	}
	// The burst shrinks as the bound is used. Otherwise the same burst would begin in
	// each second, with a pause before it that waiting requests do not outlast.
	unused := max(limit-c.window.count(now), 0)
	burst := c.interval() * time.Duration((max(limit/burstDivisor, 1)-1)*unused) / time.Duration(limit)
	// Without max the difference to the zero time would overflow.
	spacing := max(c.spacedAt.Sub(now), 0) - burst
	wait := max(c.window.wait(limit, now), c.blockedUntil.Sub(now), spacing, 0)
	if left > 0 {
		return min(wait, left)
	}
	return wait
}

// Begin counts a request that begins.
func (c *Cold) Begin(now time.Time) {
	if !c.bound.tracked() {
		return
	}
	c.window.add(now)
	if reason, _ := c.Reason(now); reason != Warm {
		if c.spacedAt.Before(now) {
			c.spacedAt = now
		}
		c.spacedAt = c.spacedAt.Add(c.interval())
	}
}

// Send counts a request that began at a time as one of now, when it goes to the target,
// and reports whether it may: it may have taken long since it began, for a connection or
// the processor. One that is no longer counted needs a place under the bound again.
func (c *Cold) Send(begunAt, now time.Time) bool {
	if !c.bound.tracked() {
		return true
	}
	if !c.window.remove(begunAt) && !c.Ready(now) {
		return false
	}
	c.window.add(now)
	return true
}

// Release uncounts a request that began at a time: the target has not got it, or
// another process has answered it as misdirected.
func (c *Cold) Release(at time.Time) {
	if c.window.remove(at) {
		c.spacedAt = c.spacedAt.Add(-c.interval())
	}
}

// Utilization returns the part of the bound that is in use: 1 for a life that has not
// reported, 0 if the target is warm.
func (c *Cold) Utilization(now time.Time) float64 {
	reason, _ := c.Reason(now)
	switch {
	case reason == Warm:
		return 0
	case reason == ColdUnknown:
		return 1
	}
	return math.Min(1, float64(c.window.count(now))/float64(max(c.bound.Requests(), 1)))
}
