package limiter

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Voters asks a witness, by instance name, for its vote.
type Voters interface {
	Lease(ctx context.Context, instance string, r *control.LeaseRequest) (*control.LeaseReply, error)
	// HolderVersion asks the holder of a shard in another data centre for the
	// version that it has in force; 0 when there is none.
	HolderVersion(ctx context.Context, centre, team string) uint64
	// Holdings asks all nodes what they hold of a shard, and counts those that
	// do not answer.
	Holdings(ctx context.Context, shard int) (statements []Statement, silent int)
	// Nodes counts the nodes that may ask for grants.
	Nodes() int
}

// shardCount is the number of leases of a data centre. It never changes, so
// that a team has the same lease whatever version a node has in force.
const shardCount = 5

// batchBits is the part of a batch's id that counts within one life.
const batchBits = 32

// Shard is the part of the teams that one lease covers.
func Shard(team string) int {
	return int(xxhash.Sum64String(team) % shardCount)
}

// LeaseName names the lease of a shard.
func LeaseName(centre string, shard int) string { return fmt.Sprintf("%s/%d", centre, shard) }

// Holder holds the buckets of a data centre's teams while it has the lease.
type Holder struct {
	clock    timekeeper.Clock
	config   *enforcer.Enforcer
	voters   Voters
	instance string
	centre   string
	session  uint64

	mu      sync.Mutex
	leases  map[int]time.Time
	retries map[int]time.Time
	// versions is what the witnesses know as this holder's version: whoever
	// holds the lease later has at least that one.
	versions map[int]uint64
	// opens is when the buckets of a shard begin to fill: tokens that a former
	// holder handed out have expired by then.
	opens map[int]time.Time
	// inherited is what is known of the grants of a shard's former holder.
	inherited map[int]*inheritance
	buckets   map[string]*bucket
	nextID    uint64
	// denials counts how often this instance has said that it holds no lease.
	denials uint64
	// reached is the version that each data centre is known to have in force
	// for a team.
	reached map[string]uint64
}

// NewHolder makes a holder; session names this life of the process.
func NewHolder(clock timekeeper.Clock, config *enforcer.Enforcer, voters Voters, instance, centre string, session uint64) *Holder {
	return &Holder{
		clock: clock, config: config, voters: voters, instance: instance, centre: centre, session: session,
		// Batches of a former life must not be taken for those of this one.
		nextID: session << batchBits,
		leases: map[int]time.Time{}, retries: map[int]time.Time{}, opens: map[int]time.Time{}, inherited: map[int]*inheritance{}, versions: map[int]uint64{}, buckets: map[string]*bucket{}, reached: map[string]uint64{},
	}
}

// Run keeps leases and learns how far other data centres are.
func (h *Holder) Run(ctx context.Context) { h.loop(ctx) }

func (h *Holder) loop(ctx context.Context) {
	for {
		h.Renew(ctx)
		h.LearnReached(ctx)
		select {
		case <-ctx.Done():
			return
		case <-h.clock.After(renewPeriod):
		}
	}
}

// Renew asks for the leases that this instance holds or should try to hold.
func (h *Holder) Renew(ctx context.Context) {
	c := h.config.Current()
	witnesses := c.Witnesses(c.Domain(h.centre))
	rank := slices.Index(witnesses, h.instance)
	if rank < 0 {
		return
	}
	var group sync.WaitGroup
	for shard := range shardCount {
		n := &renewal{holder: h, shard: shard, witnesses: witnesses, config: c, rank: rank, group: &group}
		group.Add(1)
		go n.run(ctx)
	}
	group.Wait()
}

// renewal is the renewal of one lease. Leases are renewed side by side, so that
// a witness that does not answer holds up none of them.
type renewal struct {
	holder    *Holder
	shard     int
	witnesses []string
	config    *enforcer.Config
	rank      int
	group     *sync.WaitGroup
}

func (n *renewal) run(ctx context.Context) {
	defer n.group.Done()
	n.holder.renewShard(ctx, n.shard, n.witnesses, n.config, n.rank)
}

// renewShard tries for a lease. A witness that is not preferred tries only
// when its own vote is free, and one that failed pauses until its votes have
// run out, each rank for a different time, so that rivals do not block each
// other.
func (h *Holder) renewShard(ctx context.Context, shard int, witnesses []string, c *enforcer.Config, rank int) {
	version := c.Version()
	sent := h.clock.Now()
	request := &control.LeaseRequest{Name: LeaseName(c.Domain(h.centre), shard), Instance: h.instance, Version: version, Session: h.session}
	if !h.holdsShard(shard) {
		if sent.Before(h.retryAt(shard)) {
			return
		}
		reply, err := h.voters.Lease(ctx, h.instance, request)
		if shard%len(witnesses) != rank && (err != nil || !reply.Granted) {
			return
		}
	}
	denials := h.denied()
	if h.countVotes(ctx, witnesses, request) > len(witnesses)/2 && h.denied() == denials {
		if h.hold(shard, sent, version) && c.Domain(h.centre) == "" {
			h.inherit(ctx, shard)
		}
		return
	}
	h.mu.Lock()
	h.retries[shard] = h.clock.Now().Add(leaseTerm + time.Duration(rank)*renewPeriod)
	h.mu.Unlock()
}

