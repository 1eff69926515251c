package quarantiner

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// crashesToBar is at how many crashes a request must have been present.
	crashesToBar = 2
	// nameBytes of a digest name a request in what nodes tell each other.
	nameBytes = 8
	// partNames is how many requests one part of a crash names; parts must fit
	// into the share that crashes have of a datagram.
	partNames = 28
	// maxNames bounds the requests that are noted for one crash.
	maxNames = 512
	// maxSuspects bounds the memory for requests that are not barred, maxBarred
	// that for the others; the oldest make room.
	maxSuspects = 16384
	maxBarred   = 4096
	// maxCrashesOf bounds the crashes that are remembered of one request, and
	// toldCrashes those that other nodes are told.
	maxCrashesOf = 64
	toldCrashes  = 8
	// crashTerm is how long a crash counts against a request that is not barred.
	crashTerm = 10 * time.Minute
)

// name is the beginning of a digest.
type name uint64

func nameOf(digest []byte) name {
	if len(digest) < nameBytes {
		return 0
	}
	return name(binary.BigEndian.Uint64(digest))
}

func (n name) bytes() []byte { return binary.BigEndian.AppendUint64(nil, uint64(n)) }

// suspect is a request with the crashes at which it was present. Both sets
// only grow and the decision follows from them, so copies merge in any order.
type suspect struct {
	crashes []uint64
	cleared []uint64
	// told tells that the request was barred once, so that others know of it.
	told bool
	// at is when the first crash was heard of.
	at time.Time
}

// counting returns how many crashes still count against the request.
func (s *suspect) counting() int { return counting(s.crashes, s.cleared) }

func counting(crashes, cleared []uint64) int {
	n := 0
	for _, c := range crashes {
		if !slices.Contains(cleared, c) {
			n++
		}
	}
	return n
}

func (s *suspect) barred() bool { return s.counting() >= crashesToBar }

// add puts crashes into a set and tells whether one was new.
func add(set *[]uint64, crashes []uint64) bool {
	grown := false
	for _, c := range crashes {
		if !slices.Contains(*set, c) {
			*set, grown = append(*set, c), true
		}
	}
	return grown
}

// trim forgets the oldest crashes when there are too many, those first of which
// the request was cleared.
func (s *suspect) trim() {
	for len(s.crashes) > maxCrashesOf {
		oldest := max(slices.IndexFunc(s.crashes, s.isCleared), 0)
		s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
	}
	s.cleared = s.cleared[max(len(s.cleared)-maxCrashesOf, 0):]
}

func (s *suspect) isCleared(crash uint64) bool { return slices.Contains(s.cleared, crash) }

// Listener hears of decisions about requests, for the log.
type Listener interface {
	// Quarantined is called when a request is refused from now on.
	Quarantined(d Decision)
	// Cleared is called when a request that was refused is served again.
	Cleared(d Decision)
}

// Decision is what a decision about a request was made from.
type Decision struct {
	// Request is the beginning of the digest.
	Request []byte
	// Crashes at which the request ran, and those of which it was cleared.
	Crashes, Cleared []uint64
	// Age is the time since the first crash was heard of.
	Age time.Duration
}

// Quarantiner is the list of suspects of one node.
type Quarantiner struct {
	clock    timekeeper.Clock
	listener Listener

	mu       sync.Mutex
	suspects map[name]*suspect
	// order lists suspects by age, so that the oldest make room.
	order     []name
	barred    int
	digest    uint64
	successes successes
}

// New makes a quarantiner; the listener may be nil.
func New(clock timekeeper.Clock, l Listener) *Quarantiner {
	return &Quarantiner{clock: clock, listener: l, suspects: map[name]*suspect{}}
}

// IsQuarantined tells whether a request, by its digest, is refused.
func (q *Quarantiner) IsQuarantined(digest []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[nameOf(digest)]
	return ok && s.barred()
}

// RecordCrash notes the requests that were running at a crash, likely causes first.
// It returns the parts to tell other nodes, and what was decided.
func (q *Quarantiner) RecordCrash(id uint64, digests [][]byte) ([]*control.Crash, []*control.Suspect) {
	var parts []*control.Crash
	for part := range slices.Chunk(digests[:min(len(digests), maxNames)], partNames) {
		crash := &control.Crash{Id: id}
		for _, d := range part {
			if !q.succeeded(nameOf(d)) {
				crash.Digests = append(crash.Digests, nameOf(d).bytes()...)
			}
		}
		if len(crash.Digests) > 0 {
			parts = append(parts, crash)
		}
	}
	return q.MergeCrashes(parts)
}

func (q *Quarantiner) succeeded(n name) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.successes.has(n)
}

