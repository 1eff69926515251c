package gossiper

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// syncInterval is the time between two syncs.
	syncInterval = 10 * time.Second
	// startupSyncInterval replaces syncInterval until a sync has succeeded and the
	// node has a configuration.
	startupSyncInterval = 200 * time.Millisecond
	// minSyncInterval is the minimum time between a sync and the next one that a
	// probe triggers.
	minSyncInterval = time.Second
	// tableSettleDelay is how long the table must be unchanged before a differing
	// hash triggers a sync: updates reach all nodes within that time.
	tableSettleDelay = 500 * time.Millisecond
	// syncCandidates is the number of random members of which the node prefers one
	// in its own data centre. At times there is none, so that data centres sync
	// with each other too.
	syncCandidates = 3
	// syncTimeout bounds one sync: a table of 4,100 members at 10 Mbit/s.
	syncTimeout = time.Second
	// unreachableSyncTenths is how many syncs out of ten go to the address of a dead
	// member or an unknown seed, if there is one.
	unreachableSyncTenths = 3
)

// Syncer sends a sync request to the node at an address.
type Syncer interface {
	Sync(ctx context.Context, address string, r *control.SyncRequest) (*control.SyncReply, error)
}

// Receive handles one packet.
func (g *Gossiper) Receive(p *control.Packet) {
	g.mu.Lock()
	g.contacts[p.From] = true
	now := g.clock.Now()
	g.mergeEntries(p.Entries, p.From, now)
	if m, ok := g.members[p.From]; ok && m.entry.Replica {
		g.lastReplicaContact = now
	}
	out := g.answerPacket(p, now)
	g.checkDivergence(p, now)
	own := g.node.Version()
	if g.versionUpdate != nil && p.Version >= own {
		g.markKnownBy(g.versionUpdate, p.From)
	}
	doubtedEntry := g.doubtedEntry(p.From)
	if p.Kind == control.Kind_KIND_UPDATE && (p.Version < own || doubtedEntry != nil) {
		out = append(out, outgoing{address: p.Address, packet: g.packet(control.Kind_KIND_REPLY, 0)})
	}
	// A member taken for suspect or dead must learn of it to refute it.
	if doubtedEntry != nil && len(out) > 0 {
		last := out[len(out)-1].packet
		last.Entries = append(last.Entries, doubtedEntry)
	}
	items := Items{Withdrawn: p.Withdrawn, Suspects: p.Suspects, Crashes: p.Crashes}
	for _, u := range items.updates() {
		g.markQueuedKnown(u, p.From)
	}
	g.mu.Unlock()
	g.passLearnedLeft()
	g.mergeItems(items, p.From)
	if p.Version > own {
		g.node.LearnVersion(p.Version, p.Address)
	}
	g.send(out)
}

// checkDivergence requests a sync with a node whose probe or answer shows other
// keys, decisions or members than this node's: one of the two was started,
// partitioned or frozen. Most other differences don't last until a probe shows
// them, since updates remove them.
func (g *Gossiper) checkDivergence(p *control.Packet, now time.Time) {
	probed := p.Kind == control.Kind_KIND_PING || p.Kind == control.Kind_KIND_REPLY
	// Tables that differ just after a change don't count: the update is in flight.
	table := p.Table != 0 && p.Table != g.table && now.Sub(g.tableChangedAt) >= tableSettleDelay
	if !probed || p.News == g.node.Digest() && !table || now.Sub(g.lastSync) < minSyncInterval {
		return
	}
	select {
	case g.divergentPeers <- p.Address:
	default:
	}
}

// doubtedEntry returns the entry of a suspect or dead member, nil for others.
func (g *Gossiper) doubtedEntry(instance string) *control.Entry {
	m, ok := g.members[instance]
	if !ok || (m.entry.State != control.State_STATE_SUSPECT && m.entry.State != control.State_STATE_DEAD) {
		return nil
	}
	return m.entry
}

