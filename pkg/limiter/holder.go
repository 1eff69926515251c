package limiter

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// PeerClient sends a holder's and a deputy's requests to other nodes.
type PeerClient interface {
	// Lease asks a witness, by instance name, for its vote.
	Lease(ctx context.Context, instance string, r *control.LeaseRequest) (*control.LeaseReply, error)
	// HolderVersion asks the holder of a team's shard in another data centre for
	// the version that it has in force; 0 when no holder answers.
	HolderVersion(ctx context.Context, centre, team string) uint64
	// DropTokens makes all nodes drop the tokens that a shard's former holder
	// granted, and reports whether all have answered.
	DropTokens(ctx context.Context, shard int) bool
	// Standby sends a deputy's request to a possible holder, by instance name.
	Standby(ctx context.Context, instance string, r *control.StandbyRequest) (*control.StandbyReply, error)
}

// shardCount is the number of shards, each with a lease of its own, in a data
// centre. It never changes, so that a team belongs to the same shard whatever
// version a node has in force.
const shardCount = 5

// batchBits is the number of low bits of a batch id that count the batches of
// one run of the process; the high bits come from the session.
const batchBits = 32

// ShardOf returns the shard of a team. One lease covers all teams of a shard.
func ShardOf(team string) int {
	return int(xxhash.Sum64String(team) % shardCount)
}

// LeaseName returns the name of a shard's lease.
func LeaseName(centre string, shard int) string { return fmt.Sprintf("%s/%d", centre, shard) }

// Holder grants tokens from the buckets of a data centre's teams, or of the whole
// fleet's, for the shards whose lease it has.
type Holder struct {
	clock      timekeeper.Clock
	config     *enforcer.Enforcer
	peerClient PeerClient
	instance   string
	centre     string
	session    uint64
	log        *slog.Logger

	mu sync.Mutex
	// leases is, by shard, when the lease of this instance expires.
	leases map[int]time.Time
	// retryAfter is, by shard, when to try again after a rival won votes.
	retryAfter map[int]time.Time
	// voteFreeSince is since when the witness of this instance would vote for it.
	voteFreeSince map[int]time.Time
	// leasedVersions is, by shard, the version with which the lease was obtained
	// or last renewed. The witnesses remember it, so every later holder has at
	// least that version.
	leasedVersions map[int]uint64
	// opensAt is when the buckets of a shard begin to fill: when the tokens that
	// a former holder granted have expired, or all nodes have dropped them.
	opensAt map[int]time.Time
	// confirmed means that a majority of the witnesses of a fleet-wide limit
	// knows this instance as the one that opens the buckets of the shard.
	confirmed map[int]bool
	// deputies of a shard, by instance name, since its lease began.
	deputies    map[int]map[string]*deputyRecord
	deputy      *deputy
	buckets     map[string]*bucket
	nextBatchID uint64
	// leaseChecks counts the calls of HoldsLease.
	leaseChecks uint64
	// knownVersions is the version that a data centre is known to have in force
	// for a team, by "centre/team".
	knownVersions map[string]uint64
}

// NewHolder returns a holder without leases; session identifies this run of the
// process.
func NewHolder(clock timekeeper.Clock, config *enforcer.Enforcer, peerClient PeerClient, instance, centre string, session uint64, log *slog.Logger) *Holder {
	return &Holder{
		clock: clock, config: config, peerClient: peerClient, instance: instance, centre: centre, session: session, log: log,
		// Batch ids of an earlier run must not recur in this one.
		nextBatchID: session << batchBits,
		leases:      map[int]time.Time{}, retryAfter: map[int]time.Time{}, voteFreeSince: map[int]time.Time{}, opensAt: map[int]time.Time{}, confirmed: map[int]bool{}, deputies: map[int]map[string]*deputyRecord{}, deputy: newDeputy(clock, config, peerClient, instance, centre, session, log), leasedVersions: map[int]uint64{}, buckets: map[string]*bucket{}, knownVersions: map[string]uint64{},
	}
}

// Run renews leases, polls other holders as their deputy, and asks other data
// centres for their versions, until the context ends.
func (h *Holder) Run(ctx context.Context) {
	go h.deputy.run(ctx)
	h.loop(ctx)
}

func (h *Holder) loop(ctx context.Context) {
	for {
		h.Renew(ctx)
		h.PollCentreVersions(ctx)
		select {
		case <-ctx.Done():
			return
		case <-h.clock.After(renewInterval):
		}
	}
}

