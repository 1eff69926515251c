package gossiper

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// urgentGap is the least time between two sends of items out of the pace of
// ticks.
const urgentGap = 20 * time.Millisecond

// keepUpdate is how long an update is kept for members that become known after it:
// the promise for a change to be known everywhere.
const keepUpdate = 2 * time.Second

// Items are what updates carry besides entries.
type Items struct {
	// Withdrawn are hashes of withdrawn keys.
	Withdrawn [][]byte
	// Suspects are decisions about requests that ran at crashes.
	Suspects []*control.Suspect
	// Crashes are parts of crashes.
	Crashes []*control.Crash
}

func (i *Items) isEmpty() bool { return len(i.Withdrawn)+len(i.Suspects)+len(i.Crashes) == 0 }

// updates lists the items as updates.
func (i *Items) updates() []*update {
	var list []*update
	for _, h := range i.Withdrawn {
		list = append(list, &update{withdrawn: h})
	}
	for _, s := range i.Suspects {
		list = append(list, &update{suspect: s})
	}
	for _, c := range i.Crashes {
		list = append(list, &update{crash: c})
	}
	return list
}

// Broadcast spreads items that this node is the first to know. They go out at once:
// a crashing request that is sent again meets the next target within
// milliseconds.
func (g *Gossiper) Broadcast(items Items) { g.tellItems(items, "") }

// tellItems spreads items that a member has told; empty means this node.
func (g *Gossiper) tellItems(items Items, from string) {
	if items.isEmpty() {
		return
	}
	g.mu.Lock()
	for _, u := range items.updates() {
		g.tell(u, from)
	}
	var out []letter
	if now := g.clock.Now(); now.Sub(g.lastUrgent) >= urgentGap {
		g.lastUrgent = now
		out = g.sendUpdates()
	}
	g.mu.Unlock()
	g.send(out)
}

// BroadcastVersion spreads that this node has a new version in force.
func (g *Gossiper) BroadcastVersion() {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Replicas hear of a version first.
	g.version = &update{own: g.self.Replica}
}

// tell spreads an update that came from a member; empty means this node.
func (g *Gossiper) tell(u *update, from string) {
	u.own, u.since = from == "", g.clock.Now()
	g.knows(u, from)
	g.queue.add(u)
}

// knows notes that a member has an update.
func (g *Gossiper) knows(u *update, instance string) {
	if m, ok := g.members[instance]; ok {
		u.know(instance, m.entry.Centre)
	}
}

// hearAgain notes that a member has told what this node knows and may be about
// to tell it.
func (g *Gossiper) hearAgain(u *update, from string) {
	if waiting := g.queue.find(u); waiting != nil {
		g.knows(waiting, from)
	}
}

// PendingUpdates is how many updates are still to be told, or kept for members that may
// become known.
func (g *Gossiper) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.len()
}

// sendUpdates sends what is to be told to the neighbours in the own data
// centre, and over those borders at which this node is a bridge.
func (g *Gossiper) sendUpdates() []letter {
	if g.queue.len() == 0 && g.version == nil {
		return nil
	}
	batches := g.batches(g.look())
	g.random.Shuffle(len(batches), func(i, j int) { batches[i], batches[j] = batches[j], batches[i] })
	var out []letter
	for _, b := range batches {
		if g.room <= 0 {
			break
		}
		p := g.packet(control.Kind_KIND_UPDATE, 0)
		for _, u := range b.take(packetBytes-proto.Size(p), g.size) {
			g.putUpdate(p, u)
			u.know(b.to.Instance, b.to.Centre)
			u.sent++
		}
		if g.version != nil {
			g.version.know(b.to.Instance, b.to.Centre)
		}
		g.room -= proto.Size(p)
		out = append(out, letter{address: b.to.Address, packet: p})
	}
	return out
}

// batches lists for each member what it is to be told now, and drops old updates
// that nobody is to be told any more.
func (g *Gossiper) batches(v *view) []*batch {
	byName := map[string]*batch{}
	var list []*batch
	to := func(e *control.Entry) *batch {
		b, ok := byName[e.Instance]
		if !ok {
			b = &batch{to: e}
			byName[e.Instance] = b
			list = append(list, b)
		}
		return b
	}
	// One member of each data centre gets all that goes there in this tick.
	far := make([]*control.Entry, len(v.others))
	for i, name := range v.others {
		far[i] = v.centres[name][g.random.IntN(len(v.centres[name]))]
	}
	now := g.clock.Now()
	for _, u := range g.queue.inOrder() {
		lacking := g.lacking(u, v, far)
		for _, e := range lacking {
			to(e).add(u)
		}
		if len(lacking) == 0 && now.Sub(u.since) >= keepUpdate {
			g.queue.drop(u)
		}
	}
	if g.version != nil {
		lacking := g.lacking(g.version, v, far)
		for _, e := range lacking {
			to(e)
		}
		if len(lacking) == 0 {
			g.version = nil
		}
	}
	return list
}

// lacking lists whom this node is still to tell an update.
func (g *Gossiper) lacking(u *update, v *view, far []*control.Entry) []*control.Entry {
	var list []*control.Entry
	for _, e := range v.near {
		if !slices.Contains(u.known, e.Instance) {
			list = append(list, e)
		}
	}
	for i, name := range v.others {
		if (u.own || v.bridged[name]) && !slices.Contains(u.knownIn, name) {
			list = append(list, far[i])
		}
	}
	return list
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

// packet makes a packet without updates.
func (g *Gossiper) packet(kind control.Kind, sequence uint64) *control.Packet {
	p := &control.Packet{
		Kind: kind, Sequence: sequence, From: g.self.Instance,
		Address: g.self.Address, Version: g.source.Version(),
	}
	if kind != control.Kind_KIND_UPDATE {
		p.News, p.Table = g.source.Digest(), g.table
	}
	if len(g.heard) == 0 || kind == control.Kind_KIND_PING {
		p.Entries = append(p.Entries, g.self)
	}
	return p
}
