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

// directory finds instances by service, and the holders of teams' limits.
type directory struct {
	gossip *gossiper.Gossiper
	config *enforcer.Enforcer
	caller *caller.Caller
	centre string
	clock  timekeeper.Clock
	filter targetFilter

	mu sync.Mutex
	// peakNodes is the highest number of nodes other than replicas known at a
	// time.
	peakNodes int
	// holders maps a lease to the instance that last gave a final answer, usually
	// its holder.
	holders map[string]string
	// unresponsive maps a witness to the time of its last request without an
	// answer.
	unresponsive map[string]time.Time
}

var errUnknownInstance = errors.New("instance is not known")

// targets lists the targets of a service that accept new requests and are not in a
// drained data centre.
func (d *directory) targets(service string) []*control.Entry {
	return d.filter.filter(service, d.gossip.ServiceMembers(service), d.config.Current())
}

// drainedCentres returns the data centres of a service's targets if all of them are in
// drained ones, and nil otherwise.
func (d *directory) drainedCentres(service string) []string {
	if len(d.config.Current().Drains()) == 0 || len(d.targets(service)) > 0 {
		return nil
	}
	var centres []string
	for _, e := range d.gossip.ServiceMembers(service) {
		centres = append(centres, e.Centre)
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// peakNodeCount is the highest number of nodes other than replicas known at a
// time, at least 1. Budgets of the fleet are divided by it, so nodes that are
// unreachable now must count.
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

// HolderVersion implements limiter.PeerClient. It asks for a loan of no tokens, to
// which only a holder, never a deputy, replies with its version.
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

// RequestTokens implements limiter.Holders. It asks the witnesses in the order of
// rankWitnesses until one gives a final answer. Otherwise it returns the last
// answer of a witness that had no tokens left. Without one, the answer is Absent; it
// carries the wait that a holder asked for if its lease has just begun.
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
	// witnessTimeout bounds the request to one witness, so that time is left to ask
	// the others when it does not answer.
	witnessTimeout = 80 * time.Millisecond
	// unresponsiveTTL is how long a witness that did not answer is asked last.
	unresponsiveTTL = 2 * time.Second
)

func (d *directory) askWitness(ctx context.Context, address string, r *control.TokensRequest) (*control.TokensReply, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return d.caller.Peer(address).Tokens(ctx, r)
}

// markUnresponsive records that a witness did not answer, and that it may no
// longer hold the lease.
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

// rankWitnesses lists the witnesses in the order to ask them: the likely holder,
// the witnesses in this data centre, which a partition between data centres
// leaves reachable, the others, and last those that did not answer recently.
// Witnesses other than the holder may be deputies, which grant tokens while the
// holder is unreachable.
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
	// The order rotates by shard, so that one deputy does not get the requests for
	// all shards.
	list := append(slices.Clone(witnesses[shard%len(witnesses):]), witnesses[:shard%len(witnesses)]...)
	slices.SortStableFunc(list, func(a, b string) int { return rank(a) - rank(b) })
	return list
}
