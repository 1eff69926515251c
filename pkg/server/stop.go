package server

import (
	"context"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// stop announces that the node is leaving, waits until other nodes know it and
// the requests in flight have finished, then closes the listeners.
func (s *Server) stop(listeners []*listener) {
	s.log.Info("drain", "instance", s.settings.Instance)
	s.stopBegan = s.clock.Now()
	s.draining.Store(true)
	timeout := stopTimeout
	if grace := s.live.Load().Grace.Duration; grace > 0 {
		timeout = grace - min(graceMargin, grace/4)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.gossip.UpdateSelf(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	if err := s.announcer.Drain(ctx); err != nil {
		s.reportError("drain", err)
	}
	if s.announcer.Target() == nil {
		<-s.clock.After(announcer.LeavePropagationDelay)
	}
	if s.settings.Ready != "" && s.settings.Listen != "" {
		// Callers stop using the node once its readiness check has failed twice.
		select {
		case <-s.clock.After(readyPropagationDelay - s.clock.Now().Sub(s.stopBegan)):
		case <-ctx.Done():
		}
	}
	for _, l := range listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			s.reportError("shutdown", err)
		}
	}
}
