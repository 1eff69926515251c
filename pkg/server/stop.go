package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/proto/control"
)

// stop announces that the node is leaving, waits until callers and other nodes know it
// and the requests at the own target have finished, then closes the listeners. Until
// then they stay open: a caller is told that its request was not run, see
// forwarder.Stop.
func (s *Server) stop(listeners []*listener) {
	times := s.beginStop()
	ctx, cancel := context.WithTimeout(context.Background(), times.Ends.Sub(s.stopBegan))
	defer cancel()
	go (&releaser{server: s, stop: times}).run(ctx)
	s.gossip.UpdateSelf(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	if err := s.announcer.Drain(ctx); err != nil {
		s.reportError("drain", err)
	}
	if s.announcer.Target() == nil {
		// There was none to drain, or it was lost during the drain.
		s.waitSinceStop(ctx, announcer.LeavePropagationDelay)
	}
	if s.callersCheckReadiness() {
		s.waitSinceStop(ctx, readyPropagationDelay)
	}
	for _, l := range listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			s.reportError("shutdown", err)
		}
	}
	if err := s.closer.Wait(ctx); err != nil {
		// Their callers have stopped reading: the process may end before them.
		s.log.Warn("linger", "connections", s.closer.Lingering())
	}
}

// waitSinceStop waits until d has passed since the stop began, or until ctx ends.
func (s *Server) waitSinceStop(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(d - s.clock.Now().Sub(s.stopBegan)):
	case <-ctx.Done():
	}
}

// beginStop fixes the times of the stop.
func (s *Server) beginStop() *forwarder.Stop {
	s.stopBegan = s.clock.Now()
	timeout := stopTimeout
	if grace := s.live.Load().Grace.Duration; grace > 0 {
		timeout = grace - min(graceMargin, grace/4)
	}
	callersGone := announcer.LeavePropagationDelay
	if s.callersCheckReadiness() {
		callersGone = readyPropagationDelay
	}
	times := &forwarder.Stop{
		CallersGone: s.stopBegan.Add(callersGone - signalDelay),
		NodesGone:   s.stopBegan.Add(announcer.LeavePropagationDelay),
		WaitsEnd:    s.stopBegan.Add(timeout - min(answerMargin, timeout/4)),
		Ends:        s.stopBegan.Add(timeout),
	}
	s.stopping.Store(times)
	s.log.Info("drain", "instance", s.settings.Instance, "callers", callersGone, "ends", timeout)
	return times
}

// callersCheckReadiness reports whether callers of this node stop using it once its
// readiness check has failed twice.
func (s *Server) callersCheckReadiness() bool {
	return s.settings.Ready != "" && s.settings.Listen != ""
}
