package limiter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// ask is one round of requests to holders on behalf of all that wait.
type refill struct {
	client *TokenClient
	team   string
	cache  *tokenCache
	// wanted is how many tokens the last request asked for.
	refillCount uint32
	// announced tells that a witness said when tokens will be handed out again.
	waitAnnounced bool
}

// absentError says that nobody who was reached holds the team's bucket.
type noHolderError struct {
	wait time.Duration
	// announced tells that a witness said how long to wait.
	waitAnnounced bool
}

// Error implements error.
func (e *noHolderError) Error() string { return fmt.Sprintf("no holder was reached, wait %v", e.wait) }

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

// from asks one data centre and batches what it gives.
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
			// Another holder has been told since that this node has no tokens.
			return &control.TokensReply{}, nil
		}
		r.cache.batches = append(r.cache.batches, &heldBatch{
			centre: centre, id: reply.Batch, count: reply.Count, requestedAt: sent,
			expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond),
		})
	}
	return reply, nil
}

// IsFinal tells whether the answer of a possible holder settles a request for
// tokens. A holder that has none left does not while deputies, which it can't
// reach but the asker may, have a part of the rate.
func IsFinal(reply *control.TokensReply) bool {
	return !reply.Absent && (reply.Count > 0 || !reply.Elsewhere)
}

// takeReports says what became of the batches of a data centre, and closes
// those that the team no longer needs.
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

// finish serves those that wait, in order; the rest asks again.
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
