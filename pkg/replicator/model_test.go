package replicator_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Fixed seed and count, so that every run has the same result; a flag given on
	// the command line takes precedence.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// disk is an in-memory storer.Disk; while full is set, writes fail.
type disk struct {
	files map[string][]byte
	full  bool
}

func (d *disk) Read(name string) ([]byte, error) {
	content, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return content, nil
}

func (d *disk) Write(name string, content []byte) error {
	if d.full {
		return errors.New("no space left")
	}
	d.files[name] = content
	return nil
}

// testReplica is one data folder with its acceptor. While down, it receives no
// messages.
type testReplica struct {
	address, identity string
	disk              *disk
	acceptor          *replicator.Acceptor
	down              bool
}

// open starts the acceptor from the disk; called again, it simulates a restart.
func (r *testReplica) open() {
	a, err := replicator.OpenAcceptor(r.disk, r.identity, r.address)
	if err != nil {
		panic(err)
	}
	r.acceptor = a
}

// message is one request to one replica, and its reply once it is handled.
type message struct {
	address string
	deliver func(*replicator.Acceptor) (any, error)
	reply   any
	err     error
}

// phaseBatch holds all messages of one phase of one proposer. They are handled in
// a random order once the last one has been sent.
type phaseBatch struct {
	messages []*message
	done     chan struct{}
}

// choices holds random bytes drawn by rapid, one for each decision. Once they are
// used up, every decision is the first alternative, which is never a fault.
type choices []byte

// next returns a number below n.
func (t *choices) next(n int) int {
	if len(*t) == 0 {
		return 0
	}
	b := (*t)[0]
	*t = (*t)[1:]
	return int(b) % n
}

// shuffled returns a copy of the list in random order.
func shuffled[V any](t *choices, list []V) []V {
	result := slices.Clone(list)
	for i := len(result) - 1; i > 0; i-- {
		j := i - t.next(i+1)
		result[i], result[j] = result[j], result[i]
	}
	return result
}

// simulation is the network and the replicas; rapid draws all faults. It handles
// one batch at a time, but another proposer may run between two messages of a
// batch.
type simulation struct {
	t        *rapid.T
	choices  choices
	events   []string
	replicas map[string]*testReplica
	mu       sync.Mutex
	batches  map[string]*phaseBatch
	delayed  []*message
	// depth counts the nested proposals.
	depth      int
	faultsLeft int
	// crashed holds the names of proposers whose messages are lost from now on.
	crashed map[string]bool
	// chosen maps a version to the id of its change, for all chosen values seen.
	chosen map[uint64]string
	// known is the newest chosen value observed, values are all of them.
	known  *control.Value
	values []*control.Value
	// acked holds the ids of the confirmed changes.
	acked     []string
	violation string
	// lastErr is the result of the last proposal.
	lastErr error
	changes int
	wipes   int
	// reusable holds the proposers that make several changes, by the number drawn
	// to select one.
	reusable map[int]*reusable
}

// send adds a message to its batch. The last message of the batch starts the
// handling of all; the other senders wait for it.
func (sim *simulation) send(ctx context.Context, proposer, phase string, size int, address string, deliver func(*replicator.Acceptor) (any, error)) (any, error) {
	m := &message{address: address, deliver: deliver}
	sim.mu.Lock()
	key := proposer + phase
	b, ok := sim.batches[key]
	if !ok {
		b = &phaseBatch{done: make(chan struct{})}
		sim.batches[key] = b
	}
	b.messages = append(b.messages, m)
	full := len(b.messages) == size
	if full {
		delete(sim.batches, key)
	}
	sim.mu.Unlock()
	if full {
		slices.SortFunc(b.messages, func(x, y *message) int { return compareAddresses(x.address, y.address) })
		sim.handle(proposer, b)
		close(b.done)
	}
	<-b.done
	return m.reply, m.err
}

