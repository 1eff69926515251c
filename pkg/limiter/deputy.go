package limiter

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// standbyPoll is the time between two requests of a deputy to a holder.
	standbyPollInterval = 100 * time.Millisecond
	// standbyDelay is how long a deputy waits after the last reply of a holder
	// before it hands out tokens in its place: two polls and their way, so that
	// a holder in reach never has to count on it.
	standbyDelay = 400 * time.Millisecond
	// standbyHold is how long after its last poll it may do so: longer than it
	// takes until another holder follows.
	standbyGrantTTL = 6 * time.Second
	// standbyTerm is how long its tokens may be spent; the node that asked has
	// callers waiting for them.
	standbyTokenTTL = requestTimeout
	// standbySaved is the time for which it keeps what nobody asked for.
	standbyBurstWindow = 250 * time.Millisecond
)

// deputy hands out a part of each team's rate while the holder of the team's
// shard is out of reach. The holder counts, from standbyDelay after the last
// reply that the deputy is known to have received, on all of that part being
// used, and takes back what was not once they are in touch again.
type deputy struct {
	clock      timekeeper.Clock
	config     *enforcer.Enforcer
	peerClient PeerClient
	instance   string
	centre     string
	session    uint64
	log        *slog.Logger

	mu      sync.Mutex
	grants  map[int]*shardGrant
	buckets map[string]*deputyBucket
	holders map[string]*polledHolder
	// resigned is when the deputy last got the lease of a shard itself.
	droppedAt map[int]time.Time
}

// standby is what a deputy may hand out of the teams of one shard.
type shardGrant struct {
	// heard is when a holder of the shard last answered.
	received time.Time
	expiry   time.Time
	share    float64
	// config was in force when the part was granted.
	config *enforcer.Config
	// used tells that tokens were handed out since heard.
	active bool
}

// standbyBucket is what it has of one team.
type deputyBucket struct {
	// opens is when the bucket began to fill.
	opensAt  time.Time
	filledAt time.Time
	level    float64
	total    uint64
}

// peer is a possible holder that the deputy polls.
type polledHolder struct {
	session  uint64
	sequence uint64
	answered uint64
	// reported are the totals that it is known to have.
	reported map[string]uint64
}

func newDeputy(clock timekeeper.Clock, config *enforcer.Enforcer, peerClient PeerClient, instance, centre string, session uint64, log *slog.Logger) *deputy {
	return &deputy{
		clock: clock, config: config, peerClient: peerClient, instance: instance, centre: centre, session: session, log: log,
		grants: map[int]*shardGrant{}, buckets: map[string]*deputyBucket{}, holders: map[string]*polledHolder{}, droppedAt: map[int]time.Time{},
	}
}

// run polls the possible holders until the context ends.
func (d *deputy) run(ctx context.Context) {
	for {
		d.poll(ctx, nil)
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(standbyPollInterval):
		}
	}
}

// poll asks all other witnesses of a limit that is held whole; group, when
// given, waits for the answers.
func (d *deputy) poll(ctx context.Context, group *sync.WaitGroup) {
	c := d.config.Current()
	if !isFleetWitness(c, d.centre, d.instance) {
		return
	}
	for _, w := range c.Witnesses("") {
		if w == d.instance {
			continue
		}
		p := &pollRound{deputy: d, holder: w, config: c, group: group}
		if group != nil {
			group.Add(1)
		}
		go p.run(ctx)
	}
}

// deputized tells whether the limits of a data centre are held whole, by the
// witness itself or with it as a deputy.
func isFleetWitness(c *enforcer.Config, centre, instance string) bool {
	if c.Version() == 0 || c.LimitDomain(centre) != "" {
		return false
	}
	for _, w := range c.Witnesses("") {
		if w == instance {
			return true
		}
	}
	return false
}

// pollRound is one request to one possible holder.
type pollRound struct {
	deputy *deputy
	holder string
	config *enforcer.Config
	group  *sync.WaitGroup
}

func (p *pollRound) run(ctx context.Context) {
	if p.group != nil {
		defer p.group.Done()
	}
	for p.send(ctx) {
	}
}

// once returns true when the holder should hear at once that it has been heard.
func (p *pollRound) send(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, standbyDelay)
	defer cancel()
	sent, request := p.deputy.request(p.holder, p.config)
	reply, err := p.deputy.peerClient.Standby(ctx, p.holder, request)
	if err != nil {
		// The deputy goes by how long it has not been answered.
		return false
	}
	return p.deputy.received(p.holder, sent, p.config, request, reply)
}

