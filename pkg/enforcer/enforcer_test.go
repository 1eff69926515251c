package enforcer_test

import (
	"errors"
	"io/fs"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// stalledDisk is a disk whose writes block until released is closed, and then fail
// with err if that is set.
type stalledDisk struct {
	released chan struct{}
	err      error

	mu      sync.Mutex
	content []byte
	writes  int
}

// Read implements storer.Disk.
func (d *stalledDisk) Read(string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.content == nil {
		return nil, fs.ErrNotExist
	}
	return d.content, nil
}

// Write implements storer.Disk.
func (d *stalledDisk) Write(_ string, content []byte) error {
	<-d.released
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	if d.err == nil {
		d.content = content
	}
	return d.err
}

// savedVersion returns the version that a restarted node would have in force.
func (d *stalledDisk) savedVersion(t *testing.T) uint64 {
	e, err := enforcer.Open(d, nil)
	qt.Assert(t, err, qt.IsNil)
	return e.Current().Version()
}

// TestVersionDoesNotWaitForDisk applies versions while the disk blocks. Each must be
// in force at once, and the newest must be on the disk once it accepts writes.
func TestVersionDoesNotWaitForDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stalledDisk{released: make(chan struct{})}
		e, err := enforcer.Open(d, nil)
		qt.Assert(t, err, qt.IsNil)
		notified := uint64(0)
		e.Subscribe(func(c *enforcer.Config) { notified = c.Version() })
		for v := uint64(1); v <= 5; v++ {
			go func() {
				_, err := e.Apply(&control.Value{Version: v})
				qt.Check(t, err, qt.IsNil)
			}()
			synctest.Wait()
			qt.Check(t, e.Current().Version(), qt.Equals, v)
			qt.Check(t, notified, qt.Equals, v)
		}
		close(d.released)
		synctest.Wait()
		qt.Check(t, d.savedVersion(t), qt.Equals, uint64(5))
		qt.Check(t, d.writes, qt.Equals, 2)
	})
}

// TestFullDiskDoesNotStopVersions applies versions while all writes fail. Each must
// come into force, and the next one is saved once there is space again.
func TestFullDiskDoesNotStopVersions(t *testing.T) {
	d := &stalledDisk{released: make(chan struct{}), err: errors.New("no space left")}
	close(d.released)
	e, err := enforcer.Open(d, nil)
	qt.Assert(t, err, qt.IsNil)
	for v := uint64(1); v <= 3; v++ {
		activated, err := e.Apply(&control.Value{Version: v})
		qt.Check(t, activated, qt.IsTrue)
		qt.Check(t, err, qt.Equals, d.err)
		qt.Check(t, e.Current().Version(), qt.Equals, v)
	}
	// The disk has space again.
	d.err = nil
	_, err = e.Apply(&control.Value{Version: 4})
	qt.Assert(t, err, qt.IsNil)
	stored := &control.Value{}
	qt.Assert(t, proto.Unmarshal(d.content, stored), qt.IsNil)
	qt.Check(t, stored.Version, qt.Equals, uint64(4))
}