func (h *Holder) retryAt(shard int) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retries[shard]
}

// ballot is one vote being asked for.
type ballot struct {
	voters  Voters
	witness string
	request *control.LeaseRequest
	granted chan bool
}

func (b *ballot) run(ctx context.Context) {
	reply, err := b.voters.Lease(ctx, b.witness, b.request)
	b.granted <- err == nil && reply.Granted
}

func (h *Holder) countVotes(ctx context.Context, witnesses []string, request *control.LeaseRequest) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	granted := make(chan bool, len(witnesses))
	for _, w := range witnesses {
		b := &ballot{voters: h.voters, witness: w, request: request, granted: granted}
		go b.run(ctx)
	}
	count := 0
	for range witnesses {
		if <-granted {
			count++
		}
		if count > len(witnesses)/2 {
			break
		}
	}
	return count
}

// Holding tells whether this instance holds a lease, and gives up those that
// it is asking for: what it says stays true.
func (h *Holder) Holding() bool {
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

func (h *Holder) denied() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.denials
}

// hold notes the lease, counted from when the first vote was asked for. After
// a gap, or at first, all buckets of the shard start empty, and it returns
// true.
func (h *Holder) hold(shard int, sent time.Time, version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	fresh := !now.Before(h.leases[shard])
	if fresh {
		h.dropShard(shard)
		h.opens[shard] = now.Add(term + drift)
		// Until nodes have been asked, any of them may hold anything.
		h.inherited[shard] = &inheritance{silent: 1, nodes: 1, until: now.Add(hold + drift)}
	}
	h.leases[shard] = sent.Add(leaseTerm - leaseDrift)
	h.versions[shard] = version
	return fresh
}

// inherit asks all nodes what they hold from former holders of a shard.
func (h *Holder) inherit(ctx context.Context, shard int) {
	statements, silent := h.voters.Holdings(ctx, shard)
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.inherited[shard]
	i.statements, i.silent, i.nodes = statements, silent, len(statements)+silent
	if silent == 0 && i.nodes > 0 {
		// Nodes drop the batches of former holders when they are asked.
		h.opens[shard] = h.clock.Now()
	}
	// Buckets that were made meanwhile took the worst for granted.
	h.dropShard(shard)
}

func (h *Holder) dropShard(shard int) {
	for team := range h.buckets {
		if Shard(team) == shard {
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
	if !now.Before(h.leases[Shard(r.Team)]) {
		return &control.TokensReply{Absent: true}
	}
	// Divided limits are small and lent between data centres; only a limit that
	// is held whole is granted to nodes.
	granting := c.Domain(h.centre) == ""
	if opens := h.opens[Shard(r.Team)]; now.Before(opens) && r.Held == 0 {
		// Nobody is over a rate yet: the lease has just begun.
		return &control.TokensReply{Absent: true, Wait: uint32(opens.Sub(now).Milliseconds()) + 1}
	}
	b, ok := h.buckets[r.Team]
	if !ok {
		b = newBucket(h.opens[Shard(r.Team)], h.part(c, r.Team))
		if granting {
			h.inherited[Shard(r.Team)].apply(b, r.Team)
			b.granted = b.grantedNow(now)
		}
		h.buckets[r.Team] = b
	}
	b.refill(now, h.part(c, r.Team))
	b.report(r.Spent)
	if granting {
		b.level = math.Max(0, math.Min(b.level+math.Max(r.Returned, 0), b.room()))
	}
	h.nextID++
	var rate float64
	var holdFor time.Duration
	if granting && (r.Demand > 0 || r.Held > 0) {
		holdFor = hold
		rate = b.grant(now, r, h.voters.Nodes())
		b.granted = math.Max(b.granted, b.grantedNow(now))
	}
	given := b.give(now, h.nextID, r.Count, r.Loan)
	reply := &control.TokensReply{
		Count: given, Term: uint32(term.Milliseconds()), Batch: h.nextID,
		Holder: h.instance, Version: h.versions[Shard(r.Team)],
		Rate: rate, Hold: uint32(holdFor.Milliseconds()),
	}
	if given == 0 {
		reply.Wait = uint32(b.wait().Milliseconds())
	}
	return reply
}

// part is what this data centre may use, given how far the others are.
func (h *Holder) part(c *enforcer.Config, team string) Part {
	var former []*control.Division
	for _, f := range c.Value().Divisions {
		if f.Team == team && h.reached[f.Centre+"/"+team] < f.Until {
			former = append(former, f)
		}
	}
	return Effective(c.Declaration(), team, c.Domain(h.centre), former)
}

// LearnReached asks other data centres for their versions, as long as a
// former division stands in the way.
func (h *Holder) LearnReached(ctx context.Context) {
	for _, f := range h.pending() {
		version := h.voters.HolderVersion(ctx, f.Centre, f.Team)
		h.mu.Lock()
		key := f.Centre + "/" + f.Team
		h.reached[key] = max(h.reached[key], version)
		h.mu.Unlock()
	}
}

func (h *Holder) pending() []*control.Division {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var list []*control.Division
	for _, f := range h.config.Current().Value().Divisions {
		held := now.Before(h.leases[Shard(f.Team)])
		if held && f.Centre != h.centre && h.reached[f.Centre+"/"+f.Team] < f.Until {
			list = append(list, f)
		}
	}
	return list
}
