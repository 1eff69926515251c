package gossiper

import (
	"math/bits"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// update is one thing to tell, with how often it is still to be sent.
type update struct {
	entry     string
	withdrawn []byte
	suspect   *control.Suspect
	left      int
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
		g.tell(&update{withdrawn: h})
	}
	for _, s := range suspects {
		g.tell(&update{suspect: s})
	}
}

func (g *Gossiper) tell(r *update) {
	r.left = g.transmissions()
	for i, old := range g.updates {
		if r.entry != "" && old.entry == r.entry {
			g.updates[i] = r
			return
		}
	}
	g.updates = append(g.updates, r)
}

// Waiting is how many updates are still to be told.
func (g *Gossiper) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.updates)
}

// transmissions is how often an update is sent on by each node.
func (g *Gossiper) transmissions() int {
	return spreadFactor * bits.Len(uint(len(g.members)))
}

// sendUpdates sends what is to be told to a few random members.
func (g *Gossiper) sendUpdates() []letter {
	if len(g.updates) == 0 && g.spread == 0 {
		return nil
	}
	var out []letter
	for _, e := range g.pick(fanout, "") {
		out = append(out, letter{address: e.Address, packet: g.packet(control.Kind_KIND_UPDATE, 0)})
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

// packet fills a packet with as many updates as fit.
func (g *Gossiper) packet(kind control.Kind, sequence uint64) *control.Packet {
	p := &control.Packet{
		Kind: kind, Sequence: sequence, From: g.self.Instance,
		Address: g.self.Address, Version: g.source.Version(),
	}
	if len(g.heard) == 0 || kind == control.Kind_KIND_PING {
		p.Entries = append(p.Entries, g.self)
	}
	size := proto.Size(p)
	kept := g.updates[:0]
	for _, r := range g.updates {
		if size < packetBytes {
			size += g.addUpdate(p, r)
			r.left--
		}
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	g.updates = kept
	return p
}

func (g *Gossiper) addUpdate(p *control.Packet, r *update) int {
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
