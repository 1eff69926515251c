// Package withdrawer keeps the set of withdrawn API keys, as hashes. The set
// only grows: nodes can merge their copies in any order, also after a network
// partition, and nothing undoes a withdrawal.
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

// hashesFile is the file of the data folder with the hashes.
const hashesFile = "withdrawn"

// Withdrawer is the set of withdrawn key hashes. The zero value is an empty set
// without a disk.
type Withdrawer struct {
	mu     sync.RWMutex
	disk   storer.Disk
	hashes map[string]bool
	// ordered lists the hashes in order of arrival, for sending and saving.
	ordered [][]byte
	// digest is the XOR of the checksums of all hashes, so that it does not
	// depend on their order.
	digest uint64
}

// Open reads the set from a disk. With a nil disk the set is kept in memory
// only.
func Open(disk storer.Disk) (*Withdrawer, error) {
	w := &Withdrawer{disk: disk}
	if disk == nil {
		return w, nil
	}
	raw, err := disk.Read(hashesFile)
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

// Has reports whether the key with this hash was withdrawn.
func (w *Withdrawer) Has(hash []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.hashes[string(hash)]
}

// Add adds hashes to the set and returns those that were new. With a disk it
// returns only after all hashes given are synced, also those already in the
// set: an earlier write may have failed. The hashes take effect at once even
// when the disk fails, since a withdrawal is never undone.
func (w *Withdrawer) Add(hashes [][]byte) ([][]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	added := w.merge(hashes)
	if w.disk == nil || len(hashes) == 0 {
		return added, nil
	}
	raw, err := proto.Marshal(&control.Withdrawals{Hashes: w.ordered})
	if err != nil {
		return added, fmt.Errorf("encode withdrawn keys: %w", err)
	}
	return added, w.disk.Write(hashesFile, raw)
}

// All returns all hashes in order of arrival.
func (w *Withdrawer) All() [][]byte {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return append([][]byte(nil), w.ordered...)
}

// Digest returns a checksum that is equal for equal sets.
func (w *Withdrawer) Digest() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.digest
}

// merge adds hashes to the set in memory and returns those that were new.
func (w *Withdrawer) merge(hashes [][]byte) [][]byte {
	var added [][]byte
	for _, h := range hashes {
		if w.hashes[string(h)] {
			continue
		}
		if w.hashes == nil {
			w.hashes = map[string]bool{}
		}
		w.hashes[string(h)] = true
		w.ordered = append(w.ordered, h)
		w.digest ^= xxhash.Sum64(h)
		added = append(added, h)
	}
	return added
}
