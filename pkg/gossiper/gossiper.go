package gossiper

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// tick is the pace of rumours.
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
	// fanout is how many members get a rumour in each tick.
	fanout = 3
	// spreadFactor times log2 of the fleet is how often a rumour is sent on.
	spreadFactor = 4
	// packetBytes bounds the entries in one datagram.
	packetBytes = 1100
	// wakeGap is a pause of the process after which its view is stale.
	wakeGap = 2 * time.Second
)

// Carrier sends datagrams; it may lose them.
type Carrier interface {
	Send(address string, p *control.Packet)
}

// Source is what the rest of the node has to tell and wants to hear.
type Source interface {
	// Version is the version of the configuration in force.
	Version() uint64
	// Hear is told that the node at address has a higher version.
	Hear(version uint64, address string)
	// Merge takes withdrawn keys and suspected requests that are news, and
	// returns those that were new.
	Merge(withdrawn [][]byte, suspects []*control.Suspect) ([][]byte, []*control.Suspect)
}

// rumour is one thing to tell, with how often it is still to be sent.
type rumour struct {
	entry     string
	withdrawn []byte
	suspect   *control.Suspect
	left      int
}

// probe is one member being asked for a sign of life.
type probe struct {
	instance string
	sent     time.Time
	asked    bool
	// relay and relaySequence say for whom this node is probing.
	relay         string
	relaySequence uint64
}

// Gossiper is the table of one node and its part in the gossip.
type Gossiper struct {
	clock   timekeeper.Clock
	carrier Carrier
	source  Source
	seeds   []string

	mu       sync.Mutex
	random   *rand.Rand
	self     *control.Entry
	members  map[string]*member
	rumours  []*rumour
	probes   map[uint64]*probe
	sequence uint64
	// ring is the order in which members are probed.
	ring      []string
	lastProbe time.Time
	lastTick  time.Time
	// spread is how often the own version is still to be told.
	spread int
	// heard are the instances from which a packet or table has come.
	heard map[string]bool
	// replicaAt is when a replica was last heard from.
	replicaAt time.Time
	// generation counts changes of the table.
	generation uint64
}

// New makes a gossiper for the instance that self describes.
func New(self *control.Entry, seeds []string, clock timekeeper.Clock, carrier Carrier, source Source, random *rand.Rand) *Gossiper {
	self.State = control.State_STATE_ALIVE
	self.Incarnation = max(self.Incarnation, 1)
	g := &Gossiper{
		clock: clock, carrier: carrier, source: source, seeds: seeds, random: random,
		self: self, members: map[string]*member{}, probes: map[uint64]*probe{}, heard: map[string]bool{},
	}
	g.put(self, clock.Now())
	return g
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

// Heard returns how many other instances this node has heard from.
func (g *Gossiper) Heard() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.heard)
}

// Change replaces the own entry by what change makes of a copy of it, and
// tells the others.
func (g *Gossiper) Change(change func(*control.Entry)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := proto.Clone(g.self).(*control.Entry)
	change(next)
	next.Stamp++
	g.setSelf(next)
}

func (g *Gossiper) put(e *control.Entry, now time.Time) {
	g.members[e.Instance] = &member{entry: e, since: now}
	g.generation++
}

// Generation changes whenever the table does.
func (g *Gossiper) Generation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation
}

// ReplicaHeard is when a replica was last heard from; zero if never.
func (g *Gossiper) ReplicaHeard() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicaAt
}

// setSelf takes a new own entry and tells the others.
func (g *Gossiper) setSelf(next *control.Entry) {
	g.self = next
	g.put(next, g.clock.Now())
	g.tell(&rumour{entry: next.Instance})
}

// Tell spreads withdrawn keys and suspected requests.
func (g *Gossiper) Tell(withdrawn [][]byte, suspects []*control.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tellNews(withdrawn, suspects)
}

// TellVersion spreads that this node has a new version in force.
func (g *Gossiper) TellVersion() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spread = g.transmissions()
}

func (g *Gossiper) tellNews(withdrawn [][]byte, suspects []*control.Suspect) {
	for _, h := range withdrawn {
		g.tell(&rumour{withdrawn: h})
	}
	for _, s := range suspects {
		g.tell(&rumour{suspect: s})
	}
}

func (g *Gossiper) tell(r *rumour) {
	r.left = g.transmissions()
	for i, old := range g.rumours {
		if r.entry != "" && old.entry == r.entry {
			g.rumours[i] = r
			return
		}
	}
	g.rumours = append(g.rumours, r)
}

// transmissions is how often a rumour is sent on by each node.
func (g *Gossiper) transmissions() int {
	return spreadFactor * bits.Len(uint(len(g.members)))
}

// Tick does what is due: probes, suspicion, rumours.
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
	out = append(out, g.sendRumours()...)
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

// wake forgets probes and suspicions from before a pause of this process: the
// silence was its own.
func (g *Gossiper) wake(now time.Time) {
	g.probes = map[uint64]*probe{}
	for _, m := range g.members {
		if m.entry.State == control.State_STATE_SUSPECT {
			m.since = now
		}
	}
}

// checkProbes asks others about silent members and suspects those that nobody
// reached.
func (g *Gossiper) checkProbes(now time.Time) []letter {
	var out []letter
	for sequence, p := range g.probes {
		age := now.Sub(p.sent)
		if age >= probeTimeout {
			delete(g.probes, sequence)
			if p.relay == "" {
				g.suspect(p.instance, now)
			}
			continue
		}
		if age >= directTimeout && !p.asked && p.relay == "" {
			p.asked = true
			out = append(out, g.askOthers(sequence, p)...)
		}
	}
	return out
}

