package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// tick is the pace of updates.
	tick = 100 * time.Millisecond
	// probePeriod is the time between two probes that a node sends.
	probePeriod = time.Second
	// directTimeout is how long a member may take to answer a probe before
	// others are asked to try.
	directTimeout = 300 * time.Millisecond
	// probeTimeout is how long all tries may take.
	probeTimeout = 900 * time.Millisecond
	// suspicion is how long a suspect has to refute.
	suspicion = 3 * time.Second
	// forgetAfter is how long dead members are remembered.
	forgetAfter = 24 * time.Hour
	// helpers is how many members are asked to probe a silent one.
	helpers = 3
	// tickBytes bounds the updates that are sent in one tick.
	tickBytes = 3 * packetBytes
	// packetBytes bounds the entries in one datagram.
	packetBytes = 1100
	// wakeGap is a pause of the process after which its view is stale.
	wakeGap = 2 * time.Second
)

// Transport sends datagrams; it may lose them.
type Transport interface {
	Send(address string, p *control.Packet)
}

// NodeState is what the rest of the node has to tell and wants to hear.
type NodeState interface {
	// Version is the version of the configuration in force.
	Version() uint64
	// LearnVersion is told that the node at address has a higher version.
	LearnVersion(version uint64, address string)
	// Merge takes what another node has told and returns what is to be told on.
	Merge(items Items) Items
	// Digest is equal on nodes that have the same withdrawn keys and refuse the
	// same requests.
	Digest() uint64
	// All returns every withdrawn key and decision.
	All() Items
}

// Gossiper is the table of one node and its part in the gossip.
type Gossiper struct {
	clock   timekeeper.Clock
	carrier Transport
	source  NodeState
	seeds   []string

	mu       sync.Mutex
	random   *rand.Rand
	self     *control.Entry
	members  map[string]*member
	services services
	// beside is how many members are no replicas.
	beside int
	// places are the data centres by address.
	places   map[string]string
	queue    queue
	probes   map[uint64]*probe
	sequence uint64
	// ring is the order in which members are probed.
	ring      []string
	lastProbe time.Time
	lastTick  time.Time
	// lastUrgent is when items were last sent out of the pace of ticks.
	lastUrgent time.Time
	// view is what updates are sent by; nil when members have come or gone.
	view *view
	// version says who knows the own version; nil when nobody is to be told it.
	version *update
	// room is how many bytes of updates may still be sent in this tick.
	room int
	// table is equal on nodes with the same table; changed is when it last
	// changed.
	table   uint64
	changed time.Time
	// heard are the instances from which a packet or table has come.
	heard map[string]bool
	// replicaAt is when a replica was last heard from.
	replicaAt time.Time
	// differs passes on the address of a node that knows other keys or decisions;
	// lastSync is when tables were last compared.
	differs  chan string
	lastSync time.Time
	// generation counts changes of the table.
	generation uint64
}

// New makes a gossiper for the instance that self describes.
func New(self *control.Entry, seeds []string, clock timekeeper.Clock, carrier Transport, source NodeState, random *rand.Rand) *Gossiper {
	self.State = control.State_STATE_ALIVE
	self.Incarnation = max(self.Incarnation, 1)
	g := &Gossiper{
		clock: clock, carrier: carrier, source: source, seeds: seeds, random: random,
		self: self, members: map[string]*member{}, places: map[string]string{}, probes: map[uint64]*probe{}, heard: map[string]bool{},
		differs: make(chan string, 1),
	}
	g.put(self, clock.Now())
	return g
}

// SetSeeds replaces the addresses to join by.
func (g *Gossiper) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Run ticks until the context ends.
func (g *Gossiper) Run(ctx context.Context) { g.loop(ctx) }

func (g *Gossiper) loop(ctx context.Context) {
	for {
		g.Tick()
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(tick):
		}
	}
}

// Self returns the own entry.
func (g *Gossiper) Self() *control.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// ContactCount returns how many other instances this node has heard from.
func (g *Gossiper) ContactCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.heard)
}

// UpdateSelf replaces the own entry by what change makes of a copy of it, and
// tells the others.
func (g *Gossiper) UpdateSelf(change func(*control.Entry)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := proto.Clone(g.self).(*control.Entry)
	change(next)
	next.Stamp++
	g.setSelf(next)
}

func (g *Gossiper) put(e *control.Entry, now time.Time) {
	next := &member{entry: e, since: now}
	if e.State != control.State_STATE_ALIVE {
		next.silent = now
		if old, ok := g.members[e.Instance]; ok && !old.silent.IsZero() {
			next.silent = old.silent
		}
	}
	old := g.members[e.Instance]
	if old == nil || isDead(old.entry) != isDead(e) || old.entry.Centre != e.Centre || old.entry.Address != e.Address {
		g.view = nil
	}
	if old != nil {
		g.table ^= entryHash(old.entry)
	}
	if old == nil && !e.Replica {
		g.beside++
	}
	g.services.put(old, e)
	g.table ^= entryHash(e)
	g.changed = now
	g.members[e.Instance] = next
	g.places[e.Address] = e.Centre
	g.generation++
}

func isDead(e *control.Entry) bool { return e.State == control.State_STATE_DEAD }

// Generation changes whenever the table does.
func (g *Gossiper) Generation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation
}

// LastReplicaContact is when a replica was last heard from; zero if never.
func (g *Gossiper) LastReplicaContact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicaAt
}

// setSelf takes a new own entry and tells the others.
func (g *Gossiper) setSelf(next *control.Entry) {
	g.self = next
	g.put(next, g.clock.Now())
	g.tell(&update{entry: next.Instance}, "")
}

// Tick does what is due: probes, suspicion, updates.
func (g *Gossiper) Tick() {
	g.mu.Lock()
	now := g.clock.Now()
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) > wakeGap {
		g.wake(now)
	}
	g.lastTick = now
	out := g.checkProbes(now)
	g.checkSuspects(now)
	if now.Sub(g.lastProbe) >= probePeriod {
		g.lastProbe = now
		out = append(out, g.startProbe(now)...)
	}
	g.room = tickBytes
	out = append(out, g.sendUpdates()...)
	g.mu.Unlock()
	g.send(out)
}

// letter is a packet with its address.
type letter struct {
	address string
	packet  *control.Packet
}

func (g *Gossiper) send(letters []letter) {
	for _, l := range letters {
		g.carrier.Send(l.address, l.packet)
	}
}
