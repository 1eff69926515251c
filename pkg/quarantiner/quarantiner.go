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
	// quarantineCrashes is the number of crashes at which a request is
	// quarantined.
	quarantineCrashes = 2
	// keyBytes is the length of the digest prefix that identifies a request in
	// announcements.
	keyBytes = 8
	// maxPartRequests bounds the requests listed in one part of a crash; a part
	// must fit into the share of a datagram that is reserved for crashes.
	maxPartRequests = 28
	// maxCrashRequests bounds the requests recorded for one crash.
	maxCrashRequests = 512
	// maxSuspects bounds the suspects that are not quarantined, maxQuarantined
	// those that are; the oldest are evicted.
	maxSuspects    = 16384
	maxQuarantined = 4096
	// maxCrashesPerRequest bounds the crashes stored for one request,
	// maxAnnouncedCrashes those announced to other nodes.
	maxCrashesPerRequest = 64
	maxAnnouncedCrashes  = 8
	// crashTTL is for how long after this node learned of a request's first crash
	// its crashes count, unless a decision about the request has been made. The
	// next crash after that is counted as the first one.
	crashTTL = 10 * time.Minute
)

// requestKey identifies a request by the first bytes of its digest.
type requestKey uint64

func keyOf(digest []byte) requestKey {
	if len(digest) < keyBytes {
		return 0
	}
	return requestKey(binary.BigEndian.Uint64(digest))
}

func (k requestKey) bytes() []byte { return binary.BigEndian.AppendUint64(nil, uint64(k)) }

// suspect is a request with the crashes at which it was in flight. Up to the
// bounds above, merging only adds to the two sets; the decision follows from
// them, so the order in which a node merges announcements does not matter.
type suspect struct {
	crashes []uint64
	cleared []uint64
	// announced says that a decision about the request was made here or received
	// from another node. The record then does not expire (though it may be
	// evicted), and All returns it.
	announced bool
	// firstSeen is when this node learned of the first crash.
	firstSeen time.Time
}

// activeCrashes returns the number of crashes of which the request was not
// cleared.
func (s *suspect) activeCrashes() int { return activeCrashes(s.crashes, s.cleared) }

func activeCrashes(crashes, cleared []uint64) int {
	count := 0
	for _, c := range crashes {
		if !slices.Contains(cleared, c) {
			count++
		}
	}
	return count
}

func (s *suspect) quarantined() bool { return s.activeCrashes() >= quarantineCrashes }

// addMissing adds crashes to a set and reports whether one was new.
func addMissing(set *[]uint64, crashes []uint64) bool {
	added := false
	for _, c := range crashes {
		if !slices.Contains(*set, c) {
			*set, added = append(*set, c), true
		}
	}
	return added
}

// trim drops the oldest crashes beyond the maximum, first those of which the
// request was cleared.
func (s *suspect) trim() {
	for len(s.crashes) > maxCrashesPerRequest {
		oldest := max(slices.IndexFunc(s.crashes, s.isCleared), 0)
		s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
	}
	s.cleared = s.cleared[max(len(s.cleared)-maxCrashesPerRequest, 0):]
}

func (s *suspect) isCleared(crash uint64) bool { return slices.Contains(s.cleared, crash) }

// Listener is notified of decisions about requests, for the log.
type Listener interface {
	// Quarantined is called when a request becomes quarantined.
	Quarantined(d Decision)
	// Cleared is called when a request is no longer quarantined.
	Cleared(d Decision)
}

// Decision holds the facts behind a decision to quarantine a request or to end
// its quarantine.
type Decision struct {
	// Request is the prefix of the digest that identifies the request.
	Request []byte
	// Crashes at which the request was in flight, and those of which it was
	// cleared.
	Crashes, Cleared []uint64
	// Age is the time since this node learned of the first crash.
	Age time.Duration
}

// Quarantiner holds the suspects that one node knows.
type Quarantiner struct {
	clock    timekeeper.Clock
	listener Listener

	mu       sync.Mutex
	suspects map[requestKey]*suspect
	// evictionOrder lists the suspects, the next one to evict first.
	evictionOrder []requestKey
	// quarantined is the number of suspects that are quarantined.
	quarantined int
	digest      uint64
	successes   successes
}

// New returns a quarantiner; the listener may be nil.
func New(clock timekeeper.Clock, l Listener) *Quarantiner {
	return &Quarantiner{clock: clock, listener: l, suspects: map[requestKey]*suspect{}}
}

// IsQuarantined reports whether nodes reject the request with this digest.
func (q *Quarantiner) IsQuarantined(digest []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[keyOf(digest)]
	return ok && s.quarantined()
}

// RecordCrash records the requests in flight at a crash, which the caller lists
// with the likely causes first. It returns the crash parts to announce and the
// decisions that follow.
func (q *Quarantiner) RecordCrash(id uint64, digests [][]byte) ([]*control.Crash, []*control.Suspect) {
	var parts []*control.Crash
	for chunk := range slices.Chunk(digests[:min(len(digests), maxCrashRequests)], maxPartRequests) {
		crash := &control.Crash{Id: id}
		for _, d := range chunk {
			if !q.recentlySucceeded(keyOf(d)) {
				crash.Digests = append(crash.Digests, keyOf(d).bytes()...)
			}
		}
		if len(crash.Digests) > 0 {
			parts = append(parts, crash)
		}
	}
	return q.MergeCrashes(parts)
}

