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
	// syncPeriod is the time between two comparisons of tables.
	syncPeriod = 10 * time.Second
	// syncSoon is that time until the first one has succeeded.
	syncSoon = 200 * time.Millisecond
	// syncGap is the least time between comparisons that probes ask for.
	syncGap = time.Second
	// quietGap is how long a table must not have changed before a node with
	// another one is asked: updates reach all within that time.
	quietGap = 500 * time.Millisecond
	// syncChoices is among how many random members one of the own data centre is
	// looked for; at times there is none, so that data centres compare too.
	syncChoices = 3
	// syncTimeout bounds one comparison: a table of 4,100 members at 10 Mbit/s.
	syncTimeout = time.Second
	// syncLost is how many comparisons out of ten go to a lost address.
	syncLost = 3
)

// Syncer compares tables with the node at an address.
type Syncer interface {
	Sync(ctx context.Context, address string, r *control.SyncRequest) (*control.SyncReply, error)
}

// Receive handles one packet.
func (g *Gossiper) Receive(p *control.Packet) {
	g.mu.Lock()
	g.heard[p.From] = true
	now := g.clock.Now()
	g.mergeEntries(p.Entries, p.From, now)
	if m, ok := g.members[p.From]; ok && m.entry.Replica {
		g.replicaAt = now
	}
	out := g.answer(p, now)
	g.compareNews(p, now)
	own := g.source.Version()
	if g.version != nil && p.Version >= own {
		g.knows(g.version, p.From)
	}
	doubted := g.doubted(p.From)
	if p.Kind == control.Kind_KIND_UPDATE && (p.Version < own || doubted != nil) {
		out = append(out, letter{address: p.Address, packet: g.packet(control.Kind_KIND_REPLY, 0)})
	}
	// A member that is taken for dead must hear of it to refute.
	if doubted != nil && len(out) > 0 {
		last := out[len(out)-1].packet
		last.Entries = append(last.Entries, doubted)
	}
	items := Items{Withdrawn: p.Withdrawn, Suspects: p.Suspects, Crashes: p.Crashes}
	for _, u := range items.updates() {
		g.hearAgain(u, p.From)
	}
	g.mu.Unlock()
	g.mergeItems(items, p.From)
	if p.Version > own {
		g.source.LearnVersion(p.Version, p.Address)
	}
	g.send(out)
}

// compareNews asks for a comparison of tables with a node that knows other keys,
// decisions or members than this one: it was started, cut off or frozen, or this one
// was. Updates that are under way settle most differences before.
func (g *Gossiper) compareNews(p *control.Packet, now time.Time) {
	probed := p.Kind == control.Kind_KIND_PING || p.Kind == control.Kind_KIND_REPLY
	// A table that has changed just now differs while the change is under way.
	table := p.Table != 0 && p.Table != g.table && now.Sub(g.changed) >= quietGap
	if !probed || p.News == g.source.Digest() && !table || now.Sub(g.lastSync) < syncGap {
		return
	}
	select {
	case g.differs <- p.Address:
	default:
	}
}

// doubted returns the entry of a member that is not taken for alive.
func (g *Gossiper) doubted(instance string) *control.Entry {
	m, ok := g.members[instance]
	if !ok || (m.entry.State != control.State_STATE_SUSPECT && m.entry.State != control.State_STATE_DEAD) {
		return nil
	}
	return m.entry
}

func (g *Gossiper) answer(p *control.Packet, now time.Time) []letter {
	switch p.Kind {
	case control.Kind_KIND_PING:
		return []letter{{address: p.Address, packet: g.packet(control.Kind_KIND_REPLY, p.Sequence)}}
	case control.Kind_KIND_ASK:
		g.sequence++
		g.probes[g.sequence] = &probe{sent: now, relay: p.Address, relaySequence: p.Sequence}
		return []letter{{address: p.Target, packet: g.packet(control.Kind_KIND_PING, g.sequence)}}
	case control.Kind_KIND_REPLY:
		return g.finishProbe(p.Sequence)
	}
	return nil
}

func (g *Gossiper) finishProbe(sequence uint64) []letter {
	probe, ok := g.probes[sequence]
	if !ok {
		return nil
	}
	delete(g.probes, sequence)
	if probe.relay == "" {
		return nil
	}
	return []letter{{address: probe.relay, packet: g.packet(control.Kind_KIND_REPLY, probe.relaySequence)}}
}

// mergeItems passes items on to the node, and spreads what was new.
func (g *Gossiper) mergeItems(items Items, from string) {
	if !items.isEmpty() {
		g.tellItems(g.source.Merge(items), from)
	}
}