func compareAddresses(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

var errLost = errors.New("lost")

// Faults of one message. With faultDelay, the sender sees a lost message, which
// reaches the replica at a later "late" event.
const (
	faultNone = iota
	faultDrop
	faultLoseReply
	faultDuplicate
	faultDelay
	faultCrashProposer
)

var (
	messageFaults = []int{0, 0, 0, 0, 0, 0, 0, 0, faultDrop, faultLoseReply, faultDuplicate, faultDelay, faultCrashProposer}
	// eventSets are the sets of events that may happen between two messages. A run
	// draws one of them. An empty name is no event; a repeated entry is more likely.
	eventSets = [][]string{
		{"", "", "", "", "", "", "late", "restart", "full", "wipe", "down", "other", "join"},
		{"", "", "", "", "other", "restart", "late"},
		{"", "", "", "", "wipe", "other", "join", "down", "late"},
	}
)

// handle delivers the messages of a batch in random order, with random faults and
// with events in between.
func (sim *simulation) handle(proposer string, b *phaseBatch) {
	for _, m := range shuffled(&sim.choices, b.messages) {
		sim.injectEvent()
		fault := faultNone
		if sim.faultsLeft > 0 {
			fault = messageFaults[sim.choices.next(len(messageFaults))]
		}
		if fault != faultNone {
			sim.faultsLeft--
		}
		if sim.crashed[proposer] {
			m.err = errLost
			continue
		}
		sim.apply(proposer, m, fault)
	}
}

func (sim *simulation) apply(proposer string, m *message, fault int) {
	switch fault {
	case faultDrop:
		m.err = errLost
	case faultDelay:
		sim.delayed = append(sim.delayed, m)
		m.err = errLost
	case faultCrashProposer:
		sim.crashed[proposer] = true
		m.err = errLost
	case faultDuplicate:
		sim.deliver(m)
		sim.deliver(m)
	case faultLoseReply:
		sim.deliver(m)
		m.reply, m.err = nil, errLost
	default:
		sim.deliver(m)
	}
}

func (sim *simulation) deliver(m *message) {
	r, ok := sim.replicas[m.address]
	if !ok || r.down {
		m.err = errLost
		return
	}
	m.reply, m.err = m.deliver(r.acceptor)
}

// injectEvent makes a random event happen between two messages.
func (sim *simulation) injectEvent() {
	if sim.faultsLeft <= 0 {
		return
	}
	switch sim.events[sim.choices.next(len(sim.events))] {
	case "late":
		if len(sim.delayed) > 0 {
			m := sim.delayed[0]
			sim.delayed = sim.delayed[1:]
			sim.deliver(m)
		}
	case "restart":
		sim.pickReplica().open()
	case "full":
		r := sim.pickReplica()
		r.disk.full = !r.disk.full
		sim.faultsLeft--
	case "wipe":
		sim.wipe()
	case "down":
		r := sim.pickReplica()
		r.down = !r.down
		sim.faultsLeft--
	case "other":
		if sim.depth < 3 {
			sim.depth++
			sim.faultsLeft--
			sim.propose()
			sim.depth--
		}
	case "join":
		sim.join(sim.pickReplica(), sim.values[sim.choices.next(len(sim.values))])
	}
}

// wipe empties a replica's disk, which gives the replica a new identity. It does
// nothing when the set might not tolerate the loss, when the replica is down or
// after three wipes.
func (sim *simulation) wipe() {
	r := sim.pickReplica()
	// A disk may be lost only while its replica and every replica wiped before are
	// known to be members: a set that is chosen but not yet observed may rely on a
	// replica that is not a known member, such as the spare.
	for _, other := range sim.replicas {
		wiped := other.identity != other.address+"-0"
		if (wiped || other == r) && !replicator.HasVote(sim.known.Epoch, sim.known, other.identity) {
			return
		}
	}
	if sim.wipes > 2 || r.down {
		return
	}
	sim.faultsLeft--
	sim.wipes++
	r.identity = fmt.Sprintf("%s-%d", r.address, sim.wipes)
	r.disk = &disk{files: map[string][]byte{}}
	r.open()
}

func (sim *simulation) pickReplica() *testReplica {
	addresses := sim.addresses()
	return sim.replicas[addresses[sim.choices.next(len(addresses))]]
}

func (sim *simulation) addresses() []string {
	addresses := make([]string, 0, len(sim.replicas))
	for address := range sim.replicas {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// join makes a member install a value that is known to be chosen, possibly an old
// one, as the joiner of package server does.
func (sim *simulation) join(r *testReplica, v *control.Value) {
	if r.down || v.Epoch <= r.acceptor.Epoch() || !replicator.HasVote(v.Epoch, v, r.identity) {
		return
	}
	_, _ = r.acceptor.Install(&control.InstallRequest{Replica: r.identity, Epoch: v.Epoch, Value: v})
}

// network implements replicator.Network for one proposer.
type network struct {
	simulation *simulation
	name       string
	size       int
}

func (n *network) Prepare(ctx context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error) {
	reply, err := n.simulation.send(ctx, n.name, fmt.Sprint("p", r.Epoch, r.Ballot.Count), n.setSize(r.Epoch), address, func(a *replicator.Acceptor) (any, error) { return a.Prepare(r) })
	return castReply[*control.PrepareReply](reply, err)
}

func (n *network) Accept(ctx context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error) {
	reply, err := n.simulation.send(ctx, n.name, fmt.Sprint("a", r.Epoch, r.Ballot.Count), n.setSize(r.Epoch), address, func(a *replicator.Acceptor) (any, error) { return a.Accept(r) })
	return castReply[*control.AcceptReply](reply, err)
}

func (n *network) Install(ctx context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error) {
	reply, err := n.simulation.send(ctx, n.name, fmt.Sprint("i", r.Epoch, r.Value.Version, r.Ballot), len(r.Value.Replicas), address, func(a *replicator.Acceptor) (any, error) { return a.Install(r) })
	return castReply[*control.InstallReply](reply, err)
}

// setSize returns the number of voters in an epoch. It is the same in every epoch,
// since the test replaces replicas and adds none.
func (n *network) setSize(uint64) int { return n.size }

// castReply converts a reply to its type; a missing reply is an error.
func castReply[R any](reply any, err error) (R, error) {
	r, ok := reply.(R)
	if err == nil && !ok {
		err = errLost
	}
	return r, err
}

// observeChosen records a chosen value and checks that no change was made twice
// and no version has two changes.
func (sim *simulation) observeChosen(v *control.Value) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	seen := map[string]bool{}
	for _, c := range v.Changes {
		if seen[c.Id] {
			sim.violation = fmt.Sprintf("change %s was made twice", c.Id)
		}
		seen[c.Id] = true
		if other, ok := sim.chosen[c.Version]; ok && other != c.Id {
			sim.violation = fmt.Sprintf("version %d is both %s and %s", c.Version, other, c.Id)
		}
		sim.chosen[c.Version] = c.Id
	}
	if sim.known == nil || v.Version > sim.known.Version {
		sim.known = v
	}
	sim.values = append(sim.values, v)
}

// propose makes one change, starting from the newest observed value, which may be
// behind the register. It reports whether the change was confirmed.
func (sim *simulation) propose() bool {
	sim.changes++
	id := fmt.Sprintf("change%d", sim.changes)
	base := sim.known
	update := func(v *control.Value) (*control.Value, error) {
		for _, c := range v.Changes {
			if c.Id == id {
				return nil, &planner.AlreadyAppliedError{Change: c}
			}
		}
		next := &control.Value{Version: v.Version + 1, Epoch: v.Epoch, Replicas: v.Replicas, Former: v.Former}
		next.Changes = append(slices.Clone(v.Changes), &control.Change{Id: id, Version: next.Version, Base: v.Version})
		return next, nil
	}
	if leaving, joining := sim.replacement(base); joining != nil {
		r := &planner.Replacement{ID: id, Base: base.Version, Leaving: leaving, Joining: []*control.Member{joining}}
		update = r.Update()
	}
	return sim.run(id, base, update)
}

// replacement returns a member to replace and its replacement, if any: a member
// whose disk was lost, or else sometimes a random one.
func (sim *simulation) replacement(v *control.Value) (string, *control.Member) {
	for _, m := range v.Replicas {
		r := sim.replicas[m.Address]
		if r.identity != m.Identity && !r.down {
			return m.Identity, &control.Member{Identity: r.identity, Address: r.address}
		}
	}
	// With probability 1/3, a random member is replaced by a replica that is not a
	// member.
	if sim.choices.next(3) == 1 {
		for _, a := range sim.addresses() {
			r := sim.replicas[a]
			if !r.down && !replicator.HasVote(v.Epoch, v, r.identity) {
				return v.Replicas[sim.choices.next(len(v.Replicas))].Identity, &control.Member{Identity: r.identity, Address: r.address}
			}
		}
	}
	return "", nil
}

func (sim *simulation) run(id string, base *control.Value, update replicator.Update) bool {
	p := sim.proposer(id)
	p.busy = true
	defer func() { p.busy = false }()
	p.network.name, p.network.size = id, len(base.Replicas)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.clock.pausesLeft, p.clock.giveUp = 20, cancel
	_, err := p.proposer.Run(ctx, base, update)
	sim.lastErr = err
	var repeat *planner.AlreadyAppliedError
	if err == nil || errors.As(err, &repeat) {
		sim.acked = append(sim.acked, id)
		return true
	}
	return false
}

// reusable is a proposer that can make several changes, and so knows a value from
// earlier ones.
type reusable struct {
	proposer *replicator.Proposer
	network  *network
	clock    *skipClock
	busy     bool
}

// maxReusedProposers is how many proposers may make more than one change.
const maxReusedProposers = 3

// proposer returns a random idle proposer that has run before, or a new one.
func (sim *simulation) proposer(id string) *reusable {
	// Names decide between ballots of equal count, so they must not follow the order
	// of creation.
	drawn := sim.choices.next(8)
	if p, ok := sim.reusable[drawn]; ok && !p.busy {
		return p
	}
	p := &reusable{network: &network{simulation: sim}, clock: &skipClock{}}
	p.proposer = replicator.NewProposer(p.network, p.clock, fmt.Sprint(drawn, id), rand.New(rand.NewPCG(1, 2)), sim.observeChosen)
	if drawn < maxReusedProposers {
		sim.reusable[drawn] = p
	}
	return p
}

// skipClock is a clock whose timers fire at once. Each timer decrements pausesLeft;
// once it is 0, the timers call giveUp.
type skipClock struct {
	timekeeper.Manual
	pausesLeft int
	giveUp     func()
}

// TestRegisterModel runs two or more proposers under random faults: messages that
// are lost, duplicated, delayed and reordered, proposers that crash at any step,
// restarts, full and lost disks, and replacements. It guards against two changes
// with one version, a change made twice and the loss of a confirmed change.
func TestRegisterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas"))
		for range rapid.IntRange(2, 6).Draw(t, "changes") {
			sim.propose()
		}
		sim.endFaults()
		// The first proposals may find a change that was left incomplete.
		for attempt := 0; !sim.propose(); attempt++ {
			if attempt == 2 {
				t.Fatalf("no progress with all replicas up: %v", sim.lastErr)
			}
		}
		sim.check()
	})
}

