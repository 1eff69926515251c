package pacer

import (
	"math"
	"time"
)

const (
	// burstTime is for how long the limit may go unused and be used afterwards.
	burstTime = 500 * time.Millisecond
	// minBurst is the least number of requests that may begin at once.
	minBurst = 2
	// trialRate is how many requests a second go to a target that names a lower limit,
	// such as 0: only an answer can show that the limit is over.
	trialRate = 0.25
	// demandTime is the time constant of the demand.
	demandTime = time.Second
	// maxBackoff bounds Backoff.
	maxBackoff = time.Second
)

// Pacer decides when requests may begin at a target, so that the target gets no more
// of them than the limit that it names. Load answered: several entry nodes together
// send an overloaded target many times its limit. The zero value names no limit. A Pacer
// is not safe for concurrent use.
type Pacer struct {
	limited bool
	// rate is the limit in requests a second, at least trialRate.
	rate float64
	// tokens is the number of requests that might begin at updatedAt.
	tokens    float64
	updatedAt time.Time
	// demand counts the requests that have arrived, with exponential decay, as of
	// demandAt.
	demand   float64
	demandAt time.Time
}

// SetLimit sets the limit that the target names, in requests a second. Without a limit
// before, the first request begins only after the interval between two requests,
// since others are on their way.
func (p *Pacer) SetLimit(rate float64, limited bool, now time.Time) {
	p.advance(now)
	if limited && !p.limited {
		p.tokens, p.updatedAt = 0, now
	}
	p.limited, p.rate = limited, max(rate, trialRate)
	p.tokens = min(p.tokens, p.burst())
}

// Limited reports whether the target names a limit.
func (p *Pacer) Limited() bool { return p.limited }

func (p *Pacer) burst() float64 { return max(minBurst, p.rate*burstTime.Seconds()) }

func (p *Pacer) advance(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		p.tokens = min(p.tokens+p.rate*elapsed.Seconds(), p.burst())
		p.updatedAt = now
	}
}

// tokenRounding makes up for rounding in the sums of tokens.
const tokenRounding = 1e-6

// Ready reports whether a request may begin.
func (p *Pacer) Ready(now time.Time) bool {
	p.advance(now)
	return !p.limited || p.tokens >= 1-tokenRounding
}

// Begin counts a request that begins.
func (p *Pacer) Begin(now time.Time) {
	p.advance(now)
	p.tokens = max(p.tokens-1, 0)
}

// Wait returns the time until a request may begin; 0 if one may begin now.
func (p *Pacer) Wait(now time.Time) time.Duration {
	if p.Ready(now) {
		return 0
	}
	return time.Duration(math.Ceil((1 - p.tokens) / p.rate * float64(time.Second)))
}

// Utilization returns the part of the burst that is in use: 1 if no request may begin,
// 0 without a limit.
func (p *Pacer) Utilization(now time.Time) float64 {
	switch {
	case !p.limited:
		return 0
	case !p.Ready(now):
		return 1
	}
	return 1 - p.tokens/p.burst()
}

// Interval returns the mean time between two requests that begin.
func (p *Pacer) Interval() time.Duration {
	return time.Duration(float64(time.Second) / max(p.rate, trialRate))
}

// RecordArrival counts a request that wants to begin.
func (p *Pacer) RecordArrival(now time.Time) {
	p.decayDemand(now)
	p.demand++
}

func (p *Pacer) decayDemand(now time.Time) {
	if elapsed := now.Sub(p.demandAt); elapsed > 0 {
		p.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		p.demandAt = now
	}
}

// Backoff returns when the sender of a rejected request may try again: the interval
// between two requests, times the number of requests that want to begin for each that
// may. Senders that keep to it try a few times as often as requests may begin, however
// many senders there are.
func (p *Pacer) Backoff(now time.Time) time.Duration { return p.BackoffAt(p.rate, now) }

// BackoffAt is Backoff for another rate, in requests a second, at which requests begin.
func (p *Pacer) BackoffAt(rate float64, now time.Time) time.Duration {
	p.decayDemand(now)
	rate = max(rate, trialRate)
	excess := max(1, p.demand/demandTime.Seconds()/rate)
	return min(time.Duration(excess/rate*float64(time.Second)), maxBackoff)
}
