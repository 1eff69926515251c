package registrar

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
)

// memoryJournal is a Journal in memory.
type memoryJournal struct {
	records [][]byte
	err     error
}

func (m *memoryJournal) Append(records [][]byte) error {
	if m.err == nil {
		m.records = append(m.records, records...)
	}
	return m.err
}

func (m *memoryJournal) Replay(f func([]byte) error) error {
	for _, r := range m.records {
		if err := f(r); err != nil {
			return err
		}
	}
	return nil
}

func (m *memoryJournal) Rewrite(records [][]byte) error {
	m.records = records
	return m.err
}

func departure(instance string, life int) *control.Departure {
	return &control.Departure{Instance: instance, Life: fmt.Sprint(life)}
}

func open(t *testing.T, j *memoryJournal) *Registrar {
	r, err := Open(j)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// TestRestartForgetsDepartures guards against departures that are lost when the process ends.
func TestRestartForgetsDepartures(t *testing.T) {
	j := &memoryJournal{}
	r := open(t, j)
	for range 2 {
		qt.Assert(t, r.Add(departure("a", 1), departure("b", 1)), qt.IsNil)
		qt.Assert(t, r.Add(departure("a", 2)), qt.IsNil)
	}
	qt.Assert(t, j.records, qt.HasLen, 3)
	r = open(t, j)
	qt.Assert(t, r.Lives("a"), qt.DeepEquals, []string{"1", "2"})
	qt.Assert(t, r.Lives("b"), qt.DeepEquals, []string{"1"})
	qt.Assert(t, r.Lives("c"), qt.HasLen, 0)
	qt.Assert(t, r.All(), qt.HasLen, 3)
}

// TestFailedSyncIsTakenForStored guards against a departure that is acknowledged the second
// time although no disk holds it.
func TestFailedSyncIsTakenForStored(t *testing.T) {
	failed := errors.New("disk is full")
	j := &memoryJournal{err: failed}
	r := open(t, j)
	for range 2 {
		qt.Assert(t, r.Add(departure("a", 1)), qt.Equals, failed)
	}
	j.err = nil
	qt.Assert(t, r.Add(departure("a", 1)), qt.IsNil)
	qt.Assert(t, j.records, qt.HasLen, 1)
}

// TestDeparturesGrowWithoutBound guards against memory and a journal that grow with each
// departure, and against the loss of the last ones.
func TestDeparturesGrowWithoutBound(t *testing.T) {
	j := &memoryJournal{}
	r := open(t, j)
	for life := range 3 * maxStale {
		qt.Assert(t, r.Add(departure("a", life)), qt.IsNil)
	}
	qt.Assert(t, r.Lives("a"), qt.HasLen, maxLives)
	qt.Assert(t, len(j.records) <= maxStale+maxLives, qt.IsTrue)
	for instance := range maxDepartures + maxStale/2 {
		qt.Assert(t, r.Add(departure(fmt.Sprint("i", instance), 1)), qt.IsNil)
	}
	qt.Assert(t, r.All(), qt.HasLen, maxDepartures)
	qt.Assert(t, r.Lives("a"), qt.HasLen, 0)
	qt.Assert(t, r.Lives(fmt.Sprint("i", maxDepartures)), qt.DeepEquals, []string{"1"})
	reopened := open(t, j)
	qt.Assert(t, reopened.All(), qt.HasLen, maxDepartures)
}
