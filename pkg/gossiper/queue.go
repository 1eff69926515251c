package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// maxCrashes bounds the parts of crashes that wait; those sent most often
	// make room.
	maxCrashes = 512
	// fieldBytes is what the name and length of a field take in a packet.
	fieldBytes = 4
)

// update is one thing to tell. Exactly one of the first four fields is set.
type update struct {
	entry     string
	withdrawn []byte
	suspect   *control.Suspect
	crash     *control.Crash

	// own tells that it was first told by this node.
	own bool
	// known are the members that have it: it came from them or was sent to
	// them. knownIn are the data centres of which one has it.
	known, knownIn []string
	sent           int
	// order is that of arrival, at since.
	order uint64
	since time.Time
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
	case kindWithdrawn:
		return "w" + string(u.withdrawn)
	case kindCrash:
		key := binary.BigEndian.AppendUint64([]byte("c"), u.crash.Id)
		return string(binary.BigEndian.AppendUint64(key, xxhash.Sum64(u.crash.Digests)))
	}
	return "e" + u.entry
}

// know notes that a member has the update.
func (u *update) know(instance, centre string) {
	if !slices.Contains(u.known, instance) {
		u.known = append(u.known, instance)
	}
	if !slices.Contains(u.knownIn, centre) {
		u.knownIn = append(u.knownIn, centre)
	}
}

// queue holds what is to be told, by key. The zero value works.
type queue struct {
	waiting map[string]*update
	counts  [kinds]int
	arrived uint64
}

// add takes an update, in place of an older one about the same thing.
func (q *queue) add(u *update) {
	if q.waiting == nil {
		q.waiting = map[string]*update{}
	}
	q.arrived++
	u.order = q.arrived
	key := u.key()
	if _, ok := q.waiting[key]; !ok {
		q.counts[u.kind()]++
	}
	q.waiting[key] = u
	if u.crash != nil && q.counts[kindCrash] > maxCrashes {
		q.dropMostSent(kindCrash)
	}
}

// find returns the update that waits about the same thing as another one.
func (q *queue) find(u *update) *update { return q.waiting[u.key()] }

func (q *queue) drop(u *update) {
	delete(q.waiting, u.key())
	q.counts[u.kind()]--
}

func (q *queue) dropMostSent(k kind) {
	var most *update
	for _, u := range q.waiting {
		if u.kind() == k && (most == nil || u.sent > most.sent || u.sent == most.sent && u.order < most.order) {
			most = u
		}
	}
	q.drop(most)
}

// len is how many updates wait.
func (q *queue) len() int { return len(q.waiting) }

// inOrder lists what waits: what was sent least often first, then the oldest.
func (q *queue) inOrder() []*update {
	list := make([]*update, 0, len(q.waiting))
	for _, u := range q.waiting {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *update) int {
		if a.sent != b.sent {
			return cmp.Compare(a.sent, b.sent)
		}
		return cmp.Compare(a.order, b.order)
	})
	return list
}

// batch is what one member is still to be told, by kind.
type batch struct {
	to    *control.Entry
	lists [kinds][]*update
}

func (b *batch) add(u *update) { b.lists[u.kind()] = append(b.lists[u.kind()], u) }

// take picks updates for a packet with room for so many bytes. Each kind may
// fill its share, and go over it with the last one if that still fits; what is
// left goes to the most urgent.
func (b *batch) take(room int, size func(*update) int) []*update {
	var taken []*update
	share := room / int(kinds)
	for k := range kinds {
		used := 0
		for used < share {
			u := b.next(k, room, size)
			if u == nil {
				break
			}
			used += size(u)
			room -= size(u)
			taken = append(taken, u)
		}
	}
	for k := range kinds {
		for u := b.next(k, room, size); u != nil; u = b.next(k, room, size) {
			room -= size(u)
			taken = append(taken, u)
		}
	}
	return taken
}

// next takes the first update of a kind out of the batch if it fits.
func (b *batch) next(k kind, room int, size func(*update) int) *update {
	list := b.lists[k]
	if len(list) == 0 || size(list[0]) > room {
		return nil
	}
	b.lists[k] = list[1:]
	return list[0]
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
