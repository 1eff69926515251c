package limiter

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Distribution decides how many tokens a node requests ahead of demand, and so
// over how many nodes the tokens of a team spread. It is sealed: ByDemand,
// PerRequest and FixedBatch are its only implementations.
type Distribution interface{ sealedDistribution() }

// ByDemand requests as many tokens as the node has recently used within
// prefetchWindow. Busy teams have tokens on many nodes, quiet ones on few.
type ByDemand struct{}

// PerRequest requests no tokens ahead of demand.
type PerRequest struct{}

// FixedBatch always requests fixedBatchSize tokens ahead of demand.
type FixedBatch struct{}

func (ByDemand) sealedDistribution()   {}
func (PerRequest) sealedDistribution() {}
func (FixedBatch) sealedDistribution() {}

const (
	// prefetchWindow is the time for which a node requests tokens ahead of
	// demand.
	prefetchWindow = 100 * time.Millisecond
	// fixedBatchSize is the number of tokens that FixedBatch requests ahead.
	fixedBatchSize = 10
	// maxBatchSize bounds the tokens that ByDemand requests ahead.
	maxBatchSize = 10_000
	// requestRateWindow is the shortest time over which a team's request rate
	// is measured.
	requestRateWindow = 250 * time.Millisecond
	// requestRateWeight is the weight of the newest window in the moving
	// average.
	requestRateWeight = 0.5
	// requestTimeout bounds one request to the holder of a data centre.
	requestTimeout = 250 * time.Millisecond
	// emptyRetryDelay is the longest time for which a node doesn't ask a holder
	// again whose bucket was empty.
	emptyRetryDelay = 5 * time.Millisecond
	// unreachableRetryDelay is the longest time for which a node doesn't ask
	// again after it reached no holder.
	unreachableRetryDelay = 100 * time.Millisecond
	// idleTimeout is the age at which a node returns the unspent tokens of a
	// batch.
	idleTimeout = 300 * time.Millisecond
)

// RateError means that a team is over its rate, or that no holder could be reached
// to decide that.
type RateError struct {
	Team string
	// Wait is the time after which to retry.
	Wait time.Duration
	// Unreachable means that no holder of the team's bucket was reached.
	Unreachable bool
}

// Error implements error.
func (e *RateError) Error() string {
	if e.Unreachable {
		return fmt.Sprintf("nobody holds the limit of team %s yet, or can be reached; come back in %v", e.Team, e.Wait)
	}
	return fmt.Sprintf("team %s is over its rate, come back in %v", e.Team, e.Wait)
}

// Holders sends token requests to the holders of a team's buckets.
type Holders interface {
	// RequestTokens requests tokens from the holder in a data centre; an empty
	// name stands for the own data centre.
	RequestTokens(ctx context.Context, centre string, r *control.TokensRequest) (*control.TokensReply, error)
	// OtherCentres lists the other data centres in the order to try them.
	OtherCentres(team string) []string
}

// Limits gives the limits of the configuration in force.
type Limits interface {
	// Reserve returns what this node may admit of a team while it reaches neither
	// a holder nor a deputy.
	Reserve(team string) Reserve
}

// TokenClient requests, caches and spends the tokens of one node.
type TokenClient struct {
	clock        timekeeper.Clock
	holders      Holders
	distribution Distribution
	instance     string
	centre       string
	version      func() uint64
	limits       Limits

	mu     sync.Mutex
	caches map[string]*tokenCache
	// droppedAt is when the tokens of a shard were last dropped for a new holder.
	droppedAt [shardCount]time.Time
}

// DropTokens drops the tokens that a shard's former holder granted, including
// those of replies that are still in flight.
func (c *TokenClient) DropTokens(shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if shard < 0 || shard >= shardCount {
		return
	}
	c.droppedAt[shard] = c.clock.Now()
	for team, t := range c.caches {
		if ShardOf(team) == shard {
			t.batches, t.reports = nil, map[string][]*control.Spent{}
		}
	}
}

// NewTokenClient returns a token client with empty caches.
func NewTokenClient(clock timekeeper.Clock, holders Holders, distribution Distribution, instance, centre string, version func() uint64, limits Limits) *TokenClient {
	return &TokenClient{
		clock: clock, holders: holders, distribution: distribution, instance: instance, centre: centre,
		version: version, limits: limits, caches: map[string]*tokenCache{},
	}
}

// Acquire takes one token of a team. It waits for a holder only when the node has
// no token left. It returns a *RateError if the request is rejected, or the wrapped
// error of ctx if that ends first.
func (c *TokenClient) Acquire(ctx context.Context, team string) error {
	c.mu.Lock()
	t := c.cache(team)
	now := c.clock.Now()
	t.countRequest(now)
	if t.take(now) {
		c.prefetch(ctx, team, t, now)
		c.mu.Unlock()
		return nil
	}
	if now.Before(t.retryAt) {
		err := c.reserveOrReject(team, t, now)
		c.mu.Unlock()
		return err
	}
	result := make(chan error, 1)
	t.waiting = append(t.waiting, result)
	c.startRefill(ctx, team, t)
	c.mu.Unlock()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("acquire a token: %w", ctx.Err())
	}
}

