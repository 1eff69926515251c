package limiter_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Fixed flags make the result the same in every run, unless the command line
	// sets others.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "900", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	team  = "acme"
	rate  = 20.0
	burst = 10.0
	// maxClockLag is by how much a node's clock may lag within the TTL of its
	// tokens.
	maxClockLag = 40 * time.Millisecond
)

// instance is one node, which is a witness, a possible holder, and a spender of
// tokens.
type instance struct {
	name, centre string
	witness      *limiter.Witness
	holder       *limiter.Holder
	config       *enforcer.Enforcer
	session      uint64
	// batches are those that were granted to this node.
	batches []*heldBatch
	// frozen means that the instance does not renew leases.
	frozen bool
	// partition is the part of the network that the instance is in; it reaches
	// only instances in the same one.
	partition int
}

// heldBatch is a batch of tokens; from is the instance that granted it.
type heldBatch struct {
	id     uint64
	from   string
	count  uint32
	spent  uint32
	expiry time.Time
}

// fleet simulates two data centres of three instances each under a manual clock.
type fleet struct {
	clock     *timekeeper.Manual
	instances []*instance
	values    []*control.Value
	spends    []time.Time
	random    *rand.Rand
}

func (f *fleet) intn(choices int) int { return f.random.IntN(choices) }

