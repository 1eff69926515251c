package server

import (
	"context"
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// coldCheckInterval is how often a node checks whether its target turned cold, or is
	// no longer, to log it and tell other nodes.
	coldCheckInterval = 100 * time.Millisecond
	// coldTellMargin is how much later than told the end must be to be told again. The
	// end in each report differs by the delay of that report.
	coldTellMargin = 300 * time.Millisecond
	// undeclaredColdRate stands for the rate that a service states as long as no
	// declaration is in force: only the slack may be used, which any rate allows.
	undeclaredColdRate = 1e-6
)

// coldBound returns the bound of requests to targets of a service while they are cold.
func (s *Server) coldBound(service string) pacer.ColdBound {
	settings := s.live.Load().Cold
	bound := pacer.ColdBound{Ratio: settings.Ratio, Slack: settings.Slack, Rate: undeclaredColdRate}
	if c := s.config.Current(); c.IsDeclared() {
		bound.Rate = c.Declaration().Services[service].Cold
	}
	return bound
}

// applyColdBound puts the bound into force that holds for the own target.
func (s *Server) applyColdBound() {
	s.admitter.SetColdBound(s.coldBound(s.ownService()))
}

// ownCold implements announcer.ColdObserver.
type ownCold struct{ server *Server }

// TargetReported implements announcer.ColdObserver. The bound is put into force with
// the report, since the service may not have been known before.
func (o *ownCold) TargetReported(service string, cold time.Duration, stated bool) {
	s := o.server
	s.admitter.SetColdBound(s.coldBound(service))
	if warmup := declaredWarmup(s.config.Current().Declaration(), service); !stated && warmup > 0 {
		cold = warmup
	}
	s.admitter.ReportCold(cold, stated)
}

// TargetLost implements announcer.ColdObserver.
func (o *ownCold) TargetLost() { o.server.admitter.CloseTarget() }

func declaredWarmup(d *declarer.Declaration, service string) time.Duration {
	return time.Duration(d.Services[service].Warmup) * time.Millisecond
}

// coldLeft returns for how long other nodes may take the own target for cold under the
// bound; 0 if it is warm or no bound is in force.
func (s *Server) coldLeft() time.Duration {
	return s.admitter.Load().ColdTime()
}

// enforcesColdBound reports whether the settings bound the requests to cold targets.
func enforcesColdBound(settings *configurer.Settings) bool { return settings.Cold.Ratio > 0 }

// coldWatcher logs when the own target turns cold or warm, and tells other nodes.
type coldWatcher struct {
	server *Server
	// reason is that of the last step.
	reason pacer.ColdReason
	// held says whether the target was held back at the last step.
	held bool
	// toldUntil is until when other nodes take the target for cold.
	toldUntil time.Time
}

// Run implements Controller.
func (w *coldWatcher) Run(ctx context.Context) {
	w.server.runEvery(ctx, coldCheckInterval, func(context.Context) { w.step() })
}

func (w *coldWatcher) step() {
	s := w.server
	target := s.announcer.Target()
	w.logHeld(target)
	if !enforcesColdBound(s.live.Load()) && w.reason == pacer.Warm {
		return
	}
	s.applyColdBound()
	load := s.admitter.Load()
	reason, left := load.Cold, load.ColdTime()
	if target == nil {
		reason, left = pacer.Warm, 0
	}
	if reason != w.reason {
		bound := s.coldBound(s.ownService())
		w.reason = reason
		s.countEvent("target_cold", 1)
		s.log.Info("target_cold", "life", lifeOf(target), "cold", reason != pacer.Warm, "why", string(reason), "left", left,
			"rate", bound.Rate, "allowed", bound.Requests())
	}
	w.tell(reason != pacer.Warm, left)
}

// logHeld logs when the target begins to be held back by its answers, and when that
// ends.
func (w *coldWatcher) logHeld(target *forwarder.Target) {
	load := w.server.admitter.Load()
	if held := load.Held && target != nil; held != w.held {
		w.held = held
		w.server.log.Info("target_pace", "life", lifeOf(target), "held", held, "limit", load.Limit, "slots", load.Slots)
	}
}

func lifeOf(t *forwarder.Target) string {
	if t == nil {
		return ""
	}
	return t.Life
}

// tell puts into this node's gossip entry for how long the target stays cold, unless
// other nodes know it.
func (w *coldWatcher) tell(cold bool, left time.Duration) {
	now := w.server.clock.Now()
	until := now.Add(left)
	switch {
	case cold && until.Sub(w.toldUntil) < coldTellMargin:
		return
	case !cold && w.toldUntil.Sub(now) < coldTellMargin:
		w.toldUntil = time.Time{}
		return
	}
	w.toldUntil = until
	w.server.gossip.UpdateSelf(func(e *control.Entry) { e.Cold = uint32(left.Milliseconds()) })
}

// ownTargetColdLimit returns how many requests the own target may get in any second, or
// -1 if it is not cold.
func (s *Server) ownTargetColdLimit() float64 {
	if reason, _ := s.admitter.Cold(); reason == pacer.Warm || s.announcer.Target() == nil {
		return -1
	}
	return float64(s.coldBound(s.ownService()).Requests())
}

// targetPace describes for operators what bounds the requests to the own target after a
// start or a recovery; empty if nothing does.
func (s *Server) targetPace() string {
	load := s.admitter.Load()
	switch {
	case s.announcer.Target() == nil:
		return ""
	case load.Cold != pacer.Warm:
		return fmt.Sprintf("cold (%s), %d a second, %v left", load.Cold, s.coldBound(s.ownService()).Requests(), load.ColdTime().Round(time.Millisecond))
	case load.Held:
		return fmt.Sprintf("held back, %d of %d slots", load.Limit, load.Slots)
	}
	return ""
}
