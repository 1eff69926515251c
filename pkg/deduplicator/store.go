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
	// Append writes records and returns once all of them are synced.
	Append(records [][]byte) error
	// Replay calls f with every complete record in order.
	Replay(f func([]byte) error) error
	// Rewrite replaces all records.
	Rewrite(records [][]byte) error
}

const (
	// RetentionPeriod is how long a record is kept. CheckKey rejects a key whose
	// UUID shows that its record may have expired.
	RetentionPeriod = 24 * time.Hour
	// maxDeadRecords is how many superseded, released or expired records the
	// journal may hold before Expire rewrites it.
	maxDeadRecords = 10_000
)

// ErrNotVoting is reported for a replica that abstains from a claim: it has
// another identity or is in another epoch than the claim says, or it has not yet
// copied the records of the former replica set.
var ErrNotVoting = errors.New("records of the former set are not copied yet")

// Store holds the claim records of one replica, in memory and in a journal.
// Entries that arrive while a sync is running are written together in the next
// batch.
type Store struct {
	clock   timekeeper.Clock
	journal Journal

	mu      sync.Mutex
	records map[string]*control.Record
	// deadRecords estimates the entries of the journal that no longer count.
	deadRecords int
	// epoch is the replica set epoch for which the records are complete: all
	// records of the former set have been copied.
	epoch uint64

	// flushing is set while a goroutine runs flush.
	flushing bool
	// pending is the batch that the next sync will cover; nil when empty.
	pending *batch
}

// batch is a group of encoded entries that are written with one sync. done is
// closed after the sync; err is its result.
type batch struct {
	records [][]byte
	done    chan struct{}
	err     error
}

// OpenStore loads the records from a journal.
func OpenStore(clock timekeeper.Clock, journal Journal) (*Store, error) {
	s := &Store{clock: clock, journal: journal, records: map[string]*control.Record{}}
	err := journal.Replay(func(raw []byte) error {
		entry := &control.Journal{}
		if err := proto.Unmarshal(raw, entry); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
		s.apply(entry)
		return nil
	})
	return s, err
}

// apply applies one journal entry to the records in memory.
func (s *Store) apply(entry *control.Journal) {
	if entry.Epoch > 0 {
		s.epoch = entry.Epoch
		return
	}
	key := string(entry.Record.Key)
	if _, ok := s.records[key]; ok {
		s.deadRecords++
	}
	if entry.Released {
		delete(s.records, key)
		return
	}
	s.records[key] = entry.Record
}

// Epoch returns the replica set epoch for which the records are complete.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Claim grants a key to the first attempt that asks, once the claim is synced.
// If the key has a record, the reply carries it; a repeated request of the
// attempt that holds an unanswered claim is granted at once.
func (s *Store) Claim(r *control.Record) (*control.ClaimReply, error) {
	s.mu.Lock()
	if existing, ok := s.records[string(r.Key)]; ok {
		granted := existing.Attempt == r.Attempt && !existing.Done
		s.mu.Unlock()
		return &control.ClaimReply{Granted: granted, Record: existing}, nil
	}
	s.records[string(r.Key)] = r
	s.mu.Unlock()
	faulter.Reach(faulter.ClaimSyncing)
	if err := s.write(&control.Journal{Record: r}); err != nil {
		// Keep the claim in memory: whether it reached the disk is unknown.
		return nil, err
	}
	faulter.Reach(faulter.ClaimSynced)
	return &control.ClaimReply{Granted: true}, nil
}

// Settle records the answer of a claimed request, or releases the claim of a
// request that did not run. It ignores any attempt but the one that holds the
// claim.
func (s *Store) Settle(r *control.Record, release bool) error {
	s.mu.Lock()
	existing, ok := s.records[string(r.Key)]
	if !ok || existing.Attempt != r.Attempt || existing.Done {
		s.mu.Unlock()
		return nil
	}
	if release {
		delete(s.records, string(r.Key))
	} else {
		s.records[string(r.Key)] = r
	}
	s.deadRecords++
	s.mu.Unlock()
	err := s.write(&control.Journal{Record: r, Released: release})
	faulter.Reach(faulter.SettleSynced)
	return err
}

