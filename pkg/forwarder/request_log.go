package forwarder

import (
	"encoding/hex"
	"strconv"
	"time"

	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/pkg/shedder"
)

// logRefusal logs a request that the entry node rejected before it chose a
// target.
func (f *Forwarder) logRefusal(x *Exchange, r *Refusal) {
	f.observe(x, string(r.Outcome), string(r.Reason), f.deps.Clock.Now())
	advertised, age := f.deps.Behind()
	attrs := []any{
		"id", x.hop.Id, "route", x.hop.Route, "team", x.hop.Team, "rank", x.hop.Rank,
		"reason", r.Reason, "outcome", r.Outcome, "status", r.Status, "wait", r.Wait,
		"version", x.config.Version(), "revision", x.config.Revision(), "heard", advertised, "behind", age, "text", r.Text,
	}
	attrs = append(attrs, decisionAttrs(x, r)...)
	f.deps.Log.Info("refuse", append(attrs, digestAttrs(x, r)...)...)
}

// decisionAttrs says why Chains held a request back.
func decisionAttrs(x *Exchange, r *Refusal) []any {
	if r.Reason != ReasonLoad || x.decision.Cause == shedder.None {
		return nil
	}
	d := x.decision
	return []any{"cause", string(d.Cause), "share", d.Share, "cost", d.Cost, "success", d.Success}
}

// logOutcome logs the outcome of a request that reached the send filter of its
// entry node.
func (f *Forwarder) logOutcome(x *Exchange, a *attempt, final result, now time.Time) {
	x.onRefusal = nil
	attrs := []any{
		"id", x.hop.Id, "route", x.hop.Route, "service", x.hop.Service, "team", x.hop.Team, "rank", x.hop.Rank,
		"call", x.hop.Call, "sends", x.attemptsSent, "took", now.Sub(x.startedAt), "left", x.timeLeft(now), "version", x.config.Version(),
	}
	if a.target != nil {
		attrs = append(attrs, "at", a.target.Instance, "state", a.target.State, "stamp", a.target.Stamp)
	}
	if a.cause != "" {
		attrs = append(attrs, "placed", string(a.cause))
	}
	switch r := final.(type) {
	case *answeredResult:
		attrs = append(attrs, "outcome", "answered", "status", r.answer.status)
		f.observe(x, "answered", strconv.Itoa(r.answer.status), now)
	case *notRunResult:
		attrs = append(attrs, refusalAttrs(r.refusal)...)
		f.observe(x, string(r.refusal.Outcome), string(r.refusal.Reason), now)
	case *unknownResult:
		attrs = append(attrs, refusalAttrs(r.refusal)...)
		f.observe(x, string(r.refusal.Outcome), string(r.refusal.Reason), now)
	}
	f.deps.Log.Info("request", attrs...)
}

func refusalAttrs(r *Refusal) []any {
	return []any{"outcome", string(r.Outcome), "status", r.Status, "reason", string(r.Reason), "wait", r.Wait, "text", r.Text}
}

// logAttempt logs an attempt that got no answer.
func (f *Forwarder) logAttempt(x *Exchange, a *attempt, err error) {
	f.deps.Log.Info("attempt", "id", x.hop.Id, "at", a.target.Instance, "service", x.hop.Service, "send", x.attemptsSent,
		"error", err.Error())
}

// observe reports the outcome of a request on its entry node to the observer.
func (f *Forwarder) observe(x *Exchange, outcome, reason string, now time.Time) {
	if f.deps.Observer != nil {
		f.deps.Observer.Request(x.hop.Arrival, x.hop.Team, outcome, reason, now.Sub(x.startedAt))
	}
}

// logHopRefusal logs a hop that ended without an answer of the target.
func (f *Forwarder) logHopRefusal(x *Exchange, r *Refusal) {
	attrs := append(refusalAttrs(r), digestAttrs(x, r)...)
	if x.cause != nil {
		attrs = append(attrs, "error", x.cause.Error())
	}
	f.logHop(x, string(r.Outcome), string(r.Reason), attrs)
}

// digestAttrs adds the digest of a quarantined request to its log line, so that
// the line can be matched with the log of the quarantine decision.
func digestAttrs(x *Exchange, r *Refusal) []any {
	if r.Reason != ReasonPoison {
		return nil
	}
	return []any{"digest", hex.EncodeToString(x.hop.Digest)}
}

// logHopAnswer logs a hop that this node's target answered.
func (f *Forwarder) logHopAnswer(x *Exchange, status int) {
	f.logHop(x, "answered", strconv.Itoa(status), []any{"outcome", "answered", "status", status})
}

func (f *Forwarder) logHop(x *Exchange, outcome, reason string, extra []any) {
	x.onRefusal = nil
	now := f.deps.Clock.Now()
	load := f.deps.Admitter.Load()
	attrs := append([]any{
		"id", x.hop.Id, "team", x.hop.Team, "rank", x.hop.Rank, "call", x.hop.Call, "took", now.Sub(x.startedAt),
		"left", x.timeLeft(now), "inflight", load.Inflight, "queued", load.Queued, "limit", load.Limit, "level", load.Level,
	}, extra...)
	if x.target != nil {
		attrs = append(attrs, "life", x.target.Life)
		rate, limited := f.ownTarget.tracker.Current(x.target.Life).Limit()
		if limited {
			attrs = append(attrs, "rate", rate)
		}
		if load.Cold != pacer.Warm {
			attrs = append(attrs, "cold", string(load.Cold))
		}
		if limited || load.Cold != pacer.Warm {
			attrs = append(attrs, "used", load.Paced)
		}
	}
	f.deps.Log.Info("hop", attrs...)
	if f.deps.Observer != nil {
		f.deps.Observer.Hop(outcome, reason, now.Sub(x.startedAt))
	}
}
