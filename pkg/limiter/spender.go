package limiter

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Spread is how widely the tokens of a team are handed out. It is sealed:
// ByHeat, OneHolder and Everywhere are all there is.
type Spread interface{ sealedSpread() }

// ByHeat asks for as many tokens as the node has lately spent in a short
// time, so hot teams have tokens on many nodes and cold ones on one.
type ByHeat struct{}

// OneHolder asks for every request.
type OneHolder struct{}

// Everywhere always asks for a large batch.
type Everywhere struct{}

func (ByHeat) sealedSpread()     {}
func (OneHolder) sealedSpread()  {}
func (Everywhere) sealedSpread() {}

const (
	// aheadTime is the time for which a node asks for tokens ahead.
	aheadTime = 100 * time.Millisecond
	// everywhereBatch is the batch of Everywhere.
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
	// Ask asks the holder in a data centre; home first, by its empty name.
	Ask(ctx context.Context, centre string, r *control.TokensRequest) (*control.TokensReply, error)
	// Others lists the other data centres in the order to try them.
	Others(team string) []string
}

// heldBatch is a batch of tokens from one data centre.
type heldBatch struct {
	centre string
	batch  uint64
	count  uint32
	spent  uint32
	expiry time.Time
	got    time.Time
}

// tokenCache is what a node has of one team's tokens.
type tokenCache struct {
	batches []*heldBatch
	// reports by data centre, to be sent with the next request there.
	reports map[string][]*control.Spent
	waiting []chan error
	asking  bool
	// counted since countedAt gives the heat in requests per second.
	counted   float64
	countedAt time.Time
	heat      float64
	// barred is until when the team is refused without asking.
	barred time.Time
	wait   time.Duration
	// steady is the heat over a longer time, for grants.
	steady float64
	// windows counts those that steady was measured over.
	windows float64
	// allowed is what the node may admit on its own.
	allowed allowance
	// renewed is when a grant was last asked for.
	renewed time.Time
	// reserved is used while no holder is in reach.
	reserved allowance
	// missed tells that the last ask reached no holder.
	missed bool
}

// Limits tells a spender what the configuration in force says of a team.
type Limits interface {
	// Limit is that of the whole fleet.
	Limit(team string) Part
	// Reserve is the rate that this node may use while it reaches no holder.
	Reserve(team string) float64
}

// Spender spends tokens on one node.
type Spender struct {
	clock    timekeeper.Clock
	holders  Holders
	spread   Spread
	instance string
	centre   string
	version  func() uint64
	limits   Limits
	session  uint64

	mu     sync.Mutex
	caches map[string]*tokenCache
	// stated is when a holder of a shard was last told what this node holds.
	stated [shardCount]time.Time
}

// Holding tells a new holder what this node holds of a shard. Answers to what
// was asked of others before no longer raise it.
func (s *Spender) Holding(shard int) *control.HoldingReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	reply := &control.HoldingReply{Session: s.session}
	if shard < 0 || shard >= shardCount {
		return reply
	}
	s.stated[shard] = now
	for team, p := range s.caches {
		if Shard(team) != shard {
			continue
		}
		// What former holders handed out in batches is not spent any more.
		p.batches, p.reports = nil, map[string][]*control.Spent{}
		if rate := p.allowed.held(now); rate > 0 {
			reply.Held = append(reply.Held, &control.Held{
				Team: team, Rate: rate, Left: uint32(p.allowed.expiry.Sub(now).Milliseconds()),
			})
		}
	}
	return reply
}

// NewSpender makes a spender for a node; session names this life of it.
func NewSpender(clock timekeeper.Clock, holders Holders, spread Spread, instance, centre string, session uint64, version func() uint64, limits Limits) *Spender {
	return &Spender{
		clock: clock, holders: holders, spread: spread, instance: instance, centre: centre, session: session,
		version: version, limits: limits, caches: map[string]*tokenCache{},
	}
}

