package limiter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const sharedTeam = "team"

// deputyFleet simulates the witnesses of one fleet-wide limit and the nodes that
// request tokens from them, under a manual clock.
type deputyFleet struct {
	clock     *timekeeper.Manual
	random    *rand.Rand
	limit     Allocation
	witnesses []*fleetWitness
	sessions  uint64
	nodes     []*tokenNode
	// delayed are messages in flight; they can overtake each other.
	delayed []delayed
	spends  []time.Time
	// lossy makes the network lose and delay messages between witnesses.
	lossy bool
	// dropOpen makes the network lose the second round of every renewal, in
	// which a holder announces that it opens its buckets.
	dropOpen  bool
	lostVotes map[voteRequest]bool
	// nodesStarting means that nodes do not answer DropTokens yet.
	nodesStarting bool
	// fromDeputies counts the tokens granted by deputies.
	fromDeputies int
}

// fleetWitness is one witness with its holder and deputy. It reaches only witnesses
// that are in the same partition and not frozen.
type fleetWitness struct {
	fleet   *deputyFleet
	name    string
	witness *Witness
	holder  *Holder
	config  *enforcer.Enforcer
	session uint64
	// frozen means that the process does nothing and answers nothing.
	frozen    bool
	partition int
}

// tokenNode is a node with its unspent batches and unsent reports. It reaches all
// witnesses, even if they are partitioned, or only onlyWitness if that is set.
type tokenNode struct {
	onlyWitness *fleetWitness
	batches     []*heldBatch
	reports     []*control.Spent
}

// delayed is a message that is delivered at a given time.
type delayed struct {
	at  time.Time
	run func()
}

// voteRequest identifies the request to a witness in one of the two rounds of a
// renewal.
type voteRequest struct {
	witness *fleetWitness
	open    bool
}

var errLost = errors.New("lost")

func newDeputyFleet(seed uint64, limit Allocation, witnesses, nodes int) *deputyFleet {
	f := &deputyFleet{clock: &timekeeper.Manual{}, random: rand.New(rand.NewPCG(seed, 1)), limit: limit}
	for i := range witnesses {
		f.witnesses = append(f.witnesses, &fleetWitness{fleet: f, name: fmt.Sprint("w", i)})
	}
	for range nodes {
		f.nodes = append(f.nodes, &tokenNode{})
	}
	for _, w := range f.witnesses {
		w.start()
	}
	f.advance(10 * time.Second)
	return f
}

// start starts or restarts the process of a witness, without any state of the
// earlier one.
func (w *fleetWitness) start() {
	f := w.fleet
	f.sessions++
	w.session = f.sessions
	declaration := &declarer.Declaration{Teams: map[string]declarer.Team{sharedTeam: {Rate: f.limit.Rate, Burst: f.limit.Burst}}}
	text, err := declaration.Canonical()
	if err != nil {
		panic(err)
	}
	value := &control.Value{Version: 1, Declaration: text}
	for _, other := range f.witnesses {
		value.Replicas = append(value.Replicas, &control.Member{Instance: other.name})
	}
	w.config, _ = enforcer.Open(nil, nil)
	if _, err := w.config.Apply(value); err != nil {
		panic(err)
	}
	w.witness = NewWitness(f.clock, func() uint64 { return 1 })
	w.holder = NewHolder(f.clock, w.config, w, w.name, "", w.session, slog.New(slog.DiscardHandler))
}

func (f *deputyFleet) find(name string) *fleetWitness {
	return f.witnesses[slices.IndexFunc(f.witnesses, func(w *fleetWitness) bool { return w.name == name })]
}

func (w *fleetWitness) reaches(other *fleetWitness) bool {
	return other == w || w.partition == other.partition && !other.frozen
}

// Lease implements PeerClient.
func (w *fleetWitness) Lease(_ context.Context, name string, r *control.LeaseRequest) (*control.LeaseReply, error) {
	other := w.fleet.find(name)
	if !w.reaches(other) || w.fleet.lostVotes[voteRequest{other, r.Open}] {
		return nil, errLost
	}
	return other.witness.Vote(r), nil
}

// HolderVersion implements PeerClient.
func (w *fleetWitness) HolderVersion(context.Context, string, string) uint64 { return 0 }

