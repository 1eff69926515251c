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
	// stockTime is the time for which a node asks for tokens ahead.
	stockTime = 100 * time.Millisecond
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

// stock is a batch of tokens from one data centre.
type stock struct {
	centre string
	batch  uint64
	count  uint32
	spent  uint32
	expiry time.Time
	got    time.Time
}

// purse is what a node has of one team's tokens.
type purse struct {
	stocks []*stock
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
}

// Spender spends tokens on one node.
type Spender struct {
	clock    timekeeper.Clock
	holders  Holders
	spread   Spread
	instance string
	centre   string
	version  func() uint64

	mu     sync.Mutex
	purses map[string]*purse
}

// NewSpender makes a spender for a node.
func NewSpender(clock timekeeper.Clock, holders Holders, spread Spread, instance, centre string, version func() uint64) *Spender {
	return &Spender{
		clock: clock, holders: holders, spread: spread, instance: instance, centre: centre,
		version: version, purses: map[string]*purse{},
	}
}

// Spend takes one token of a team, or returns a *RateError. It asks a holder
// only when the node has none left.
func (s *Spender) Spend(ctx context.Context, team string) error {
	s.mu.Lock()
	p := s.purse(team)
	now := s.clock.Now()
	p.warm(now)
	if p.take(now) {
		s.restock(ctx, team, p, now)
		s.mu.Unlock()
		return nil
	}
	if now.Before(p.barred) {
		wait := p.wait
		s.mu.Unlock()
		return &RateError{Team: team, Wait: wait}
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

func (s *Spender) purse(team string) *purse {
	p, ok := s.purses[team]
	if !ok {
		p = &purse{reports: map[string][]*control.Spent{}}
		s.purses[team] = p
	}
	return p
}

// warm measures the heat.
func (p *purse) warm(now time.Time) {
	p.counted++
	age := now.Sub(p.countedAt)
	if age < heatWindow {
		return
	}
	p.heat += heatWeight * (p.counted/age.Seconds() - p.heat)
	p.counted, p.countedAt = 0, now
}

// take spends a token that has not expired at this moment.
func (p *purse) take(now time.Time) bool {
	for len(p.stocks) > 0 {
		first := p.stocks[0]
		if now.Before(first.expiry) && first.spent < first.count {
			first.spent++
			return true
		}
		p.close(first)
		p.stocks = p.stocks[1:]
	}
	return false
}

// close reports a batch from which nothing more will be spent.
func (p *purse) close(st *stock) {
	p.reports[st.centre] = append(p.reports[st.centre], &control.Spent{Batch: st.batch, Count: st.spent, Closed: true})
}

func (p *purse) left() uint32 {
	sum := uint32(0)
	for _, st := range p.stocks {
		sum += st.count - st.spent
	}
	return sum
}

// restock asks ahead when a hot team's tokens run low.
func (s *Spender) restock(ctx context.Context, team string, p *purse, now time.Time) {
	if now.Before(p.barred) {
		return
	}
	// An empty purse also reports at once, so that the bucket fills again.
	if left := p.left(); left == 0 || left*2 < s.ahead(p) {
		s.startAsk(ctx, team, p)
	}
}

// ahead is the number of tokens that the node wants to have in stock.
func (s *Spender) ahead(p *purse) uint32 {
	switch s.spread.(type) {
	case OneHolder:
		return 0
	case Everywhere:
		return everywhereBatch
	}
	return uint32(math.Min(p.heat*stockTime.Seconds(), maxBatch))
}

// wanted is how many tokens to ask for. When several requests wait the team is
// getting hot faster than its heat is measured, so it asks for as many again.
func (s *Spender) wanted(p *purse) uint32 {
	waiting := uint32(len(p.waiting))
	ahead := s.ahead(p)
	if _, ok := s.spread.(ByHeat); ok && waiting > 1 {
		ahead = max(ahead, waiting)
	}
	return waiting + ahead
}

func (s *Spender) startAsk(ctx context.Context, team string, p *purse) {
	if p.asking {
		return
	}
	p.asking = true
	a := &ask{spender: s, team: team, purse: p}
	go a.run(context.WithoutCancel(ctx))
}

// ask is one round of requests to holders on behalf of all that wait.
type ask struct {
	spender *Spender
	team    string
	purse   *purse
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

// from asks one data centre and stocks what it gives.
func (a *ask) from(ctx context.Context, centre string) (*control.TokensReply, error) {
	s := a.spender
	s.mu.Lock()
	sent := s.clock.Now()
	a.wanted = s.wanted(a.purse)
	request := &control.TokensRequest{
		Instance: s.instance, Centre: s.centre, Team: a.team, Count: a.wanted, Version: s.version(), Loan: centre != "",
		Spent: a.purse.takeReports(centre, sent),
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
	if reply.Count > 0 {
		s.mu.Lock()
		a.purse.stocks = append(a.purse.stocks, &stock{
			centre: centre, batch: reply.Batch, count: reply.Count, got: sent,
			expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond),
		})
		s.mu.Unlock()
	}
	return reply, nil
}

// takeReports says what became of the batches of a data centre, and closes
// those that the team no longer needs.
func (p *purse) takeReports(centre string, now time.Time) []*control.Spent {
	reports := p.reports[centre]
	delete(p.reports, centre)
	kept := p.stocks[:0]
	for _, st := range p.stocks {
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
	p.stocks = kept
	return reports
}

// finish serves those that wait, in order; the rest asks again.
func (s *Spender) finish(a *ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := a.purse
	p.asking = false
	now := s.clock.Now()
	for len(p.waiting) > 0 && p.take(now) {
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
	p := a.purse
	p.asking = false
	p.wait = wait
	p.barred = s.clock.Now().Add(min(wait, refusedFor))
	for _, granted := range p.waiting {
		granted <- &RateError{Team: a.team, Wait: wait, Unreachable: unreachable}
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
	for team, p := range s.purses {
		p.closeIdle(now)
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

func (p *purse) closeIdle(now time.Time) {
	kept := p.stocks[:0]
	for _, st := range p.stocks {
		if now.Sub(st.got) > reportAfter {
			p.close(st)
			continue
		}
		kept = append(kept, st)
	}
	p.stocks = kept
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