func (q *Quarantiner) recentlySucceeded(key requestKey) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.successes.has(key)
}

// MergeCrashes merges crash parts. It returns the parts that were new to this
// node and the decisions that follow.
func (q *Quarantiner) MergeCrashes(parts []*control.Crash) ([]*control.Crash, []*control.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fresh []*control.Crash
	var decisions []*control.Suspect
	for _, part := range parts {
		isNew := false
		for raw := range slices.Chunk(part.Digests, keyBytes) {
			key := keyOf(raw)
			added, decided := q.merge(key, []uint64{part.Id}, nil)
			isNew = isNew || added
			if decided {
				decisions = append(decisions, q.suspects[key].message(key))
			}
		}
		if isNew {
			fresh = append(fresh, part)
		}
	}
	return fresh, decisions
}

// RecordSuccess records that a target answered a request with success, which
// clears the request of all crashes so far. It returns the decisions to announce.
func (q *Quarantiner) RecordSuccess(digest []byte) []*control.Suspect {
	key := keyOf(digest)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.successes.add(key, q.clock.Now())
	s, ok := q.suspects[key]
	if !ok || s.activeCrashes() == 0 {
		return nil
	}
	if _, decided := q.merge(key, nil, s.crashes); decided {
		return []*control.Suspect{s.message(key)}
	}
	return nil
}

// Merge merges the decisions of other nodes. It returns the decisions to
// announce: those from which this node learned something, and those that are
// outdated by what this node knows.
func (q *Quarantiner) Merge(list []*control.Suspect) []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fresh []*control.Suspect
	for _, m := range list {
		key := keyOf(m.Digest)
		added, _ := q.merge(key, m.Crashes, m.Cleared)
		s := q.suspects[key]
		// The sender quarantines the request and does not know that it has been
		// cleared of a crash.
		outdated := activeCrashes(m.Crashes, m.Cleared) >= quarantineCrashes && !s.quarantined()
		if added || outdated {
			s.announced = true
			fresh = append(fresh, s.message(key))
		}
	}
	return fresh
}

// merge adds crashes and clearances of a request. It reports whether one was new
// and whether there is a decision to announce: one that changed, or a clearance
// because the request recently succeeded here. The caller holds the lock.
func (q *Quarantiner) merge(key requestKey, crashes, cleared []uint64) (added, decided bool) {
	now := q.clock.Now()
	s, ok := q.suspects[key]
	if ok && !s.announced && now.Sub(s.firstSeen) > crashTTL {
		*s = suspect{firstSeen: now}
	}
	if !ok {
		q.evict()
		s = &suspect{firstSeen: now}
		q.suspects[key] = s
		q.evictionOrder = append(q.evictionOrder, key)
	}
	before := s.quarantined()
	newCrashes := addMissing(&s.crashes, crashes)
	added = addMissing(&s.cleared, cleared) || newCrashes
	if s.quarantined() && q.successes.has(key) {
		// The request recently succeeded here, so it did not cause the crashes.
		added = addMissing(&s.cleared, s.crashes) || added
		s.announced, decided = true, true
	}
	s.trim()
	if s.quarantined() != before {
		s.announced, decided = true, true
		q.recordDecision(key, s, now)
	}
	return added, decided
}

// recordDecision updates the count and the digest after a decision has changed,
// and notifies the listener.
func (q *Quarantiner) recordDecision(key requestKey, s *suspect, now time.Time) {
	q.digest ^= xxhash.Sum64(key.bytes())
	d := Decision{Request: key.bytes(), Crashes: s.crashes, Cleared: s.cleared, Age: now.Sub(s.firstSeen)}
	if s.quarantined() {
		q.quarantined++
	} else {
		q.quarantined--
	}
	switch {
	case q.listener == nil:
	case s.quarantined():
		q.listener.Quarantined(d)
	default:
		q.listener.Cleared(d)
	}
}

// evict removes the oldest suspects until there is room for one more. It keeps
// quarantined ones unless there are too many of these.
func (q *Quarantiner) evict() {
	for range len(q.evictionOrder) {
		if len(q.suspects)-q.quarantined < maxSuspects && q.quarantined < maxQuarantined {
			return
		}
		key := q.evictionOrder[0]
		q.evictionOrder = q.evictionOrder[1:]
		s := q.suspects[key]
		if s.quarantined() && q.quarantined < maxQuarantined {
			q.evictionOrder = append(q.evictionOrder, key)
			continue
		}
		if s.quarantined() {
			q.quarantined--
			q.digest ^= xxhash.Sum64(key.bytes())
		}
		delete(q.suspects, key)
	}
}

// message returns the announcement of a suspect: its newest crashes, first those
// of which it was not cleared.
func (s *suspect) message(key requestKey) *control.Suspect {
	m := &control.Suspect{Digest: key.bytes()}
	for _, cleared := range []bool{false, true} {
		for _, c := range slices.Backward(s.crashes) {
			if len(m.Crashes) < maxAnnouncedCrashes && s.isCleared(c) == cleared {
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

// All returns every known request about which a decision has been made.
func (q *Quarantiner) All() []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []*control.Suspect
	for key, s := range q.suspects {
		if s.announced {
			list = append(list, s.message(key))
		}
	}
	return list
}

// Digest returns a hash of the set of quarantined requests; equal sets have
// equal hashes.
func (q *Quarantiner) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.digest
}

// Count returns the number of suspects and how many of them are quarantined.
func (q *Quarantiner) Count() (suspects, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects), q.quarantined
}
