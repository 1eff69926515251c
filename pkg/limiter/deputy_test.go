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

// wholeFleet is a set of witnesses that hold one limit for all nodes, under a
// manual clock.
type wholeFleet struct {
	clock     *timekeeper.Manual
	random    *rand.Rand
	limit     Allocation
	witnesses []*wholeWitness
	lives     uint64
	nodes     []*tokenNode
	// delayed messages arrive when their time has come, in any order.
	delayed []delayed
	spends  []time.Time
	// lossy networks lose and delay messages between witnesses.
	lossy bool
	// deaf witnesses do not hear the second round of a renewal, in which a holder
	// tells that it opens its buckets.
	deaf    bool
	unheard map[hearing]bool
	// starting nodes do not answer a holder yet.
	starting bool
	// deputized are tokens handed out by deputies.
	deputized int
}

type wholeWitness struct {
	fleet   *wholeFleet
	name    string
	witness *Witness
	holder  *Holder
	config  *enforcer.Enforcer
	session uint64
	frozen  bool
	island  int
}

// tokenNode has what it was handed out and not spent. It reaches all witnesses,
// also when they do not reach each other, or only one.
type tokenNode struct {
	only    *wholeWitness
	batches []*heldBatch
	reports []*control.Spent
}

type delayed struct {
	at  time.Time
	run func()
}

// hearing is whether a witness hears one of the two rounds of a renewal.
type hearing struct {
	witness *wholeWitness
	open    bool
}

var errLost = errors.New("lost")

