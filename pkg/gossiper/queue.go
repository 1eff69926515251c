package gossiper

import (
	"container/heap"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// kind orders updates by urgency. Each kind has a share of every packet of its
// own, so that none waits behind another.
type kind int

const (
	// kindSuspect is a decision about a request that ran at crashes.
	kindSuspect kind = iota
	kindWithdrawn
	// kindEntry is a member.
	kindEntry
	// kindCrash is a part of the requests of a crash.
	kindCrash
	kinds
)

const (
	// spreadFactor times log2 of the fleet is how often an update is sent on.
	spreadFactor = 4
	// crashSends is how often each node sends a part of a crash on: enough for it
	// to reach nearly all. One node that has the parts of two crashes is enough
	// to find a request that ran at both.
	crashSends = 6
	// maxCrashes bounds the parts of crashes that wait; those sent most often
	// make room.
	maxCrashes = 512
	// fieldBytes is what the name and length of a field take in a packet.
	fieldBytes = 4
)

// update is one thing to tell, with how often it is still to be sent. Exactly
// one of the first four fields is set.
type update struct {
	entry     string
	withdrawn []byte
	suspect   *control.Suspect
	crash     *control.Crash

	sent, left int
	// order is that of arrival.
	order uint64
	index int
}

func (u *update) kind() kind {
	switch {
	case u.suspect != nil:
		return kindSuspect
	case u.withdrawn != nil:
		return kindWithdrawn
	case u.crash != nil:
		return kindCrash
	}
	return kindEntry
}

// key is equal for updates of which the newer one replaces the older one.
func (u *update) key() string {
	switch u.kind() {
	case kindSuspect:
		return "s" + string(u.suspect.Digest)
	case kindEntry:
		return "e" + u.entry
	}
	return ""
}

// updateHeap has the update first that was sent least often, then the oldest.
type updateHeap []*update

// Len implements heap.Interface.
func (h updateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h updateHeap) Less(i, j int) bool {
	if h[i].sent != h[j].sent {
		return h[i].sent < h[j].sent
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h updateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *updateHeap) Push(x any) {
	u := x.(*update)
	u.index = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *updateHeap) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return u
}

// queue holds what is to be told, by kind. The zero value works.
type queue struct {
	waiting [kinds]updateHeap
	byKey   map[string]*update
	arrived uint64
}

// add takes an update, in place of an older one about the same thing.
func (q *queue) add(u *update) {
	q.arrived++
	u.order = q.arrived
	h := &q.waiting[u.kind()]
	if key := u.key(); key != "" {
		if q.byKey == nil {
			q.byKey = map[string]*update{}
		}
		if old, ok := q.byKey[key]; ok {
			heap.Remove(h, old.index)
		}
		q.byKey[key] = u
	}
	heap.Push(h, u)
	if u.crash != nil && h.Len() > maxCrashes {
		q.dropMostSent(h)
	}
}

// dropMostSent makes room among updates without a key.
func (q *queue) dropMostSent(h *updateHeap) {
	most := (*h)[0]
	for _, u := range *h {
		if u.sent > most.sent {
			most = u
		}
	}
	heap.Remove(h, most.index)
}

// len is how many updates wait.
func (q *queue) len() int {
	n := 0
	for _, h := range q.waiting {
		n += h.Len()
	}
	return n
}

// take picks updates for a packet with room for so many bytes. Each kind may
// fill its share, and go over it with the last one if that still fits; what is
// left goes to the most urgent.
func (q *queue) take(room int, size func(*update) int) []*update {
	var taken []*update
	share := room / int(kinds)
	for k := range kinds {
		used := 0
		for used < share {
			u := q.next(k, room, size)
			if u == nil {
				break
			}
			used += size(u)
			room -= size(u)
			taken = append(taken, u)
		}
	}
	for k := range kinds {
		for u := q.next(k, room, size); u != nil; u = q.next(k, room, size) {
			room -= size(u)
			taken = append(taken, u)
		}
	}
	for _, u := range taken {
		q.finish(u)
	}
	return taken
}

// next takes the first update of a kind out of the queue if it fits.
func (q *queue) next(k kind, room int, size func(*update) int) *update {
	h := &q.waiting[k]
	if h.Len() == 0 || size((*h)[0]) > room {
		return nil
	}
	return heap.Pop(h).(*update)
}

// finish notes that an update was sent, and puts it back if it is to be sent
// again.
func (q *queue) finish(u *update) {
	u.sent++
	u.left--
	if u.left > 0 {
		heap.Push(&q.waiting[u.kind()], u)
		return
	}
	if key := u.key(); key != "" {
		delete(q.byKey, key)
	}
}

// size is what an update takes in a packet.
func (g *Gossiper) size(u *update) int {
	switch u.kind() {
	case kindSuspect:
		return proto.Size(u.suspect) + fieldBytes
	case kindWithdrawn:
		return len(u.withdrawn) + fieldBytes
	case kindCrash:
		return proto.Size(u.crash) + fieldBytes
	}
	m, ok := g.members[u.entry]
	if !ok {
		return 0
	}
	return proto.Size(m.entry) + fieldBytes
}

// putUpdate adds an update to a packet.
func (g *Gossiper) putUpdate(p *control.Packet, u *update) {
	switch u.kind() {
	case kindSuspect:
		p.Suspects = append(p.Suspects, u.suspect)
	case kindWithdrawn:
		p.Withdrawn = append(p.Withdrawn, u.withdrawn)
	case kindCrash:
		p.Crashes = append(p.Crashes, u.crash)
	case kindEntry:
		if m, ok := g.members[u.entry]; ok {
			p.Entries = append(p.Entries, m.entry)
		}
	}
}
