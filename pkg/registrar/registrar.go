package registrar

import (
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// maxLives bounds the lives kept for one instance. A late report is one of its last
	// lives: targets start seconds apart, and reports are seconds late.
	maxLives = 8
	// maxDepartures bounds those of all instances; the oldest are dropped first. Instances
	// that were replaced send no reports.
	maxDepartures = 32_768
	// maxStale is how many entries that were dropped the journal may hold before it is
	// rewritten.
	maxStale = 8_192
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

// Registrar holds the departures known to one replica, in memory and in a journal.
type Registrar struct {
	mu      sync.Mutex
	journal Journal
	// lives holds those of each instance, oldest first.
	lives map[string][]string
	// order holds all departures, oldest first, also some that lives no longer holds.
	order []*control.Departure
	// count is the number of lives, stale that of entries in the journal without one.
	count, stale int
}

// Open loads the departures from a journal.
func Open(journal Journal) (*Registrar, error) {
	r := &Registrar{journal: journal, lives: map[string][]string{}}
	err := journal.Replay(func(raw []byte) error {
		d := &control.Departure{}
		if err := proto.Unmarshal(raw, d); err != nil {
			return fmt.Errorf("decode departure: %w", err)
		}
		r.store(d)
		return nil
	})
	return r, err
}

// Add records departures and returns once they are synced. Those that are known already
// need no sync.
func (r *Registrar) Add(departures ...*control.Departure) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fresh []*control.Departure
	var records [][]byte
	for _, d := range departures {
		if d.GetInstance() == "" || d.GetLife() == "" || slices.Contains(r.lives[d.Instance], d.Life) {
			continue
		}
		raw, err := encode(d)
		if err != nil {
			return err
		}
		fresh, records = append(fresh, d), append(records, raw)
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := r.journal.Append(records); err != nil {
		return err
	}
	for _, d := range fresh {
		r.store(d)
	}
	if r.stale < maxStale {
		return nil
	}
	return r.compact()
}

// store puts a departure into memory, and drops the oldest beyond the bounds.
func (r *Registrar) store(d *control.Departure) {
	if slices.Contains(r.lives[d.Instance], d.Life) {
		return
	}
	r.drop(d.Instance, maxLives-1)
	r.lives[d.Instance] = append(r.lives[d.Instance], d.Life)
	r.order = append(r.order, d)
	for r.count++; r.count > maxDepartures; {
		oldest := r.order[0]
		r.order = r.order[1:]
		if lives := r.lives[oldest.Instance]; len(lives) > 0 && lives[0] == oldest.Life {
			r.drop(oldest.Instance, len(lives)-1)
		}
	}
}

// drop keeps at most so many of the last lives of an instance.
func (r *Registrar) drop(instance string, keep int) {
	lives := r.lives[instance]
	gone := len(lives) - keep
	if gone <= 0 {
		return
	}
	r.lives[instance] = slices.Clone(lives[gone:])
	if keep == 0 {
		delete(r.lives, instance)
	}
	r.count -= gone
	r.stale += gone
}

func encode(d *control.Departure) ([]byte, error) {
	raw, err := proto.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode departure: %w", err)
	}
	return raw, nil
}

// compact rewrites the journal with what is in memory.
func (r *Registrar) compact() error {
	kept := r.all()
	var records [][]byte
	for _, d := range kept {
		raw, err := encode(d)
		if err != nil {
			return err
		}
		records = append(records, raw)
	}
	if err := r.journal.Rewrite(records); err != nil {
		return err
	}
	r.order, r.stale = kept, 0
	return nil
}

// Lives returns the lives of an instance's target that have left, oldest first.
func (r *Registrar) Lives(instance string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lives[instance])
}

// All returns all departures, oldest first.
func (r *Registrar) All() []*control.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all()
}

func (r *Registrar) all() []*control.Departure {
	var kept []*control.Departure
	for _, d := range r.order {
		if slices.Contains(r.lives[d.Instance], d.Life) {
			kept = append(kept, d)
		}
	}
	return kept
}