// request tells a holder what has been handed out that it may not know of.
func (d *deputy) request(holder string, c *enforcer.Config) (time.Time, *control.StandbyRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.holders[holder]
	if !ok {
		p = &polledHolder{reported: map[string]uint64{}}
		d.holders[holder] = p
	}
	p.sequence++
	r := &control.StandbyRequest{
		Instance: d.instance, Session: d.session, Sequence: p.sequence, Peer: p.session, Answered: p.answered, Version: c.Version(),
	}
	for team, b := range d.buckets {
		if b.total != p.reported[team] {
			r.Used = append(r.Used, &control.Used{Team: team, Total: b.total})
		}
	}
	return d.clock.Now(), r
}

// heard takes the reply of a holder. It returns true when the deputy had to
// count the holder of a shard as lost until then.
func (d *deputy) received(holder string, sent time.Time, c *enforcer.Config, r *control.StandbyRequest, reply *control.StandbyReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.holders[holder]
	if p.session != reply.Session {
		p.session, p.answered, p.reported = reply.Session, 0, map[string]uint64{}
	}
	newest := r.Sequence > p.answered
	if newest {
		p.answered = r.Sequence
		for _, u := range r.Used {
			p.reported[u.Team] = u.Total
		}
	}
	now := d.clock.Now()
	wasLost := false
	for _, shard := range reply.Shards {
		if droppedAt, ok := d.droppedAt[int(shard)]; ok && !sent.After(droppedAt) {
			continue
		}
		g, ok := d.grants[int(shard)]
		if !ok {
			g = &shardGrant{}
			d.grants[int(shard)] = g
		}
		wasLost = wasLost || !now.Before(g.received.Add(standbyDelay))
		if g.active {
			d.log.Info("standby_end", "shard", shard, "holder", holder, "silent", now.Sub(g.received))
		}
		g.received, g.active = now, false
		if newest && reply.Hold > 0 {
			g.expiry = sent.Add(time.Duration(reply.Hold) * time.Millisecond)
			g.share, g.config = reply.Part, c
		}
	}
	return wasLost
}

// resign drops what the deputy may hand out of a shard whose lease it got, also
// what is on its way.
func (d *deputy) dropShard(shard int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.grants, shard)
	d.droppedAt[shard] = d.clock.Now()
}

// tokens answers a node in place of a holder that is out of reach.
func (d *deputy) tokens(now time.Time, c *enforcer.Config, r *control.TokensRequest, id uint64) *control.TokensReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.grants[ShardOf(r.Team)]
	if !ok || !now.Before(g.expiry) {
		return &control.TokensReply{Absent: true}
	}
	opensAt := g.received.Add(standbyDelay)
	if now.Before(opensAt) {
		return &control.TokensReply{Absent: true, Wait: uint32(opensAt.Sub(now).Milliseconds()) + 1}
	}
	// The holder counts on the rate at which the part was granted.
	rate := min(Allocate(g.config.Declaration(), r.Team, "").Rate, Allocate(c.Declaration(), r.Team, "").Rate)
	b, ok := d.buckets[r.Team]
	if !ok {
		b = &deputyBucket{}
		d.buckets[r.Team] = b
	}
	b.fill(now, opensAt, g.share*rate)
	granted := uint32(math.Min(float64(r.Count), math.Floor(b.level)))
	if granted == 0 {
		return &control.TokensReply{Absent: true, Wait: uint32(baseRetryDelay.Milliseconds())}
	}
	if !g.active {
		g.active = true
		d.log.Warn("standby", "shard", ShardOf(r.Team), "silent", now.Sub(g.received), "part", g.share, "left", g.expiry.Sub(now))
	}
	b.level -= float64(granted)
	b.total += uint64(granted)
	return &control.TokensReply{
		Count: granted, Term: uint32(standbyTokenTTL.Milliseconds()), Batch: id, Holder: d.instance, Version: c.Version(),
	}
}

// fill brings the level up to now; what was saved before opens is forfeit.
func (b *deputyBucket) fill(now, opensAt time.Time, rate float64) {
	if !b.opensAt.Equal(opensAt) {
		b.opensAt, b.filledAt, b.level = opensAt, opensAt, 0
	}
	if now.After(b.filledAt) {
		b.level += rate * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
	b.level = math.Min(b.level, burstFor(rate, standbyBurstWindow))
}

// saved is the most that is kept of a rate.
func burstFor(rate float64, window time.Duration) float64 {
	if rate <= 0 {
		return 0
	}
	return math.Max(1, rate*window.Seconds())
}
