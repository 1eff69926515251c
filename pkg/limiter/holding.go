package limiter

import (
	"context"
	"time"
)

// This file answers the load of a holder that falls silent: its deputies hand
// out tokens standbyDelay after its last word, and all requests of its teams
// arrive meanwhile, none of them over a limit.

const (
	// holdMost is how long requests of a team wait until tokens are handed out
	// again: as long as deputies wait for the holder, with an ask before and one
	// after. Refused ones would come back later than that.
	holdMost = standbyDelay + 2*askTimeout/3
	// holdPause is the least time between two asks meanwhile.
	holdPause = 20 * time.Millisecond
)

// hold keeps the requests that wait and asks again when tokens are announced,
// unless they have waited, or would have to, for too long. What the node may
// admit alone is used first. s.mu is held.
func (s *Spender) hold(a *ask, now time.Time) bool {
	p := a.cache
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	pause := max(p.wait, holdPause)
	if now.Add(pause).After(p.heldSince.Add(holdMost)) {
		return false
	}
	for len(p.waiting) > 0 && p.reserved.take(now, s.limits.Reserve(a.team)) {
		p.waiting[0] <- nil
		p.waiting = p.waiting[1:]
	}
	h := &holding{spender: s, ask: a, pause: pause}
	go h.run()
	return true
}

// holding is a pause between two asks.
type holding struct {
	spender *Spender
	ask     *ask
	pause   time.Duration
}

func (h *holding) run() {
	s, p := h.spender, h.ask.cache
	<-s.clock.After(h.pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.asking = false
	if len(p.waiting) > 0 {
		s.startAsk(context.Background(), h.ask.team, p)
	}
}