// answerPacket returns the packets that the kind of p calls for: a reply to a
// ping, a ping on behalf of another node, or its result.
func (g *Gossiper) answerPacket(p *control.Packet, now time.Time) []outgoing {
	switch p.Kind {
	case control.Kind_KIND_PING:
		return []outgoing{{address: p.Address, packet: g.packet(control.Kind_KIND_REPLY, p.Sequence)}}
	case control.Kind_KIND_ASK:
		g.sequence++
		g.probes[g.sequence] = &probe{sent: now, requester: p.Address, requesterSequence: p.Sequence}
		return []outgoing{{address: p.Target, packet: g.packet(control.Kind_KIND_PING, g.sequence)}}
	case control.Kind_KIND_REPLY:
		return g.finishProbe(p.Sequence)
	}
	return nil
}

// finishProbe ends a probe that was answered, and reports the answer to the node
// that asked for the probe.
func (g *Gossiper) finishProbe(sequence uint64) []outgoing {
	probe, ok := g.probes[sequence]
	if !ok {
		return nil
	}
	delete(g.probes, sequence)
	if probe.requester == "" {
		return nil
	}
	return []outgoing{{address: probe.requester, packet: g.packet(control.Kind_KIND_REPLY, probe.requesterSequence)}}
}

// mergeItems passes received items to the node and spreads those that Merge
// returns.
func (g *Gossiper) mergeItems(items Items, from string) {
	if !items.isEmpty() {
		g.broadcastItems(g.node.Merge(items), from)
	}
}

// mergeEntries stores the entries that are newer than this node's and spreads them.
func (g *Gossiper) mergeEntries(entries []*control.Entry, from string, now time.Time) {
	for _, e := range entries {
		if e.Instance == g.self.Instance {
			g.learnLeft(e)
			g.refute(e)
			continue
		}
		old, ok := g.members[e.Instance]
		if ok && !supersedes(e, old.entry) {
			if !supersedes(old.entry, e) {
				g.markQueuedKnown(&update{entry: e.Instance}, from)
			}
			continue
		}
		g.store(e, now)
		g.enqueue(&update{entry: e.Instance}, from)
	}
}

// learnLeft notes a life of the own target that has left, according to an entry from
// before this node's last restart.
func (g *Gossiper) learnLeft(e *control.Entry) {
	if life := leftLife(e); life != "" && life != leftLife(g.self) {
		g.learnedLeft = append(g.learnedLeft, life)
	}
}

// passLearnedLeft tells the node what learnLeft has noted. The node calls back, so the
// lock must not be held.
func (g *Gossiper) passLearnedLeft() {
	g.mu.Lock()
	learned := g.learnedLeft
	g.learnedLeft = nil
	g.mu.Unlock()
	for _, life := range learned {
		g.node.LearnLeft(life)
	}
}

// refute raises this node's incarnation if e, a suspicion about it or an entry
// from before its last restart, supersedes its own entry.
func (g *Gossiper) refute(e *control.Entry) {
	if !supersedes(e, g.self) {
		return
	}
	next := proto.Clone(g.self).(*control.Entry)
	next.Incarnation = e.Incarnation + 1
	g.setSelf(next)
}

// SyncLoop syncs with other nodes until the context ends.
func (g *Gossiper) SyncLoop(ctx context.Context, syncer Syncer) {
	pause := startupSyncInterval
	for {
		address := ""
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(pause):
			address = g.syncAddress()
		case address = <-g.divergentPeers:
		}
		if address == "" {
			continue
		}
		if err := g.syncWith(ctx, syncer, address); err != nil {
			continue
		}
		// A node without a configuration can't serve requests, and the node that it
		// synced with may have none either.
		if pause = syncInterval; g.node.Version() == 0 {
			pause = startupSyncInterval
		}
	}
}

// syncWith syncs with the node at an address.
func (g *Gossiper) syncWith(ctx context.Context, syncer Syncer, address string) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := syncer.Sync(ctx, address, g.syncRequest(g.node.Digest()))
	if err != nil {
		return err
	}
	g.finishSync(ctx, syncer, address, reply)
	return nil
}

