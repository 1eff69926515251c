package limiter

import (
	"context"
	"fmt"
	"log/slog"
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
	// Forget makes all nodes drop the tokens of a shard's former holder, and
	// tells whether all have answered.
	Forget(ctx context.Context, shard int) bool
	// Standby asks a possible holder, by instance name, what a deputy may do.
	Standby(ctx context.Context, instance string, r *control.StandbyRequest) (*control.StandbyReply, error)
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
	log      *slog.Logger

	mu      sync.Mutex
	leases  map[int]time.Time
	retries map[int]time.Time
	// free is since when the own witness would vote for this instance.
	free map[int]time.Time
	// versions is what the witnesses know as this holder's version: whoever
	// holds the lease later has at least that one.
	versions map[int]uint64
	// opens is when the buckets of a shard begin to fill: tokens that a former
	// holder handed out have expired by then.
	opens map[int]time.Time
	// confirmed tells that a majority of the witnesses of a limit that is held
	// whole knows that this instance opens the buckets of the shard.
	confirmed map[int]bool
	// deputies of a shard, by instance, since its lease began.
	deputies map[int]map[string]*contact
	deputy   *deputy
	buckets  map[string]*bucket
	nextID   uint64
	// denials counts how often this instance has said that it holds no lease.
	denials uint64
	// reached is the version that each data centre is known to have in force
	// for a team.
	reached map[string]uint64
}

