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

// kind orders updates by urgency. Each kind has a reserved share of every
// packet, so that no kind starves another.
type kind int

const (
	// kindSuspect is a quarantine decision about a request that was in flight when
	// targets crashed.
	kindSuspect kind = iota
	// kindWithdrawn is a withdrawn key.
	kindWithdrawn
	// kindEntry is the table entry of a member.
	kindEntry
	// kindCrash is a part of the list of requests in flight at a crash.
	kindCrash
	kindCount
)

const (
	// maxQueuedCrashes bounds the queued parts of crashes; beyond it the part that
	// was sent most often is dropped.
	maxQueuedCrashes = 512
	// fieldOverheadBytes bounds the encoded size of a field's tag and length.
	fieldOverheadBytes = 4
)

// update is one change to spread. Exactly one of the first four fields is set,
// except in Gossiper.versionUpdate, where none is. entry is an instance name: the
// packet gets the entry that the table holds when it is sent.
type update struct {
	entry     string
	withdrawn []byte
	suspect   *control.Suspect
	crash     *control.Crash

	// toAllCentres is set if this node sends the update to every other data centre,
	// not only to those to which it is a bridge: for updates that originate here.
	toAllCentres bool
	// knownBy are the members that have the update: it was received from them or
	// sent to them. knownInCentres are their data centres.
	knownBy, knownInCentres []string
	sent                    int
	// arrival numbers updates in the order in which they were queued.
	arrival  uint64
	queuedAt time.Time
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

// key is equal for two updates about the same thing; the newer one replaces the
// older one in the queue.
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

// markKnown records that a member has the update.
func (u *update) markKnown(instance, centre string) {
	if !slices.Contains(u.knownBy, instance) {
		u.knownBy = append(u.knownBy, instance)
	}
	if !slices.Contains(u.knownInCentres, centre) {
		u.knownInCentres = append(u.knownInCentres, centre)
	}
}

// queue holds the updates to spread, by key. The zero value works.
type queue struct {
	pending  map[string]*update
	counts   [kindCount]int
	arrivals uint64
}

// add queues an update and replaces an older one with the same key.
func (q *queue) add(u *update) {
	if q.pending == nil {
		q.pending = map[string]*update{}
	}
	q.arrivals++
	u.arrival = q.arrivals
	key := u.key()
	if _, ok := q.pending[key]; !ok {
		q.counts[u.kind()]++
	}
	q.pending[key] = u
	if u.crash != nil && q.counts[kindCrash] > maxQueuedCrashes {
		q.dropMostSent(kindCrash)
	}
}

// find returns the queued update with the same key as u, or nil.
func (q *queue) find(u *update) *update { return q.pending[u.key()] }

func (q *queue) remove(u *update) {
	delete(q.pending, u.key())
	q.counts[u.kind()]--
}

// dropMostSent drops the update of a kind that was sent most often; of several the
// oldest.
func (q *queue) dropMostSent(k kind) {
	var mostSent *update
	for _, u := range q.pending {
		if u.kind() == k && (mostSent == nil || u.sent > mostSent.sent || u.sent == mostSent.sent && u.arrival < mostSent.arrival) {
			mostSent = u
		}
	}
	q.remove(mostSent)
}

// len returns the number of queued updates.
func (q *queue) len() int { return len(q.pending) }

// sorted lists the queued updates: least often sent first, then oldest first.
func (q *queue) sorted() []*update {
	list := make([]*update, 0, len(q.pending))
	for _, u := range q.pending {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *update) int {
		if a.sent != b.sent {
			return cmp.Compare(a.sent, b.sent)
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	return list
}

// batch lists the updates to send to one member, by kind.
type batch struct {
	to    *control.Entry
	lists [kindCount][]*update
}

func (b *batch) add(u *update) { b.lists[u.kind()] = append(b.lists[u.kind()], u) }

// take removes from the batch the updates for a packet with bytesLeft free bytes.
// Each kind may fill an equal share, and exceed it by its last update if that still
// fits; the remaining bytes go to the kinds in order of urgency.
func (b *batch) take(bytesLeft int, size func(*update) int) []*update {
	var taken []*update
	share := bytesLeft / int(kindCount)
	for k := range kindCount {
		used := 0
		for used < share {
			u := b.takeNext(k, bytesLeft, size)
			if u == nil {
				break
			}
			used += size(u)
			bytesLeft -= size(u)
			taken = append(taken, u)
		}
	}
	for k := range kindCount {
		for u := b.takeNext(k, bytesLeft, size); u != nil; u = b.takeNext(k, bytesLeft, size) {
			bytesLeft -= size(u)
			taken = append(taken, u)
		}
	}
	return taken
}

// takeNext removes the first update of a kind from the batch and returns it; nil
// if there is none or it doesn't fit.
func (b *batch) takeNext(k kind, bytesLeft int, size func(*update) int) *update {
	list := b.lists[k]
	if len(list) == 0 || size(list[0]) > bytesLeft {
		return nil
	}
	b.lists[k] = list[1:]
	return list[0]
}

// updateSize returns the encoded size of an update in a packet.
func (g *Gossiper) updateSize(u *update) int {
	switch u.kind() {
	case kindSuspect:
		return proto.Size(u.suspect) + fieldOverheadBytes
	case kindWithdrawn:
		return len(u.withdrawn) + fieldOverheadBytes
	case kindCrash:
		return proto.Size(u.crash) + fieldOverheadBytes
	}
	m, ok := g.members[u.entry]
	if !ok {
		return 0
	}
	return proto.Size(m.entry) + fieldOverheadBytes
}

// appendUpdate adds an update to a packet.
func (g *Gossiper) appendUpdate(p *control.Packet, u *update) {
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