// syncAddress picks a random live member, preferably of the own data centre, or at
// times an unreachable address.
func (g *Gossiper) syncAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	unreachable := g.unreachableAddress()
	if unreachable != "" && g.random.IntN(10) < unreachableSyncTenths {
		return unreachable
	}
	picked := g.randomMembers(syncCandidates, "")
	for _, e := range picked {
		if e.Centre == g.self.Centre {
			return e.Address
		}
	}
	if len(picked) > 0 {
		return picked[0].Address
	}
	return unreachable
}

// syncRequest returns a request with this node's entry, bucket hashes and version.
// digest is that of its keys and decisions.
func (g *Gossiper) syncRequest(digest uint64) *control.SyncRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSync = g.clock.Now()
	return &control.SyncRequest{
		From: g.self.Instance, Address: g.self.Address, Buckets: g.buckets(),
		Entries: []*control.Entry{g.self}, Withdrawals: digest, Version: g.node.Version(),
	}
}

// AnswerSync handles a sync request of another node.
func (g *Gossiper) AnswerSync(r *control.SyncRequest) *control.SyncReply {
	digest := g.node.Digest()
	g.mu.Lock()
	g.contacts[r.From] = true
	g.mergeEntries(r.Entries, r.From, g.clock.Now())
	reply := &control.SyncReply{
		Entries: g.differingEntries(r.Buckets), Buckets: g.buckets(),
		Version: g.node.Version(), Withdrawals: digest, From: g.self.Instance,
	}
	reply.Entries = append(reply.Entries, g.formerEntry(r.From)...)
	own := reply.Version
	g.mu.Unlock()
	g.passLearnedLeft()
	g.mergeItems(Items{Withdrawn: r.Withdrawn, Suspects: r.Suspects}, r.From)
	if digest != r.Withdrawals {
		all := g.node.All()
		reply.Withdrawn, reply.Suspects = all.Withdrawn, all.Suspects
	}
	if r.Version > own {
		g.node.LearnVersion(r.Version, r.Address)
	}
	return reply
}

// formerEntry returns an entry of a member from before its restart, which names the
// life of its target that has left, unless the member states that itself.
func (g *Gossiper) formerEntry(instance string) []*control.Entry {
	m, ok := g.members[instance]
	if !ok || m.leftLife == "" || m.leftLife == leftLife(m.entry) {
		return nil
	}
	return []*control.Entry{{Instance: instance, Life: m.leftLife}}
}

// finishSync merges the reply. If the two nodes differed, it sends a second request
// with what the other node may lack: this node's entries in the buckets that
// differ and, if the digests differ, all its keys and decisions.
func (g *Gossiper) finishSync(ctx context.Context, syncer Syncer, address string, reply *control.SyncReply) {
	g.mu.Lock()
	lacking := g.differingEntries(reply.Buckets)
	g.contacts[reply.From] = true
	g.mergeEntries(reply.Entries, reply.From, g.clock.Now())
	own := g.node.Version()
	g.mu.Unlock()
	g.passLearnedLeft()
	g.mergeItems(Items{Withdrawn: reply.Withdrawn, Suspects: reply.Suspects}, reply.From)
	if reply.Version > own {
		g.node.LearnVersion(reply.Version, address)
	}
	digest := g.node.Digest()
	if len(lacking) == 0 && digest == reply.Withdrawals {
		return
	}
	followUp := g.syncRequest(digest)
	followUp.Entries = append(followUp.Entries, lacking...)
	if digest != reply.Withdrawals {
		all := g.node.All()
		followUp.Withdrawn, followUp.Suspects = all.Withdrawn, all.Suspects
	}
	if _, err := syncer.Sync(ctx, address, followUp); err != nil {
		return
	}
}

func sortEntries(entries []*control.Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Instance < entries[j].Instance })
}

// sortAndShuffle shuffles names in an order that depends on random only.
func sortAndShuffle(random *rand.Rand, names []string) {
	sort.Strings(names)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