// NewHolder makes a holder; session names this life of the process.
func NewHolder(clock timekeeper.Clock, config *enforcer.Enforcer, voters Voters, instance, centre string, session uint64, log *slog.Logger) *Holder {
	return &Holder{
		clock: clock, config: config, voters: voters, instance: instance, centre: centre, session: session, log: log,
		// Batches of a former life must not be taken for those of this one.
		nextID: session << batchBits,
		leases: map[int]time.Time{}, retries: map[int]time.Time{}, free: map[int]time.Time{}, opens: map[int]time.Time{}, confirmed: map[int]bool{}, deputies: map[int]map[string]*contact{}, deputy: newDeputy(clock, config, voters, instance, centre, session, log), versions: map[int]uint64{}, buckets: map[string]*bucket{}, reached: map[string]uint64{},
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

// candidateGap is by how much longer than the one before it a candidate for a
// lease waits: a round of votes, so that candidates do not split them.
const candidateGap = renewPeriod / 2

// mayTry tells whether it is this instance's turn to try for a lease. The
// preferred witness may at once, the others when their own vote has been free
// for longer by their distance from it.
func (h *Holder) mayTry(ctx context.Context, shard, distance int, request *control.LeaseRequest) bool {
	if distance == 0 {
		return true
	}
	reply, err := h.voters.Lease(ctx, h.instance, &control.LeaseRequest{
		Name: request.Name, Instance: request.Instance, Version: request.Version, Session: request.Session, Peek: true,
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || !reply.Granted {
		delete(h.free, shard)
		return false
	}
	now := h.clock.Now()
	since, ok := h.free[shard]
	if !ok {
		since = now
		h.free[shard] = now
	}
	return now.Sub(since) >= time.Duration(distance)*candidateGap
}

// renewShard tries for a lease. A witness that is not preferred tries only
// when its own vote is free, and one that failed because of a rival pauses until
// its votes have run out, each rank for a different time, so that rivals do not
// block each other.
func (h *Holder) renewShard(ctx context.Context, shard int, witnesses []string, c *enforcer.Config, rank int) {
	version := c.Version()
	sent := h.clock.Now()
	request := &control.LeaseRequest{Name: LeaseName(c.Domain(h.centre), shard), Instance: h.instance, Version: version, Session: h.session}
	request.Open = h.holdsShard(shard)
	if !request.Open {
		if sent.Before(h.retryAt(shard)) {
			return
		}
		if !h.mayTry(ctx, shard, (rank-shard%len(witnesses)+len(witnesses))%len(witnesses), request) {
			return
		}
	}
	denials := h.denied()
	votes, former, rival := h.countVotes(ctx, witnesses, request)
	if votes > len(witnesses)/2 && h.denied() == denials {
		switch {
		case h.hold(shard, sent, version, former) && c.Domain(h.centre) == "":
			h.open(ctx, shard, witnesses, request)
		case request.Open:
			h.confirm(shard)
			h.forget(ctx, shard)
		}
		return
	}
	if request.Open {
		h.log.Warn("hold_doubted", "shard", shard, "votes", votes, "witnesses", len(witnesses))
	}
	if !rival {
		// Witnesses that abstain yet, or were not reached, may vote at the next
		// try; the votes that were given are for this holder.
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
	replies chan *control.LeaseReply
}

func (b *ballot) run(ctx context.Context) {
	reply, err := b.voters.Lease(ctx, b.witness, b.request)
	if err != nil {
		reply = &control.LeaseReply{}
	}
	b.replies <- reply
}

// countVotes counts until there is a majority. former is the instance that all
// of these know as the last one that opened buckets, if they agree: no other can
// have done so since, as it would have told a majority before. rival tells that a
// vote was refused in favour of another instance.
func (h *Holder) countVotes(ctx context.Context, witnesses []string, request *control.LeaseRequest) (count int, former string, rival bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *control.LeaseReply, len(witnesses))
	for _, w := range witnesses {
		b := &ballot{voters: h.voters, witness: w, request: request, replies: replies}
		go b.run(ctx)
	}
	for range witnesses {
		reply := <-replies
		if !reply.Granted {
			rival = rival || reply.Holder != "" && reply.Holder != h.instance
			continue
		}
		if count++; count == 1 {
			former = reply.Former
		}
		if reply.Former != former {
			former = ""
		}
		if count > len(witnesses)/2 {
			break
		}
	}
	return count, former, rival
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
func (h *Holder) hold(shard int, sent time.Time, version uint64, former string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	fresh := !now.Before(h.leases[shard])
	if fresh {
		h.dropShard(shard)
		h.opens[shard] = now.Add(term + drift)
		h.confirmed[shard] = false
		h.deputies[shard] = h.inherit(now, former)
		h.deputy.resign(shard)
		h.log.Info("hold", "shard", shard, "version", version, "former", former, "opens", h.opens[shard].Sub(now))
	}
	h.leases[shard] = sent.Add(leaseTerm - leaseDrift)
	h.versions[shard] = version
	return fresh
}

// inherit lists the deputies of a limit that is held whole. Until they have been
// in touch, all of them may be handing out tokens for the former holder, but for
// that one itself.
func (h *Holder) inherit(now time.Time, former string) map[string]*contact {
	deputies := map[string]*contact{}
	c := h.config.Current()
	if !deputized(c, h.centre, h.instance) {
		return deputies
	}
	for _, w := range c.Witnesses("") {
		switch w {
		case h.instance:
		case former:
			deputies[w] = newContact()
		default:
			deputies[w] = inheritContact(now.Add(standbyHold+drift), deputyPart(c))
		}
	}
	return deputies
}

// deputyPart is the part of a team's rate that each deputy stands by with.
func deputyPart(c *enforcer.Config) float64 {
	return 1 / float64(max(1, len(c.Witnesses(""))-1))
}

// open lets the buckets of a shard fill at once, when no node has tokens of a
// former holder any more.
func (h *Holder) open(ctx context.Context, shard int, witnesses []string, r *control.LeaseRequest) {
	if votes, _, _ := h.countVotes(ctx, witnesses, &control.LeaseRequest{Name: r.Name, Instance: r.Instance, Version: r.Version, Session: r.Session, Open: true}); votes > len(witnesses)/2 {
		h.confirm(shard)
	}
	h.forget(ctx, shard)
}

// forget opens the buckets of a shard that are still closed if all nodes drop the
// tokens of a former holder. Nodes that do not answer yet, as after a start of
// all, are asked again with the next renewal.
func (h *Holder) forget(ctx context.Context, shard int) {
	if !h.isClosed(shard) || !h.voters.Forget(ctx, shard) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.clock.Now(); now.Before(h.opens[shard]) {
		h.opens[shard] = now
		h.log.Info("hold_open", "shard", shard)
	}
}

func (h *Holder) isClosed(shard int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now().Before(h.opens[shard])
}

// confirm notes that a majority of the witnesses knows that this instance opens
// its buckets.
func (h *Holder) confirm(shard int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed[shard] {
		h.log.Info("hold_confirmed", "shard", shard)
	}
	h.confirmed[shard] = true
}

// closed is how long the buckets of a shard stay closed; 0 when they are open.
func (h *Holder) closed(now time.Time, shard int, whole bool) time.Duration {
	if now.Before(h.opens[shard]) {
		return h.opens[shard].Sub(now)
	}
	if whole && !h.confirmed[shard] {
		return renewPeriod
	}
	return 0
}

// Standby answers a deputy.
func (h *Holder) Standby(r *control.StandbyRequest) *control.StandbyReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	c := h.config.Current()
	reply := &control.StandbyReply{Session: h.session}
	if !deputized(c, h.centre, h.instance) {
		return reply
	}
	// A deputy goes by its own version of the limits.
	grants := slices.Contains(c.Witnesses(""), r.Instance) && r.Version <= c.Version()
	if grants {
		reply.Hold, reply.Part = uint32(standbyHold.Milliseconds()), deputyPart(c)
	}
	for shard, until := range h.leases {
		if !now.Before(until) || h.closed(now, shard, true) > 0 {
			continue
		}
		if h.contact(now, c, shard, r, grants) {
			reply.Shards = append(reply.Shards, uint32(shard))
		}
	}
	return reply
}

// contact notes that a deputy of a shard was in touch.
func (h *Holder) contact(now time.Time, c *enforcer.Config, shard int, r *control.StandbyRequest, grants bool) bool {
	k, ok := h.deputies[shard][r.Instance]
	if !ok {
		k = inheritContact(now.Add(standbyHold+drift), deputyPart(c))
		h.deputies[shard][r.Instance] = k
	}
	if k.former[r.Session] {
		return false
	}
	if k.session != r.Session {
		// What its former life used it can no longer say.
		h.settle(now, c, shard, r.Instance, now, false)
		k.restart(now, r.Session)
	}
	if base, ok := k.receive(now, r, h.session); ok {
		h.settle(now, c, shard, r.Instance, base, !k.inherited)
		k.advance(now, base)
	}
	if grants {
		k.grant(now, deputyPart(c))
	}
	return true
}

// settle corrects the buckets of a shard by what a deputy said that it used.
func (h *Holder) settle(now time.Time, c *enforcer.Config, shard int, instance string, base time.Time, said bool) {
	k := h.deputies[shard][instance]
	for team, b := range h.buckets {
		if Shard(team) == shard {
			b.refill(now, h.part(c, team))
			b.settle(instance, k.totals[team]-k.settled[team], said, base.Add(standbyDelay-drift))
		}
	}
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
		if r.Loan || !deputized(c, h.centre, h.instance) {
			return &control.TokensReply{Absent: true}
		}
		h.nextID++
		return h.deputy.tokens(now, c, r, h.nextID)
	}
	if closed := h.closed(now, Shard(r.Team), c.Domain(h.centre) == ""); closed > 0 {
		// Nobody is over a rate yet: the lease has just begun.
		return &control.TokensReply{Absent: true, Wait: uint32(closed.Milliseconds()) + 1}
	}
	b, ok := h.buckets[r.Team]
	if !ok {
		b = newBucket(h.opens[Shard(r.Team)], h.part(c, r.Team), h.deputies[Shard(r.Team)])
		h.buckets[r.Team] = b
	}
	b.refill(now, h.part(c, r.Team))
	b.report(r.Spent)
	h.nextID++
	given := b.give(now, h.nextID, r.Count, r.Loan)
	reply := &control.TokensReply{
		Count: given, Term: uint32(term.Milliseconds()), Batch: h.nextID,
		Holder: h.instance, Version: h.versions[Shard(r.Team)],
	}
	if given == 0 {
		reply.Wait = uint32(b.wait().Milliseconds())
		reply.Elsewhere = r.Count > 0 && !r.Loan && b.isSplit(now)
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
