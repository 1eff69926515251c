package gossiper

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// minImmediateInterval is the minimum time between two sends of items that don't
// wait for a tick.
const minImmediateInterval = 20 * time.Millisecond

// updateTTL is how long an update is kept for members that join the table after
// it: all nodes must know a change within this time.
const updateTTL = 2 * time.Second

// Items are the contents of updates besides entries.
type Items struct {
	// Withdrawn are hashes of withdrawn keys.
	Withdrawn [][]byte
	// Suspects are quarantine decisions about requests in flight at crashes.
	Suspects []*control.Suspect
	// Crashes are parts of the lists of requests in flight at crashes.
	Crashes []*control.Crash
}

func (i *Items) isEmpty() bool { return len(i.Withdrawn)+len(i.Suspects)+len(i.Crashes) == 0 }

// updates returns one update for each item.
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

// Broadcast spreads items that originate at this node. It sends them at once, as
// a retried request that crashes targets reaches the next one within milliseconds.
func (g *Gossiper) Broadcast(items Items) { g.broadcastItems(items, "") }

// broadcastItems queues items received from a member, or from this node if from is
// empty, and sends them at once unless the last such send was too recent.
func (g *Gossiper) broadcastItems(items Items, from string) {
	if items.isEmpty() {
		return
	}
	g.mu.Lock()
	for _, u := range items.updates() {
		g.enqueue(u, from)
	}
	out := g.sendImmediately()
	g.mu.Unlock()
	g.send(out)
}

// Flush sends queued updates without waiting for the next tick, so that others know
// before this node acknowledges something.
func (g *Gossiper) Flush() {
	g.mu.Lock()
	out := g.sendImmediately()
	g.mu.Unlock()
	g.send(out)
}

// sendImmediately returns the packets to send between ticks, at most once per
// minImmediateInterval.
func (g *Gossiper) sendImmediately() []outgoing {
	now := g.clock.Now()
	if now.Sub(g.lastImmediateSend) < minImmediateInterval {
		return nil
	}
	g.lastImmediateSend = now
	return g.sendUpdates()
}

// BroadcastVersion advertises a new version that is in force on this node.
func (g *Gossiper) BroadcastVersion() {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Replicas get a version first, so they advertise it to all data centres.
	g.versionUpdate = &update{toAllCentres: g.self.Replica}
}

// enqueue queues an update received from a member, or from this node if from is
// empty.
func (g *Gossiper) enqueue(u *update, from string) {
	u.toAllCentres, u.queuedAt = from == "", g.clock.Now()
	g.markKnownBy(u, from)
	g.queue.add(u)
}

// markKnownBy records that a member has an update.
func (g *Gossiper) markKnownBy(u *update, instance string) {
	if m, ok := g.members[instance]; ok {
		u.markKnown(instance, m.entry.Centre)
	}
}

// markQueuedKnown records that a member has sent an update that this node already
// knows, so that the queued copy isn't sent back to it.
func (g *Gossiper) markQueuedKnown(u *update, from string) {
	if queued := g.queue.find(u); queued != nil {
		g.markKnownBy(queued, from)
	}
}

// PendingUpdates returns the number of queued updates, including those kept only
// for members that may still join the table.
func (g *Gossiper) PendingUpdates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.len()
}

// sendUpdates returns packets with queued updates: for the neighbours in the own
// data centre, and for one member of each other data centre to which this node
// forwards them.
func (g *Gossiper) sendUpdates() []outgoing {
	if g.queue.len() == 0 && g.versionUpdate == nil {
		return nil
	}
	batches := g.batches(g.currentTopology())
	g.random.Shuffle(len(batches), func(i, j int) { batches[i], batches[j] = batches[j], batches[i] })
	var out []outgoing
	for _, b := range batches {
		if g.tickBytesLeft <= 0 {
			break
		}
		p := g.packet(control.Kind_KIND_UPDATE, 0)
		for _, u := range b.take(maxPacketBytes-proto.Size(p), g.updateSize) {
			g.appendUpdate(p, u)
			u.markKnown(b.to.Instance, b.to.Centre)
			u.sent++
		}
		if g.versionUpdate != nil {
			g.versionUpdate.markKnown(b.to.Instance, b.to.Centre)
		}
		g.tickBytesLeft -= proto.Size(p)
		out = append(out, outgoing{address: b.to.Address, packet: p})
	}
	return out
}

// batches lists the updates to send to each member now, and removes updates
// older than updateTTL that have no recipient left.
func (g *Gossiper) batches(t *topology) []*batch {
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
	// One random member of each other data centre gets all updates sent there now.
	remote := make([]*control.Entry, len(t.otherCentres))
	for i, name := range t.otherCentres {
		remote[i] = t.centres[name][g.random.IntN(len(t.centres[name]))]
	}
	now := g.clock.Now()
	for _, u := range g.queue.sorted() {
		recipients := g.recipients(u, t, remote)
		for _, e := range recipients {
			to(e).add(u)
		}
		if len(recipients) == 0 && now.Sub(u.queuedAt) >= updateTTL {
			g.queue.remove(u)
		}
	}
	if g.versionUpdate != nil {
		recipients := g.recipients(g.versionUpdate, t, remote)
		for _, e := range recipients {
			to(e)
		}
		if len(recipients) == 0 {
			g.versionUpdate = nil
		}
	}
	return list
}

// recipients lists the members to which this node still has to send an update.
// remote holds the chosen member of each other data centre.
func (g *Gossiper) recipients(u *update, t *topology, remote []*control.Entry) []*control.Entry {
	var list []*control.Entry
	for _, e := range t.neighbours {
		if !slices.Contains(u.knownBy, e.Instance) {
			list = append(list, e)
		}
	}
	for i, name := range t.otherCentres {
		if (u.toAllCentres || t.bridgedCentres[name]) && !slices.Contains(u.knownInCentres, name) {
			list = append(list, remote[i])
		}
	}
	return list
}

// randomMembers returns up to count random members that aren't dead, without this
// node and the one named by except.
func (g *Gossiper) randomMembers(count int, except string) []*control.Entry {
	var all []*control.Entry
	for name, m := range g.members {
		if name != g.self.Instance && name != except && m.entry.State != control.State_STATE_DEAD {
			all = append(all, m.entry)
		}
	}
	// The result must depend on g.random only, not on the map order.
	sortEntries(all)
	g.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// packet returns a packet without updates. It carries this node's entry in pings,
// and in all packets while no other node has been in contact.
func (g *Gossiper) packet(kind control.Kind, sequence uint64) *control.Packet {
	p := &control.Packet{
		Kind: kind, Sequence: sequence, From: g.self.Instance,
		Address: g.self.Address, Version: g.node.Version(),
	}
	if kind != control.Kind_KIND_UPDATE {
		p.News, p.Table = g.node.Digest(), g.table
	}
	if len(g.contacts) == 0 || kind == control.Kind_KIND_PING {
		p.Entries = append(p.Entries, g.self)
	}
	return p
}