func (g *Gossiper) askOthers(sequence uint64, p *probe) []letter {
	m, ok := g.members[p.instance]
	if !ok {
		return nil
	}
	var out []letter
	for _, e := range g.pick(helpers, p.instance) {
		packet := g.packet(control.Kind_KIND_ASK, sequence)
		packet.Target = m.entry.Address
		out = append(out, letter{address: e.Address, packet: packet})
	}
	return out
}

func (g *Gossiper) suspect(instance string, now time.Time) {
	m, ok := g.members[instance]
	if !ok || (m.entry.State != control.State_STATE_ALIVE && m.entry.State != control.State_STATE_LEAVING) {
		return
	}
	g.setState(m, control.State_STATE_SUSPECT, now)
}

func (g *Gossiper) setState(m *member, state control.State, now time.Time) {
	next := proto.Clone(m.entry).(*control.Entry)
	next.State = state
	g.put(next, now)
	g.tell(&rumour{entry: next.Instance})
}

// checkSuspects lets suspects die and forgets those long dead.
func (g *Gossiper) checkSuspects(now time.Time) {
	for name, m := range g.members {
		age := now.Sub(m.since)
		switch {
		case m.entry.State == control.State_STATE_SUSPECT && age >= suspicion:
			g.setState(m, control.State_STATE_DEAD, now)
		case m.entry.State == control.State_STATE_DEAD && age >= forgetAfter:
			delete(g.members, name)
			g.generation++
		}
	}
}

// startProbe pings the next member of the ring, and now and then a dead one
// or a seed, so that the halves of a cut meet again.
func (g *Gossiper) startProbe(now time.Time) []letter {
	var out []letter
	for range 2 {
		if e := g.nextInRing(); e != nil {
			g.sequence++
			g.probes[g.sequence] = &probe{instance: e.Instance, sent: now}
			out = append(out, letter{address: e.Address, packet: g.packet(control.Kind_KIND_PING, g.sequence)})
			break
		}
	}
	if address := g.lostAddress(); address != "" {
		packet := g.packet(control.Kind_KIND_RUMOUR, 0)
		packet.Entries = append(packet.Entries, g.self)
		out = append(out, letter{address: address, packet: packet})
	}
	return out
}

// nextInRing returns the next live member, or nil at the end of a round.
func (g *Gossiper) nextInRing() *control.Entry {
	for len(g.ring) > 0 {
		name := g.ring[0]
		g.ring = g.ring[1:]
		m, ok := g.members[name]
		if ok && m.entry.State != control.State_STATE_DEAD {
			return m.entry
		}
	}
	for name := range g.members {
		if name != g.self.Instance {
			g.ring = append(g.ring, name)
		}
	}
	shuffle(g.random, g.ring)
	return nil
}

// lostAddress returns a seed that is not in the table, or a dead member.
func (g *Gossiper) lostAddress() string {
	known := map[string]bool{}
	var lost []string
	for _, m := range g.members {
		if m.entry.State == control.State_STATE_DEAD {
			lost = append(lost, m.entry.Address)
			continue
		}
		known[m.entry.Address] = true
	}
	for _, s := range g.seeds {
		if !known[s] {
			lost = append(lost, s)
		}
	}
	if len(lost) == 0 {
		return ""
	}
	return lost[g.random.IntN(len(lost))]
}

// sendRumours sends what is to be told to a few random members.
func (g *Gossiper) sendRumours() []letter {
	if len(g.rumours) == 0 && g.spread == 0 {
		return nil
	}
	var out []letter
	for _, e := range g.pick(fanout, "") {
		out = append(out, letter{address: e.Address, packet: g.packet(control.Kind_KIND_RUMOUR, 0)})
	}
	if len(out) == 0 {
		return nil
	}
	g.spread = max(g.spread-len(out), 0)
	return out
}

// pick returns random members that are not dead.
func (g *Gossiper) pick(count int, except string) []*control.Entry {
	var all []*control.Entry
	for name, m := range g.members {
		if name != g.self.Instance && name != except && m.entry.State != control.State_STATE_DEAD {
			all = append(all, m.entry)
		}
	}
	// Map order is random, but not by the passed-in source.
	sortEntries(all)
	g.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// packet fills a packet with as many rumours as fit.
func (g *Gossiper) packet(kind control.Kind, sequence uint64) *control.Packet {
	p := &control.Packet{
		Kind: kind, Sequence: sequence, From: g.self.Instance,
		Address: g.self.Address, Version: g.source.Version(),
	}
	if len(g.heard) == 0 || kind == control.Kind_KIND_PING {
		p.Entries = append(p.Entries, g.self)
	}
	size := proto.Size(p)
	kept := g.rumours[:0]
	for _, r := range g.rumours {
		if size < packetBytes {
			size += g.addRumour(p, r)
			r.left--
		}
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	g.rumours = kept
	return p
}

func (g *Gossiper) addRumour(p *control.Packet, r *rumour) int {
	switch {
	case r.entry != "":
		m, ok := g.members[r.entry]
		if !ok {
			return 0
		}
		p.Entries = append(p.Entries, m.entry)
		return proto.Size(m.entry) + 4
	case r.suspect != nil:
		p.Suspects = append(p.Suspects, r.suspect)
		return proto.Size(r.suspect) + 4
	}
	p.Withdrawn = append(p.Withdrawn, r.withdrawn)
	return len(r.withdrawn) + 4
}
