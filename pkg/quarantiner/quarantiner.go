// Package quarantiner finds requests that crash the targets that run them.
// Requests in flight at a crash are suspects; one that is present at a second
// crash is refused for good, on every node. Bystanders are cleared when they
// complete.
package quarantiner

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// crashesToBar is at how many crashes a request must have been present.
	crashesToBar = 2
	// maxSuspects bounds the memory.
	maxSuspects = 4096
)

// suspect is a request with the crashes at which it was present. Both sets
// only grow, so copies merge in any order.
type suspect struct {
	crashes map[string]bool
	cleared map[string]bool
}

// counting returns how many crashes still count against the request.
func (s *suspect) counting() int {
	n := 0
	for c := range s.crashes {
		if !s.cleared[c] {
			n++
		}
	}
	return n
}

func (s *suspect) barred() bool { return s.counting() >= crashesToBar }

// Listener hears of decisions about requests, for the log. Digests and crashes
// are those of the suspect after the decision.
type Listener interface {
	// Barred is called when a request is refused from now on.
	Barred(digest []byte, crashes, cleared []string)
}

// Quarantiner is the list of suspects. The zero value works.
type Quarantiner struct {
	mu       sync.Mutex
	listener Listener
	suspects map[string]*suspect
}

// SetListener names who hears of decisions; none by default.
func (q *Quarantiner) SetListener(l Listener) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listener = l
}

// Count returns how many requests are suspects, and how many of them are
// barred.
func (q *Quarantiner) Count() (suspects, barred int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.suspects {
		if s.barred() {
			barred++
		}
	}
	return len(q.suspects), barred
}

// Barred tells whether a request, by its digest, is refused for good.
func (q *Quarantiner) Barred(digest []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[string(digest)]
	return ok && s.barred()
}

// Crash notes the requests in flight at a crash and returns what to tell
// other nodes.
func (q *Quarantiner) Crash(crash string, digests [][]byte) []*control.Suspect {
	var list []*control.Suspect
	for _, d := range digests {
		list = append(list, &control.Suspect{Digest: d, Crashes: []string{crash}})
	}
	return q.Merge(list)
}

// Clear notes that a request has completed and returns what to tell other
// nodes. A barred request stays barred.
func (q *Quarantiner) Clear(digest []byte) []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspects[string(digest)]
	if !ok || s.barred() || s.counting() == 0 {
		return nil
	}
	for c := range s.crashes {
		s.cleared[c] = true
	}
	return []*control.Suspect{s.message(string(digest))}
}

// Merge takes suspects from other nodes and returns those that were news.
func (q *Quarantiner) Merge(list []*control.Suspect) []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fresh []*control.Suspect
	for _, m := range list {
		if q.mergeOne(m) {
			fresh = append(fresh, q.suspects[string(m.Digest)].message(string(m.Digest)))
		}
	}
	return fresh
}

func (q *Quarantiner) mergeOne(m *control.Suspect) bool {
	s, ok := q.suspects[string(m.Digest)]
	if !ok {
		q.makeRoom()
		s = &suspect{crashes: map[string]bool{}, cleared: map[string]bool{}}
		q.suspects[string(m.Digest)] = s
	}
	barred := s.barred()
	before := len(s.crashes) + len(s.cleared)
	for _, c := range m.Crashes {
		s.crashes[c] = true
	}
	for _, c := range m.Cleared {
		s.cleared[c] = true
	}
	if s.barred() && !barred && q.listener != nil {
		q.listener.Barred(m.Digest, sorted(s.crashes), sorted(s.cleared))
	}
	return len(s.crashes)+len(s.cleared) > before
}

// makeRoom forgets a suspect that is not barred when there are too many.
func (q *Quarantiner) makeRoom() {
	if q.suspects == nil {
		q.suspects = map[string]*suspect{}
	}
	if len(q.suspects) < maxSuspects {
		return
	}
	for d, s := range q.suspects {
		if !s.barred() {
			delete(q.suspects, d)
			return
		}
	}
}

func (s *suspect) message(digest string) *control.Suspect {
	return &control.Suspect{Digest: []byte(digest), Crashes: sorted(s.crashes), Cleared: sorted(s.cleared)}
}

func sorted(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for c := range set {
		list = append(list, c)
	}
	sort.Strings(list)
	return list
}

// All returns every suspect.
func (q *Quarantiner) All() []*control.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []*control.Suspect
	for d, s := range q.suspects {
		list = append(list, s.message(d))
	}
	return list
}

// Digest is equal for equal sets of barred requests.
func (q *Quarantiner) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := uint64(0)
	for d, s := range q.suspects {
		if s.barred() {
			sum ^= xxhash.Sum64String(d)
		}
	}
	return sum
}
