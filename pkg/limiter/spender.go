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
	aheadTime = 100 * time.Millisecond
	// everywhereBatch is the batch of FixedBatch.
	everywhereBatch = 10
	// maxBatch bounds one batch.
	maxBatch = 10_000
	// heatWindow is the time over which a team's heat is measured.
	heatWindow = 250 * time.Millisecond
	// heatWeight is that of the newest window.
	heatWeight = 0.5
	// askTimeout bounds one request to a holder.
	askTimeout = 250 * time.Millisecond
	// refusedFor is how long an empty bucket is not asked again.
	refusedFor = 5 * time.Millisecond
	// missedFor is how long a holder out of reach is not asked again.
	missedFor = 100 * time.Millisecond
	// reportAfter is when unspent tokens are given back.
	reportAfter = 300 * time.Millisecond
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
	clock    timekeeper.Clock
	holders  Holders
	spread   Distribution
	instance string
	centre   string
	version  func() uint64
	limits   Limits

	mu     sync.Mutex
	caches map[string]*tokenCache
	// forgotten is when the tokens of a shard were last dropped for a new holder.
	forgotten [shardCount]time.Time
}

// DropTokens drops the tokens of a shard's former holder, those that are still on
// their way included.
func (s *TokenClient) DropTokens(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shard < 0 || shard >= shardCount {
		return
	}
	s.forgotten[shard] = s.clock.Now()
	for team, p := range s.caches {
		if ShardOf(team) == shard {
			p.batches, p.reports = nil, map[string][]*control.Spent{}
		}
	}
}

// NewTokenClient makes a spender for a node.
func NewTokenClient(clock timekeeper.Clock, holders Holders, spread Distribution, instance, centre string, version func() uint64, limits Limits) *TokenClient {
	return &TokenClient{
		clock: clock, holders: holders, spread: spread, instance: instance, centre: centre,
		version: version, limits: limits, caches: map[string]*tokenCache{},
	}
}

// Acquire takes one token of a team, or returns a *RateError. It asks a holder
// only when the node has none left.
func (s *TokenClient) Acquire(ctx context.Context, team string) error {
	s.mu.Lock()
	p := s.cache(team)
	now := s.clock.Now()
	p.warm(now)
	if p.take(now) {
		s.restock(ctx, team, p, now)
		s.mu.Unlock()
		return nil
	}
	if now.Before(p.barred) {
		err := s.barredError(team, p, now)
		s.mu.Unlock()
		return err
	}
	granted := make(chan error, 1)
	p.waiting = append(p.waiting, granted)
	s.startAsk(ctx, team, p)
	s.mu.Unlock()
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
		return fmt.Errorf("spend a token: %w", ctx.Err())
	}
}

// barredError refuses without asking, or takes from the reserve.
func (s *TokenClient) barredError(team string, p *tokenCache, now time.Time) error {
	if p.missed && p.reserved.take(now, s.limits.Reserve(team)) {
		return nil
	}
	return &RateError{Team: team, Wait: p.wait, Unreachable: p.missed}
}

func (s *TokenClient) cache(team string) *tokenCache {
	p, ok := s.caches[team]
	if !ok {
		p = &tokenCache{reports: map[string][]*control.Spent{}}
		s.caches[team] = p
	}
	return p
}

// warm measures the heat.
func (p *tokenCache) warm(now time.Time) {
	p.counted++
	age := now.Sub(p.countedAt)
	if age < heatWindow {
		return
	}
	p.heat += heatWeight * (p.counted/age.Seconds() - p.heat)
	p.counted, p.countedAt = 0, now
}

// take spends a token that has not expired at this moment.
func (p *tokenCache) take(now time.Time) bool {
	for len(p.batches) > 0 {
		first := p.batches[0]
		if now.Before(first.expiry) && first.spent < first.count {
			first.spent++
			return true
		}
		p.close(first)
		p.batches = p.batches[1:]
	}
	return false
}

// close reports a batch from which nothing more will be spent.
func (p *tokenCache) close(st *heldBatch) {
	p.reports[st.centre] = append(p.reports[st.centre], &control.Spent{Batch: st.batch, Count: st.spent, Closed: true})
}

func (p *tokenCache) left() uint32 {
	sum := uint32(0)
	for _, st := range p.batches {
		sum += st.count - st.spent
	}
	return sum
}

// restock asks ahead when a hot team's tokens run low.
func (s *TokenClient) restock(ctx context.Context, team string, p *tokenCache, now time.Time) {
	if now.Before(p.barred) {
		return
	}
	// An empty cache also reports at once, so that the bucket fills again.
	if left := p.left(); left == 0 || left*2 < s.ahead(p) {
		s.startAsk(ctx, team, p)
	}
}

// ahead is the number of tokens that the node wants to have ahead.
func (s *TokenClient) ahead(p *tokenCache) uint32 {
	switch s.spread.(type) {
	case PerRequest:
		return 0
	case FixedBatch:
		return everywhereBatch
	}
	return uint32(math.Min(p.heat*aheadTime.Seconds(), maxBatch))
}

// wanted is how many tokens to ask for. When several requests wait the team is
// getting hot faster than its heat is measured, so it asks for as many again.
func (s *TokenClient) wanted(p *tokenCache) uint32 {
	waiting := uint32(len(p.waiting))
	ahead := s.ahead(p)
	if _, ok := s.spread.(ByDemand); ok && waiting > 1 {
		ahead = max(ahead, waiting)
	}
	return waiting + ahead
}

func (s *TokenClient) startAsk(ctx context.Context, team string, p *tokenCache) {
	if p.asking {
		return
	}
	p.asking = true
	a := &ask{spender: s, team: team, cache: p}
	go a.run(context.WithoutCancel(ctx))
}

// Sweep gives back the tokens of teams that have gone quiet.
func (s *TokenClient) Sweep(ctx context.Context) {
	type parcel struct {
		team, centre string
		spent        []*control.Spent
	}
	var parcels []parcel
	s.mu.Lock()
	now := s.clock.Now()
	for team, p := range s.caches {
		p.closeIdle(now)
		p.cool(now)
		for centre, reports := range p.reports {
			parcels = append(parcels, parcel{team, centre, reports})
		}
		p.reports = map[string][]*control.Spent{}
	}
	s.mu.Unlock()
	for _, pa := range parcels {
		request := &control.TokensRequest{Instance: s.instance, Centre: s.centre, Team: pa.team, Spent: pa.spent, Loan: pa.centre != ""}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		// A lost report costs nothing but time: the batch expires.
		_, _ = s.holders.RequestTokens(ctx, pa.centre, request)
		cancel()
	}
}

// cool lets the heat of a team without requests sink.
func (p *tokenCache) cool(now time.Time) {
	if now.Sub(p.countedAt) < reportAfter {
		return
	}
	p.counted--
	p.warm(now)
}

func (p *tokenCache) closeIdle(now time.Time) {
	kept := p.batches[:0]
	for _, st := range p.batches {
		if now.Sub(st.got) > reportAfter {
			p.close(st)
			continue
		}
		kept = append(kept, st)
	}
	p.batches = kept
}

// Run gives back idle tokens until the context ends.
func (s *TokenClient) Run(ctx context.Context) { s.loop(ctx) }

func (s *TokenClient) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(reportAfter):
			s.Sweep(ctx)
		}
	}
}
