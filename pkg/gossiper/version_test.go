//go:build !race

// With the race detector this file takes minutes; CI runs it without.

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
	// versionSeed draws which datagrams are lost and which nodes fall silent.
	versionSeed = 20261204
	// rounds is how often that is drawn.
	rounds = 3
	// inForceMost is the promise for a confirmed version: it is in force on all
	// nodes in touch after that time.
	maxInForceDelay = 2 * time.Second
	// bodyTime is how long a node's link is taken by a body of 500 kB, more than
	// 1,400 routes have, at 200 Mbit/s.
	bodyTransferDelay = 20 * time.Millisecond
	// tableTime is how long a node takes to put it in force.
	applyDelay = 20 * time.Millisecond
	// roundTrip is between any two nodes.
	roundTripDelay = 2 * time.Millisecond
)

// configure gives every node of a fleet a configuration that it fetches from
// the others.
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

// offer puts a value into force and tells the others.
func (r *liveNode) apply(v *control.Value) {
	if fresh, err := r.config.Apply(v); fresh && err == nil {
		r.gossip.BroadcastVersion()
	}
}

// fetch asks the node at an address; one that is silent never answers.
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
		return nil, errors.New("broken off")
	}
	return value, nil
}

// behind counts the nodes that run and have a lower version.
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
// falls silent and a tenth of the datagrams is lost: all others have each version
// in time.
func TestVersionIsInForceEverywhere(t *testing.T) {
	for _, c := range []struct {
		size, centres int
		// gap is the time between two versions.
		interval time.Duration
		// fall is how long after the confirmation of a version nodes fall silent.
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
					// Those that were silent catch up and are in touch again.
					time.Sleep(3 * time.Second)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// confirm lets versions come into force on a node that runs, as many as fit into
// a second, and silences a tenth of the others a while after the last one.
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

// wake ends all silence.
func (f *liveFleet) endSilence() {
	for _, r := range f.nodes {
		r.silent.Store(false)
	}
}
