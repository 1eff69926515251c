package forwarder

import (
	"time"
)

// logRefusal logs a request that was refused before it was placed.
func (f *Forwarder) logRefusal(x *Exchange, r *Refusal) {
	f.deps.Log.Info("refuse", "id", x.hop.Id, "route", x.hop.Route, "team", x.hop.Team, "rank", x.hop.Rank,
		"reason", r.Reason, "outcome", r.Outcome, "status", r.Status, "wait", r.Wait,
		"version", x.config.Version(), "revision", x.config.Revision(), "text", r.Text)
}

// logEnd logs how a request that was placed ended on its entry node.
func (f *Forwarder) logEnd(x *Exchange, a *attempt, final result, now time.Time) {
	x.told = nil
	attrs := []any{
		"id", x.hop.Id, "route", x.hop.Route, "service", x.hop.Service, "team", x.hop.Team, "rank", x.hop.Rank,
		"call", x.hop.Call, "sends", x.sends, "took", now.Sub(x.began), "left", x.left(now), "version", x.config.Version(),
	}
	if a.target != nil {
		attrs = append(attrs, "at", a.target.Instance, "state", a.target.State, "stamp", a.target.Stamp)
	}
	switch r := final.(type) {
	case *answered:
		attrs = append(attrs, "outcome", "answered", "status", r.answer.status)
	case *notRun:
		attrs = append(attrs, refusalAttrs(r.refusal)...)
	case *broken:
		attrs = append(attrs, refusalAttrs(r.refusal)...)
	}
	f.deps.Log.Info("request", attrs...)
}

func refusalAttrs(r *Refusal) []any {
	return []any{"outcome", string(r.Outcome), "status", r.Status, "reason", string(r.Reason), "wait", r.Wait, "text", r.Text}
}

// logAttempt logs an attempt without an answer.
func (f *Forwarder) logAttempt(x *Exchange, a *attempt, err error) {
	f.deps.Log.Info("attempt", "id", x.hop.Id, "at", a.target.Instance, "service", x.hop.Service, "send", x.sends,
		"error", err.Error())
}

// logHop logs how a request ended on its target's node.
func (f *Forwarder) logHop(x *Exchange, now time.Time, more ...any) {
	load := f.deps.Admitter.Load()
	attrs := append([]any{
		"id", x.hop.Id, "team", x.hop.Team, "rank", x.hop.Rank, "call", x.hop.Call, "took", now.Sub(x.began),
		"left", x.left(now), "inflight", load.Inflight, "queued", load.Queued, "limit", load.Limit, "level", load.Level,
	}, more...)
	if x.target != nil {
		attrs = append(attrs, "life", x.target.Life)
	}
	f.deps.Log.Info("hop", attrs...)
}
