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

// maxNodeDelay is one node's share of the 2 s in which a version must be in force
// on all nodes: in a fleet of 92 nodes an advert passes through five.
const maxNodeDelay = 2 * time.Second / 5

// peers are the nodes from which the node under test fetches, by address.
type peers map[string]fetcher.FetchFunc

func (f peers) fetch(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
	return f[address](ctx, address, r)
}

// silent is a peer that never answers.
func silent(ctx context.Context, _ string, _ *control.FetchRequest) (*control.Value, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// answering returns a peer that answers with a version after a delay.
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

// failing returns a peer that answers with an error a number of times, then as
// another one does.
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

// runFetcher runs a fetcher and a test of it in a synctest bubble.
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

// TestSilentAdvertisersDoNotDelayVersion lets several nodes advertise a version of
// which all but the last one never answer. A fetcher that waits for the timeout of
// each puts the version in force too late.
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

// TestReplicasAreAskedWhenAdvertiserIsSilent lets only one node advertise a
// version, and that one never answers. The fetcher must use a replica.
func TestReplicasAreAskedWhenAdvertiserIsSilent(t *testing.T) {
	nodes := peers{"frozen": silent, "replica": answering(2, 2*time.Millisecond)}
	replicas := func() []string { return []string{"replica"} }
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch, Replicas: replicas}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "frozen")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestFailedFetchIsRetried lets a node advertise a version once and reset the first
// connections. A fetcher that doesn't retry never gets the version.
func TestFailedFetchIsRetried(t *testing.T) {
	nodes := peers{"sound": failing(2, answering(2, 2*time.Millisecond))}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "sound")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestFailedFetchIsRetriedDespiteSilentNode lets one advertiser never answer and
// another reset its first connection. The retry must not wait for the silent one.
func TestFailedFetchIsRetriedDespiteSilentNode(t *testing.T) {
	nodes := peers{"frozen": silent, "sound": failing(1, answering(2, 2*time.Millisecond))}
	runFetcher(t, fetcher.Options{Fetch: nodes.fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "frozen")
		n.AddAdvert(2, "sound")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}

// TestUnusableVersionIsFetchedOnce lets a node fetch a version that it can't put
// into force, and later one that it can. It must fetch the first one only once.
func TestUnusableVersionIsFetchedOnce(t *testing.T) {
	var fetches atomic.Int64
	fetch := func(_ context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
		fetches.Add(1)
		if address == "newer" {
			return &control.Value{Version: 3}, nil
		}
		return &control.Value{Version: 2, Declaration: []byte("no declaration")}, nil
	}
	runFetcher(t, fetcher.Options{Fetch: fetch}, func(t *testing.T, n *node) {
		for i := range 4 {
			n.AddAdvert(2, fmt.Sprint("other", i))
		}
		time.Sleep(10 * time.Second)
		qt.Check(t, fetches.Load(), qt.Equals, int64(1))
		version, _ := n.Behind()
		qt.Check(t, version, qt.Equals, uint64(2))
		n.AddAdvert(3, "newer")
		time.Sleep(maxNodeDelay)
		qt.Check(t, n.version(), qt.Equals, uint64(3))
	})
}

// TestBehindAgeGrowsWithoutAnswer advertises ever higher versions to a node that
// gets no answer. The time for which it has been behind must not restart with each
// advert.
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

// TestLastAdvertIsUsedAfterOverflow lets more nodes advertise a version than the
// fetcher keeps, of which only the last one has it.
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

// TestNewVersionsDuringFetch lets a node advertise a new version every 60 ms while
// a fetch from a silent node is in flight.
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

// TestAdvertOfMissingVersion advertises a version that no node has. After the
// advertiser's answer the node is no longer behind and stops fetching.
func TestAdvertOfMissingVersion(t *testing.T) {
	var fetches atomic.Int64
	fetch := func(context.Context, string, *control.FetchRequest) (*control.Value, error) {
		fetches.Add(1)
		return &control.Value{}, nil
	}
	runFetcher(t, fetcher.Options{Fetch: fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(1<<60, "damaged")
		time.Sleep(maxNodeDelay)
		version, _ := n.Behind()
		qt.Check(t, version, qt.Equals, uint64(0))
		qt.Check(t, fetches.Load(), qt.Equals, int64(1))
	})
}

// TestUnreachableNodeIsForgotten advertises a version of a node that refuses all
// connections. The node stays behind until the advert expires.
func TestUnreachableNodeIsForgotten(t *testing.T) {
	var fetches atomic.Int64
	fetch := func(context.Context, string, *control.FetchRequest) (*control.Value, error) {
		fetches.Add(1)
		return nil, errors.New("connection refused")
	}
	runFetcher(t, fetcher.Options{Fetch: fetch}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "gone")
		time.Sleep(10 * time.Second)
		version, age := n.Behind()
		qt.Check(t, version, qt.Equals, uint64(2))
		qt.Check(t, age, qt.Equals, 10*time.Second)
		time.Sleep(30 * time.Second)
		version, _ = n.Behind()
		qt.Check(t, version, qt.Equals, uint64(0))
		qt.Check(t, fetches.Load() < 30, qt.IsTrue, qt.Commentf("%d", fetches.Load()))
	})
}

// countingSource answers every fetch with a value after a delay, and counts.
type countingSource struct {
	mu    sync.Mutex
	value *control.Value
	// fetches counts all fetches, bodies those that returned the value.
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

// TestVersionIsFetchedOnce advertises a version repeatedly while its fetch is in
// flight. The node must fetch it only once.
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

// TestReplicaOutsideSetFetchesFromReplicas runs a replica outside the replica set,
// to which only a node without the whole value advertises. It must fetch the value
// from a replica.
func TestReplicaOutsideSetFetchesFromReplicas(t *testing.T) {
	fetch := func(_ context.Context, address string, _ *control.FetchRequest) (*control.Value, error) {
		if address != "replica" {
			return nil, errors.New("this instance does not have the whole value")
		}
		return &control.Value{Version: 2}, nil
	}
	replicas := func() []string { return []string{"replica"} }
	runFetcher(t, fetcher.Options{Fetch: fetch, FullValue: true, Replicas: replicas}, func(t *testing.T, n *node) {
		n.AddAdvert(2, "neighbour")
		time.Sleep(time.Second)
		qt.Check(t, n.version(), qt.Equals, uint64(2))
	})
}
