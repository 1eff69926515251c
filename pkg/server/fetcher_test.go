package server

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// library gives a value to all who fetch it, after a while, and counts.
type library struct {
	mu    sync.Mutex
	value *control.Value
	// asked and bodies count fetches and those that brought something.
	asked, bodies int
}

func (l *library) fetch(_ context.Context, _ string, r *control.FetchRequest) (*control.Value, error) {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if l.value.Version <= r.Above {
		return &control.Value{}, nil
	}
	l.bodies++
	return l.value, nil
}

// TestVersionIsFetchedAgain has many neighbours tell of one new version while
// it is being fetched.
func TestVersionIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, err := enforcer.Open(nil, nil)
		qt.Assert(t, err, qt.IsNil)
		l := &library{value: &control.Value{Version: 2}}
		f := newFetcher(l.fetch, config, func(v *control.Value) { _, _ = config.Offer(v) }, false, timekeeper.System{}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		for range 10 {
			f.want(2, "neighbour")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		qt.Check(t, config.Current().Version(), qt.Equals, uint64(2))
		qt.Check(t, l.asked, qt.Equals, 1)
		qt.Check(t, l.bodies, qt.Equals, 1)
		cancel()
		synctest.Wait()
	})
}

// TestSpareHearsFromNeighboursOnly starts a replica that is no member of the set
// beside nodes that have no whole value.
func TestSpareHearsFromNeighboursOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, err := enforcer.Open(nil, nil)
		qt.Assert(t, err, qt.IsNil)
		ask := func(_ context.Context, address string, _ *control.FetchRequest) (*control.Value, error) {
			if address != "replica" {
				return nil, errors.New("this instance does not have the whole value")
			}
			return &control.Value{Version: 2}, nil
		}
		f := newFetcher(ask, config, func(v *control.Value) { _, _ = config.Offer(v) }, true, timekeeper.System{}, slog.New(slog.DiscardHandler))
		f.replicas = func() []string { return []string{"replica"} }
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		f.want(2, "neighbour")
		time.Sleep(time.Second)
		qt.Check(t, config.Current().Version(), qt.Equals, uint64(2))
		cancel()
		synctest.Wait()
	})
}