// reserveOrReject decides on a request without asking a holder: it returns nil if
// no holder was reached and the reserve admits the request, else a *RateError.
func (c *TokenClient) reserveOrReject(team string, t *tokenCache, now time.Time) error {
	if t.holderUnreachable && t.localReserve.take(now, c.limits.Reserve(team)) {
		return nil
	}
	return &RateError{Team: team, Wait: t.wait, Unreachable: t.holderUnreachable}
}

func (c *TokenClient) cache(team string) *tokenCache {
	t, ok := c.caches[team]
	if !ok {
		t = &tokenCache{reports: map[string][]*control.Spent{}}
		c.caches[team] = t
	}
	return t
}

// countRequest counts a request and updates the request rate once per window.
func (t *tokenCache) countRequest(now time.Time) {
	t.arrivals++
	age := now.Sub(t.countedSince)
	if age < requestRateWindow {
		return
	}
	t.requestRate += requestRateWeight * (t.arrivals/age.Seconds() - t.requestRate)
	t.arrivals, t.countedSince = 0, now
}

// take spends a token that has not expired, if there is one. It closes the expired
// and spent batches that it finds.
func (t *tokenCache) take(now time.Time) bool {
	for len(t.batches) > 0 {
		first := t.batches[0]
		if now.Before(first.expiry) && first.spent < first.count {
			first.spent++
			return true
		}
		t.close(first)
		t.batches = t.batches[1:]
	}
	return false
}

// close adds a report that nothing more will be spent of a batch.
func (t *tokenCache) close(b *heldBatch) {
	t.reports[b.centre] = append(t.reports[b.centre], &control.Spent{Batch: b.id, Count: b.spent, Closed: true})
}

// unspent counts the tokens in the cache.
func (t *tokenCache) unspent() uint32 {
	sum := uint32(0)
	for _, b := range t.batches {
		sum += b.count - b.spent
	}
	return sum
}

// prefetch starts a refill when fewer than half of the tokens that the node wants
// ahead of demand are left.
func (c *TokenClient) prefetch(ctx context.Context, team string, t *tokenCache, now time.Time) {
	if now.Before(t.retryAt) {
		return
	}
	// An empty cache starts a refill in any case, which reports the spent tokens
	// to the holder, so that the bucket fills again.
	if unspent := t.unspent(); unspent == 0 || unspent*2 < c.prefetchCount(t) {
		c.startRefill(ctx, team, t)
	}
}

// prefetchCount is the number of tokens that the node wants ahead of demand.
func (c *TokenClient) prefetchCount(t *tokenCache) uint32 {
	switch c.distribution.(type) {
	case PerRequest:
		return 0
	case FixedBatch:
		return fixedBatchSize
	}
	return uint32(math.Min(t.requestRate*prefetchWindow.Seconds(), maxBatchSize))
}

// refillCount is the number of tokens to request: one for each waiting request,
// and those to have ahead. If several requests wait, the demand rises faster than
// the request rate follows, so it requests at least as many ahead as wait.
func (c *TokenClient) refillCount(t *tokenCache) uint32 {
	waiting := uint32(len(t.waiting))
	prefetchCount := c.prefetchCount(t)
	if _, ok := c.distribution.(ByDemand); ok && waiting > 1 {
		prefetchCount = max(prefetchCount, waiting)
	}
	return waiting + prefetchCount
}

func (c *TokenClient) startRefill(ctx context.Context, team string, t *tokenCache) {
	if t.refilling {
		return
	}
	t.refilling = true
	r := &refill{client: c, team: team, cache: t}
	go r.run(context.WithoutCancel(ctx))
}

// Sweep returns the idle tokens of all teams to their holders.
func (c *TokenClient) Sweep(ctx context.Context) {
	type pendingReports struct {
		team, centre string
		spent        []*control.Spent
	}
	var pending []pendingReports
	c.mu.Lock()
	now := c.clock.Now()
	for team, t := range c.caches {
		t.closeIdle(now)
		t.decayRequestRate(now)
		for centre, reports := range t.reports {
			pending = append(pending, pendingReports{team, centre, reports})
		}
		t.reports = map[string][]*control.Spent{}
	}
	c.mu.Unlock()
	for _, p := range pending {
		request := &control.TokensRequest{Instance: c.instance, Centre: c.centre, Team: p.team, Spent: p.spent, Loan: p.centre != ""}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		// If the report is lost the batch expires later instead.
		_, _ = c.holders.RequestTokens(ctx, p.centre, request)
		cancel()
	}
}

// decayRequestRate lowers the request rate of a team without requests.
func (t *tokenCache) decayRequestRate(now time.Time) {
	if now.Sub(t.countedSince) < idleTimeout {
		return
	}
	t.arrivals--
	t.countRequest(now)
}

func (t *tokenCache) closeIdle(now time.Time) {
	kept := t.batches[:0]
	for _, b := range t.batches {
		if now.Sub(b.requestedAt) > idleTimeout {
			t.close(b)
			continue
		}
		kept = append(kept, b)
	}
	t.batches = kept
}

// Run returns idle tokens to their holders until the context ends.
func (c *TokenClient) Run(ctx context.Context) { c.loop(ctx) }

func (c *TokenClient) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(idleTimeout):
			c.Sweep(ctx)
		}
	}
}