// DropTokens implements PeerClient.
func (w *fleetWitness) DropTokens(context.Context, int) bool {
	if w.fleet.nodesStarting {
		return false
	}
	for _, n := range w.fleet.nodes {
		n.batches, n.reports = nil, nil
	}
	return true
}

// Standby implements PeerClient.
func (w *fleetWitness) Standby(_ context.Context, name string, r *control.StandbyRequest) (*control.StandbyReply, error) {
	other := w.fleet.find(name)
	if !w.reaches(other) || w.frozen {
		return nil, errLost
	}
	return other.holder.Standby(r), nil
}

// advance advances the clock in steps, in which witnesses renew their leases and
// deputies poll.
func (f *deputyFleet) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.Advance(min(d, step))
		f.deliver()
		for _, w := range f.witnesses {
			if w.frozen {
				continue
			}
			if f.due(renewInterval, step) {
				f.drawLosses(w)
				w.holder.Renew(context.Background())
				// Wait until the requests that were not needed for the majority have
				// arrived as well.
				synctest.Wait()
			}
			if f.due(standbyPollInterval, step) {
				f.poll(w)
			}
		}
	}
}

// drawLosses draws which requests of the next renewal are lost.
func (f *deputyFleet) drawLosses(w *fleetWitness) {
	f.lostVotes = map[voteRequest]bool{}
	for _, other := range f.witnesses {
		for _, open := range []bool{false, true} {
			lost := f.lossy && f.random.IntN(4) == 0 || f.dropOpen && open
			f.lostVotes[voteRequest{other, open}] = other != w && lost
		}
	}
}

// due reports whether an action with the given period is due in this step. In a
// lossy fleet it is due at random, once per period on average.
func (f *deputyFleet) due(period, step time.Duration) bool {
	if f.lossy {
		return f.random.IntN(int(period/step)) == 0
	}
	return time.Duration(f.clock.Now().UnixNano())%period < step
}

// deliver delivers the delayed messages that are due.
func (f *deputyFleet) deliver() {
	now := f.clock.Now()
	due := f.delayed
	f.delayed = nil
	for _, m := range due {
		if m.at.After(now) {
			f.delayed = append(f.delayed, m)
			continue
		}
		m.run()
	}
}

// transmit delivers a message at once or, in a lossy fleet, possibly later or
// never.
func (f *deputyFleet) transmit(run func()) {
	outcome := f.random.IntN(10)
	if !f.lossy {
		outcome = 9
	}
	switch outcome {
	case 0:
	case 1, 2:
		f.delayed = append(f.delayed, delayed{f.clock.Now().Add(time.Duration(f.random.IntN(900)) * time.Millisecond), run})
	default:
		run()
	}
}

// poll lets a deputy poll each possible holder once.
func (f *deputyFleet) poll(w *fleetWitness) {
	h := w.holder
	c := w.config.Current()
	for _, other := range f.witnesses {
		if other == w || !w.reaches(other) {
			continue
		}
		sent, request := h.deputy.request(other.name, c)
		f.transmit(func() {
			if other.frozen {
				return
			}
			reply := other.holder.Standby(request)
			f.transmit(func() {
				if w.holder == h && !w.frozen && h.deputy.received(other.name, sent, c, request, reply) && !f.lossy {
					f.poll(w)
				}
			})
		})
	}
}

// ask requests tokens for a node from one witness after the other, until one
// replies as holder or grants tokens as deputy.
func (f *deputyFleet) ask(n *tokenNode, count uint32) uint32 {
	start := f.random.IntN(len(f.witnesses))
	for i := range f.witnesses {
		w := f.witnesses[(start+i)%len(f.witnesses)]
		if w.frozen || n.onlyWitness != nil && n.onlyWitness != w {
			continue
		}
		if reply := f.askWitness(n, w, count); !reply.Absent {
			return reply.Count
		}
	}
	return 0
}

// askWitness requests tokens for a node from one witness.
func (f *deputyFleet) askWitness(n *tokenNode, w *fleetWitness, count uint32) *control.TokensReply {
	sent := f.clock.Now()
	holding := w.holder.holdsShard(ShardOf(sharedTeam))
	reply := w.holder.Tokens(&control.TokensRequest{Team: sharedTeam, Count: count, Spent: n.reports})
	if reply.Absent {
		return reply
	}
	if !holding {
		f.fromDeputies += int(reply.Count)
	}
	n.reports = nil
	if reply.Count > 0 {
		n.batches = append(n.batches, &heldBatch{id: reply.Batch, count: reply.Count, expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond)})
	}
	return reply
}

