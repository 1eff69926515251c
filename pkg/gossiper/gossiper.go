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
	// tickInterval is the time between two sends of queued updates.
	tickInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes that a node sends.
	probeInterval = time.Second
	// directProbeTimeout is how long a member may take to answer a probe before
	// the node asks other members to probe it.
	directProbeTimeout = 300 * time.Millisecond
	// probeTimeout bounds a probe, direct and indirect attempts together.
	probeTimeout = 900 * time.Millisecond
	// suspicionTimeout is how long a suspect has to refute the suspicion.
	suspicionTimeout = 3 * time.Second
	// deadMemberTTL is how long a dead member stays in the table.
	deadMemberTTL = 24 * time.Hour
	// indirectProbeCount is the number of members asked to probe a silent one.
	indirectProbeCount = 3
	// maxTickBytes is the size of update packets per tick after which no further
	// one is sent.
	maxTickBytes = 3 * maxPacketBytes
	// maxPacketBytes bounds one update packet, before encryption.
	maxPacketBytes = 1100
	// maxTickGap is the longest time between two ticks of a running process. After
	// a longer one the process was paused, and its probes and suspicions are stale.
	maxTickGap = 2 * time.Second
)

// Transport sends datagrams, without guarantee of delivery.
type Transport interface {
	Send(address string, p *control.Packet)
}

// NodeState is the state of the node that gossip spreads besides the table.
type NodeState interface {
	// Version is the version of the configuration in force.
	Version() uint64
	// LearnVersion is called when the node at address advertises a higher version.
	LearnVersion(version uint64, address string)
	// LearnLeft is called, possibly often, with a life of this instance's target that
	// had left before this node started, as other nodes know.
	LearnLeft(life string)
	// Merge applies items received from another node and returns those to spread.
	Merge(items Items) Items
	// Digest is equal on nodes that have the same withdrawn keys and quarantine
	// the same requests.
	Digest() uint64
	// All returns every withdrawn key and every quarantine decision.
	All() Items
}

// Gossiper holds one node's membership table and exchanges updates with others.
type Gossiper struct {
	clock     timekeeper.Clock
	transport Transport
	node      NodeState
	seeds     []string

	mu           sync.Mutex
	random       *rand.Rand
	self         *control.Entry
	members      map[string]*member
	serviceIndex serviceIndex
	// nonReplicas is the number of members that aren't replicas.
	nonReplicas int
	// centreByAddress holds the data centre of each address.
	centreByAddress map[string]string
	queue           queue
	probes          map[uint64]*probe
	sequence        uint64
	// probeOrder holds the members still to be probed in this round, shuffled.
	probeOrder []string
	lastProbe  time.Time
	lastTick   time.Time
	// lastImmediateSend is when items were last sent without waiting for a tick.
	lastImmediateSend time.Time
	// topology is nil when members have joined or left since it was computed.
	topology *topology
	// versionUpdate records which members know this node's version; nil when this
	// node has nobody left to advertise it to.
	versionUpdate *update
	// tickBytesLeft is how many bytes of updates may still be sent in this tick.
	tickBytesLeft int
	// table is the XOR of all entry hashes, equal on nodes with equal tables;
	// tableChangedAt is when store last changed it.
	table          uint64
	tableChangedAt time.Time
	// contacts are the instances that have sent a packet or a sync message.
	contacts map[string]bool
	// learnedLeft lists lives of the own target that have left, until the node knows.
	learnedLeft []string
	// lastReplicaContact is when a replica last sent a packet.
	lastReplicaContact time.Time
	// divergentPeers passes SyncLoop the address of a node with other members, keys
	// or decisions; lastSync is when this node last made a sync request.
	divergentPeers chan string
	lastSync       time.Time
	// generation counts changes of the table.
	generation uint64
}

