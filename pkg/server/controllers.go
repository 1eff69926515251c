package server

import (
	"context"
	"errors"
	"time"

	"github.com/primrosewall/primrosewall/pkg/deduplicator"
	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Controller is a background task that maintains one part of the node's state.
type Controller interface {
	// Run returns soon after the context ends.
	Run(ctx context.Context)
}

// controllers lists the controllers of this node. Some run only on nodes with a
// data folder, which can be replicas.
func (s *Server) controllers() []Controller {
	list := []Controller{
		s.udpTransport,
		s.gossip,
		&gossipSyncer{s},
		s.fetcher,
		s.holder,
		s.tokens,
		s.announcer,
		s.traffic,
		&silenceLog{server: s},
		s.boundsLog,
		s.usageLog,
		&coldWatcher{server: s},
		&departureLearner{server: s},
	}
	if s.folder != nil {
		list = append(list, &joiner{s}, &acceptedReader{server: s}, &recordCopier{server: s}, &auditWriter{s}, &abstentionEnder{s})
		if s.settings.Heal {
			list = append(list, newHealer(s))
		}
	}
	return list
}

const (
	// joinInterval is how often a replica checks whether it must join the replica
	// set, and whether its audit trail is complete.
	joinInterval = 200 * time.Millisecond
	// readInterval is how often a replica checks for an accepted value that is not
	// in force.
	readInterval = 300 * time.Millisecond
	// copyInterval is how often a replica checks whether it lacks claim records.
	copyInterval = 200 * time.Millisecond
	// expireInterval is how often a replica drops expired claim records.
	expireInterval = time.Hour
	// stepTimeout bounds one step of a periodic controller.
	stepTimeout = 2 * time.Second
)

// runEvery calls step at once and then again after each interval, until the
// context ends.
func (s *Server) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	s.runUntil(ctx, interval, func(ctx context.Context) bool {
		step(ctx)
		return false
	})
}

// runUntil is runEvery that ends when step returns true.
func (s *Server) runUntil(ctx context.Context, interval time.Duration, step func(context.Context) bool) {
	for {
		bounded, cancel := context.WithTimeout(ctx, stepTimeout)
		done := step(bounded)
		cancel()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(interval):
		}
	}
}

// gossipSyncer compares the gossip table with those of other nodes.
type gossipSyncer struct{ server *Server }

// Run implements Controller.
func (c *gossipSyncer) Run(ctx context.Context) {
	c.server.gossip.SyncLoop(ctx, c.server.caller)
}

// joiner creates the first configuration of a new fleet, and starts this
// replica's vote in a replica set that it has been added to.
type joiner struct{ server *Server }

// Run implements Controller.
func (c *joiner) Run(ctx context.Context) { c.server.runEvery(ctx, joinInterval, c.step) }

func (c *joiner) step(ctx context.Context) {
	s := c.server
	own := s.acceptor.Identify()
	value := s.config.Current().Value()
	switch {
	case value.Version == 0 && own.Epoch == 0:
		value = c.foundFleet(ctx, own)
	case value.Version == 0 && own.Value.GetVersion() == 1:
		// The node stopped after its acceptor stored the first value and before
		// that came into force.
		s.applyValue(own.Value)
	}
	if value == nil || value.Epoch <= own.Epoch || !replicator.HasVote(value.Epoch, value, own.Identity) {
		return
	}
	// A value in force was chosen by a majority, and the first value has no rival,
	// so the acceptor may start the epoch with it.
	_, err := s.acceptor.Install(&control.InstallRequest{Replica: own.Identity, Epoch: value.Epoch, Value: value})
	if err != nil {
		s.reportError("join", err)
		return
	}
	s.log.Info("join", "epoch", value.Epoch, "replicas", len(value.Replicas))
	s.applyValue(value)
}

// foundFleet returns the first value, or nil when this replica is not the
// founder, a listed replica does not answer, or one already has an epoch. Only
// the first address in the settings may found the fleet, so two replicas never
// race; the others learn of the value by gossip and fetch it.
func (c *joiner) foundFleet(ctx context.Context, own *control.IdentifyReply) *control.Value {
	s := c.server
	addresses := s.settings.Replicas
	if len(addresses) == 0 || addresses[0] != s.settings.Peer || !s.founding {
		return nil
	}
	members := []*control.Member{{Identity: own.Identity, Address: s.settings.Peer, Instance: own.Instance}}
	for _, address := range addresses[1:] {
		reply, err := s.caller.Replica(address).Identify(ctx, &control.IdentifyRequest{})
		if err != nil || reply.Epoch != 0 {
			return nil
		}
		members = append(members, &control.Member{Identity: reply.Identity, Address: address, Instance: reply.Instance})
	}
	return planner.InitialValue(members)
}

// acceptedReader finds out whether a value that this replica has accepted was
// chosen. The operator may have received the reply before the proposer crashed,
// or before every node that knew of the value stopped.
type acceptedReader struct {
	server *Server
	// pending is the accepted version that was not in force at the last step; 0
	// for none.
	pending uint64
}

