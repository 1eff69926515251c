package server

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// healPeriod is how often a replica looks whether one is lost.
	healPeriod = 300 * time.Millisecond
	// healTurn is how much longer each further member of the set waits before
	// it acts, so that usually one of them does.
	healTurn = time.Second
	// shortageMost is how long fewer disks than the tolerance needs may be known
	// before changes are taken without them: a fleet that starts finds its disks
	// within two seconds.
	shortageMost = 5 * time.Second
	// healName stands in the audit trail in place of an operator.
	healName = "self-healing"
)

// healing replaces lost replicas without an operator.
type healing struct {
	server *Server
	// wanted since then is the replacement that this node would make.
	wanted healer.Replacement
	since  time.Time
	// short tells since when fewer disks are known than the tolerance needs.
	short time.Time
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
	members, seen := replicasOf(value), s.gossip.Replicas()
	h.noteShortage(members, seen, now)
	next, ok := healer.Decide(members, seen, s.settings.Tolerance, now)
	if !ok {
		h.wanted = healer.Replacement{}
		return
	}
	if !next.Equal(h.wanted) {
		h.wanted, h.since = next, now
	}
	pause := time.Duration(h.rank(value)) * healTurn
	if next.Reason == healer.ReasonGrow {
		pause += healer.GrowDelay
	}
	if now.Sub(h.since) < pause {
		return
	}
	r := &planner.Replacement{
		ID:   fmt.Sprintf("%s-%s-%d", next.Leaving, strings.Join(next.Joining, "-"), value.Version),
		Base: value.Version, Leaving: next.Leaving, Operator: healName,
	}
	for _, address := range next.Joining {
		r.Joining = append(r.Joining, &control.Member{Address: address})
	}
	reply, err := s.replace(ctx, r)
	if err != nil {
		s.fail("heal", err)
		return
	}
	s.log.Info("heal", "leaving", next.Leaving, "joining", next.Joining, "reason", next.Reason,
		"version", reply.Version, "refused", reply.Refused)
}

// noteShortage looks whether as many disks exist as the tolerance needs, those
// out of reach included.
func (h *healing) noteShortage(members, seen []healer.Replica, now time.Time) {
	s := h.server
	known := map[string]bool{}
	for _, r := range slices.Concat(members, seen) {
		known[r.Address] = true
	}
	if healer.ToleratedLosses(len(known)) >= s.settings.Tolerance {
		h.short = time.Time{}
	} else if h.short.IsZero() {
		h.short = now
	}
	waived := !h.short.IsZero() && now.Sub(h.short) >= shortageMost
	if s.waived.Swap(waived) != waived {
		s.log.Warn("tolerance", "waived", waived, "disks", len(known), "asked", s.settings.Tolerance, "bears", healer.ToleratedLosses(len(members)))
	}
}

// tolerance is how many lost disks the set must bear before a change is
// acknowledged. A fleet with too few disks for what is asked acknowledges all
// the same, since otherwise no key could be withdrawn in it; its log and status
// say so.
func (s *Server) tolerance() int {
	if s.waived.Load() {
		return 0
	}
	return s.settings.Tolerance
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

// otherReplicas lists the addresses of other nodes in reach with data folders.
func (s *Server) otherReplicas() []string {
	var list []string
	for _, r := range s.gossip.Replicas() {
		if r.UnreachableSince.IsZero() && r.Address != s.settings.Peer {
			list = append(list, r.Address)
		}
	}
	return list
}