func newWholeFleet(seed uint64, limit Allocation, witnesses, nodes int) *wholeFleet {
	f := &wholeFleet{clock: &timekeeper.Manual{}, random: rand.New(rand.NewPCG(seed, 1)), limit: limit}
	for i := range witnesses {
		f.witnesses = append(f.witnesses, &wholeWitness{fleet: f, name: fmt.Sprint("w", i)})
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

// start begins a life of a witness that knows nothing of the last one.
func (w *wholeWitness) start() {
	f := w.fleet
	f.lives++
	w.session = f.lives
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

func (f *wholeFleet) find(name string) *wholeWitness {
	return f.witnesses[slices.IndexFunc(f.witnesses, func(w *wholeWitness) bool { return w.name == name })]
}

func (w *wholeWitness) reaches(other *wholeWitness) bool {
	return other == w || w.island == other.island && !other.frozen
}

// Lease implements PeerClient.
func (w *wholeWitness) Lease(_ context.Context, name string, r *control.LeaseRequest) (*control.LeaseReply, error) {
	other := w.fleet.find(name)
	if !w.reaches(other) || w.fleet.unheard[hearing{other, r.Open}] {
		return nil, errLost
	}
	return other.witness.Vote(r), nil
}

// HolderVersion implements PeerClient.
func (w *wholeWitness) HolderVersion(context.Context, string, string) uint64 { return 0 }

// DropTokens implements PeerClient.
func (w *wholeWitness) DropTokens(context.Context, int) bool {
	if w.fleet.starting {
		return false
	}
	for _, n := range w.fleet.nodes {
		n.batches, n.reports = nil, nil
	}
	return true
}

// Standby implements PeerClient.
func (w *wholeWitness) Standby(_ context.Context, name string, r *control.StandbyRequest) (*control.StandbyReply, error) {
	other := w.fleet.find(name)
	if !w.reaches(other) || w.frozen {
		return nil, errLost
	}
	return other.holder.Standby(r), nil
}

// advance passes time, in which witnesses renew their leases and deputies poll.
func (f *wholeFleet) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.Advance(min(d, step))
		f.deliver()
		for _, w := range f.witnesses {
			if w.frozen {
				continue
			}
			if f.due(renewPeriod, step) {
				f.lose(w)
				w.holder.Renew(context.Background())
				// Requests that were not needed for the majority arrive as well.
				synctest.Wait()
			}
			if f.due(standbyPoll, step) {
				f.poll(w)
			}
		}
	}
}

// lose draws which witnesses do not hear the requests of one renewal.
func (f *wholeFleet) lose(w *wholeWitness) {
	f.unheard = map[hearing]bool{}
	for _, other := range f.witnesses {
		for _, open := range []bool{false, true} {
			lost := f.lossy && f.random.IntN(4) == 0 || f.deaf && open
			f.unheard[hearing{other, open}] = other != w && lost
		}
	}
}

// due tells whether something that is done once a period is due in this step;
// lossy fleets do it at random.
func (f *wholeFleet) due(period, step time.Duration) bool {
	if f.lossy {
		return f.random.IntN(int(period/step)) == 0
	}
	return time.Duration(f.clock.Now().UnixNano())%period < step
}

func (f *wholeFleet) deliver() {
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

// later runs a message at once, some time later, or never.
func (f *wholeFleet) later(run func()) {
	fate := f.random.IntN(10)
	if !f.lossy {
		fate = 9
	}
	switch fate {
	case 0:
	case 1, 2:
		f.delayed = append(f.delayed, delayed{f.clock.Now().Add(time.Duration(f.random.IntN(900)) * time.Millisecond), run})
	default:
		run()
	}
}

// poll plays one round of a deputy with each possible holder.
func (f *wholeFleet) poll(w *wholeWitness) {
	life := w.holder
	c := w.config.Current()
	for _, other := range f.witnesses {
		if other == w || !w.reaches(other) {
			continue
		}
		sent, request := life.deputy.request(other.name, c)
		f.later(func() {
			if other.frozen {
				return
			}
			reply := other.holder.Standby(request)
			f.later(func() {
				if w.holder == life && !w.frozen && life.deputy.heard(other.name, sent, c, request, reply) && !f.lossy {
					f.poll(w)
				}
			})
		})
	}
}

// ask gets tokens for a node from the first witness that gives any.
func (f *wholeFleet) ask(n *tokenNode, count uint32) uint32 {
	start := f.random.IntN(len(f.witnesses))
	for i := range f.witnesses {
		w := f.witnesses[(start+i)%len(f.witnesses)]
		if w.frozen || n.only != nil && n.only != w {
			continue
		}
		if reply := f.askOne(n, w, count); !reply.Absent {
			return reply.Count
		}
	}
	return 0
}

func (f *wholeFleet) askOne(n *tokenNode, w *wholeWitness, count uint32) *control.TokensReply {
	sent := f.clock.Now()
	holding := w.holder.holdsShard(ShardOf(sharedTeam))
	reply := w.holder.Tokens(&control.TokensRequest{Team: sharedTeam, Count: count, Spent: n.reports})
	if reply.Absent {
		return reply
	}
	if !holding {
		f.deputized += int(reply.Count)
	}
	n.reports = nil
	if reply.Count > 0 {
		n.batches = append(n.batches, &heldBatch{batch: reply.Batch, count: reply.Count, expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond)})
	}
	return reply
}

// drain spends at once all that any witness gives.
func (f *wholeFleet) drain(n *tokenNode) {
	for _, w := range f.witnesses {
		for !w.frozen && f.askOne(n, w, 20).Count > 0 {
			f.spend(n)
		}
	}
}

// spend uses up what a node has and has not expired.
func (f *wholeFleet) spend(n *tokenNode) {
	now := f.clock.Now()
	for _, b := range n.batches {
		for b.spent < b.count && now.Before(b.expiry) {
			b.spent++
			f.spends = append(f.spends, now)
		}
		n.reports = append(n.reports, &control.Spent{Batch: b.batch, Count: b.spent, Closed: true})
	}
	n.batches = nil
}

// play makes one random step.
func (f *wholeFleet) play() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	w := f.witnesses[f.random.IntN(len(f.witnesses))]
	switch f.random.IntN(24) {
	case 0:
		w.frozen = f.random.IntN(2) == 0
	case 1:
		w.island = f.random.IntN(4) / 3
	case 2, 3:
		if f.random.IntN(3) == 0 {
			w.start()
		}
	case 4:
		for _, w := range f.witnesses {
			w.frozen, w.island = false, 0
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
		// Demand without end, for a while.
		for range f.random.IntN(30) {
			f.drain(n)
			f.advance(50 * time.Millisecond)
		}
	}
}

// over returns how much the worst window is over the limit.
func (f *wholeFleet) over() float64 {
	worst := 0.0
	for from := range f.spends {
		for to := from; to < len(f.spends) && f.spends[to].Sub(f.spends[from]) < 9*time.Second; to++ {
			allowed := f.limit.Rate*f.spends[to].Sub(f.spends[from]).Seconds() + f.limit.Burst
			worst = max(worst, float64(to-from+1)-allowed)
		}
	}
	return worst
}

// TestDeputiesAreNeverOver draws frozen, cut off and restarted witnesses, late
// and lost messages, and holders that follow each other, and checks every
// window of admitted requests against rate and burst.
func TestDeputiesAreNeverOver(t *testing.T) { synctest.Test(t, testDeputiesAreNeverOver) }

func testDeputiesAreNeverOver(t *testing.T) {
	served, deputized := 0, 0
	for seed := range uint64(120) {
		f := newWholeFleet(seed, Allocation{Rate: 30, Burst: 30}, 3+int(seed%5), 4)
		f.lossy = true
		for range 250 {
			f.play()
		}
		served += len(f.spends)
		deputized += f.deputized
		qt.Check(t, f.over() < 1e-6, qt.IsTrue, qt.Commentf("seed %d: over by %v", seed, f.over()))
	}
	// The check means something only if both holders and deputies served.
	qt.Assert(t, served > 20000, qt.IsTrue, qt.Commentf("%d", served))
	qt.Assert(t, deputized > 4000, qt.IsTrue, qt.Commentf("%d of %d", deputized, served))
}

// fleetHolders is the network as a node's TokenClient sees it.
type fleetHolders struct{ fleet *wholeFleet }

// RequestTokens implements Holders.
func (h *fleetHolders) RequestTokens(_ context.Context, _ string, r *control.TokensRequest) (*control.TokensReply, error) {
	last := &control.TokensReply{Absent: true}
	for _, w := range h.fleet.witnesses {
		if w.frozen {
			continue
		}
		reply := w.holder.Tokens(r)
		if IsFinal(reply) {
			return reply, nil
		}
		if !reply.Absent {
			last = reply
		}
	}
	return last, nil
}

// OtherCentres implements Holders.
func (h *fleetHolders) OtherCentres(string) []string { return nil }

// Reserve implements Limits, with a tolerance of a tenth and 20 requests in 5 s.
func (h *fleetHolders) Reserve(string) Reserve {
	return NewReserve(h.fleet.limit, 5*time.Second, 0.1, 20, 6)
}

// TestDeputiesOutliveTheirHolder lets nodes with a steady demand lose the holder
// for as long as it takes until another one follows: they are served all the
// while, but for what is on its way at that moment.
func TestDeputiesOutliveTheirHolder(t *testing.T) { synctest.Test(t, testDeputiesOutliveTheirHolder) }

func testDeputiesOutliveTheirHolder(t *testing.T) {
	f := newWholeFleet(1, Allocation{Rate: 100, Burst: 100}, 4, 0)
	network := &fleetHolders{f}
	var nodes []*TokenClient
	for i := range 6 {
		nodes = append(nodes, NewTokenClient(f.clock, network, ByDemand{}, fmt.Sprint("node", i), "", func() uint64 { return 1 }, network))
	}
	round := func() int {
		f.advance(100 * time.Millisecond)
		admitted := 0
		for _, n := range nodes {
			if n.Acquire(context.Background(), sharedTeam) == nil {
				admitted++
			}
		}
		return admitted
	}
	for range 30 {
		round()
	}
	lost := slices.IndexFunc(f.witnesses, func(w *wholeWitness) bool { return w.holder.holdsShard(ShardOf(sharedTeam)) })
	f.witnesses[lost].frozen = true
	admitted := 0
	const rounds = 45
	for range rounds {
		admitted += round()
	}
	qt.Assert(t, admitted >= 6*44, qt.IsTrue, qt.Commentf("%d of %d", admitted, 6*rounds))
}

// TestCutZoneIsServedByItsDeputy cuts one witness off from all others: nodes
// that reach only that one are served its part of the rate.
func TestCutZoneIsServedByItsDeputy(t *testing.T) { synctest.Test(t, testCutZoneIsServedByItsDeputy) }

func testCutZoneIsServedByItsDeputy(t *testing.T) {
	f := newWholeFleet(2, Allocation{Rate: 90, Burst: 90}, 4, 1)
	apart := f.witnesses[slices.IndexFunc(f.witnesses, func(w *wholeWitness) bool { return !w.holder.holdsShard(ShardOf(sharedTeam)) })]
	apart.island, f.nodes[0].only = 1, apart
	admitted := uint32(0)
	const span = 5 * time.Second
	for passed := time.Duration(0); passed < span; passed += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		admitted += f.ask(f.nodes[0], 2)
		f.nodes[0].batches = nil
	}
	// 20 a second are asked for; the deputy's third of the rate is 30.
	want := 20 * (span - standbyDelay).Seconds() * 0.95
	qt.Assert(t, float64(admitted) >= want, qt.IsTrue, qt.Commentf("%d", admitted))
}