// Run implements Controller.
func (c *acceptedReader) Run(ctx context.Context) { c.server.runEvery(ctx, readInterval, c.step) }

// step reads the register when an accepted version is still not in force one
// interval later; by then its proposer has usually announced it. The read, an
// update without a change, completes a value that may have been chosen.
func (c *acceptedReader) step(ctx context.Context) {
	s := c.server
	accepted := s.acceptor.Identify().Value
	if accepted.GetVersion() <= s.config.Current().Version() {
		c.pending = 0
		return
	}
	if c.pending != accepted.Version {
		c.pending = accepted.Version
		return
	}
	_, err := s.proposer.Run(ctx, s.config.Current().Value(), func(*control.Value) (*control.Value, error) { return nil, nil })
	if err != nil {
		s.log.Warn("read", "error", err.Error())
	}
}

// recordCopier copies the claim records of the former replica set, without which
// this replica has no vote on claims, and drops expired records.
type recordCopier struct {
	server *Server
	// epoch is the epoch whose records are being copied; started is when that
	// began.
	epoch   uint64
	started time.Time
}

// Run implements Controller.
func (c *recordCopier) Run(ctx context.Context) {
	lastExpiry := c.server.clock.Now()
	c.server.runEvery(ctx, copyInterval, func(ctx context.Context) {
		c.step(ctx)
		if now := c.server.clock.Now(); now.Sub(lastExpiry) > expireInterval {
			lastExpiry = now
			if err := c.server.store.Expire(); err != nil {
				c.server.reportError("expire", err)
			}
		}
	})
}

func (c *recordCopier) step(ctx context.Context) {
	s := c.server
	own := s.acceptor.Identify()
	if own.Epoch == 0 || s.store.Epoch() >= own.Epoch {
		return
	}
	former, ok := replicator.FormerMembers(own.Epoch, own.Value)
	if !ok {
		return
	}
	if c.epoch != own.Epoch {
		c.epoch, c.started = own.Epoch, s.clock.Now()
	}
	records, departures, ok := c.collectRecords(ctx, former, own.Epoch)
	// If a majority of the former set is lost, its records cannot be read. After
	// RetentionPeriod they have expired, so the replica goes on without them.
	if !ok && s.clock.Now().Sub(c.started) < deduplicator.RetentionPeriod {
		return
	}
	faulter.Reach(faulter.RecordsCopied)
	if err := s.departures.Add(departures...); err != nil {
		s.reportError("copy", err)
		return
	}
	if err := s.store.Complete(own.Epoch, records); err != nil {
		s.reportError("copy", err)
		return
	}
	s.log.Info("copy", "epoch", own.Epoch, "records", len(records))
}

// collectRecords reads the claim records and the departures of the former set, and reports
// whether a majority of it has answered. A member counts only if it no longer votes in the
// former epoch and had all records of that epoch.
func (c *recordCopier) collectRecords(ctx context.Context, former []*control.Member, epoch uint64) (records []*control.Record, departures []*control.Departure, majority bool) {
	replies := askAll(ctx, former, func(ctx context.Context, m *control.Member) (*control.RecordsReply, error) {
		return c.server.caller.Replica(m.Address).Records(ctx, &control.RecordsRequest{Replica: m.Identity})
	})
	complete := 0
	for _, reply := range replies {
		departures = append(departures, reply.Departures...)
		if reply.Epoch < epoch || reply.Complete+1 < epoch {
			continue
		}
		records = append(records, reply.Records...)
		complete++
	}
	return records, departures, len(former) == 0 || complete > len(former)/2
}

var errNoHistory = errors.New("the replica has none of the entries that are missing")

// auditWriter writes the audit trail, and fetches entries that this replica has
// missed from the other replicas.
type auditWriter struct{ server *Server }

// Run implements Controller.
func (c *auditWriter) Run(ctx context.Context) {
	c.server.runEvery(ctx, joinInterval, c.step)
}

func (c *auditWriter) step(ctx context.Context) {
	s := c.server
	value := s.config.Current().Value()
	if s.audit.Last() >= value.Version {
		return
	}
	gap, err := s.audit.Add(value.Changes)
	if err != nil {
		s.reportError("audit", err)
		return
	}
	if gap {
		c.fetchMissing(ctx, value)
	}
}

func (c *auditWriter) fetchMissing(ctx context.Context, value *control.Value) {
	s := c.server
	var others []*control.Member
	for _, m := range value.Replicas {
		if m.Address != s.settings.Peer {
			others = append(others, m)
		}
	}
	reply, err := askInTurn(ctx, others, func(ctx context.Context, m *control.Member) (*control.HistoryReply, error) {
		reply, err := s.caller.Peer(m.Address).History(ctx, &control.HistoryRequest{From: s.audit.Last() + 1})
		if err == nil && len(reply.Changes) == 0 {
			err = errNoHistory
		}
		return reply, err
	})
	if err != nil {
		s.log.Warn("history", "error", err.Error())
		return
	}
	if _, err := s.audit.Add(reply.Changes); err != nil {
		s.reportError("audit", err)
	}
}
