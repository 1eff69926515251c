package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// probe is one member being asked for a sign of life.
type probe struct {
	instance string
	sent     time.Time
	asked    bool
	// relay and relaySequence say for whom this node is probing.
	relay         string
	relaySequence uint64
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
	g.tell(&update{entry: next.Instance}, "")
}

// checkSuspects lets suspects die and forgets those long dead.
func (g *Gossiper) checkSuspects(now time.Time) {
	for name, m := range g.members {
		age := now.Sub(m.since)
		switch {
		case m.entry.State == control.State_STATE_SUSPECT && age >= suspicion:
			g.setState(m, control.State_STATE_DEAD, now)
		case m.entry.State == control.State_STATE_DEAD && age >= forgetAfter:
			g.table ^= entryHash(m.entry)
			g.services.put(m, nil)
			if !m.entry.Replica {
				g.beside--
			}
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
		packet := g.packet(control.Kind_KIND_UPDATE, 0)
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