// TestUnknownHolderOpensNothing follows a holder that is lost before a majority
// knows that it opens its buckets: the next one takes the holder before it for
// the former one, which must not have become a deputy since.
func TestUnknownHolderOpensNothing(t *testing.T) { synctest.Test(t, testUnknownHolderOpensNothing) }

func testUnknownHolderOpensNothing(t *testing.T) {
	f := newWholeFleet(1, Allocation{Rate: 30, Burst: 30}, 3, 1)
	holds := func(w *wholeWitness) bool { return w.holder.holdsShard(ShardOf(sharedTeam)) }
	at := slices.IndexFunc(f.witnesses, holds)
	former, first, second := f.witnesses[at], f.witnesses[(at+1)%3], f.witnesses[(at+2)%3]
	former.frozen, f.deaf = true, true
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
	// From here on the former holder polls nobody, and the second one follows.
	first.frozen, f.deaf = true, false
	f.unheard = nil
	for range 30 {
		f.clock.Advance(100 * time.Millisecond)
		second.holder.Renew(context.Background())
		synctest.Wait()
		if holds(second) {
			break
		}
	}
	qt.Assert(t, holds(second), qt.IsTrue)
	// The one that was lost is in touch again, so that it is not counted on.
	first.frozen = false
	former.island = 1
	for tick := range 100 {
		f.clock.Advance(50 * time.Millisecond)
		f.poll(first)
		if tick%8 == 0 {
			former.island = 0
			second.holder.Renew(context.Background())
			synctest.Wait()
			former.island = 1
		}
		f.drain(f.nodes[0])
	}
	qt.Assert(t, len(f.spends) > 0, qt.IsTrue)
	qt.Assert(t, f.over() < 1e-6, qt.IsTrue, qt.Commentf("over by %v", f.over()))
}

// TestPooledArrivalsAreServed lets many nodes with few requests each send
// together a little less than the rate: nearly all must be admitted.
func TestPooledArrivalsAreServed(t *testing.T) { synctest.Test(t, testPooledArrivalsAreServed) }

func testPooledArrivalsAreServed(t *testing.T) {
	f := newWholeFleet(3, Allocation{Rate: 40, Burst: 40}, 4, 16)
	offered, admitted := 0, 0
	// Steps of 10 ms; the fleet moves in steps of 50 ms.
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
			// As a node does that has spent its last token.
			f.ask(n, 0)
		}
	}
	// 36 of 40 a second are offered; a burst of 40 evens out how they clump.
	qt.Assert(t, float64(admitted) > 0.99*float64(offered), qt.IsTrue, qt.Commentf("%d of %d", admitted, offered))
}
