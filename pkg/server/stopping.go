package server

import (
	"context"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// stop announces that the node leaves, waits until others have heard of it
// and until the requests are through, then closes the listeners.
func (s *Server) stop(listeners []*listener) {
	s.log.Info("drain", "instance", s.settings.Instance)
	s.stopping = s.clock.Now()
	s.draining.Store(true)
	most := stopMost
	if grace := s.live.Load().Grace.Duration; grace > 0 {
		most = grace - min(graceMargin, grace/4)
	}
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	s.gossip.UpdateSelf(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	if err := s.announcer.Drain(ctx); err != nil {
		s.fail("drain", err)
	}
	if s.announcer.Target() == nil {
		<-s.clock.After(announcer.LeavePropagationDelay)
	}
	if s.settings.Ready != "" && s.settings.Listen != "" {
		// Callers move away once the readiness check has failed twice.
		select {
		case <-s.clock.After(readyMoves - s.clock.Now().Sub(s.stopping)):
		case <-ctx.Done():
		}
	}
	for _, l := range listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			s.fail("shutdown", err)
		}
	}
}