// spendAll spends at once all tokens that the witnesses grant to a node.
func (f *deputyFleet) spendAll(n *tokenNode) {
	for _, w := range f.witnesses {
		for !w.frozen && f.askWitness(n, w, 20).Count > 0 {
			f.spend(n)
		}
	}
}

// spend spends all tokens of a node that have not expired.
func (f *deputyFleet) spend(n *tokenNode) {
	now := f.clock.Now()
	for _, b := range n.batches {
		for b.spent < b.count && now.Before(b.expiry) {
			b.spent++
			f.spends = append(f.spends, now)
		}
		n.reports = append(n.reports, &control.Spent{Batch: b.id, Count: b.spent, Closed: true})
	}
	n.batches = nil
}

// randomStep changes the faults, advances the clock, or requests or spends tokens,
// at random.
func (f *deputyFleet) randomStep() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	w := f.witnesses[f.random.IntN(len(f.witnesses))]
	switch f.random.IntN(24) {
	case 0:
		w.frozen = f.random.IntN(2) == 0
	case 1:
		w.partition = f.random.IntN(4) / 3
	case 2, 3:
		if f.random.IntN(3) == 0 {
			w.start()
		}
	case 4:
		for _, w := range f.witnesses {
			w.frozen, w.partition = false, 0
		}
	case 5, 6, 7:
		f.advance(time.Duration(f.random.IntN(1000)) * time.Millisecond)
	case 8, 9, 10, 11:
		f.advance(50 * time.Millisecond)
	case 12, 13, 14, 15, 16:
		f.spend(n)
	case 17, 18:
		f.ask(n, uint32(1+f.random.IntN(8)))
	default:
		// Unlimited demand for a while.
		for range f.random.IntN(30) {
			f.spendAll(n)
			f.advance(50 * time.Millisecond)
		}
	}
}

// worstExcess returns by how many requests the limit was exceeded in the worst
// window.
func (f *deputyFleet) worstExcess() float64 {
	worst := 0.0
	for from := range f.spends {
		for to := from; to < len(f.spends) && f.spends[to].Sub(f.spends[from]) < 9*time.Second; to++ {
			allowed := f.limit.Rate*f.spends[to].Sub(f.spends[from]).Seconds() + f.limit.Burst
			worst = max(worst, float64(to-from+1)-allowed)
		}
	}
	return worst
}

// TestDeputiesNeverExceedLimit simulates frozen, partitioned and restarted
// witnesses, late and lost messages, and changes of the holder at random. It
// checks that in every window the spent tokens are within rate and burst.
func TestDeputiesNeverExceedLimit(t *testing.T) { synctest.Test(t, testDeputiesNeverExceedLimit) }

func testDeputiesNeverExceedLimit(t *testing.T) {
	served, fromDeputies := 0, 0
	for seed := range uint64(120) {
		f := newDeputyFleet(seed, Allocation{Rate: 30, Burst: 30}, 3+int(seed%5), 4)
		f.lossy = true
		for range 250 {
			f.randomStep()
		}
		served += len(f.spends)
		fromDeputies += f.fromDeputies
		qt.Check(t, f.worstExcess() < 1e-6, qt.IsTrue, qt.Commentf("seed %d: limit exceeded by %v", seed, f.worstExcess()))
	}
	// The check is only meaningful if both holders and deputies granted tokens.
	qt.Assert(t, served > 20000, qt.IsTrue, qt.Commentf("%d", served))
	qt.Assert(t, fromDeputies > 4000, qt.IsTrue, qt.Commentf("%d of %d", fromDeputies, served))
}

// TestIsolatedDeputyServesItsNodes partitions one witness from all others. It must
// serve the nodes that reach only this witness with its share of the rate.
func TestIsolatedDeputyServesItsNodes(t *testing.T) {
	synctest.Test(t, testIsolatedDeputyServesItsNodes)
}