// newSimulation founds a register of the given size, with one spare replica.
func newSimulation(t *rapid.T, size int) *simulation {
	sim := &simulation{
		t: t, choices: rapid.SliceOfN(rapid.Byte(), 200, 800).Draw(t, "tape"), replicas: map[string]*testReplica{},
		batches: map[string]*phaseBatch{}, reusable: map[int]*reusable{}, crashed: map[string]bool{}, chosen: map[uint64]string{},
		faultsLeft: rapid.IntRange(1, 25).Draw(t, "faults"),
	}
	sim.events = eventSets[sim.choices.next(len(eventSets))]
	var members []*control.Member
	for i := range size {
		r := &testReplica{address: fmt.Sprint("s", i), identity: fmt.Sprint("s", i, "-0"), disk: &disk{files: map[string][]byte{}}}
		r.open()
		sim.replicas[r.address] = r
		members = append(members, &control.Member{Identity: r.identity, Address: r.address})
	}
	first := planner.InitialValue(members)
	spare := &testReplica{address: "spare", identity: "spare-0", disk: &disk{files: map[string][]byte{}}}
	spare.open()
	defer func() { sim.replicas[spare.address] = spare }()
	for _, r := range sim.replicas {
		if _, err := r.acceptor.Install(&control.InstallRequest{Replica: r.identity, Epoch: 1, Value: first}); err != nil {
			t.Fatal(err)
		}
	}
	sim.observeChosen(first)
	return sim
}

