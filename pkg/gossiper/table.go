package gossiper

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// bucketCount is the number of parts in which tables are compared.
const bucketCount = 64

// member is an entry with what only this node knows about it.
type member struct {
	entry *control.Entry
	// since is when the entry got its state, on this node's clock.
	since time.Time
	// silent is when the entry stopped being alive; zero while it is.
	silent time.Time
}

// supersedes tells whether entry a says something newer than b. At the same
// incarnation and stamp the worse state wins, so that doubt spreads until the
// member itself refutes it.
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

// entryHash changes whenever the entry does.
func entryHash(e *control.Entry) uint64 {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// buckets returns one hash for each part of the table.
func (g *Gossiper) buckets() []uint64 {
	sums := make([]uint64, bucketCount)
	for name, m := range g.members {
		sums[bucketOf(name)] ^= entryHash(m.entry)
	}
	return sums
}

// differing returns the entries in the buckets whose hashes differ.
func (g *Gossiper) differing(theirs []uint64) []*control.Entry {
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

// Members returns the table in order of instance names.
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

// ServiceMembers lists the members that announce a service and take new work, in order
// of their names. A list is never changed; a change of one of its members makes
// another one.
func (g *Gossiper) ServiceMembers(name string) []*control.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services.list(name)
}

// NonReplicaCount is how many members are known that are no replicas, dead ones included.
func (g *Gossiper) NonReplicaCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.beside
}

// CentreOf returns the data centre of the node at an address; empty when it is
// not known.
func (g *Gossiper) CentreOf(address string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.places[address]
}

// Replicas lists the disks that nodes have announced, dead nodes included, and
// since when each node has been out of reach.
func (g *Gossiper) Replicas() []healer.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := map[string]*member{}
	for _, m := range g.members {
		if !m.entry.Replica {
			continue
		}
		// Two names at one address: the later life is the one that is there.
		if old, ok := newest[m.entry.Address]; !ok || m.entry.Incarnation > old.entry.Incarnation {
			newest[m.entry.Address] = m
		}
	}
	var list []healer.Replica
	for address, m := range newest {
		r := healer.Replica{Identity: m.entry.Identity, Address: address, Centre: m.entry.Centre}
		if m.entry.State != control.State_STATE_ALIVE {
			r.UnreachableSince = m.silent
		}
		list = append(list, r)
	}
	return list
}
