package limiter

import (
	"context"
	"time"
)

// This file answers the load of a holder that falls silent: its deputies hand
// out tokens standbyDelay after its last word, and all requests of its teams
// arrive meanwhile, none of them over a limit.

const (
	// postponeMost bounds how long requests of a team wait until tokens are handed
	// out again: as long as deputies wait for the holder, and what asks before and
	// after lose to the one that is silent. Refused ones would come back later.
	postponeMost = standbyDelay + 2*askTimeout/3
	// postponePause is the least time between two asks meanwhile.
	postponePause = 20 * time.Millisecond
)

// postpone keeps the requests that wait and asks again when tokens are announced,
// unless they have waited, or would have to, for too long. What the node may
// admit alone is used first. s.mu is held.
func (s *TokenClient) postpone(a *ask, now time.Time) bool {
	p := a.cache
	if p.postponedSince.IsZero() {
		p.postponedSince = now
	}
	pause := max(p.wait, postponePause)
	if now.Add(pause).After(p.postponedSince.Add(postponeMost)) {
		return false
	}
	for len(p.waiting) > 0 && p.reserved.take(now, s.limits.Reserve(a.team)) {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
	}
	next := &postponed{spender: s, ask: a, pause: pause}
	go next.run()
	return true
}

// postponed is the next ask, after a pause.
type postponed struct {
	spender *TokenClient
	ask     *ask
	pause   time.Duration
}

func (p *postponed) run() {
	s, cache := p.spender, p.ask.cache
	<-s.clock.After(p.pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	cache.asking = false
	if len(cache.waiting) > 0 {
		s.startAsk(context.Background(), p.ask.team, cache)
	}
}