// declaration divides the limit among the data centres by the given weights.
func declaration(east, west float64) *declarer.Declaration {
	return &declarer.Declaration{
		Centres: map[string]declarer.Centre{
			"east": {Witnesses: []string{"e0", "e1", "e2"}, Share: east},
			"west": {Witnesses: []string{"w0", "w1", "w2"}, Share: west},
		},
		Teams: map[string]declarer.Team{team: {Rate: rate, Burst: burst}},
	}
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{clock: &timekeeper.Manual{}, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	f.change(1, 1)
	for _, name := range []string{"e0", "e1", "e2", "w0", "w1", "w2"} {
		i := &instance{name: name, centre: map[byte]string{'e': "east", 'w': "west"}[name[0]]}
		f.instances = append(f.instances, i)
		f.restart(i)
	}
	f.advance(5 * time.Second)
	return f
}

// change creates a new version with other shares. Instances apply it later.
func (f *fleet) change(east, west float64) {
	next := declaration(east, west)
	text, err := next.Canonical()
	if err != nil {
		panic(err)
	}
	v := &control.Value{Version: uint64(len(f.values) + 1), Declaration: text}
	if len(f.values) > 0 {
		last := f.values[len(f.values)-1]
		old, err := declarer.Parse("old", last.Declaration)
		if err != nil {
			panic(err)
		}
		v.Divisions = limiter.FormerDivisions(old, next, last.Divisions, v.Version)
	}
	f.values = append(f.values, v)
}

// restart starts or restarts an instance without any state. It applies the highest
// version of the instances that it reaches.
func (f *fleet) restart(i *instance) {
	i.session++
	i.batches = nil
	version := 1
	for _, o := range f.instances {
		if o != i && o.config != nil && o.partition == i.partition {
			version = max(version, int(o.config.Current().Version()))
		}
	}
	i.config, _ = enforcer.Open(nil, nil)
	f.applyVersion(i, version)
	i.witness = limiter.NewWitness(f.clock, func() uint64 { return i.config.Current().Version() })
	i.holder = limiter.NewHolder(f.clock, i.config, &network{f, i}, i.name, i.centre, i.session, slog.New(slog.DiscardHandler))
}

func (f *fleet) applyVersion(i *instance, version int) {
	if _, err := i.config.Apply(f.values[version-1]); err != nil {
		panic(err)
	}
}

func (f *fleet) find(name string) *instance {
	at := slices.IndexFunc(f.instances, func(i *instance) bool { return i.name == name })
	return f.instances[at]
}

// network implements limiter.PeerClient for one instance.
type network struct {
	fleet *fleet
	own   *instance
}

var errPartitioned = errors.New("cut")

func (v *network) Lease(_ context.Context, name string, r *control.LeaseRequest) (*control.LeaseReply, error) {
	to := v.fleet.find(name)
	if to.partition != v.own.partition {
		return nil, errPartitioned
	}
	return to.witness.Vote(r), nil
}

func (v *network) HolderVersion(_ context.Context, centre, team string) uint64 {
	for _, i := range v.fleet.instances {
		if i.centre == centre && i.partition == v.own.partition {
			if reply := i.holder.Tokens(&control.TokensRequest{Team: team, Loan: true}); !reply.Absent {
				return reply.Version
			}
		}
	}
	return 0
}

func (v *network) DropTokens(context.Context, int) bool { return false }

func (v *network) Standby(context.Context, string, *control.StandbyRequest) (*control.StandbyReply, error) {
	return nil, errPartitioned
}

// event is something that may happen to the fleet or one of its instances.
type event func(f *fleet, i *instance)

func advanceShort(f *fleet, _ *instance) { f.advance(time.Duration(f.intn(256)) * time.Millisecond) }
func advanceLong(f *fleet, _ *instance) {
	f.advance(time.Duration(f.intn(20)) * 100 * time.Millisecond)
}
func renew(_ *fleet, i *instance)         { i.holder.Renew(context.Background()) }
func freeze(f *fleet, i *instance)        { i.frozen = f.intn(4) == 0 }
func drawPartition(f *fleet, i *instance) { i.partition = f.intn(5) / 4 }
func pollVersions(_ *fleet, i *instance)  { i.holder.PollCentreVersions(context.Background()) }
func changeShares(f *fleet, _ *instance) {
	if len(f.values) > 3 {
		return
	}
	shares := []float64{0.01, 1, 99}
	f.change(shares[f.intn(3)], shares[f.intn(3)])
}
func applyVersion(f *fleet, i *instance) { f.applyVersion(i, 1+f.intn(len(f.values))) }

// restartOthers restarts the other two instances of a data centre.
func restartOthers(f *fleet, i *instance) {
	for _, other := range f.instances {
		if other != i && other.centre == i.centre {
			f.restart(other)
		}
	}
}

// eventMixes are the sets of events of which each run uses one. An event that
// occurs several times in a set is more likely.
var eventMixes = [][]event{
	{advanceShort, advanceLong, renew, freeze, (*fleet).spendAll, (*fleet).spendAll, (*fleet).ask, (*fleet).ask, (*fleet).spend, (*fleet).spendLate, (*fleet).restart, drawPartition, changeShares, applyVersion, pollVersions},
	{advanceShort, advanceLong, advanceLong, renew, freeze, (*fleet).spendAll, (*fleet).spendAll, (*fleet).ask, (*fleet).ask, (*fleet).spendLate, (*fleet).spendLate, (*fleet).restart, restartOthers, restartOthers, renew, drawPartition},
	{advanceShort, advanceLong, advanceLong, freeze, (*fleet).spendAll, (*fleet).spendAll, (*fleet).ask, (*fleet).ask, (*fleet).spend, (*fleet).spendLate, changeShares, applyVersion, applyVersion, applyVersion, pollVersions, pollVersions, (*fleet).restart, freeze},
}

// advance advances the clock in steps, in which every instance that is not frozen
// renews its leases.
func (f *fleet) advance(d time.Duration) {
	const step = 300 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.Advance(min(d, step))
		for _, i := range f.instances {
			if !i.frozen {
				i.holder.Renew(context.Background())
			}
		}
	}
}

// ask requests tokens from the instances in reach until one grants some. The
// request may report batches and may arrive twice; the reply may be lost.
func (f *fleet) ask(i *instance) {
	r := &control.TokensRequest{Team: team, Count: uint32(1 + f.intn(12))}
	start := f.intn(len(f.instances))
	for n := range f.instances {
		to := f.instances[(start+n)%len(f.instances)]
		r.Loan = to.centre != i.centre
		if to.partition == i.partition && f.askHolder(i, to, r) {
			return
		}
	}
}

