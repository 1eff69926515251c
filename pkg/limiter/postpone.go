package limiter

import (
	"context"
	"time"
)

// This file answers the load of a holder that falls silent: its deputies hand
// out tokens standbyDelay after its last word, and all requests of its teams
// arrive meanwhile, none of them over a limit.

const (
	// postponeMost bounds how long requests of a team wait until tokens are handed
	// out again: as long as deputies wait for the holder, and what asks before and
	// after lose to the one that is silent. Refused ones would come back later.
	maxPostponement = standbyDelay + 2*requestTimeout/3
	// postponePause is the least time between two asks meanwhile.
	minPostponeDelay = 20 * time.Millisecond
)

// postpone keeps the requests that wait and asks again when tokens are announced,
// unless they have waited, or would have to, for too long. What the node may
// admit alone is used first. s.mu is held.
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

// postponed is the next ask, after a pause.
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