// HoldsLease reports whether this instance holds a lease. It also makes the
// instance discard the votes of all rounds in progress, so that none of them
// contradicts an answer of false: a later lease comes from votes requested later.
func (h *Holder) HoldsLease() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseChecks++
	now := h.clock.Now()
	for _, until := range h.leases {
		if now.Before(until) {
			return true
		}
	}
	return false
}

func (h *Holder) leaseCheckCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaseChecks
}

// recordLease records a lease, which counts from when the first vote was
// requested. If the lease is new or had expired, all buckets of the shard start
// empty and it returns true.
func (h *Holder) recordLease(shard int, sent time.Time, version uint64, former string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	isNew := !now.Before(h.leases[shard])
	if isNew {
		h.dropBuckets(shard)
		h.opensAt[shard] = now.Add(tokenTTL + maxDrift)
		h.confirmed[shard] = false
		h.deputies[shard] = h.inheritDeputies(now, former)
		h.deputy.dropShard(shard)
		h.log.Info("hold", "shard", shard, "version", version, "former", former, "opens", h.opensAt[shard].Sub(now))
	}
	h.leases[shard] = sent.Add(leaseTTL - maxLeaseDrift)
	h.leasedVersions[shard] = version
	return isNew
}

func (h *Holder) dropBuckets(shard int) {
	for team := range h.buckets {
		if ShardOf(team) == shard {
			delete(h.buckets, team)
		}
	}
}

func (h *Holder) holdsShard(shard int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now().Before(h.leases[shard])
}

// Tokens answers a token request. A node without the lease answers as a deputy if
// it is one.
func (h *Holder) Tokens(r *control.TokensRequest) *control.TokensReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	c := h.config.Current()
	if !now.Before(h.leases[ShardOf(r.Team)]) {
		if r.Loan || !isFleetWitness(c, h.centre, h.instance) {
			return &control.TokensReply{Absent: true}
		}
		h.nextBatchID++
		return h.deputy.tokens(now, c, r, h.nextBatchID)
	}
	if closedFor := h.closedFor(now, ShardOf(r.Team), c.LimitDomain(h.centre) == ""); closedFor > 0 {
		// The lease has just begun: the team is not over its rate, its bucket is
		// only not open yet.
		return &control.TokensReply{Absent: true, Wait: uint32(closedFor.Milliseconds()) + 1}
	}
	b, ok := h.buckets[r.Team]
	if !ok {
		b = newBucket(h.opensAt[ShardOf(r.Team)], h.allocation(c, r.Team), h.deputies[ShardOf(r.Team)])
		h.buckets[r.Team] = b
	}
	b.replenish(now, h.allocation(c, r.Team))
	b.applyReports(r.Spent)
	h.nextBatchID++
	granted := b.grant(now, h.nextBatchID, r.Count, r.Loan)
	reply := &control.TokensReply{
		Count: granted, Term: uint32(tokenTTL.Milliseconds()), Batch: h.nextBatchID,
		Holder: h.instance, Version: h.leasedVersions[ShardOf(r.Team)],
	}
	if granted == 0 {
		reply.Wait = uint32(b.retryDelay().Milliseconds())
		reply.Elsewhere = r.Count > 0 && !r.Loan && b.deputiesActive(now)
	}
	return reply
}

// allocation returns what this data centre may use, given the versions that the
// other data centres are known to have in force.
func (h *Holder) allocation(c *enforcer.Config, team string) Allocation {
	var former []*control.Division
	for _, f := range c.Value().Divisions {
		if f.Team == team && h.knownVersions[f.Centre+"/"+team] < f.Until {
			former = append(former, f)
		}
	}
	return EffectiveAllocation(c.Declaration(), team, c.LimitDomain(h.centre), former)
}

// PollCentreVersions asks other data centres for their versions as long as their
// former allocations limit this one.
func (h *Holder) PollCentreVersions(ctx context.Context) {
	for _, f := range h.pendingDivisions() {
		version := h.peerClient.HolderVersion(ctx, f.Centre, f.Team)
		h.mu.Lock()
		key := f.Centre + "/" + f.Team
		h.knownVersions[key] = max(h.knownVersions[key], version)
		h.mu.Unlock()
	}
}

// pendingDivisions lists the former allocations of other data centres that still
// limit a shard held by this instance.
func (h *Holder) pendingDivisions() []*control.Division {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var list []*control.Division
	for _, f := range h.config.Current().Value().Divisions {
		held := now.Before(h.leases[ShardOf(f.Team)])
		if held && f.Centre != h.centre && h.knownVersions[f.Centre+"/"+f.Team] < f.Until {
			list = append(list, f)
		}
	}
	return list
}
