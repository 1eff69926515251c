package server

import (
	"context"
	"time"

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
	if s.settings.Ready != "" && s.settings.Listen != "" {
		// Callers move away once the readiness check has failed twice. Until other
		// nodes must hear that the target leaves, it goes on working.
		s.pause(ctx, readyMoves-announcer.Spread)
	}
	s.gossip.Change(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	if err := s.announcer.Drain(ctx); err != nil {
		s.fail("drain", err)
	}
	if s.announcer.Target() == nil {
		s.pause(ctx, announcer.Spread)
	}
	for _, l := range listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			s.fail("shutdown", err)
		}
	}
}

// pause waits, at most until the context ends.
func (s *Server) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}
