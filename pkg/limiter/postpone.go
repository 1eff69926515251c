package limiter

import (
	"context"
	"time"
)

// This file covers the time after a holder has stopped answering. Its deputies
// grant tokens only standbyDelay after its last reply. Requests that arrive until
// then are within their limits, so they wait instead of being rejected.

const (
	// maxPostponement bounds how long requests of a team wait until tokens are
	// granted again: the delay of the deputies, and the time that the refills
	// before and after it lose by asking the silent holder first. Rejected
	// callers would only retry later.
	maxPostponement = standbyDelay + 2*requestTimeout/3
	// minPostponeDelay is the shortest delay before a postponed refill.
	minPostponeDelay = 20 * time.Millisecond
)

// postpone keeps the requests waiting and schedules another refill for when tokens
// are announced. It returns false, and does nothing, if they would wait longer than
// maxPostponement in all. Otherwise it first admits as many as the reserve allows.
// The caller holds c.mu.
func (c *TokenClient) postpone(r *refill, now time.Time) bool {
	t := r.cache
	if t.postponedSince.IsZero() {
		t.postponedSince = now
	}
	delay := max(t.wait, minPostponeDelay)
	if now.Add(delay).After(t.postponedSince.Add(maxPostponement)) {
		return false
	}
	for len(t.waiting) > 0 && t.localReserve.take(now, c.limits.Reserve(r.team)) {
		t.waiting[0] <- nil
		t.waiting = t.waiting[1:]
	}
	next := &postponedRefill{client: c, refill: r, delay: delay}
	go next.run()
	return true
}

// postponedRefill is another refill after a delay.
type postponedRefill struct {
	client *TokenClient
	refill *refill
	delay  time.Duration
}

func (p *postponedRefill) run() {
	c, cache := p.client, p.refill.cache
	<-c.clock.After(p.delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	cache.refilling = false
	if len(cache.waiting) > 0 {
		c.startRefill(context.Background(), p.refill.team, cache)
	}
}
