//go:build !race

// With the race detector these tests take minutes; CI runs them without it.

package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/fetcher"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// versionSeed seeds the choice of lost datagrams and of silent nodes.
	versionSeed = 20261204
	// rounds is how often silent nodes are chosen in one run.
	rounds = 3
	// maxInForceDelay is the time in which a confirmed version must be in force on
	// all nodes that are in contact.
	maxInForceDelay = 2 * time.Second
	// bodyTransferDelay is how long a configuration of 500 kB, larger than one of
	// 1,400 routes, occupies a node's link of 200 Mbit/s.
	bodyTransferDelay = 20 * time.Millisecond
	// applyDelay is how long a node takes to put a configuration in force.
	applyDelay = 20 * time.Millisecond
	// roundTripDelay is the round-trip time between any two nodes.
	roundTripDelay = 2 * time.Millisecond
)

// configure gives every node of a fleet a configuration and a fetcher that keeps it
// up to date.
func (f *liveFleet) configure(ctx context.Context, t *testing.T) {
	for _, r := range f.nodes {
		config, err := enforcer.Open(nil, nil)
		qt.Assert(t, err, qt.IsNil)
		r.config, r.uplink = config, make(chan struct{}, 1)
		r.fetcher = fetcher.New(fetcher.Options{
			Fetch: r.fetch, Config: config, Apply: r.apply, Clock: timekeeper.RuntimeClock{}, Log: slog.New(slog.DiscardHandler),
		})
		go r.fetcher.Run(ctx)
	}
}

// apply puts a value in force and advertises its version.
func (r *liveNode) apply(v *control.Value) {
	if fresh, err := r.config.Apply(v); fresh && err == nil {
		r.gossip.BroadcastVersion()
	}
}

// fetch requests the configuration of the node at an address. A node that is silent
// never answers.
func (r *liveNode) fetch(ctx context.Context, address string, request *control.FetchRequest) (*control.Value, error) {
	to := r.reachable(address)
	time.Sleep(roundTripDelay)
	if to == nil || to.silent.Load() || r.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	value := to.config.Current().Value()
	if value.GetVersion() <= request.Above {
		return &control.Value{}, nil
	}
	to.uplink <- struct{}{}
	time.Sleep(bodyTransferDelay)
	<-to.uplink
	time.Sleep(applyDelay)
	if ctx.Err() != nil || to.silent.Load() {
		return nil, errors.New("node fell silent during the transfer")
	}
	return value, nil
}

// staleCount returns how many nodes that aren't silent have a lower version.
func (f *liveFleet) staleCount(version uint64) int {
	count := 0
	for _, r := range f.nodes {
		if !r.silent.Load() && r.Version() < version {
			count++
		}
	}
	return count
}

// TestVersionIsInForceEverywhere confirms versions while a tenth of the nodes
// falls silent and a tenth of the datagrams is lost. On all other nodes the last
// version must be in force within maxInForceDelay.
func TestVersionIsInForceEverywhere(t *testing.T) {
	for _, c := range []struct {
		size, centres int
		// interval is the time between two versions.
		interval time.Duration
		// silenceDelay is how long after the last version the nodes fall silent.
		silenceDelay time.Duration
	}{
		{92, 4, 3 * time.Second, 0},
		{92, 4, 3 * time.Second, 150 * time.Millisecond},
		{92, 4, 3 * time.Second, 400 * time.Millisecond},
		{92, 4, 60 * time.Millisecond, 150 * time.Millisecond},
		{199, 6, 60 * time.Millisecond, 150 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d nodes, each %v, silent after %v", c.size, c.interval, c.silenceDelay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(c.size, c.centres)
				f.configure(ctx, t)
				f.start(ctx)
				time.Sleep(20 * time.Second)
				f.setLoss(versionSeed, 0.1)
				random := rand.New(rand.NewPCG(versionSeed, 0))
				confirmed := uint64(0)
				for range rounds {
					f.confirm(random, &confirmed, c.interval, c.silenceDelay)
					time.Sleep(maxInForceDelay - c.silenceDelay)
					qt.Check(t, f.staleCount(confirmed), qt.Equals, 0)
					f.endSilence()
					// The nodes that were silent catch up.
					time.Sleep(3 * time.Second)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// confirm puts versions in force on a random node, at an interval, as many as fit
// into a second, and silences up to a tenth of the nodes after silenceDelay.
func (f *liveFleet) confirm(random *rand.Rand, confirmed *uint64, interval, silenceDelay time.Duration) {
	proposer := f.nodes[random.IntN(len(f.nodes))]
	for began := time.Now(); ; {
		*confirmed++
		proposer.apply(&control.Value{Version: *confirmed})
		if time.Since(began)+interval > time.Second {
			break
		}
		time.Sleep(interval)
	}
	time.Sleep(silenceDelay)
	for range len(f.nodes) / 10 {
		if r := f.nodes[random.IntN(len(f.nodes))]; r != proposer {
			r.silent.Store(true)
		}
	}
}

// endSilence makes all nodes send and answer again.
func (f *liveFleet) endSilence() {
	for _, r := range f.nodes {
		r.silent.Store(false)
	}
}
