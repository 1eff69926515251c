package limiter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// refill is one round of requests to holders that refills the token cache of a
// team, on behalf of all waiting requests.
type refill struct {
	client *TokenClient
	team   string
	cache  *tokenCache
	// refillCount is the number of tokens in the last request.
	refillCount uint32
	// waitAnnounced means that a witness announced when tokens will be granted
	// again.
	waitAnnounced bool
}

// noHolderError means that no node that was reached grants tokens of the team.
type noHolderError struct {
	wait time.Duration
	// waitAnnounced means that a witness announced the wait.
	waitAnnounced bool
}

// Error implements error.
func (e *noHolderError) Error() string {
	return fmt.Sprintf("no token holder was reached; retry in %v", e.wait)
}

func (r *refill) run(ctx context.Context) {
	c := r.client
	reply, err := r.requestFrom(ctx, "")
	if err == nil && (reply.Count > 0 || r.refillCount == 0) {
		c.finish(r)
		return
	}
	wait, unreachable := tokenTTL, err != nil
	var noHolder *noHolderError
	switch {
	case err == nil:
		wait = time.Duration(reply.Wait) * time.Millisecond
	case errors.As(err, &noHolder):
		wait, r.waitAnnounced = noHolder.wait, noHolder.waitAnnounced
	}
	for _, centre := range c.holders.OtherCentres(r.team) {
		borrowed, err := r.requestFrom(ctx, centre)
		if err == nil && borrowed.Count > 0 {
			c.finish(r)
			return
		}
	}
	c.reject(r, wait, unreachable)
}

// requestFrom requests tokens from one data centre, along with the reports for
// its holder, and adds the granted batch to the cache. An empty name stands for
// the own data centre.
func (r *refill) requestFrom(ctx context.Context, centre string) (*control.TokensReply, error) {
	c := r.client
	c.mu.Lock()
	sent := c.clock.Now()
	r.refillCount = c.refillCount(r.cache)
	request := &control.TokensRequest{
		Instance: c.instance, Centre: c.centre, Team: r.team, Count: r.refillCount, Version: c.version(), Loan: centre != "",
		Spent: r.cache.takeReports(centre, sent),
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := c.holders.RequestTokens(ctx, centre, request)
	if err != nil {
		return nil, err
	}
	if reply.Absent {
		if reply.Wait > 0 {
			return nil, &noHolderError{wait: time.Duration(reply.Wait) * time.Millisecond, waitAnnounced: true}
		}
		return nil, &noHolderError{wait: tokenTTL}
	}
	if reply.Count > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if sent.Before(c.droppedAt[ShardOf(r.team)]) {
			// Since the request was sent, this node has assured a new holder that it
			// dropped all tokens of the shard; this reply may be the former holder's.
			return &control.TokensReply{}, nil
		}
		r.cache.batches = append(r.cache.batches, &heldBatch{
			centre: centre, id: reply.Batch, count: reply.Count, requestedAt: sent,
			expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond),
		})
	}
	return reply, nil
}

// IsFinal reports whether the reply of a possible holder settles a token request,
// so that no other witness need be asked. The reply of a holder without tokens
// left is not final while deputies may grant a share of the rate: the requesting
// node may reach them even if the holder does not.
func IsFinal(reply *control.TokensReply) bool {
	return !reply.Absent && (reply.Count > 0 || !reply.Elsewhere)
}

// takeReports returns and clears the reports on the batches of a data centre. It
// closes batches that are spent or older than idleTimeout, and removes them from
// the cache.
func (t *tokenCache) takeReports(centre string, now time.Time) []*control.Spent {
	reports := t.reports[centre]
	delete(t.reports, centre)
	kept := t.batches[:0]
	for _, b := range t.batches {
		if b.centre != centre {
			kept = append(kept, b)
			continue
		}
		idle := now.Sub(b.requestedAt) > idleTimeout || b.spent == b.count
		reports = append(reports, &control.Spent{Batch: b.id, Count: b.spent, Closed: idle})
		if !idle {
			kept = append(kept, b)
		}
	}
	t.batches = kept
	return reports
}

// finish serves the waiting requests in order. If some are left it starts another
// refill.
func (c *TokenClient) finish(r *refill) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := r.cache
	t.refilling, t.holderUnreachable, t.postponedSince = false, false, time.Time{}
	now := c.clock.Now()
	for len(t.waiting) > 0 && t.take(now) {
		t.waiting[0] <- nil
		t.waiting = t.waiting[1:]
	}
	if len(t.waiting) > 0 {
		c.startRefill(context.Background(), r.team, t)
	}
}

// reject ends a refill that got no tokens: it postpones the waiting requests if a
// witness announced a wait that maxPostponement allows. Otherwise it rejects them
// or, if no holder was reached, admits as many as the reserve allows.
func (c *TokenClient) reject(r *refill, wait time.Duration, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := r.cache
	t.holderUnreachable, t.wait = unreachable, wait
	now := c.clock.Now()
	if r.waitAnnounced && c.postpone(r, now) {
		return
	}
	t.refilling, t.postponedSince = false, time.Time{}
	delay := emptyRetryDelay
	if unreachable {
		delay = unreachableRetryDelay
	}
	t.retryAt = now.Add(min(wait, delay))
	for _, result := range t.waiting {
		result <- c.reserveOrReject(r.team, t, now)
	}
	t.waiting = nil
}
