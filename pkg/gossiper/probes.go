package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// probe is a ping that has not been answered yet.
type probe struct {
	// instance is the probed member; empty for probes on behalf of another node.
	instance string
	sent     time.Time
	// helpersAsked is set once this node has requested indirect probes.
	helpersAsked bool
	// requester is the address of the node that asked for this probe, and
	// requesterSequence the number of its own probe; empty for probes of this node.
	requester         string
	requesterSequence uint64
}

// resumeAfterPause drops open probes and restarts the timeouts of suspects after
// a pause of this process: it could not have received their answers.
func (g *Gossiper) resumeAfterPause(now time.Time) {
	g.probes = map[uint64]*probe{}
	for _, m := range g.members {
		if m.entry.State == control.State_STATE_SUSPECT {
			m.updatedAt = now
		}
	}
}

// checkProbes requests indirect probes of members that haven't answered, and
// marks those as suspects whose probe has timed out.
func (g *Gossiper) checkProbes(now time.Time) []outgoing {
	var out []outgoing
	for sequence, p := range g.probes {
		age := now.Sub(p.sent)
		if age >= probeTimeout {
			delete(g.probes, sequence)
			if p.requester == "" {
				g.markSuspect(p.instance, now)
			}
			continue
		}
		if age >= directProbeTimeout && !p.helpersAsked && p.requester == "" {
			p.helpersAsked = true
			out = append(out, g.requestIndirectProbes(sequence, p)...)
		}
	}
	return out
}

// requestIndirectProbes asks random members to probe a member that hasn't answered.
func (g *Gossiper) requestIndirectProbes(sequence uint64, p *probe) []outgoing {
	m, ok := g.members[p.instance]
	if !ok {
		return nil
	}
	var out []outgoing
	for _, e := range g.randomMembers(indirectProbeCount, p.instance) {
		packet := g.packet(control.Kind_KIND_ASK, sequence)
		packet.Target = m.entry.Address
		out = append(out, outgoing{address: e.Address, packet: packet})
	}
	return out
}

// markSuspect makes a member a suspect if it is alive or leaving.
func (g *Gossiper) markSuspect(instance string, now time.Time) {
	m, ok := g.members[instance]
	if !ok || (m.entry.State != control.State_STATE_ALIVE && m.entry.State != control.State_STATE_LEAVING) {
		return
	}
	g.setState(m, control.State_STATE_SUSPECT, now)
}

// setState changes the state of a member and spreads the change.
func (g *Gossiper) setState(m *member, state control.State, now time.Time) {
	next := proto.Clone(m.entry).(*control.Entry)
	next.State = state
	g.store(next, now)
	g.enqueue(&update{entry: next.Instance}, "")
}

// checkSuspects declares suspects dead after suspicionTimeout and removes dead
// members after deadMemberTTL.
func (g *Gossiper) checkSuspects(now time.Time) {
	for name, m := range g.members {
		age := now.Sub(m.updatedAt)
		switch {
		case m.entry.State == control.State_STATE_SUSPECT && age >= suspicionTimeout:
			g.setState(m, control.State_STATE_DEAD, now)
		case m.entry.State == control.State_STATE_DEAD && age >= deadMemberTTL:
			g.table ^= entryHash(m.entry)
			g.serviceIndex.store(m, nil)
			if !m.entry.Replica {
				g.nonReplicas--
			}
			delete(g.members, name)
			g.generation++
		}
	}
}

// startProbe pings the next member. If a seed or a dead member is out of reach,
// it also sends this node's entry to one of them, so that the sides of a healed
// partition rejoin.
func (g *Gossiper) startProbe(now time.Time) []outgoing {
	var out []outgoing
	for range 2 {
		if e := g.nextToProbe(); e != nil {
			g.sequence++
			g.probes[g.sequence] = &probe{instance: e.Instance, sent: now}
			out = append(out, outgoing{address: e.Address, packet: g.packet(control.Kind_KIND_PING, g.sequence)})
			break
		}
	}
	if address := g.unreachableAddress(); address != "" {
		packet := g.packet(control.Kind_KIND_UPDATE, 0)
		packet.Entries = append(packet.Entries, g.self)
		out = append(out, outgoing{address: address, packet: packet})
	}
	return out
}

// nextToProbe returns the next member that isn't dead. At the end of a round it
// shuffles the members for the next round and returns nil.
func (g *Gossiper) nextToProbe() *control.Entry {
	for len(g.probeOrder) > 0 {
		name := g.probeOrder[0]
		g.probeOrder = g.probeOrder[1:]
		m, ok := g.members[name]
		if ok && m.entry.State != control.State_STATE_DEAD {
			return m.entry
		}
	}
	for name := range g.members {
		if name != g.self.Instance {
			g.probeOrder = append(g.probeOrder, name)
		}
	}
	sortAndShuffle(g.random, g.probeOrder)
	return nil
}

// unreachableAddress returns, at random, the address of a dead member or of a
// seed at which the table has no live member; empty if there is none.
func (g *Gossiper) unreachableAddress() string {
	known := map[string]bool{}
	var candidates []string
	for _, m := range g.members {
		if m.entry.State == control.State_STATE_DEAD {
			candidates = append(candidates, m.entry.Address)
			continue
		}
		known[m.entry.Address] = true
	}
	for _, s := range g.seeds {
		if !known[s] {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[g.random.IntN(len(candidates))]
}
