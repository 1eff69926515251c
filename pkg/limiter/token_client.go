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

// Distribution is how widely the tokens of a team are handed out. It is sealed:
// ByDemand, PerRequest and FixedBatch are all there is.
type Distribution interface{ sealedDistribution() }

// ByDemand asks for as many tokens as the node has lately spent in a short
// time, so hot teams have tokens on many nodes and cold ones on one.
type ByDemand struct{}

// PerRequest asks for every request.
type PerRequest struct{}

// FixedBatch always asks for a large batch.
type FixedBatch struct{}

func (ByDemand) sealedDistribution()   {}
func (PerRequest) sealedDistribution() {}
func (FixedBatch) sealedDistribution() {}

const (
	// aheadTime is the time for which a node asks for tokens ahead.
	prefetchWindow = 100 * time.Millisecond
	// everywhereBatch is the batch of FixedBatch.
	fixedBatchSize = 10
	// maxBatch bounds one batch.
	maxBatchSize = 10_000
	// heatWindow is the time over which a team's heat is measured.
	requestRateWindow = 250 * time.Millisecond
	// heatWeight is that of the newest window.
	requestRateWeight = 0.5
	// askTimeout bounds one request to a holder.
	requestTimeout = 250 * time.Millisecond
	// refusedFor is how long an empty bucket is not asked again.
	emptyRetryDelay = 5 * time.Millisecond
	// missedFor is how long a holder out of reach is not asked again.
	unreachableRetryDelay = 100 * time.Millisecond
	// reportAfter is when unspent tokens are given back.
	idleTimeout = 300 * time.Millisecond
)

// RateError says that a team is over its rate, or that nobody could say.
type RateError struct {
	Team string
	// Wait is when to come back.
	Wait time.Duration
	// Unreachable tells that no holder of the team's bucket answered.
	Unreachable bool
}

// Error implements error.
func (e *RateError) Error() string {
	if e.Unreachable {
		return fmt.Sprintf("nobody holds the limit of team %s yet, or can be reached; come back in %v", e.Team, e.Wait)
	}
	return fmt.Sprintf("team %s is over its rate, come back in %v", e.Team, e.Wait)
}

// Holders asks the holders of a team's buckets.
type Holders interface {
	// RequestTokens asks the holder in a data centre; home first, by its empty name.
	RequestTokens(ctx context.Context, centre string, r *control.TokensRequest) (*control.TokensReply, error)
	// OtherCentres lists the other data centres in the order to try them.
	OtherCentres(team string) []string
}

// Limits tells a spender what the configuration in force says of a team.
type Limits interface {
	// Reserve is what this node may use while it reaches neither a holder nor a
	// deputy.
	Reserve(team string) Reserve
}

// TokenClient spends tokens on one node.
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
	// forgotten is when the tokens of a shard were last dropped for a new holder.
	droppedAt [shardCount]time.Time
}

// DropTokens drops the tokens of a shard's former holder, those that are still on
// their way included.
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

// NewTokenClient makes a spender for a node.
func NewTokenClient(clock timekeeper.Clock, holders Holders, distribution Distribution, instance, centre string, version func() uint64, limits Limits) *TokenClient {
	return &TokenClient{
		clock: clock, holders: holders, distribution: distribution, instance: instance, centre: centre,
		version: version, limits: limits, caches: map[string]*tokenCache{},
	}
}

// Acquire takes one token of a team, or returns a *RateError. It asks a holder
// only when the node has none left.
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
		return fmt.Errorf("spend a token: %w", ctx.Err())
	}
}

// barredError refuses without asking, or takes from the reserve.
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

// warm measures the heat.
func (t *tokenCache) countRequest(now time.Time) {
	t.arrivals++
	age := now.Sub(t.countedSince)
	if age < requestRateWindow {
		return
	}
	t.requestRate += requestRateWeight * (t.arrivals/age.Seconds() - t.requestRate)
	t.arrivals, t.countedSince = 0, now
}

// take spends a token that has not expired at this moment.
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

// close reports a batch from which nothing more will be spent.
func (t *tokenCache) close(b *heldBatch) {
	t.reports[b.centre] = append(t.reports[b.centre], &control.Spent{Batch: b.id, Count: b.spent, Closed: true})
}

func (t *tokenCache) unspent() uint32 {
	sum := uint32(0)
	for _, b := range t.batches {
		sum += b.count - b.spent
	}
	return sum
}

// restock asks ahead when a hot team's tokens run low.
func (c *TokenClient) prefetch(ctx context.Context, team string, t *tokenCache, now time.Time) {
	if now.Before(t.retryAt) {
		return
	}
	// An empty cache also reports at once, so that the bucket fills again.
	if unspent := t.unspent(); unspent == 0 || unspent*2 < c.prefetchCount(t) {
		c.startRefill(ctx, team, t)
	}
}

// ahead is the number of tokens that the node wants to have ahead.
func (c *TokenClient) prefetchCount(t *tokenCache) uint32 {
	switch c.distribution.(type) {
	case PerRequest:
		return 0
	case FixedBatch:
		return fixedBatchSize
	}
	return uint32(math.Min(t.requestRate*prefetchWindow.Seconds(), maxBatchSize))
}

// wanted is how many tokens to ask for. When several requests wait the team is
// getting hot faster than its heat is measured, so it asks for as many again.
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

// Sweep gives back the tokens of teams that have gone quiet.
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
		// A lost report costs nothing but time: the batch expires.
		_, _ = c.holders.RequestTokens(ctx, p.centre, request)
		cancel()
	}
}

// cool lets the heat of a team without requests sink.
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

// Run gives back idle tokens until the context ends.
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
