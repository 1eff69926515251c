package gossiper

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// smallRing is up to which size two strides keep a ring's diameter within a
	// second of ticks; larger ones have three.
	smallRing = 64
	// centreCopies is about how many copies of an update a data centre gets from
	// the others, so that lost datagrams and frozen bridges don't keep it out.
	centreCopies = 4
)

// view is what updates are sent by: the members that are not dead, by data
// centre, in order of their names. The members of the own data centre form a
// ring with strides; each passes updates on to its neighbours there. A few
// members of each data centre, its bridges, pass them on to another one.
type view struct {
	centres map[string][]*control.Entry
	// others are the names of the other data centres, in order.
	others []string
	// bridged are those to which this node is a bridge.
	bridged map[string]bool
	near    []*control.Entry
}

// look returns the view, made anew when members have come or gone.
func (g *Gossiper) look() *view {
	if g.view != nil {
		return g.view
	}
	v := &view{centres: map[string][]*control.Entry{}, bridged: map[string]bool{}}
	for _, m := range g.members {
		if m.entry.State != control.State_STATE_DEAD || m.entry.Instance == g.self.Instance {
			v.centres[m.entry.Centre] = append(v.centres[m.entry.Centre], m.entry)
		}
	}
	for name, list := range v.centres {
		sortEntries(list)
		if name != g.self.Centre {
			v.others = append(v.others, name)
		}
	}
	slices.Sort(v.others)
	ring := v.centres[g.self.Centre]
	own, _ := slices.BinarySearchFunc(ring, g.self.Instance, func(e *control.Entry, name string) int {
		return strings.Compare(e.Instance, name)
	})
	v.near = neighbours(ring, own)
	for _, name := range v.others {
		first := int(xxhash.Sum64String(name) % uint64(len(ring)))
		for i := range bridgeCount(len(v.others)) {
			v.bridged[name] = v.bridged[name] || (first+i)%len(ring) == own
		}
	}
	g.view = v
	return v
}

// bridgeCount is how many members of a data centre pass updates on to each of
// the others.
func bridgeCount(others int) int {
	return (centreCopies + others - 1) / max(1, others)
}

// neighbours are the members of a ring at the strides from one of them, both
// ways.
func neighbours(ring []*control.Entry, own int) []*control.Entry {
	var near []*control.Entry
	size := len(ring)
	for _, stride := range strides(size) {
		for _, at := range []int{(own + stride) % size, ((own-stride)%size + size) % size} {
			if at != own && !slices.Contains(near, ring[at]) {
				near = append(near, ring[at])
			}
		}
	}
	return near
}

func strides(size int) []int {
	if size <= smallRing {
		return []int{1, max(2, int(math.Sqrt(float64(size))))}
	}
	root := int(math.Cbrt(float64(size)))
	return []int{1, root, root * root}
}