// endFaults ends all faults except lost disks: it restarts the replicas, delivers
// delayed messages, and lets the members of the known set join it.
func (sim *simulation) endFaults() {
	sim.faultsLeft = 0
	for _, r := range sim.replicas {
		r.disk.full, r.down = false, false
		r.open()
	}
	for _, m := range sim.delayed {
		sim.deliver(m)
	}
	sim.delayed = nil
	for _, r := range sim.replicas {
		sim.join(r, sim.known)
	}
}

// check fails the test on a violation observed before, or when a confirmed change
// is missing from the last value.
func (sim *simulation) check() {
	if sim.violation != "" {
		sim.t.Fatal(sim.violation)
	}
	final := map[string]bool{}
	for _, c := range sim.known.Changes {
		final[c.Id] = true
	}
	for _, id := range sim.acked {
		if !final[id] {
			sim.t.Fatalf("confirmed change %s is lost; the audit trail is %v", id, sim.known.Changes)
		}
	}
}

// After implements timekeeper.Clock; the channel is ready at once.
func (c *skipClock) After(d time.Duration) <-chan time.Time {
	c.pausesLeft--
	if c.pausesLeft <= 0 {
		c.giveUp()
	}
	ch := make(chan time.Time, 1)
	ch <- time.Time{}
	return ch
}
