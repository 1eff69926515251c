package limiter

import (
	"context"
	"errors"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

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