// Spend takes one token of a team, or returns a *RateError. It asks a holder
// only when the node has none left.
func (s *Spender) Spend(ctx context.Context, team string) error {
	s.mu.Lock()
	p := s.cache(team)
	now := s.clock.Now()
	p.warm(now)
	if p.allowed.take(now, s.limits.Limit(team).Rate) {
		s.renew(ctx, team, p, now)
		s.mu.Unlock()
		return nil
	}
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
func (s *Spender) barredError(team string, p *tokenCache, now time.Time) error {
	if p.missed && s.takeReserve(team, p, now) {
		return nil
	}
	return &RateError{Team: team, Wait: p.wait, Unreachable: p.missed}
}

func (s *Spender) takeReserve(team string, p *tokenCache, now time.Time) bool {
	rate := s.limits.Reserve(team)
	if rate != p.reserved.rate {
		p.reserved.set(now, rate, now, rate)
	}
	p.reserved.expiry = now.Add(hold)
	return p.reserved.take(now, rate)
}

const (
	// renewPause is the time between two requests for a grant.
	renewPause = 1200 * time.Millisecond
	// renewSoon is that time while the demand is soonFactor times what is held.
	renewSoon  = 300 * time.Millisecond
	soonFactor = 1.5
	// steadyWeight is that of the newest window in the steady heat.
	steadyWeight = 0.15
	// leastSteady is the heat, in requests per second, from which a node asks
	// for a grant.
	leastSteady = 0.4
)

// demand is the rate that the node would like to be granted.
func (s *Spender) demand(p *tokenCache) float64 {
	if _, ok := s.spread.(ByHeat); !ok || p.steady < leastSteady {
		return 0
	}
	return p.steady
}

// renew asks for a grant when it is time to.
func (s *Spender) renew(ctx context.Context, team string, p *tokenCache, now time.Time) {
	demand, held := s.demand(p), p.allowed.held(now)
	pause := renewPause
	if demand > held*soonFactor {
		pause = renewSoon
	}
	if now.Sub(p.renewed) >= pause && (demand > 0 || held > 0) {
		s.startAsk(ctx, team, p)
	}
}

func (s *Spender) cache(team string) *tokenCache {
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
	p.windows++
	p.steady += max(steadyWeight, 1/p.windows) * (p.counted/age.Seconds() - p.steady)
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
func (s *Spender) restock(ctx context.Context, team string, p *tokenCache, now time.Time) {
	if now.Before(p.barred) {
		return
	}
	s.renew(ctx, team, p, now)
	// An empty cache also reports at once, so that the bucket fills again.
	if left := p.left(); left == 0 || left*2 < s.ahead(p) {
		s.startAsk(ctx, team, p)
	}
}

// ahead is the number of tokens that the node wants to have ahead.
func (s *Spender) ahead(p *tokenCache) uint32 {
	switch s.spread.(type) {
	case OneHolder:
		return 0
	case Everywhere:
		return everywhereBatch
	}
	beyond := math.Max(0, p.heat-p.allowed.held(s.clock.Now()))
	return uint32(math.Min(beyond*aheadTime.Seconds(), maxBatch))
}

// wanted is how many tokens to ask for. When several requests wait the team is
// getting hot faster than its heat is measured, so it asks for as many again.
func (s *Spender) wanted(p *tokenCache) uint32 {
	waiting := uint32(len(p.waiting))
	ahead := s.ahead(p)
	if _, ok := s.spread.(ByHeat); ok && waiting > 1 {
		ahead = max(ahead, waiting)
	}
	return waiting + ahead
}

func (s *Spender) startAsk(ctx context.Context, team string, p *tokenCache) {
	if p.asking {
		return
	}
	p.asking = true
	a := &ask{spender: s, team: team, cache: p}
	go a.run(context.WithoutCancel(ctx))
}

// ask is one round of requests to holders on behalf of all that wait.
type ask struct {
	spender *Spender
	team    string
	cache   *tokenCache
	// wanted is how many tokens the last request asked for.
	wanted uint32
}

func (a *ask) run(ctx context.Context) {
	s := a.spender
	reply, err := a.from(ctx, "")
	if err == nil && (reply.Count > 0 || a.wanted == 0) {
		s.finish(a)
		return
	}
	wait, unreachable := term, err != nil
	var absent *RateError
	switch {
	case err == nil:
		wait = time.Duration(reply.Wait) * time.Millisecond
	case errors.As(err, &absent):
		wait = absent.Wait
	}
	for _, centre := range s.holders.Others(a.team) {
		loan, err := a.from(ctx, centre)
		if err == nil && loan.Count > 0 {
			s.finish(a)
			return
		}
	}
	s.refuse(a, wait, unreachable)
}

// from asks one data centre and batches what it gives.
func (a *ask) from(ctx context.Context, centre string) (*control.TokensReply, error) {
	s := a.spender
	s.mu.Lock()
	sent := s.clock.Now()
	a.wanted = s.wanted(a.cache)
	request := &control.TokensRequest{
		Instance: s.instance, Centre: s.centre, Team: a.team, Count: a.wanted, Version: s.version(), Loan: centre != "",
		Spent: a.cache.takeReports(centre, sent), Session: s.session,
	}
	if centre == "" {
		a.cache.renewed = sent
		request.Demand, request.Held = s.demand(a.cache), a.cache.allowed.held(sent)
		request.Returned = a.cache.allowed.giveBack(sent, s.limits.Limit(a.team).Rate)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := s.holders.Ask(ctx, centre, request)
	if err != nil {
		return nil, err
	}
	if reply.Absent {
		wait := term
		if reply.Wait > 0 {
			wait = time.Duration(reply.Wait) * time.Millisecond
		}
		return nil, &RateError{Team: a.team, Wait: wait, Unreachable: true}
	}
	if reply.Hold > 0 {
		s.mu.Lock()
		if sent.Before(s.stated[Shard(a.team)]) {
			// Another holder has been told since what this node holds.
			reply.Rate = min(reply.Rate, a.cache.allowed.held(s.clock.Now()))
			reply.Count = 0
		}
		a.cache.allowed.set(s.clock.Now(), reply.Rate, sent.Add(time.Duration(reply.Hold)*time.Millisecond), s.limits.Limit(a.team).Rate)
		s.mu.Unlock()
	}
	if reply.Count > 0 {
		s.mu.Lock()
		a.cache.batches = append(a.cache.batches, &heldBatch{
			centre: centre, batch: reply.Batch, count: reply.Count, got: sent,
			expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond),
		})
		s.mu.Unlock()
	}
	return reply, nil
}

// takeReports says what became of the batches of a data centre, and closes
// those that the team no longer needs.
func (p *tokenCache) takeReports(centre string, now time.Time) []*control.Spent {
	reports := p.reports[centre]
	delete(p.reports, centre)
	kept := p.batches[:0]
	for _, st := range p.batches {
		if st.centre != centre {
			kept = append(kept, st)
			continue
		}
		idle := now.Sub(st.got) > reportAfter || st.spent == st.count
		reports = append(reports, &control.Spent{Batch: st.batch, Count: st.spent, Closed: idle})
		if !idle {
			kept = append(kept, st)
		}
	}
	p.batches = kept
	return reports
}

// finish serves those that wait, in order; the rest asks again.
func (s *Spender) finish(a *ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := a.cache
	p.asking, p.missed = false, false
	now := s.clock.Now()
	limit := s.limits.Limit(a.team).Rate
	for len(p.waiting) > 0 && (p.take(now) || p.allowed.take(now, limit)) {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
	}
	if len(p.waiting) > 0 {
		s.startAsk(context.Background(), a.team, p)
	}
}

func (s *Spender) refuse(a *ask, wait time.Duration, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := a.cache
	p.asking, p.missed = false, unreachable
	now := s.clock.Now()
	p.wait = wait
	pause := refusedFor
	if unreachable {
		pause = missedFor
	}
	p.barred = now.Add(min(wait, pause))
	limit := s.limits.Limit(a.team).Rate
	for _, granted := range p.waiting {
		if p.allowed.take(now, limit) {
			granted <- nil
			continue
		}
		granted <- s.barredError(a.team, p, now)
	}
	p.waiting = nil
}

// Sweep gives back the tokens of teams that have gone quiet.
func (s *Spender) Sweep(ctx context.Context) {
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
		s.renew(ctx, team, p, now)
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
		_, _ = s.holders.Ask(ctx, pa.centre, request)
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
func (s *Spender) Run(ctx context.Context) { s.loop(ctx) }

func (s *Spender) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(reportAfter):
			s.Sweep(ctx)
		}
	}
}