// MergeCrashes takes parts of crashes. It returns those that were news, and
// what was decided with them.
func (q *Quarantiner) MergeCrashes(parts []*control.Crash) ([]*control.Crash, []*control.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fresh []*control.Crash
	var decided []*control.Suspect
	for _, part := range parts {
		isNew := false
		for raw := range slices.Chunk(part.Digests, nameBytes) {
			n := nameOf(raw)
			grown, decision := q.merge(n, []uint64{part.Id}, nil)
			isNew = isNew || grown
			if decision {
				decided = append(decided, q.suspects[n].message(n))
			}
		}
		if isNew {
			fresh = append(fresh, part)
		}
	}
	return fresh, decided
}

// RecordSuccess notes that a target has answered a request with success: no crash so
// far was its doing. It returns what to tell other nodes.
func (q *Quarantiner) RecordSuccess(digest []byte) []*control.Suspect {
	n := nameOf(digest)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.successes.add(n, q.clock.Now())
	s, ok := q.suspects[n]
	if !ok || s.counting() == 0 {
		return nil
	}
	if _, decided := q.merge(n, nil, s.crashes); decided {
		return []*control.Suspect{s.message(n)}
	}
	return nil
}

// Merge takes decisions of other nodes. It returns those about which this node
// has something to tell: it learned from them, or knows better.
func (q *Quarantiner) Merge(list []*control.Suspect) []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fresh []*control.Suspect
	for _, m := range list {
		n := nameOf(m.Digest)
		grown, _ := q.merge(n, m.Crashes, m.Cleared)
		s := q.suspects[n]
		// The sender takes the request for barred, and does not know that it was
		// cleared of a crash here.
		better := counting(m.Crashes, m.Cleared) >= crashesToBar && !s.barred()
		if grown || better {
			s.told = true
			fresh = append(fresh, s.message(n))
		}
	}
	return fresh
}

// merge adds what is known of a request. It tells whether that was news and
// whether it changed the decision.
func (q *Quarantiner) merge(n name, crashes, cleared []uint64) (grown, decided bool) {
	now := q.clock.Now()
	s, ok := q.suspects[n]
	if ok && !s.told && now.Sub(s.at) > crashTerm {
		*s = suspect{at: now}
	}
	if !ok {
		q.makeRoom()
		s = &suspect{at: now}
		q.suspects[n] = s
		q.order = append(q.order, n)
	}
	before := s.barred()
	moreCrashes := add(&s.crashes, crashes)
	grown = add(&s.cleared, cleared) || moreCrashes
	if s.barred() && q.successes.has(n) {
		// The request has just succeeded here, so that it was a bystander.
		grown = add(&s.cleared, s.crashes) || grown
		s.told, decided = true, true
	}
	s.trim()
	if s.barred() != before {
		s.told, decided = true, true
		q.decide(n, s, now)
	}
	return grown, decided
}

// decide counts and reports a changed decision.
func (q *Quarantiner) decide(n name, s *suspect, now time.Time) {
	q.digest ^= xxhash.Sum64(n.bytes())
	d := Decision{Request: n.bytes(), Crashes: s.crashes, Cleared: s.cleared, Age: now.Sub(s.at)}
	if s.barred() {
		q.barred++
	} else {
		q.barred--
	}
	switch {
	case q.listener == nil:
	case s.barred():
		q.listener.Quarantined(d)
	default:
		q.listener.Cleared(d)
	}
}

// makeRoom forgets the oldest suspects when there are too many. Barred ones
// stay as long as there are not too many of these.
func (q *Quarantiner) makeRoom() {
	for range len(q.order) {
		if len(q.suspects)-q.barred < maxSuspects && q.barred < maxBarred {
			return
		}
		n := q.order[0]
		q.order = q.order[1:]
		s := q.suspects[n]
		if s.barred() && q.barred < maxBarred {
			q.order = append(q.order, n)
			continue
		}
		if s.barred() {
			q.barred--
			q.digest ^= xxhash.Sum64(n.bytes())
		}
		delete(q.suspects, n)
	}
}

// message holds the newest crashes, those first that count.
func (s *suspect) message(n name) *control.Suspect {
	m := &control.Suspect{Digest: n.bytes()}
	for _, cleared := range []bool{false, true} {
		for _, c := range slices.Backward(s.crashes) {
			if len(m.Crashes) < toldCrashes && s.isCleared(c) == cleared {
				m.Crashes = append(m.Crashes, c)
			}
		}
	}
	for _, c := range m.Crashes {
		if s.isCleared(c) {
			m.Cleared = append(m.Cleared, c)
		}
	}
	return m
}

// All returns every request that was ever barred.
func (q *Quarantiner) All() []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []*control.Suspect
	for n, s := range q.suspects {
		if s.told {
			list = append(list, s.message(n))
		}
	}
	return list
}

// Digest is equal for equal sets of barred requests.
func (q *Quarantiner) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.digest
}

// Count returns how many requests are suspects, and how many of them are
// barred.
func (q *Quarantiner) Count() (suspects, barred int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects), q.barred
}
