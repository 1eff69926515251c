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
	// healInterval is how often a replica checks whether the replica set needs a
	// repair.
	healInterval = 300 * time.Millisecond
	// healRankDelay is how much longer each member of the set waits than the one
	// listed before it, so that usually only one of them acts.
	healRankDelay = time.Second
	// shortageDelay is how long the fleet must have fewer disks than the tolerance
	// needs before the tolerance is waived. A fleet that starts discovers its disks
	// within two seconds.
	shortageDelay = 5 * time.Second
	// healOperator is the operator in audit entries of automatic repairs.
	healOperator = "self-healing"
)

// replicaHealer replaces lost replicas and enlarges a set that is too small,
// without an operator.
type replicaHealer struct {
	server *Server
	// pending is the replacement that this node would make, unchanged since
	// pendingSince.
	pending      healer.Replacement
	pendingSince time.Time
	// shortSince is since when fewer disks are known than the tolerance needs;
	// zero when there are enough.
	shortSince time.Time
}

func newHealer(s *Server) *replicaHealer { return &replicaHealer{server: s} }

// Run implements Controller.
func (h *replicaHealer) Run(ctx context.Context) { h.server.runEvery(ctx, healInterval, h.step) }

func (h *replicaHealer) step(ctx context.Context) {
	s := h.server
	value := s.config.Current().Value()
	if value.Version == 0 {
		return
	}
	now := s.clock.Now()
	members, announced := replicasOf(value), s.gossip.Replicas()
	h.checkDiskShortage(members, announced, now)
	next, ok := healer.Decide(members, announced, s.settings.Tolerance, now)
	if !ok {
		h.pending = healer.Replacement{}
		return
	}
	if !next.Equal(h.pending) {
		h.pending, h.pendingSince = next, now
	}
	delay := time.Duration(h.rank(value)) * healRankDelay
	if next.Reason == healer.ReasonGrow {
		delay += healer.GrowDelay
	}
	if now.Sub(h.pendingSince) < delay {
		return
	}
	r := &planner.Replacement{
		ID:   fmt.Sprintf("%s-%s-%d", next.Leaving, strings.Join(next.Joining, "-"), value.Version),
		Base: value.Version, Leaving: next.Leaving, Operator: healOperator,
	}
	for _, address := range next.Joining {
		r.Joining = append(r.Joining, &control.Member{Address: address})
	}
	reply, err := s.replace(ctx, r)
	if err != nil {
		s.reportError("heal", err)
		return
	}
	s.log.Info("heal", "leaving", next.Leaving, "joining", next.Joining, "reason", next.Reason,
		"version", reply.Version, "refused", reply.Refused)
}

// checkDiskShortage waives the tolerance once the fleet has had too few disks for
// it for shortageDelay, until there are enough. Unreachable disks count.
func (h *replicaHealer) checkDiskShortage(members, announced []healer.Replica, now time.Time) {
	s := h.server
	known := map[string]bool{}
	for _, r := range slices.Concat(members, announced) {
		known[r.Address] = true
	}
	if healer.ToleratedLosses(len(known)) >= s.settings.Tolerance {
		h.shortSince = time.Time{}
	} else if h.shortSince.IsZero() {
		h.shortSince = now
	}
	toleranceWaived := !h.shortSince.IsZero() && now.Sub(h.shortSince) >= shortageDelay
	if s.toleranceWaived.Swap(toleranceWaived) != toleranceWaived {
		s.log.Warn("tolerance", "waived", toleranceWaived, "disks", len(known), "asked", s.settings.Tolerance, "bears", healer.ToleratedLosses(len(members)))
	}
}

// tolerance is how many lost disks the replica set must survive before this node
// acknowledges a change. A fleet with too few disks for the setting acknowledges
// changes all the same, as no key could be withdrawn otherwise; its log and status
// show the shortage.
func (s *Server) tolerance() int {
	if s.toleranceWaived.Load() {
		return 0
	}
	return s.settings.Tolerance
}

// rank is this node's position in the replica set, or the size of the set when it
// is not a member.
func (h *replicaHealer) rank(value *control.Value) int {
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

// otherReplicas lists the addresses of other reachable nodes with data folders.
func (s *Server) otherReplicas() []string {
	var list []string
	for _, r := range s.gossip.Replicas() {
		if r.UnreachableSince.IsZero() && r.Address != s.settings.Peer {
			list = append(list, r.Address)
		}
	}
	return list
}
