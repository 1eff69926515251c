package limiter

import (
	"context"
	"time"
)

// This file covers the time during which no holder grants tokens although a witness
// expects one to do so soon: the holder has stopped answering and its deputies
// grant only standbyDelay after its last reply, all witnesses have just started and
// compete for the leases, or a new holder's buckets are not filled yet. Requests that arrive until then are within their
// limits, so they wait instead of being rejected.

const (
	// maxPostponement bounds how long a request waits until tokens are granted
	// again: the delay of the deputies, and the time that the refills before and
	// after it lose by asking the silent holder first. Rejected callers would only
	// retry later.
	maxPostponement = standbyDelay + 2*requestTimeout/3
	// minPostponeDelay is the shortest delay before a postponed refill.
	minPostponeDelay = 20 * time.Millisecond
	// electionTime is how long after its start a witness expects that a holder will
	// open the buckets: its abstention, and two tries of a candidate.
	electionTime = leaseTTL + maxLeaseDrift + 2*renewInterval
	// electionPollDelay is the wait that a witness announces during electionTime.
	electionPollDelay = 100 * time.Millisecond
	// bucketFillTime is how long after a new holder has opened its buckets, which
	// are empty at first, a request without a token waits for one.
	bucketFillTime = time.Second
)

// electionWait is the wait that a witness without a lease announces to a node, by
// the time since its start; 0 when no holder is expected soon.
func electionWait(sinceStart time.Duration) time.Duration {
	if sinceStart >= electionTime {
		return 0
	}
	return electionPollDelay
}

// postpone keeps requests waiting and schedules another refill for when tokens are
// announced. It first rejects the requests that would wait longer than
// maxPostponement in all, then, if no holder was reached, admits as many as the
// reserve allows. It returns false, and does nothing, if even a new request would wait too long. The caller
// holds c.mu.
func (c *TokenClient) postpone(r *refill, now time.Time) bool {
	t := r.cache
	delay := max(t.wait, minPostponeDelay)
	if delay > maxPostponement {
		return false
	}
	expired := 0
	for expired < len(t.waiting) && now.Add(delay).After(t.waiting[expired].since.Add(maxPostponement)) {
		expired++
	}
	c.rejectWaiting(r.team, t, expired, now)
	for t.holderUnreachable && len(t.waiting) > 0 && t.localReserve.take(now, c.limits.Reserve(r.team)) {
		t.waiting[0].result <- nil
		t.waiting = t.waiting[1:]
	}
	next := &postponedRefill{client: c, refill: r, delay: delay}
	go next.run()
	return true
}

// rejectWaiting rejects the first count waiting requests or, if no holder was
// reached, admits as many of them as the reserve allows. The caller holds c.mu.
func (c *TokenClient) rejectWaiting(team string, t *tokenCache, count int, now time.Time) {
	for _, w := range t.waiting[:count] {
		w.result <- c.reserveOrReject(team, t, now)
	}
	t.waiting = t.waiting[count:]
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
