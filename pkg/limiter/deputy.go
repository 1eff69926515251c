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
	// standbyPollInterval is the time between two requests of a deputy to a
	// possible holder.
	standbyPollInterval = 100 * time.Millisecond
	// standbyDelay is how long after the last reply of a holder a deputy starts
	// to grant tokens in its place. It leaves time for two polls and their
	// transmission, so that a holder never has to withhold tokens for a deputy
	// that reaches it.
	standbyDelay = 400 * time.Millisecond
	// standbyGrantTTL is how long after it sent its last answered poll a deputy may
	// grant tokens: longer than it takes until another instance gets the lease.
	standbyGrantTTL = 6 * time.Second
	// standbyTokenTTL is how long a node may spend tokens granted by a deputy.
	// Callers already wait for them on the node, so a short time is enough.
	standbyTokenTTL = requestTimeout
	// standbyBurstWindow limits the tokens that a deputy accumulates to its
	// share of the rate over this time.
	standbyBurstWindow = 250 * time.Millisecond
)

// A deputy is a witness of a fleet-wide limit that grants a share of each team's
// rate while it can't reach the holder of the team's shard. From standbyDelay
// after the last reply that the deputy is known to have received, the holder
// assumes that the deputy grants all of its share. Once they reach each other
// again, the holder takes back what the deputy did not grant.
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
	// droppedAt is, by shard, when this instance last became the holder.
	droppedAt map[int]time.Time
}

// shardGrant is the permission to grant tokens of the teams of one shard.
type shardGrant struct {
	// received is when the last reply of a holder of the shard arrived.
	received time.Time
	expiry   time.Time
	share    float64
	// config was in force on the deputy when the holder granted the share.
	config *enforcer.Config
	// active means that the deputy has granted tokens since that reply.
	active bool
}

// deputyBucket is a deputy's token bucket of one team.
type deputyBucket struct {
	// opensAt is when the bucket began to fill.
	opensAt  time.Time
	filledAt time.Time
	level    float64
	// total counts the tokens granted since the process started.
	total uint64
}

// polledHolder is a possible holder that the deputy polls. sequence numbers the
// deputy's requests; answered is the newest one whose reply was received from
// the holder's current session.
type polledHolder struct {
	session  uint64
	sequence uint64
	answered uint64
	// reported are the totals by team that the holder is known to have received.
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

// poll sends a request to every other witness of a fleet-wide limit. If group is
// not nil, the caller can wait on it for the replies.
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

// isFleetWitness reports whether limits are fleet-wide (no data centres are
// declared) and the instance is one of the witnesses, so that it is the holder or
// a deputy of every shard.
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

// send polls the holder once. It returns true if the next request should follow
// at once, to confirm to the holder that its reply was received.
func (p *pollRound) send(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, standbyDelay)
	defer cancel()
	sent, request := p.deputy.request(p.holder, p.config)
	reply, err := p.deputy.peerClient.Standby(ctx, p.holder, request)
	if err != nil {
		// The time since the last reply decides when the deputy takes over.
		return false
	}
	return p.deputy.received(p.holder, sent, p.config, request, reply)
}

// request returns the next request to a holder, with the totals that the holder
// may not have received yet, and the time of sending.
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

// received processes the reply of a holder. It returns true if the deputy
// considered the holder of one of its shards lost before this reply.
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

// dropShard drops the permission for a shard whose lease this instance has
// obtained. Replies to requests sent until now no longer renew it.
func (d *deputy) dropShard(shard int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.grants, shard)
	d.droppedAt[shard] = d.clock.Now()
}

// tokens answers a token request in place of an unreachable holder.
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
	// The holder withholds tokens at the rate in force when it granted the
	// share, so a rate that was raised since does not apply yet.
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

// fill fills the bucket up to now. A new opensAt empties it first: tokens from an
// earlier takeover are lost.
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

// burstFor returns the capacity of a bucket that holds the tokens of a window at
// the given rate, but at least one token.
func burstFor(rate float64, window time.Duration) float64 {
	if rate <= 0 {
		return 0
	}
	return math.Max(1, rate*window.Seconds())
}
