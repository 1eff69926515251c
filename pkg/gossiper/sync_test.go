package gossiper_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// startedNode is a node that has just started. It counts its sync requests.
type startedNode struct {
	version atomic.Uint64
	syncs   atomic.Int64
}

// Version implements gossiper.NodeState.
func (s *startedNode) Version() uint64 { return s.version.Load() }

// LearnVersion implements gossiper.NodeState.
func (s *startedNode) LearnVersion(uint64, string) {}

// LearnLeft implements gossiper.NodeState.
func (s *startedNode) LearnLeft(string) {}

// Merge implements gossiper.NodeState.
func (s *startedNode) Merge(gossiper.Items) gossiper.Items { return gossiper.Items{} }

// Send implements gossiper.Transport.
func (s *startedNode) Send(string, *control.Packet) {}

// Digest implements gossiper.NodeState.
func (s *startedNode) Digest() uint64 { return 0 }

// All implements gossiper.NodeState.
func (s *startedNode) All() gossiper.Items { return gossiper.Items{} }

// Sync implements gossiper.Syncer. It answers as a node without a configuration;
// the node "silent" never answers.
func (s *startedNode) Sync(ctx context.Context, address string, _ *control.SyncRequest) (*control.SyncReply, error) {
	s.syncs.Add(1)
	if address == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &control.SyncReply{From: "other"}, nil
}

// TestNodeWithoutConfigurationKeepsSyncing starts a node together with all others,
// as after a power failure: the first node that it syncs with has no configuration
// either. It must sync again at a short interval, not wait for the regular one.
func TestNodeWithoutConfigurationKeepsSyncing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &startedNode{}
		g := gossiper.New(&control.Entry{Instance: "own", Address: "own"}, []string{"other"}, timekeeper.BootTimeClock{}, s, s, rand.New(rand.NewPCG(1, 1)))
		ctx, cancel := context.WithCancel(t.Context())
		go g.SyncLoop(ctx, s)
		time.Sleep(2100 * time.Millisecond)
		qt.Check(t, s.syncs.Load() >= 9, qt.IsTrue, qt.Commentf("%d", s.syncs.Load()))
		s.version.Store(1)
		time.Sleep(250 * time.Millisecond)
		known := s.syncs.Load()
		time.Sleep(5 * time.Second)
		qt.Check(t, s.syncs.Load(), qt.Equals, known)
		cancel()
		synctest.Wait()
	})
}

// TestProbeWithOtherDigestStartsSync probes a node whose digest differs from the
// prober's: it must sync at once, long before the next regular sync. Otherwise a
// node that has just started lacks keys and decisions for seconds.
func TestProbeWithOtherDigestStartsSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &startedNode{}
		s.version.Store(1)
		g := gossiper.New(&control.Entry{Instance: "own", Address: "own"}, []string{"other"}, timekeeper.RuntimeClock{}, s, s, rand.New(rand.NewPCG(1, 1)))
		ctx, cancel := context.WithCancel(t.Context())
		go g.SyncLoop(ctx, s)
		time.Sleep(1500 * time.Millisecond)
		before := s.syncs.Load()
		probe := func(news uint64) {
			g.Receive(&control.Packet{Kind: control.Kind_KIND_PING, From: "other", Address: "other", Version: 1, News: news})
			time.Sleep(10 * time.Millisecond)
		}
		probe(0)
		qt.Check(t, s.syncs.Load(), qt.Equals, before)
		probe(7)
		qt.Check(t, s.syncs.Load() > before, qt.IsTrue)
		// A difference that persists must cause at most one sync per second.
		before = s.syncs.Load()
		for range 200 {
			probe(7)
		}
		qt.Check(t, s.syncs.Load() <= before+2, qt.IsTrue, qt.Commentf("%d", s.syncs.Load()-before))
		cancel()
		synctest.Wait()
	})
}

// TestSilentNodeDoesNotBlockSync lets a node that has just started sync with one
// that never answers while another probes it: the sync must time out, and the next
// one follow.
func TestSilentNodeDoesNotBlockSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &startedNode{}
		g := gossiper.New(&control.Entry{Instance: "own", Address: "own"}, []string{"silent"}, timekeeper.RuntimeClock{}, s, s, rand.New(rand.NewPCG(1, 1)))
		ctx, cancel := context.WithCancel(t.Context())
		go g.SyncLoop(ctx, s)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, s.syncs.Load(), qt.Equals, int64(1))
		g.Receive(&control.Packet{Kind: control.Kind_KIND_PING, From: "other", Address: "other", Version: 1, News: 7})
		time.Sleep(time.Second)
		qt.Check(t, s.syncs.Load() >= 2, qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}
