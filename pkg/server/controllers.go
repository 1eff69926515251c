package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Controller keeps one part of the node's state until the context ends.
type Controller interface {
	Run(ctx context.Context)
}

// controllers lists all of them. Adding one is a file and a line here.
func (s *Server) controllers() []Controller {
	list := []Controller{
		s.carrier,
		s.gossip,
		&syncer{s},
		s.fetcher,
		s.holder,
		s.spender,
		s.announcer,
	}
	if s.folder != nil {
		list = append(list, &joiner{s}, &copier{s}, &historian{s})
	}
	return list
}

const (
	// joinPeriod is how often a replica looks whether it must join its set.
	joinPeriod = 200 * time.Millisecond
	// copyPeriod is how often a replica looks whether records are missing.
	copyPeriod = 200 * time.Millisecond
	// expirePeriod is how often old claim records are dropped.
	expirePeriod = time.Hour
	// stepTimeout bounds one step of a controller.
	stepTimeout = 2 * time.Second
)

// every calls step in a steady rhythm.
func (s *Server) every(ctx context.Context, period time.Duration, step func(context.Context)) {
	for {
		bounded, cancel := context.WithTimeout(ctx, stepTimeout)
		step(bounded)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(period):
		}
	}
}

// syncer compares gossip tables.
type syncer struct{ server *Server }

// Run implements Controller.
func (c *syncer) Run(ctx context.Context) {
	c.server.gossip.SyncLoop(ctx, c.server.caller, c.server.source)
}

// joiner founds the fleet, or brings this replica into the set that it
// belongs to.
type joiner struct{ server *Server }

// Run implements Controller.
func (c *joiner) Run(ctx context.Context) { c.server.every(ctx, joinPeriod, c.step) }

func (c *joiner) step(ctx context.Context) {
	s := c.server
	own := s.acceptor.Identify()
	if own.Epoch == 0 {
		c.found(ctx, own)
	}
	value := s.config.Current().Value()
	if value.Epoch <= s.acceptor.Epoch() || !hasMember(value.Replicas, own.Identity) {
		return
	}
	for _, m := range value.Replicas {
		if m.Identity != own.Identity && c.joinFrom(ctx, m.Address, own.Identity) {
			return
		}
	}
}

// found makes the first value when this replica is the founder and nobody has
// been founded yet. Only one replica ever founds, so there is no race.
func (c *joiner) found(ctx context.Context, own *control.IdentifyReply) {
	s := c.server
	first := s.settings.Replicas
	if len(first) == 0 {
		return
	}
	var members []*control.Member
	for _, address := range first {
		reply := own
		if address != s.settings.Peer {
			var err error
			if reply, err = s.caller.Replica(address).Identify(ctx, &control.IdentifyRequest{}); err != nil {
				return
			}
		}
		if reply.Epoch != 0 {
			c.joinFrom(ctx, address, own.Identity)
			return
		}
		members = append(members, &control.Member{Identity: reply.Identity, Address: address})
	}
	if first[0] != s.settings.Peer {
		return
	}
	c.install(planner.Found(members), own.Identity)
}

// install brings the founding value to this replica first; the others join
// from here.
func (c *joiner) install(value *control.Value, identity string) {
	s := c.server
	_, err := s.acceptor.Install(&control.InstallRequest{Replica: identity, Epoch: value.Epoch, Value: value})
	if err != nil {
		s.fail("found", err)
		return
	}
	s.log.Info("found", "replicas", len(value.Replicas))
	s.offer(value)
}

// joinFrom takes a proposal of the set's epoch from a member, as if it came
// late from its proposer. It returns whether this replica votes now.
func (c *joiner) joinFrom(ctx context.Context, address, identity string) bool {
	s := c.server
	reply, err := s.caller.Replica(address).Identify(ctx, &control.IdentifyRequest{})
	if err != nil || reply.Epoch <= s.acceptor.Epoch() || !replicator.Votes(reply.Epoch, reply.Value, identity) {
		return false
	}
	_, err = s.acceptor.Install(&control.InstallRequest{Replica: identity, Epoch: reply.Epoch, Ballot: reply.Accepted, Value: reply.Value})
	if err != nil {
		s.fail("join", err)
		return false
	}
	s.log.Info("join", "epoch", reply.Epoch)
	return true
}

func hasMember(members []*control.Member, identity string) bool {
	for _, m := range members {
		if m.Identity == identity {
			return true
		}
	}
	return false
}

// copier copies the claim records of the former set before this replica has a
// vote on claims, and drops old records.
type copier struct{ server *Server }

// Run implements Controller.
func (c *copier) Run(ctx context.Context) {
	expired := c.server.clock.Now()
	c.server.every(ctx, copyPeriod, func(ctx context.Context) {
		c.step(ctx)
		if now := c.server.clock.Now(); now.Sub(expired) > expirePeriod {
			expired = now
			if err := c.server.store.Expire(); err != nil {
				c.server.fail("expire", err)
			}
		}
	})
}

func (c *copier) step(ctx context.Context) {
	s := c.server
	at := s.acceptor.Identify()
	if at.Epoch == 0 || s.store.Epoch() >= at.Epoch {
		return
	}
	former, ok := replicator.Former(at.Epoch, at.Value)
	if !ok {
		return
	}
	records, ok := c.collect(ctx, former, at.Epoch)
	if !ok {
		return
	}
	if err := s.store.Complete(at.Epoch, records); err != nil {
		s.fail("copy", err)
		return
	}
	s.log.Info("copy", "epoch", at.Epoch, "records", len(records))
}

// collect reads the records of a majority of the former set. A member counts
// only when it no longer votes in the former epoch and its records were
// complete there.
func (c *copier) collect(ctx context.Context, former []*control.Member, epoch uint64) ([]*control.Record, bool) {
	var records []*control.Record
	read := 0
	for _, m := range former {
		reply, err := c.server.caller.Replica(m.Address).Records(ctx, &control.RecordsRequest{Replica: m.Identity})
		if err != nil || reply.Epoch < epoch || reply.Complete+1 < epoch {
			continue
		}
		records = append(records, reply.Records...)
		read++
	}
	return records, len(former) == 0 || read > len(former)/2
}

// historian writes the audit trail, and fetches entries that were missed.
type historian struct{ server *Server }

// Run implements Controller.
func (c *historian) Run(ctx context.Context) {
	c.server.every(ctx, joinPeriod, c.step)
}

func (c *historian) step(ctx context.Context) {
	s := c.server
	value := s.config.Current().Value()
	if s.audit.Last() >= value.Version {
		return
	}
	gap, err := s.audit.Add(value.Changes)
	if err != nil {
		s.fail("audit", err)
		return
	}
	if gap {
		c.fetch(ctx, value)
	}
}

func (c *historian) fetch(ctx context.Context, value *control.Value) {
	s := c.server
	for _, m := range value.Replicas {
		if m.Address == s.settings.Peer {
			continue
		}
		reply, err := s.caller.Peer(m.Address).History(ctx, &control.HistoryRequest{From: s.audit.Last() + 1})
		if err != nil || len(reply.Changes) == 0 {
			continue
		}
		if _, err := s.audit.Add(reply.Changes); err != nil {
			s.fail("audit", err)
		}
		return
	}
}