// All returns every record, for a replica that joins the set.
func (s *Store) All() []*control.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*control.Record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	return list
}

// contestedAttempt replaces the attempt of a record when copies name different
// attempts. No attempt has this name, so none can settle the claim, and the key
// is rejected until the record expires or a copy with an answer replaces it.
const contestedAttempt = "contested"

// Complete merges records copied from the former replica set: from a majority of
// it, or from fewer if the caller has waited until missing records have expired.
// Once they are synced, the store is complete for the epoch and the replica
// votes on claims in it.
func (s *Store) Complete(epoch uint64, records []*control.Record) error {
	s.mu.Lock()
	entries := make([]*control.Journal, 0, len(records)+1)
	for _, r := range records {
		if merged := s.merge(r); merged != nil {
			entries = append(entries, &control.Journal{Record: merged})
		}
	}
	s.mu.Unlock()
	entries = append(entries, &control.Journal{Epoch: epoch})
	if err := s.write(entries...); err != nil {
		return err
	}
	s.mu.Lock()
	s.epoch = max(s.epoch, epoch)
	s.mu.Unlock()
	return nil
}

// merge merges one copied record into memory and returns the record to write,
// or nil when nothing changes. A record with an answer takes precedence over a
// claim; two claims by different attempts become contested. s.mu must be held.
func (s *Store) merge(r *control.Record) *control.Record {
	existing, ok := s.records[string(r.Key)]
	switch {
	case ok && (existing.Done || (existing.Attempt == r.Attempt && !r.Done)):
		return nil
	case ok && existing.Attempt != r.Attempt && !r.Done:
		r = proto.Clone(r).(*control.Record)
		r.Attempt = contestedAttempt
	}
	s.records[string(r.Key)] = r
	return r
}

// write adds entries to the pending batch and returns once they are synced. If
// no flush is running, the calling goroutine runs it.
func (s *Store) write(entries ...*control.Journal) error {
	encoded := make([][]byte, 0, len(entries))
	for _, e := range entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		encoded = append(encoded, data)
	}
	s.mu.Lock()
	if s.pending == nil {
		s.pending = &batch{done: make(chan struct{})}
	}
	b := s.pending
	b.records = append(b.records, encoded...)
	if s.flushing {
		s.mu.Unlock()
		<-b.done
		return b.err
	}
	s.flushing = true
	s.mu.Unlock()
	s.flush()
	<-b.done
	return b.err
}

// flush writes pending batches until none is left.
func (s *Store) flush() {
	for {
		s.mu.Lock()
		b := s.pending
		s.pending = nil
		if b == nil {
			s.flushing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		b.err = s.journal.Append(b.records)
		close(b.done)
	}
}

// Expire drops records older than RetentionPeriod. It rewrites the journal once
// that holds maxDeadRecords dead records, unless a flush is running.
func (s *Store) Expire() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.clock.Now().Add(-RetentionPeriod).UnixNano()
	for key, r := range s.records {
		if r.Time < cutoff {
			delete(s.records, key)
			s.deadRecords++
		}
	}
	if s.deadRecords < maxDeadRecords || s.flushing {
		return nil
	}
	return s.compact()
}

// compact rewrites the journal with the current records; s.mu must be held.
func (s *Store) compact() error {
	entries := [][]byte{}
	for _, r := range s.records {
		raw, err := proto.Marshal(&control.Journal{Record: r})
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		entries = append(entries, raw)
	}
	raw, err := proto.Marshal(&control.Journal{Epoch: s.epoch})
	if err != nil {
		return fmt.Errorf("encode epoch: %w", err)
	}
	if err := s.journal.Rewrite(append(entries, raw)); err != nil {
		return err
	}
	s.deadRecords = 0
	return nil
}
