package gossiper

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// bucketCount is the number of buckets by which a sync compares two tables.
const bucketCount = 64

// member is an entry with this node's local data about it.
type member struct {
	entry *control.Entry
	// updatedAt is when this node stored the entry, by its own clock. After a pause
	// of the process it is the end of the pause for suspects.
	updatedAt time.Time
	// notAliveSince is when the state stopped being alive; zero while it is alive.
	notAliveSince time.Time
	// leftLife is the last life of the member's target that has left. It outlives the
	// member's process, which forgets it in a restart.
	leftLife string
}

// leftLife returns the life of the target that has left, as an entry states by naming a
// life and neither service nor slots; empty if there is none. The entry of a stopping node
// keeps the slots: its target goes on.
func leftLife(e *control.Entry) string {
	if e.Service != "" || e.Slots != 0 {
		return ""
	}
	return e.Life
}

// announcesLeftLife reports whether the entry announces a life that had left before.
func (m *member) announcesLeftLife() bool {
	return m.leftLife != "" && m.entry.Life == m.leftLife
}

// supersedes reports whether entry a is newer than b. The higher incarnation wins;
// at the same one a dead entry wins, then the higher stamp, then the higher state
// number: leaving before suspect before alive. So the suspicion of an alive member
// spreads until the member itself refutes it.
func supersedes(a, b *control.Entry) bool {
	if b == nil {
		return true
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State == control.State_STATE_DEAD || b.State == control.State_STATE_DEAD {
		return a.State > b.State
	}
	if a.Stamp != b.Stamp {
		return a.Stamp > b.Stamp
	}
	return a.State > b.State
}

func bucketOf(instance string) int {
	return int(xxhash.Sum64String(instance) % bucketCount)
}

// entryHash hashes all fields of an entry.
func entryHash(e *control.Entry) uint64 {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// buckets returns one hash for each bucket of the table.
func (g *Gossiper) buckets() []uint64 {
	sums := make([]uint64, bucketCount)
	for name, m := range g.members {
		sums[bucketOf(name)] ^= entryHash(m.entry)
	}
	return sums
}

// differingEntries returns the entries in the buckets whose hashes differ.
func (g *Gossiper) differingEntries(theirs []uint64) []*control.Entry {
	if len(theirs) != bucketCount {
		return nil
	}
	ours := g.buckets()
	var entries []*control.Entry
	for name, m := range g.members {
		if b := bucketOf(name); ours[b] != theirs[b] {
			entries = append(entries, m.entry)
		}
	}
	return entries
}

// Members returns all entries of the table, sorted by instance name.
func (g *Gossiper) Members() []*control.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := make([]*control.Entry, 0, len(g.members))
	for _, m := range g.members {
		entries = append(entries, m.entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Instance < entries[j].Instance })
	return entries
}

// Member returns the entry of one instance, or nil.
func (g *Gossiper) Member(instance string) *control.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[instance]; ok {
		return m.entry
	}
	return nil
}

// ServiceMembers lists the members that announce a service and take new work,
// sorted by instance name. The slice is never modified: after a change of one of
// the members the next call returns another slice.
func (g *Gossiper) ServiceMembers(name string) []*control.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceIndex.list(name)
}

// NonReplicaCount returns the number of members that aren't replicas, dead ones
// included.
func (g *Gossiper) NonReplicaCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nonReplicas
}

// CentreOf returns the data centre of the node at an address, or "" if unknown.
func (g *Gossiper) CentreOf(address string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.centreByAddress[address]
}

// Replicas lists the replicas that nodes have announced, dead nodes included, and
// since when each node has been unreachable.
func (g *Gossiper) Replicas() []healer.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := map[string]*member{}
	for _, m := range g.members {
		if !m.entry.Replica {
			continue
		}
		// Of two instance names at one address the higher incarnation is current.
		if old, ok := newest[m.entry.Address]; !ok || m.entry.Incarnation > old.entry.Incarnation {
			newest[m.entry.Address] = m
		}
	}
	var list []healer.Replica
	for address, m := range newest {
		r := healer.Replica{Identity: m.entry.Identity, Address: address, Centre: m.entry.Centre}
		if m.entry.State != control.State_STATE_ALIVE {
			r.UnreachableSince = m.notAliveSince
		}
		list = append(list, r)
	}
	return list
}