func (g *Gossiper) mergeEntries(entries []*control.Entry, from string, now time.Time) {
	for _, e := range entries {
		if e.Instance == g.self.Instance {
			g.refute(e)
			continue
		}
		old, ok := g.members[e.Instance]
		if ok && !supersedes(e, old.entry) {
			if !supersedes(old.entry, e) {
				g.hearAgain(&update{entry: e.Instance}, from)
			}
			continue
		}
		g.put(e, now)
		g.tell(&update{entry: e.Instance}, from)
	}
}

// refute answers doubt about this node, or an entry of its former life, with
// a higher incarnation.
func (g *Gossiper) refute(e *control.Entry) {
	if !supersedes(e, g.self) {
		return
	}
	next := proto.Clone(g.self).(*control.Entry)
	next.Incarnation = e.Incarnation + 1
	g.setSelf(next)
}

// SyncLoop compares tables with other nodes until the context ends.
func (g *Gossiper) SyncLoop(ctx context.Context, syncer Syncer) {
	pause := syncSoon
	for {
		address := ""
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(pause):
			address = g.syncAddress()
		case address = <-g.differs:
		}
		if address == "" {
			continue
		}
		if err := g.compare(ctx, syncer, address); err != nil {
			continue
		}
		// A node without a configuration can serve nothing, and the one that was
		// asked may have none either.
		if pause = syncPeriod; g.source.Version() == 0 {
			pause = syncSoon
		}
	}
}

// compare compares tables with the node at an address.
func (g *Gossiper) compare(ctx context.Context, syncer Syncer, address string) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := syncer.Sync(ctx, address, g.syncRequest(g.source.Digest()))
	if err != nil {
		return err
	}
	g.takeSync(ctx, syncer, address, reply)
	return nil
}

// syncAddress picks a live member, rather of the own data centre, or at times a
// lost one.
func (g *Gossiper) syncAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := g.lostAddress()
	if lost != "" && g.random.IntN(10) < syncLost {
		return lost
	}
	picked := g.pick(syncChoices, "")
	for _, e := range picked {
		if e.Centre == g.self.Centre {
			return e.Address
		}
	}
	if len(picked) > 0 {
		return picked[0].Address
	}
	return lost
}

func (g *Gossiper) syncRequest(digest uint64) *control.SyncRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSync = g.clock.Now()
	return &control.SyncRequest{
		From: g.self.Instance, Address: g.self.Address, Buckets: g.buckets(),
		Entries: []*control.Entry{g.self}, Withdrawals: digest, Version: g.source.Version(),
	}
}

// AnswerSync is the other side of a comparison.
func (g *Gossiper) AnswerSync(r *control.SyncRequest) *control.SyncReply {
	digest := g.source.Digest()
	g.mu.Lock()
	g.heard[r.From] = true
	g.mergeEntries(r.Entries, r.From, g.clock.Now())
	reply := &control.SyncReply{
		Entries: g.differing(r.Buckets), Buckets: g.buckets(),
		Version: g.source.Version(), Withdrawals: digest, From: g.self.Instance,
	}
	own := reply.Version
	g.mu.Unlock()
	g.mergeItems(Items{Withdrawn: r.Withdrawn, Suspects: r.Suspects}, r.From)
	if digest != r.Withdrawals {
		all := g.source.All()
		reply.Withdrawn, reply.Suspects = all.Withdrawn, all.Suspects
	}
	if r.Version > own {
		g.source.LearnVersion(r.Version, r.Address)
	}
	return reply
}

// takeSync merges the answer and sends back what the other side lacks.
func (g *Gossiper) takeSync(ctx context.Context, syncer Syncer, address string, reply *control.SyncReply) {
	g.mu.Lock()
	theirs := g.differing(reply.Buckets)
	g.heard[reply.From] = true
	g.mergeEntries(reply.Entries, reply.From, g.clock.Now())
	own := g.source.Version()
	g.mu.Unlock()
	g.mergeItems(Items{Withdrawn: reply.Withdrawn, Suspects: reply.Suspects}, reply.From)
	if reply.Version > own {
		g.source.LearnVersion(reply.Version, address)
	}
	digest := g.source.Digest()
	if len(theirs) == 0 && digest == reply.Withdrawals {
		return
	}
	back := g.syncRequest(digest)
	back.Entries = append(back.Entries, theirs...)
	if digest != reply.Withdrawals {
		all := g.source.All()
		back.Withdrawn, back.Suspects = all.Withdrawn, all.Suspects
	}
	if _, err := syncer.Sync(ctx, address, back); err != nil {
		return
	}
}

func sortEntries(entries []*control.Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Instance < entries[j].Instance })
}

func shuffle(random *rand.Rand, names []string) {
	sort.Strings(names)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
