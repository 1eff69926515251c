package server

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/caller"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// directory finds instances by service and holders by team.
type directory struct {
	gossip *gossiper.Gossiper
	config *enforcer.Enforcer
	caller *caller.Caller
	centre string
	clock  timekeeper.Clock

	mu sync.Mutex
	// most is the highest number of targets seen at a time.
	peakNodes int
	// holders remembers who last held a shard, by the name of its lease.
	holders map[string]string
	// doubted witnesses did not answer, and when.
	unresponsive map[string]time.Time
}

var errUnknownInstance = errors.New("instance is not known")

// targets lists the targets of a service that take new work.
func (d *directory) targets(service string) []*control.Entry { return d.gossip.ServiceMembers(service) }

// size is how many nodes stand beside targets, those out of reach included.
func (d *directory) peakNodeCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peakNodes = max(d.peakNodes, d.gossip.NonReplicaCount(), 1)
	return d.peakNodes
}

// Lease implements limiter.PeerClient.
func (d *directory) Lease(ctx context.Context, instance string, r *control.LeaseRequest) (*control.LeaseReply, error) {
	e := d.gossip.Member(instance)
	if e == nil {
		return nil, errUnknownInstance
	}
	return d.caller.Peer(e.Address).Lease(ctx, r)
}

// HolderVersion implements limiter.PeerClient.
func (d *directory) HolderVersion(ctx context.Context, centre, team string) uint64 {
	reply, err := d.RequestTokens(ctx, centre, &control.TokensRequest{Centre: d.centre, Team: team, Loan: true})
	if err != nil || reply.Absent {
		return 0
	}
	return reply.Version
}

// OtherCentres implements limiter.Holders.
func (d *directory) OtherCentres(string) []string {
	var centres []string
	for centre := range d.config.Current().Declaration().Centres {
		if centre != d.centre {
			centres = append(centres, centre)
		}
	}
	return centres
}

// RequestTokens implements limiter.Holders: it tries the last known holder of the
// team's shard first, then every witness.
func (d *directory) RequestTokens(ctx context.Context, centre string, r *control.TokensRequest) (*control.TokensReply, error) {
	c := d.config.Current()
	if centre == "" {
		centre = c.LimitDomain(d.centre)
	}
	witnesses := c.Witnesses(centre)
	shard := limiter.ShardOf(r.Team)
	lease := limiter.LeaseName(centre, shard)
	var empty *control.TokensReply
	absent := &control.TokensReply{Absent: true}
	for _, instance := range d.rankWitnesses(lease, shard, witnesses) {
		e := d.gossip.Member(instance)
		if e == nil || e.State == control.State_STATE_DEAD {
			continue
		}
		reply, err := d.askWitness(ctx, e.Address, r)
		if err == nil && limiter.IsFinal(reply) {
			d.rememberHolder(lease, instance)
			return reply, nil
		}
		if err == nil && !reply.Absent {
			empty = reply
		}
		if err == nil && reply.Wait > 0 {
			absent = reply
		}
		if err != nil {
			d.markUnresponsive(lease, instance)
		}
	}
	if empty != nil {
		return empty, nil
	}
	return absent, nil
}

const (
	// oneTimeout bounds the question to one witness, so that one that is silent
	// leaves time for the others.
	witnessTimeout = 80 * time.Millisecond
	// doubtTime is how long a witness that did not answer is asked last.
	unresponsiveTTL = 2 * time.Second
)

func (d *directory) askWitness(ctx context.Context, address string, r *control.TokensRequest) (*control.TokensReply, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return d.caller.Peer(address).Tokens(ctx, r)
}

// doubt notes that a witness did not answer, and that it may no longer hold
// what it was known to hold.
func (d *directory) markUnresponsive(lease, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holders[lease] == instance {
		delete(d.holders, lease)
	}
	d.unresponsive[instance] = d.clock.Now()
}

func (d *directory) rememberHolder(lease, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holders[lease] = instance
}

// order lists the witnesses, the likely holder first, then the deputy in the own
// data centre, which a cut leaves in reach.
func (d *directory) rankWitnesses(lease string, shard int, witnesses []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(witnesses) == 0 {
		return nil
	}
	likely, ok := d.holders[lease]
	if !ok {
		likely = witnesses[shard%len(witnesses)]
	}
	now := d.clock.Now()
	rank := func(w string) int {
		e := d.gossip.Member(w)
		at, unresponsive := d.unresponsive[w]
		switch {
		case unresponsive && now.Sub(at) < unresponsiveTTL:
			return 3
		case w == likely:
			return 0
		case e != nil && e.Centre == d.centre:
			return 1
		}
		return 2
	}
	// Each shard begins with another witness, so that one deputy is not asked
	// for all.
	list := append(slices.Clone(witnesses[shard%len(witnesses):]), witnesses[:shard%len(witnesses)]...)
	slices.SortStableFunc(list, func(a, b string) int { return rank(a) - rank(b) })
	return list
}
