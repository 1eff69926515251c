// Package withdrawer keeps the set of withdrawn keys. The set only grows, so
// copies merge in any order, on both sides of a cut, and nothing undoes a
// withdrawal.
package withdrawer

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/storer"
	"github.com/primrosewall/primrosewall/proto/control"
)

const setFile = "withdrawn"

// Withdrawer is the set. The zero value is an empty set without a disk.
type Withdrawer struct {
	mu     sync.RWMutex
	disk   storer.Disk
	hashes map[string]bool
	// order lists the hashes as they came, for sending and saving.
	order  [][]byte
	digest uint64
}

// Open reads the set from a disk; disk may be nil.
func Open(disk storer.Disk) (*Withdrawer, error) {
	w := &Withdrawer{disk: disk}
	if disk == nil {
		return w, nil
	}
	raw, err := disk.Read(setFile)
	if errors.Is(err, fs.ErrNotExist) {
		return w, nil
	}
	if err != nil {
		return nil, err
	}
	stored := &control.Withdrawals{}
	if err := proto.Unmarshal(raw, stored); err != nil {
		return nil, fmt.Errorf("decode withdrawn keys: %w", err)
	}
	w.merge(stored.Hashes)
	return w, nil
}

// Has tells whether a key hash was withdrawn.
func (w *Withdrawer) Has(hash []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.hashes[string(hash)]
}

// Add merges hashes, returns those that were new, and returns only after they
// are synced where there is a disk. They count at once even when the disk
// fails: a withdrawal is never undone.
func (w *Withdrawer) Add(hashes [][]byte) ([][]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fresh := w.merge(hashes)
	if w.disk == nil || len(hashes) == 0 {
		return fresh, nil
	}
	raw, err := proto.Marshal(&control.Withdrawals{Hashes: w.order})
	if err != nil {
		return fresh, fmt.Errorf("encode withdrawn keys: %w", err)
	}
	return fresh, w.disk.Write(setFile, raw)
}

// All returns the whole set.
func (w *Withdrawer) All() [][]byte {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return append([][]byte(nil), w.order...)
}

// Digest is equal for equal sets.
func (w *Withdrawer) Digest() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.digest
}

func (w *Withdrawer) merge(hashes [][]byte) [][]byte {
	var fresh [][]byte
	for _, h := range hashes {
		if w.hashes[string(h)] {
			continue
		}
		if w.hashes == nil {
			w.hashes = map[string]bool{}
		}
		w.hashes[string(h)] = true
		w.order = append(w.order, h)
		w.digest ^= xxhash.Sum64(h)
		fresh = append(fresh, h)
	}
	return fresh
}
