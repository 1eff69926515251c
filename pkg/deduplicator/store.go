package deduplicator

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Journal is an append-only file whose appends survive a power cut.
type Journal interface {
	// Append returns once all records are synced.
	Append(records [][]byte) error
	// Replay calls f with every whole record in order.
	Replay(f func([]byte) error) error
	// Rewrite replaces the content.
	Rewrite(records [][]byte) error
}

const (
	// RetentionPeriod is how long a record is kept; a key that is older is refused.
	RetentionPeriod = 24 * time.Hour
	// compactAfter is how many dead records a journal may hold.
	compactAfter = 10_000
)

// ErrNotVoting says that the store has no vote yet.
var ErrNotVoting = errors.New("records of the former set are not copied yet")

// Store holds the records of one replica. Appends that wait for the same sync
// are written together.
type Store struct {
	clock   timekeeper.Clock
	journal Journal

	mu      sync.Mutex
	records map[string]*control.Record
	dead    int
	// epoch is the epoch for which the records are complete.
	epoch uint64

	writing bool
	batch   *group
}

// group is a number of records that one sync covers.
type group struct {
	records [][]byte
	done    chan struct{}
	err     error
}

// OpenStore replays a journal.
func OpenStore(clock timekeeper.Clock, journal Journal) (*Store, error) {
	s := &Store{clock: clock, journal: journal, records: map[string]*control.Record{}}
	err := journal.Replay(func(raw []byte) error {
		line := &control.Journal{}
		if err := proto.Unmarshal(raw, line); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
		s.apply(line)
		return nil
	})
	return s, err
}

// apply brings one line of the journal into memory.
func (s *Store) apply(line *control.Journal) {
	if line.Epoch > 0 {
		s.epoch = line.Epoch
		return
	}
	key := string(line.Record.Key)
	if _, ok := s.records[key]; ok {
		s.dead++
	}
	if line.Released {
		delete(s.records, key)
		return
	}
	s.records[key] = line.Record
}

// Epoch is the epoch for which the records are complete.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Claim grants a key to the first attempt that asks, once that is synced.
func (s *Store) Claim(r *control.Record) (*control.ClaimReply, error) {
	s.mu.Lock()
	if old, ok := s.records[string(r.Key)]; ok {
		granted := old.Attempt == r.Attempt && !old.Done
		s.mu.Unlock()
		return &control.ClaimReply{Granted: granted, Record: old}, nil
	}
	s.records[string(r.Key)] = r
	s.mu.Unlock()
	faulter.Reach(faulter.ClaimSyncing)
	if err := s.write(&control.Journal{Record: r}); err != nil {
		// The claim stays in memory: whether it reached the disk is unknown.
		return nil, err
	}
	faulter.Reach(faulter.ClaimSynced)
	return &control.ClaimReply{Granted: true}, nil
}

// Settle records how a claimed request ended, or releases a claim of a
// request that was not run. Only the attempt that holds it can do so.
func (s *Store) Settle(r *control.Record, release bool) error {
	s.mu.Lock()
	old, ok := s.records[string(r.Key)]
	if !ok || old.Attempt != r.Attempt || old.Done {
		s.mu.Unlock()
		return nil
	}
	if release {
		delete(s.records, string(r.Key))
	} else {
		s.records[string(r.Key)] = r
	}
	s.dead++
	s.mu.Unlock()
	err := s.write(&control.Journal{Record: r, Released: release})
	faulter.Reach(faulter.SettleSynced)
	return err
}

// All returns every record, for a member that joins the set.
func (s *Store) All() []*control.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*control.Record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	return list
}

// contested is the attempt of a record for which copies disagree; it belongs
// to nobody, so the key is refused until the record expires.
const contested = "contested"

// Complete merges the records of a majority of the former set; from then on
// the store has a vote in the epoch.
func (s *Store) Complete(epoch uint64, records []*control.Record) error {
	s.mu.Lock()
	lines := make([]*control.Journal, 0, len(records)+1)
	for _, r := range records {
		if next := s.merge(r); next != nil {
			lines = append(lines, &control.Journal{Record: next})
		}
	}
	s.mu.Unlock()
	lines = append(lines, &control.Journal{Epoch: epoch})
	if err := s.write(lines...); err != nil {
		return err
	}
	s.mu.Lock()
	s.epoch = max(s.epoch, epoch)
	s.mu.Unlock()
	return nil
}

// merge returns the record to write, or nil when nothing changes.
func (s *Store) merge(r *control.Record) *control.Record {
	old, ok := s.records[string(r.Key)]
	switch {
	case ok && (old.Done || (old.Attempt == r.Attempt && !r.Done)):
		return nil
	case ok && old.Attempt != r.Attempt && !r.Done:
		r = proto.Clone(r).(*control.Record)
		r.Attempt = contested
	}
	s.records[string(r.Key)] = r
	return r
}

// write appends lines together with those of other callers that wait.
func (s *Store) write(lines ...*control.Journal) error {
	raw := make([][]byte, 0, len(lines))
	for _, l := range lines {
		text, err := proto.Marshal(l)
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		raw = append(raw, text)
	}
	s.mu.Lock()
	if s.batch == nil {
		s.batch = &group{done: make(chan struct{})}
	}
	g := s.batch
	g.records = append(g.records, raw...)
	if s.writing {
		s.mu.Unlock()
		<-g.done
		return g.err
	}
	s.writing = true
	s.mu.Unlock()
	s.flush()
	<-g.done
	return g.err
}

// flush syncs groups until none is left.
func (s *Store) flush() {
	for {
		s.mu.Lock()
		g := s.batch
		s.batch = nil
		if g == nil {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		g.err = s.journal.Append(g.records)
		close(g.done)
	}
}

// Expire forgets records that are older than RetentionPeriod and rewrites the journal
// when much of it is dead.
func (s *Store) Expire() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.clock.Now().Add(-RetentionPeriod).UnixNano()
	for key, r := range s.records {
		if r.Time < limit {
			delete(s.records, key)
			s.dead++
		}
	}
	if s.dead < compactAfter || s.writing {
		return nil
	}
	return s.compact()
}

func (s *Store) compact() error {
	lines := [][]byte{}
	for _, r := range s.records {
		raw, err := proto.Marshal(&control.Journal{Record: r})
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		lines = append(lines, raw)
	}
	raw, err := proto.Marshal(&control.Journal{Epoch: s.epoch})
	if err != nil {
		return fmt.Errorf("encode epoch: %w", err)
	}
	if err := s.journal.Rewrite(append(lines, raw)); err != nil {
		return err
	}
	s.dead = 0
	return nil
}
