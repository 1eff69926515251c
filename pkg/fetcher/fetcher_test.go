package fetcher_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/fetcher"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// hopTime is the part of the time for a version to be in force everywhere that
// one node may take: a flood over 92 nodes passes five.
const maxNodeDelay = 2 * time.Second / 5

// fleet is what the node under test asks, by address.
type peers map[string]fetcher.FetchFunc

func (f peers) fetch(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
	return f[address](ctx, address, r)
}

// silent never answers.
func silent(ctx context.Context, _ string, _ *control.FetchRequest) (*control.Value, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// having answers with a version after a while.
func answering(version uint64, after time.Duration) fetcher.FetchFunc {
	return func(ctx context.Context, _ string, r *control.FetchRequest) (*control.Value, error) {
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if version <= r.Above {
			return &control.Value{}, nil
		}
		return &control.Value{Version: version}, nil
	}
}

// broken answers with an error a number of times.
func failing(times int, then fetcher.FetchFunc) fetcher.FetchFunc {
	return func(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
		if times > 0 {
			times--
			return nil, errors.New("connection reset")
		}
		return then(ctx, address, r)
	}
}

// node is the node under test.
type node struct {
	*fetcher.Fetcher
	config *enforcer.Enforcer
}

func (n *node) version() uint64 { return n.config.Current().Version() }

// play runs a fetcher in a bubble.
func runFetcher(t *testing.T, options fetcher.Options, run func(t *testing.T, n *node)) {
	synctest.Test(t, func(t *testing.T) {
		config, err := enforcer.Open(nil, nil)
		qt.Assert(t, err, qt.IsNil)
		options.Config, options.Clock, options.Log = config, timekeeper.RuntimeClock{}, slog.New(slog.DiscardHandler)
		options.Apply = func(v *control.Value) {
			if _, err := config.Apply(v); err != nil {
				t.Log(err)
			}
		}
		n := &node{Fetcher: fetcher.New(options), config: config}
		config.Subscribe(func(*enforcer.Config) { n.VersionApplied() })
		ctx, cancel := context.WithCancel(t.Context())
		go n.Run(ctx)
		run(t, n)
		cancel()
		synctest.Wait()
	})
}

// TestSilentTellersHoldAVersionBack has nodes tell of a version and freeze, all
// but one.
func TestSilentAdvertisersDoNotDelayVersion(t *testing.T) {
	for _, count := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			nodes := peers{"sound": answering(2, 2*time.Millisecond)}
			for i := range count {
				nodes[fmt.Sprint("frozen", i)] = silent
			}
			runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
				for i := range count {
					n.AddAdvert(2, fmt.Sprint("frozen", i))
				}
				n.AddAdvert(2, "sound")
				time.Sleep(maxNodeDelay)
				qt.Check(t, n.version(), qt.Equals, uint64(2))
			})
		})
	}
}

// TestReplicasAreAskedWhenTheTellerIsSilent has only one node tell of a version,
// which freezes.
func TestReplicasAreAskedWhenAdvertiserIsSilent(t *testing.T) {
	nodes := peers{"frozen": silent, "replica": answering(2, 2*time.Millisecond)}
	replicas := func() []string { return []string{"replica"} }
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch, Replicas: replicas}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "frozen")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestFailedFetchIsNotRepeated has a node tell once of a version and reset the
// first connections.
func TestFailedFetchIsRetried(t *testing.T) {
	nodes := peers{"sound": failing(2, answering(2, 2*time.Millisecond))}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "sound")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestFailedFetchWaitsForASilentNode has one node tell and freeze, and another one
// reset its first connection.
func TestFailedFetchIsRetriedDespiteSilentNode(t *testing.T) {
	nodes := peers{"frozen": silent, "sound": failing(1, answering(2, 2*time.Millisecond))}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "frozen")
		n.AddAdvert(2, "sound")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestUnusableVersionIsFetchedOn has a node fetch a version that it cannot put into
// force, and later one that it can.
func TestUnusableVersionIsFetchedOnce(t *testing.T) {
	var asked atomic.Int64
	ask := func(_ context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
		asked.Add(1)
		if address == "newer" {
			return &control.Value{Version: 3}, nil
		}
		return &control.Value{Version: 2, Declaration: []byte("no declaration")}, nil
	}
	runFetcher(t, fetcher.Options{Fetch: ask}, func(t *testing.T, n *node) {
		for i := range 4 {
			n.AddAdvert(2, fmt.Sprint("other", i))
		}
		time.Sleep(10 * time.Second)
		qt.Check(t, asked.Load(), qt.Equals, int64(1))
		version, _ := n.Behind()
		qt.Check(t, version, qt.Equals, uint64(2))
		n.AddAdvert(3, "newer")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(3))
	})
}

