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

// PeerClient asks a witness, by instance name, for its vote.
type PeerClient interface {
	Lease(ctx context.Context, instance string, r *control.LeaseRequest) (*control.LeaseReply, error)
	// HolderVersion asks the holder of a shard in another data centre for the
	// version that it has in force; 0 when there is none.
	HolderVersion(ctx context.Context, centre, team string) uint64
	// DropTokens makes all nodes drop the tokens of a shard's former holder, and
	// tells whether all have answered.
	DropTokens(ctx context.Context, shard int) bool
	// Standby asks a possible holder, by instance name, what a deputy may do.
	Standby(ctx context.Context, instance string, r *control.StandbyRequest) (*control.StandbyReply, error)
}

// shardCount is the number of leases of a data centre. It never changes, so
// that a team has the same lease whatever version a node has in force.
const shardCount = 5

// batchBits is the part of a batch's id that counts within one life.
const batchBits = 32

// ShardOf is the part of the teams that one lease covers.
func ShardOf(team string) int {
	return int(xxhash.Sum64String(team) % shardCount)
}

// LeaseName names the lease of a shard.
func LeaseName(centre string, shard int) string { return fmt.Sprintf("%s/%d", centre, shard) }

// Holder holds the buckets of a data centre's teams while it has the lease.
type Holder struct {
	clock      timekeeper.Clock
	config     *enforcer.Enforcer
	peerClient PeerClient
	instance   string
	centre     string
	session    uint64
	log        *slog.Logger

	mu         sync.Mutex
	leases     map[int]time.Time
	retryAfter map[int]time.Time
	// free is since when the own witness would vote for this instance.
	voteFreeSince map[int]time.Time
	// versions is what the witnesses know as this holder's version: whoever
	// holds the lease later has at least that one.
	leasedVersions map[int]uint64
	// opens is when the buckets of a shard begin to fill: tokens that a former
	// holder handed out have expired by then.
	opensAt map[int]time.Time
	// confirmed tells that a majority of the witnesses of a limit that is held
	// whole knows that this instance opens the buckets of the shard.
	confirmed map[int]bool
	// deputies of a shard, by instance, since its lease began.
	deputies    map[int]map[string]*deputyRecord
	deputy      *deputy
	buckets     map[string]*bucket
	nextBatchID uint64
	// denials counts how often this instance has said that it holds no lease.
	denials uint64
	// reached is the version that each data centre is known to have in force
	// for a team.
	knownVersions map[string]uint64
}

// NewHolder makes a holder; session names this life of the process.
func NewHolder(clock timekeeper.Clock, config *enforcer.Enforcer, peerClient PeerClient, instance, centre string, session uint64, log *slog.Logger) *Holder {
	return &Holder{
		clock: clock, config: config, peerClient: peerClient, instance: instance, centre: centre, session: session, log: log,
		// Batches of a former life must not be taken for those of this one.
		nextBatchID: session << batchBits,
		leases:      map[int]time.Time{}, retryAfter: map[int]time.Time{}, voteFreeSince: map[int]time.Time{}, opensAt: map[int]time.Time{}, confirmed: map[int]bool{}, deputies: map[int]map[string]*deputyRecord{}, deputy: newDeputy(clock, config, peerClient, instance, centre, session, log), leasedVersions: map[int]uint64{}, buckets: map[string]*bucket{}, knownVersions: map[string]uint64{},
	}
}

// Run keeps leases, stands by for those of others, and learns how far other data
// centres are.
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

// HoldsLease tells whether this instance holds a lease, and gives up those that
// it is asking for: what it says stays true.
func (h *Holder) HoldsLease() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.denials++
	now := h.clock.Now()
	for _, until := range h.leases {
		if now.Before(until) {
			return true
		}
	}
	return false
}

func (h *Holder) denialCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.denials
}

// hold notes the lease, counted from when the first vote was asked for. After
// a gap, or at first, all buckets of the shard start empty, and it returns
// true.
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

// Tokens answers a node that asks for tokens.
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
		// Nobody is over a rate yet: the lease has just begun.
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

// part is what this data centre may use, given how far the others are.
func (h *Holder) allocation(c *enforcer.Config, team string) Allocation {
	var former []*control.Division
	for _, f := range c.Value().Divisions {
		if f.Team == team && h.knownVersions[f.Centre+"/"+team] < f.Until {
			former = append(former, f)
		}
	}
	return EffectiveAllocation(c.Declaration(), team, c.LimitDomain(h.centre), former)
}

// PollCentreVersions asks other data centres for their versions, as long as a
// former division stands in the way.
func (h *Holder) PollCentreVersions(ctx context.Context) {
	for _, f := range h.pendingDivisions() {
		version := h.peerClient.HolderVersion(ctx, f.Centre, f.Team)
		h.mu.Lock()
		key := f.Centre + "/" + f.Team
		h.knownVersions[key] = max(h.knownVersions[key], version)
		h.mu.Unlock()
	}
}

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
