package gossiper

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// maxTwoStrideRing is the size up to which two strides are enough for an update
	// to reach all members of a ring within a second, at one hop per tick; larger
	// rings have three strides.
	maxTwoStrideRing = 64
	// centreCopies is about how many copies of an update a data centre gets from
	// the others, so that it arrives despite lost datagrams and frozen bridges.
	centreCopies = 4
)

// topology decides to whom this node sends updates. The members of a data centre
// that aren't dead form a ring, sorted by instance name; each forwards updates to
// the members at certain strides from it in the ring, its neighbours. For each
// other data centre a few of them, the bridges, forward updates there.
type topology struct {
	// centres holds the members of each data centre, sorted by instance name.
	centres map[string][]*control.Entry
	// otherCentres are the names of the other data centres, sorted.
	otherCentres []string
	// bridgedCentres are those to which this node is a bridge.
	bridgedCentres map[string]bool
	neighbours     []*control.Entry
}

// currentTopology returns the topology, recomputed if members have joined or left.
func (g *Gossiper) currentTopology() *topology {
	if g.topology != nil {
		return g.topology
	}
	t := &topology{centres: map[string][]*control.Entry{}, bridgedCentres: map[string]bool{}}
	for _, m := range g.members {
		if m.entry.State != control.State_STATE_DEAD || m.entry.Instance == g.self.Instance {
			t.centres[m.entry.Centre] = append(t.centres[m.entry.Centre], m.entry)
		}
	}
	for name, list := range t.centres {
		sortEntries(list)
		if name != g.self.Centre {
			t.otherCentres = append(t.otherCentres, name)
		}
	}
	slices.Sort(t.otherCentres)
	ring := t.centres[g.self.Centre]
	ownIndex, _ := slices.BinarySearchFunc(ring, g.self.Instance, func(e *control.Entry, name string) int {
		return strings.Compare(e.Instance, name)
	})
	t.neighbours = ringNeighbours(ring, ownIndex)
	for _, name := range t.otherCentres {
		first := int(xxhash.Sum64String(name) % uint64(len(ring)))
		for i := range bridgeCount(len(t.otherCentres)) {
			t.bridgedCentres[name] = t.bridgedCentres[name] || (first+i)%len(ring) == ownIndex
		}
	}
	g.topology = t
	return t
}

// bridgeCount returns how many members of a data centre are bridges to each other
// one, given the number of other data centres.
func bridgeCount(others int) int {
	return (centreCopies + others - 1) / max(1, others)
}

// ringNeighbours returns the members of a ring at the strides from one of them, in
// both directions.
func ringNeighbours(ring []*control.Entry, ownIndex int) []*control.Entry {
	var near []*control.Entry
	size := len(ring)
	for _, stride := range strides(size) {
		for _, at := range []int{(ownIndex + stride) % size, ((ownIndex-stride)%size + size) % size} {
			if at != ownIndex && !slices.Contains(near, ring[at]) {
				near = append(near, ring[at])
			}
		}
	}
	return near
}

// strides returns the distances in a ring at which members are neighbours.
func strides(size int) []int {
	if size <= maxTwoStrideRing {
		return []int{1, max(2, int(math.Sqrt(float64(size))))}
	}
	root := int(math.Cbrt(float64(size)))
	return []int{1, root, root * root}
}
