package server

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// healPeriod is how often a replica looks whether one is lost.
	healPeriod = 300 * time.Millisecond
	// healTurn is how much longer each further member of the set waits before
	// it acts, so that usually one of them does.
	healTurn = time.Second
	// healName stands in the audit trail in place of an operator.
	healName = "self-healing"
)

// healing replaces lost replicas without an operator.
type healing struct {
	server *Server
	// wanted since then is the replacement that this node would make.
	wanted healer.Replacement
	since  time.Time
}

func newHealer(s *Server) *healing { return &healing{server: s} }

// Run implements Controller.
func (h *healing) Run(ctx context.Context) { h.server.every(ctx, healPeriod, h.step) }

func (h *healing) step(ctx context.Context) {
	s := h.server
	value := s.config.Current().Value()
	if value.Version == 0 {
		return
	}
	now := s.clock.Now()
	next, ok := healer.Decide(replicasOf(value), s.gossip.Replicas(), now)
	if !ok {
		h.wanted = healer.Replacement{}
		return
	}
	if next != h.wanted {
		h.wanted, h.since = next, now
	}
	if now.Sub(h.since) < time.Duration(h.rank(value))*healTurn {
		return
	}
	request := &control.ReplaceRequest{
		Leaving: next.Leaving, Joining: next.Joining, Base: value.Version,
		Id: fmt.Sprintf("%s-%s-%d", next.Leaving, next.Joining, value.Version),
	}
	reply, err := s.replace(ctx, request, healName)
	if err != nil {
		s.fail("heal", err)
		return
	}
	s.log.Info("heal", "leaving", next.Leaving, "joining", next.Joining, "reason", next.Reason,
		"version", reply.Version, "refused", reply.Refused)
}

// rank is this node's place among those that may act.
func (h *healing) rank(value *control.Value) int {
	at := slices.IndexFunc(value.Replicas, func(m *control.Member) bool { return m.Address == h.server.settings.Peer })
	if at < 0 {
		return len(value.Replicas)
	}
	return at
}

func replicasOf(value *control.Value) []healer.Replica {
	var list []healer.Replica
	for _, m := range value.Replicas {
		list = append(list, healer.Replica{Identity: m.Identity, Address: m.Address})
	}
	return list
}
