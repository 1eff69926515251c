package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/fetcher"
	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// liveFleet is a fleet whose nodes run in goroutines, on the clock of a synctest
// bubble.
type liveFleet struct {
	nodes     []*liveNode
	byAddress map[string]*liveNode
	// isPartitioned separates the two halves of the fleet.
	isPartitioned atomic.Bool

	mu sync.Mutex
	// nearBytes and farBytes count what is sent within and between data centres.
	nearBytes, farBytes int
	// random, if set, decides which datagrams are lost, at lossRate.
	random   *rand.Rand
	lossRate float64
}

// liveNode is a node of a liveFleet.
type liveNode struct {
	member
	fleet  *liveFleet
	half   int
	centre string
	// silent is set while the node neither sends nor answers.
	silent atomic.Bool
	// config and fetcher are set by configure. uplink holds a value while the node
	// sends a configuration, one at a time.
	config  *enforcer.Enforcer
	fetcher *fetcher.Fetcher
	uplink  chan struct{}
}

// Version implements gossiper.NodeState.
func (r *liveNode) Version() uint64 {
	if r.config == nil {
		return r.version
	}
	return r.config.Current().Version()
}

// LearnVersion implements gossiper.NodeState.
func (r *liveNode) LearnVersion(version uint64, address string) {
	if r.config == nil {
		r.member.LearnVersion(version, address)
		return
	}
	r.fetcher.AddAdvert(version, address)
}

// Send implements gossiper.Transport.
func (r *liveNode) Send(address string, p *control.Packet) {
	if to := r.reachable(address); to != nil && !to.silent.Load() && !r.silent.Load() && r.fleet.transmit(r, to, proto.Size(p)+datagramOverheadBytes) {
		to.gossip.Receive(proto.Clone(p).(*control.Packet))
	}
}

// Sync implements gossiper.Syncer.
func (r *liveNode) Sync(_ context.Context, address string, request *control.SyncRequest) (*control.SyncReply, error) {
	to := r.reachable(address)
	if to == nil || to.silent.Load() || r.silent.Load() {
		return nil, errors.New("out of reach")
	}
	reply := to.gossip.AnswerSync(proto.Clone(request).(*control.SyncRequest))
	r.fleet.transmit(r, to, proto.Size(request)+proto.Size(reply)+syncOverheadBytes)
	return reply, nil
}

// reachable returns the node at an address, or nil if it is in the other half of a
// partitioned fleet.
func (r *liveNode) reachable(address string) *liveNode {
	to := r.fleet.byAddress[address]
	if to == nil || r.fleet.isPartitioned.Load() && to.half != r.half {
		return nil
	}
	return to
}

// syncOverheadBytes is the size of the headers of a sync, both ways.
const syncOverheadBytes = 600

// startFleet starts a fleet of size nodes in a number of data centres.
func startFleet(ctx context.Context, size, centres int) *liveFleet {
	f := newFleet(size, centres)
	f.start(ctx)
	return f
}

func newFleet(size, centres int) *liveFleet {
	f := &liveFleet{byAddress: map[string]*liveNode{}}
	for i := range size {
		r := &liveNode{fleet: f, half: i % 2, centre: fmt.Sprint("centre", i%centres), member: member{
			name: fmt.Sprintf("10.%d.0.%d:7401", i%centres, i), version: 1, withdrawn: map[string]bool{}, quarantine: quarantiner.New(timekeeper.RuntimeClock{}, nil),
		}}
		self := &control.Entry{Instance: r.name, Centre: r.centre, Address: r.name, Service: fmt.Sprint("service", i%20), Slots: 100, Life: fmt.Sprintf("%016x", i)}
		r.gossip = gossiper.New(self, []string{"10.0.0.0:7401", "10.1.0.1:7401"}, timekeeper.RuntimeClock{}, r, r, rand.New(rand.NewPCG(1, uint64(i))))
		f.nodes = append(f.nodes, r)
		f.byAddress[r.name] = r
	}
	return f
}

func (f *liveFleet) start(ctx context.Context) {
	for _, r := range f.nodes {
		go r.gossip.Run(ctx)
		go r.gossip.SyncLoop(ctx, r)
	}
}

// TestQuarantineSpreadsAfterPartitionHeals crashes three targets in one half of a
// partitioned fleet. Once the partition has healed, the other half must quarantine
// the request within maxQuarantineDelay.
func TestQuarantineSpreadsAfterPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 20
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, size, 2)
		time.Sleep(20 * time.Second)
		f.isPartitioned.Store(true)
		time.Sleep(10 * time.Second)
		crasher := digestOf("killer")
		for c := range 3 {
			f.nodes[2*c].crash(fmt.Sprint("crash", c), append(otherRequests(c, 100), crasher))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for _, r := range f.nodes {
			qt.Check(t, r.quarantine.IsQuarantined(crasher), qt.Equals, r.half == 0)
		}
		f.isPartitioned.Store(false)
		time.Sleep(maxQuarantineDelay)
		for _, r := range f.nodes {
			qt.Check(t, r.quarantine.IsQuarantined(crasher), qt.IsTrue, qt.Commentf("%s", r.name))
		}
		cancel()
		synctest.Wait()
	})
}