func (f *fleet) askHolder(i, to *instance, r *control.TokensRequest) bool {
	r.Spent = nil
	if f.intn(2) == 0 {
		r.Spent = i.report(to.name, f.intn(3) == 0)
	}
	sent := f.clock.Now()
	f.clock.Advance(time.Duration(f.intn(20)) * time.Millisecond)
	reply := to.holder.Tokens(r)
	if f.intn(3) == 0 {
		to.holder.Tokens(r)
	}
	if reply.Count == 0 {
		return false
	}
	if f.intn(8) != 0 {
		i.batches = append(i.batches, &heldBatch{
			id: reply.Batch, from: to.name, count: reply.Count,
			expiry: sent.Add(time.Duration(reply.Term) * time.Millisecond),
		})
	}
	return true
}

// spendAll spends, on one instance, all tokens that the holders in reach grant.
func (f *fleet) spendAll(i *instance) {
	for _, to := range f.instances {
		if to.partition != i.partition {
			continue
		}
		for range 6 {
			r := &control.TokensRequest{Team: team, Count: 10, Loan: to.centre != i.centre, Spent: i.report(to.name, false)}
			reply := to.holder.Tokens(r)
			if reply.Count == 0 {
				break
			}
			s := &heldBatch{id: reply.Batch, from: to.name, count: reply.Count, spent: reply.Count}
			i.batches = append(i.batches, s)
			for range reply.Count {
				f.spends = append(f.spends, f.clock.Now())
			}
		}
	}
}

// withTokens returns the first instance from i on that has tokens to spend, or i
// if none has.
func (f *fleet) withTokens(i *instance) *instance {
	at := slices.Index(f.instances, i)
	for n := range f.instances {
		next := f.instances[(at+n)%len(f.instances)]
		for _, s := range next.batches {
			if s.spent < s.count && f.clock.Now().Before(s.expiry) {
				return next
			}
		}
	}
	return i
}

// spendLate spends tokens at the last moment at which they can be spent on a node
// whose clock lags.
func (f *fleet) spendLate(i *instance) {
	i = f.withTokens(i)
	for _, s := range i.batches {
		if left := s.expiry.Add(maxClockLag - time.Millisecond).Sub(f.clock.Now()); s.spent < s.count && left > 0 {
			f.advance(left)
			break
		}
	}
	f.spend(i)
}

// report returns the reports for a holder on its batches. With closing it drops
// the batches from the instance and reports them as closed.
func (i *instance) report(holder string, closing bool) []*control.Spent {
	var list []*control.Spent
	var kept []*heldBatch
	for _, s := range i.batches {
		if s.from != holder {
			kept = append(kept, s)
			continue
		}
		list = append(list, &control.Spent{Batch: s.id, Count: s.spent, Closed: closing})
		if !closing {
			kept = append(kept, s)
		}
	}
	i.batches = kept
	return list
}

// spend spends all tokens of an instance, or of the next one that has some, that
// have not expired by a clock that lags.
func (f *fleet) spend(i *instance) {
	i = f.withTokens(i)
	now := f.clock.Now()
	for _, s := range i.batches {
		for s.spent < s.count && now.Add(-maxClockLag).Before(s.expiry) {
			s.spent++
			f.spends = append(f.spends, now)
		}
	}
}

// checkWindows returns an error if the spent tokens of any window exceed rate and
// burst.
func (f *fleet) checkWindows() error {
	for from := range f.spends {
		for to := from; to < len(f.spends); to++ {
			span := f.spends[to].Sub(f.spends[from]).Seconds()
			count := float64(to - from + 1)
			if count > rate*span+burst+1e-9 {
				return fmt.Errorf("%v requests within %.3f s, allowed are %.2f", count, span, rate*span+burst)
			}
		}
	}
	return nil
}

// TestRateNeverExceeded simulates lease changes, late, lost and duplicated
// messages, restarts, partitions, and changed shares that instances apply in any
// order, all at random. It checks that in every window the spent tokens are within
// rate and burst.
func TestRateNeverExceeded(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		events := eventMixes[f.intn(len(eventMixes))]
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			i := f.instances[f.intn(len(f.instances))]
			events[f.intn(len(events))](f, i)
		}
		served += len(f.spends)
		if err := f.checkWindows(); err != nil {
			t.Fatal(err)
		}
	})
	// The check is only meaningful if enough tokens were spent.
	qt.Assert(t, served > 20000, qt.IsTrue, qt.Commentf("%d", served))
}
