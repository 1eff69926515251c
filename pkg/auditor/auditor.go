// Package auditor keeps the audit trail: one entry for each version, with who
// changed what, when, and from which version. The register's value carries
// the newest entries; each replica keeps all of them in a journal.
package auditor

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

// Journal is an append-only file.
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

// Open reads the trail.
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

// Last is the version of the newest entry.
func (a *Auditor) Last() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last()
}

func (a *Auditor) last() uint64 {
	if len(a.changes) == 0 {
		return 0
	}
	return a.changes[len(a.changes)-1].Version
}

// Add appends the entries that follow the newest one without a gap, and tells
// whether entries are missing before those given.
func (a *Auditor) Add(changes []*control.Change) (gap bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var fresh []*control.Change
	var raw [][]byte
	next := a.last() + 1
	for _, c := range changes {
		if c.Version < next {
			continue
		}
		if c.Version > next {
			return true, nil
		}
		text, err := proto.Marshal(c)
		if err != nil {
			return false, fmt.Errorf("encode audit entry: %w", err)
		}
		fresh, raw = append(fresh, c), append(raw, text)
		next++
	}
	if len(fresh) == 0 {
		return false, nil
	}
	if err := a.journal.Append(raw); err != nil {
		return false, err
	}
	a.changes = append(a.changes, fresh...)
	return false, nil
}

// maxHistory bounds the entries of one answer.
const maxHistory = 500

// From returns entries from a version on.
func (a *Auditor) From(version uint64) []*control.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, c := range a.changes {
		if c.Version >= version {
			end := min(len(a.changes), i+maxHistory)
			return append([]*control.Change(nil), a.changes[i:end]...)
		}
	}
	return nil
}