func testIsolatedDeputyServesItsNodes(t *testing.T) {
	f := newDeputyFleet(2, Allocation{Rate: 90, Burst: 90}, 4, 1)
	isolated := f.witnesses[slices.IndexFunc(f.witnesses, func(w *fleetWitness) bool { return !w.holder.holdsShard(ShardOf(sharedTeam)) })]
	isolated.partition, f.nodes[0].onlyWitness = 1, isolated
	admitted := uint32(0)
	const duration = 5 * time.Second
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		admitted += f.ask(f.nodes[0], 2)
		f.nodes[0].batches = nil
	}
	// The node requests 20 tokens per second; the deputy's share, a third of the
	// rate, is 30.
	want := 20 * (duration - standbyDelay).Seconds() * 0.95
	qt.Assert(t, float64(admitted) >= want, qt.IsTrue, qt.Commentf("%d", admitted))
}

// TestUnconfirmedHolderGrantsNothing loses a holder (first) before a majority of
// the witnesses knows that it opens its buckets. The next holder (second) still
// takes the one before (former) as its predecessor, and doesn't withhold tokens
// for it. So the first one must not have made the former one its deputy.
func TestUnconfirmedHolderGrantsNothing(t *testing.T) {
	synctest.Test(t, testUnconfirmedHolderGrantsNothing)
}

func testUnconfirmedHolderGrantsNothing(t *testing.T) {
	f := newDeputyFleet(1, Allocation{Rate: 30, Burst: 30}, 3, 1)
	holds := func(w *fleetWitness) bool { return w.holder.holdsShard(ShardOf(sharedTeam)) }
	at := slices.IndexFunc(f.witnesses, holds)
	former, first, second := f.witnesses[at], f.witnesses[(at+1)%3], f.witnesses[(at+2)%3]
	former.frozen, f.dropOpen = true, true
	for range 200 {
		f.advance(50 * time.Millisecond)
		if holds(first) || holds(second) {
			break
		}
	}
	if holds(second) {
		first, second = second, first
	}
	qt.Assert(t, holds(first), qt.IsTrue)
	former.frozen = false
	f.advance(300 * time.Millisecond)
	// From here on nobody polls, and the second one gets the lease.
	first.frozen, f.dropOpen = true, false
	f.lostVotes = nil
	for range 30 {
		f.clock.Advance(100 * time.Millisecond)
		second.holder.Renew(context.Background())
		synctest.Wait()
		if holds(second) {
			break
		}
	}
	qt.Assert(t, holds(second), qt.IsTrue)
	// The first one polls the new holder again, so that the holder does not
	// withhold tokens for it. The former one is partitioned, except during the
	// renewals.
	first.frozen = false
	former.partition = 1
	for tick := range 100 {
		f.clock.Advance(50 * time.Millisecond)
		f.poll(first)
		if tick%8 == 0 {
			former.partition = 0
			second.holder.Renew(context.Background())
			synctest.Wait()
			former.partition = 1
		}
		f.spendAll(f.nodes[0])
	}
	qt.Assert(t, len(f.spends) > 0, qt.IsTrue)
	qt.Assert(t, f.worstExcess() < 1e-6, qt.IsTrue, qt.Commentf("limit exceeded by %v", f.worstExcess()))
}

// TestManyNodesShareRate lets many nodes with few requests each request a little
// less than the rate in all: nearly all requests must be admitted.
func TestManyNodesShareRate(t *testing.T) { synctest.Test(t, testManyNodesShareRate) }

func testManyNodesShareRate(t *testing.T) {
	f := newDeputyFleet(3, Allocation{Rate: 40, Burst: 40}, 4, 16)
	offered, admitted := 0, 0
	// A tick is 10 ms; the fleet advances in steps of 50 ms.
	for tick := range 4000 {
		if tick%5 == 0 {
			f.advance(50 * time.Millisecond)
		}
		for _, n := range f.nodes {
			if f.random.Float64() >= 0.0225 {
				continue
			}
			offered++
			admitted += int(f.ask(n, 1))
			f.spend(n)
			// A node that has spent its last token reports that at once.
			f.ask(n, 0)
		}
	}
	// 36 requests per second are offered at a rate of 40; the burst of 40
	// absorbs random clusters.
	qt.Assert(t, float64(admitted) > 0.99*float64(offered), qt.IsTrue, qt.Commentf("%d of %d", admitted, offered))
}