// TestStuckNodeSeemsToBeFresh tells a node that gets no answer of a higher version
// again and again.
func TestBehindAgeGrowsWithoutAnswer(t *testing.T) {
	nodes := peers{"frozen": silent}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		for v := range uint64(50) {
			n.AddAdvert(2+v, "frozen")
			time.Sleep(60 * time.Millisecond)
		}
		_, age := n.Behind()
		qt.Check(t, age, qt.Equals, 3*time.Second)
	})
}

// TestNewsIsDropped has more nodes tell than were remembered, of which only the
// last one has the version.
func TestLastAdvertIsUsedAfterOverflow(t *testing.T) {
	nodes := peers{"sound": answering(2, 2*time.Millisecond)}
	for i := range 20 {
		nodes[fmt.Sprint("older", i)] = answering(1, 2*time.Millisecond)
	}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		for i := range 20 {
			n.AddAdvert(2, fmt.Sprint("older", i))
		}
		n.AddAdvert(2, "sound")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestVersionsOvertakeAFetch has a node tell a version each 60 ms, while another
// one that told before is silent.
func TestNewVersionsDuringFetch(t *testing.T) {
	var newest atomic.Uint64
	nodes := peers{"frozen": silent, "sound": func(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
		return answering(newest.Load(), 2*time.Millisecond)(ctx, address, r)
	}}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "frozen")
		for v := uint64(3); v < 40; v++ {
			newest.Store(v)
			n.AddAdvert(v, "sound")
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(39))
	})
}

// TestAdvertOfNoVersion tells of a version that no node has: this node is not
// behind once that is known, and does not ask on.
func TestAdvertOfMissingVersion(t *testing.T) {
	var asked atomic.Int64
	ask := func(context.Context, string, *control.FetchRequest) (*control.Value, error) {
		asked.Add(1)
		return &control.Value{}, nil
	}
	runFetcher(t, fetcher.Options{Fetch: ask}, func(t *testing.T, n *node) {
		n.AddAdvert(1<<60, "damaged")
		time.Sleep(maxNodeDelay)
		version, _ := n.Behind()
		qt.Check(t, version, qt.Equals, uint64(0))
		qt.Check(t, asked.Load(), qt.Equals, int64(1))
	})
}

// TestNodeOutOfReachIsForgotten tells of a version of a node that never answers.
func TestUnreachableNodeIsForgotten(t *testing.T) {
	var asked atomic.Int64
	ask := func(context.Context, string, *control.FetchRequest) (*control.Value, error) {
		asked.Add(1)
		return nil, errors.New("connection refused")
	}
	runFetcher(t, fetcher.Options{Fetch: ask}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "gone")
		time.Sleep(10 * time.Second)
		version, age := n.Behind()
		qt.Check(t, version, qt.Equals, uint64(2))
		qt.Check(t, age, qt.Equals, 10*time.Second)
		time.Sleep(30 * time.Second)
		version, _ = n.Behind()
		qt.Check(t, version, qt.Equals, uint64(0))
		qt.Check(t, asked.Load() < 30, qt.IsTrue, qt.Commentf("%d", asked.Load()))
	})
}

// library gives a value to all who fetch it, after a while, and counts.
type countingSource struct {
	mu    sync.Mutex
	value *control.Value
	// asked and bodies count fetches and those that brought something.
	fetches, bodies int
}

func (l *countingSource) fetch(_ context.Context, _ string, r *control.FetchRequest) (*control.Value, error) {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetches++
	if l.value.Version <= r.Above {
		return &control.Value{}, nil
	}
	l.bodies++
	return l.value, nil
}

// TestVersionIsFetchedAgain has many neighbours tell of one new version while
// it is being fetched.
func TestVersionIsFetchedOnce(t *testing.T) {
	l := &countingSource{value: &control.Value{Version: 2}}
	runFetcher(t, fetcher.Options{Fetch: l.fetch}, func(t *testing.T, n *node) {
		for range 10 {
			n.AddAdvert(2, "neighbour")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
		qt.Check(t, l.fetches, qt.Equals, 1)
		qt.Check(t, l.bodies, qt.Equals, 1)
	})
}

// TestSpareHearsFromNeighboursOnly starts a replica that is no member of the set
// beside nodes that have no whole value.
func TestReplicaOutsideSetFetchesFromReplicas(t *testing.T) {
	ask := func(_ context.Context, address string, _ *control.FetchRequest) (*control.Value, error) {
		if address != "replica" {
			return nil, errors.New("this instance does not have the whole value")
		}
		return &control.Value{Version: 2}, nil
	}
	replicas := func() []string { return []string{"replica"} }
	runFetcher(t, fetcher.Options{Fetch: ask, FullValue: true, Replicas: replicas}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "neighbour")
		time.Sleep(time.Second)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}
