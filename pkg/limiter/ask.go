package limiter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// ask is one round of requests to holders on behalf of all that wait.
type ask struct {
	spender *TokenClient
	team    string
	cache   *tokenCache
	// wanted is how many tokens the last request asked for.
	wanted uint32
	// announced tells that a witness said when tokens will be handed out again.
	announced bool
}

// absentError says that nobody who was reached holds the team's bucket.
type absentError struct {
	wait time.Duration
	// announced tells that a witness said how long to wait.
	announced bool
}

// Error implements error.
func (e *absentError) Error() string { return fmt.Sprintf("no holder was reached, wait %v", e.wait) }

func (a *ask) run(ctx context.Context) {
	s := a.spender
	reply, err := a.from(ctx, "")
	if err == nil && (reply.Count > 0 || a.wanted == 0) {
		s.finish(a)
		return
	}
	wait, unreachable := term, err != nil
	var absent *absentError
	switch {
	case err == nil:
		wait = time.Duration(reply.Wait) * time.Millisecond
	case errors.As(err, &absent):
		wait, a.announced = absent.wait, absent.announced
	}
	for _, centre := range s.holders.OtherCentres(a.team) {
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
		Spent: a.cache.takeReports(centre, sent),
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := s.holders.RequestTokens(ctx, centre, request)
	if err != nil {
		return nil, err
	}
	if reply.Absent {
		if reply.Wait > 0 {
			return nil, &absentError{wait: time.Duration(reply.Wait) * time.Millisecond, announced: true}
		}
		return nil, &absentError{wait: term}
	}
	if reply.Count > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if sent.Before(s.forgotten[ShardOf(a.team)]) {
			// Another holder has been told since that this node has no tokens.
			return &control.TokensReply{}, nil
		}
		a.cache.batches = append(a.cache.batches, &heldBatch{
			centre: centre, batch: reply.Batch, count: reply.Count, got: sent,
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
func (s *TokenClient) finish(a *ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := a.cache
	p.asking, p.missed, p.postponedSince = false, false, time.Time{}
	now := s.clock.Now()
	for len(p.waiting) > 0 && p.take(now) {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
	}
	if len(p.waiting) > 0 {
		s.startAsk(context.Background(), a.team, p)
	}
}

func (s *TokenClient) refuse(a *ask, wait time.Duration, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := a.cache
	p.missed, p.wait = unreachable, wait
	now := s.clock.Now()
	if a.announced && s.postpone(a, now) {
		return
	}
	p.asking, p.postponedSince = false, time.Time{}
	pause := refusedFor
	if unreachable {
		pause = missedFor
	}
	p.barred = now.Add(min(wait, pause))
	for _, granted := range p.waiting {
		granted <- s.barredError(a.team, p, now)
	}
	p.waiting = nil
}
