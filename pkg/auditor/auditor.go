// Package auditor keeps the audit trail of the configuration. Each version has
// one entry: who changed what, when, and from which version. The value of the
// replicated register carries only the newest entries; each replica keeps all
// of them in a journal.
package auditor

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// Journal is an append-only file of records.
type Journal interface {
	Append(records [][]byte) error
	Replay(f func([]byte) error) error
}

// Auditor is the audit trail of one replica.
type Auditor struct {
	mu      sync.Mutex
	journal Journal
	changes []*control.Change
}

// Open reads the trail from a journal.
func Open(journal Journal) (*Auditor, error) {
	a := &Auditor{journal: journal}
	err := journal.Replay(func(raw []byte) error {
		c := &control.Change{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return fmt.Errorf("decode audit entry: %w", err)
		}
		a.changes = append(a.changes, c)
		return nil
	})
	return a, err
}

// Last returns the version of the newest entry, or 0 if there is none.
func (a *Auditor) Last() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastVersion()
}

// lastVersion is Last with a.mu held.
func (a *Auditor) lastVersion() uint64 {
	if len(a.changes) == 0 {
		return 0
	}
	return a.changes[len(a.changes)-1].Version
}

// Add appends entries, given in order of version; it skips those that the trail
// has. If a version is missing before one of them, it reports a gap and appends
// none.
func (a *Auditor) Add(changes []*control.Change) (gap bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var added []*control.Change
	var encoded [][]byte
	next := a.lastVersion() + 1
	for _, c := range changes {
		if c.Version < next {
			continue
		}
		if c.Version > next {
			return true, nil
		}
		data, err := proto.Marshal(c)
		if err != nil {
			return false, fmt.Errorf("encode audit entry: %w", err)
		}
		added, encoded = append(added, c), append(encoded, data)
		next++
	}
	if len(added) == 0 {
		return false, nil
	}
	if err := a.journal.Append(encoded); err != nil {
		return false, err
	}
	a.changes = append(a.changes, added...)
	return false, nil
}

// maxReplyEntries bounds the entries in one reply to a history request.
const maxReplyEntries = 500

// From returns the entries from a version on, at most maxReplyEntries.
func (a *Auditor) From(version uint64) []*control.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, c := range a.changes {
		if c.Version >= version {
			end := min(len(a.changes), i+maxReplyEntries)
			return append([]*control.Change(nil), a.changes[i:end]...)
		}
	}
	return nil
}