// New returns a Gossiper for the instance that self describes.
func New(self *control.Entry, seeds []string, clock timekeeper.Clock, transport Transport, node NodeState, random *rand.Rand) *Gossiper {
	self.State = control.State_STATE_ALIVE
	self.Incarnation = max(self.Incarnation, 1)
	g := &Gossiper{
		clock: clock, transport: transport, node: node, seeds: seeds, random: random,
		self: self, members: map[string]*member{}, centreByAddress: map[string]string{}, probes: map[uint64]*probe{}, contacts: map[string]bool{},
		divergentPeers: make(chan string, 1),
	}
	g.store(self, clock.Now())
	return g
}

// SetSeeds replaces the addresses through which the node joins the fleet.
func (g *Gossiper) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Run calls Tick at a constant interval until the context ends.
func (g *Gossiper) Run(ctx context.Context) { g.loop(ctx) }

func (g *Gossiper) loop(ctx context.Context) {
	for {
		g.Tick()
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(tickInterval):
		}
	}
}

// Self returns the entry of this instance.
func (g *Gossiper) Self() *control.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// ContactCount returns how many instances have sent this node a packet or a sync
// message.
func (g *Gossiper) ContactCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.contacts)
}

// UpdateSelf applies change to a copy of this instance's entry, stores the copy
// and spreads it.
func (g *Gossiper) UpdateSelf(change func(*control.Entry)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := proto.Clone(g.self).(*control.Entry)
	change(next)
	next.Stamp++
	g.setSelf(next)
}

// store puts an entry into the table and updates everything derived from it.
func (g *Gossiper) store(e *control.Entry, now time.Time) {
	next := &member{entry: e, updatedAt: now}
	if e.State != control.State_STATE_ALIVE {
		next.notAliveSince = now
		if old, ok := g.members[e.Instance]; ok && !old.notAliveSince.IsZero() {
			next.notAliveSince = old.notAliveSince
		}
	}
	old := g.members[e.Instance]
	next.leftLife = leftLife(e)
	if next.leftLife == "" && old != nil {
		next.leftLife = old.leftLife
	}
	if old == nil || isDead(old.entry) != isDead(e) || old.entry.Centre != e.Centre || old.entry.Address != e.Address {
		g.topology = nil
	}
	if old != nil {
		g.table ^= entryHash(old.entry)
	}
	if old == nil && !e.Replica {
		g.nonReplicas++
	}
	g.serviceIndex.store(old, next)
	g.table ^= entryHash(e)
	g.tableChangedAt = now
	g.members[e.Instance] = next
	g.centreByAddress[e.Address] = e.Centre
	g.generation++
}

func isDead(e *control.Entry) bool { return e.State == control.State_STATE_DEAD }

// Generation returns a number that increases with every change of the table.
func (g *Gossiper) Generation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation
}

// LastReplicaContact returns when a replica last sent a packet; zero if never.
func (g *Gossiper) LastReplicaContact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastReplicaContact
}

// setSelf stores a new entry of this instance and spreads it.
func (g *Gossiper) setSelf(next *control.Entry) {
	g.self = next
	g.store(next, g.clock.Now())
	g.enqueue(&update{entry: next.Instance}, "")
}

// Tick handles probes and suspicion timeouts that are due, and sends updates.
func (g *Gossiper) Tick() {
	g.mu.Lock()
	now := g.clock.Now()
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) > maxTickGap {
		g.resumeAfterPause(now)
	}
	g.lastTick = now
	out := g.checkProbes(now)
	g.checkSuspects(now)
	if now.Sub(g.lastProbe) >= probeInterval {
		g.lastProbe = now
		out = append(out, g.startProbe(now)...)
	}
	g.tickBytesLeft = maxTickBytes
	out = append(out, g.sendUpdates()...)
	g.mu.Unlock()
	g.send(out)
}

// outgoing is a packet with the address to send it to.
type outgoing struct {
	address string
	packet  *control.Packet
}

func (g *Gossiper) send(packets []outgoing) {
	for _, o := range packets {
		g.transport.Send(o.address, o.packet)
	}
}
