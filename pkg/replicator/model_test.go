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
	// The verdict must be the same in every run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// disk keeps synced content; full makes writes fail.
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

// site is one data folder with its acceptor.
type site struct {
	address, identity string
	disk              *disk
	acceptor          *replicator.Acceptor
	down              bool
}

func (s *site) open() {
	a, err := replicator.OpenAcceptor(s.disk, s.identity, s.address)
	if err != nil {
		panic(err)
	}
	s.acceptor = a
}

// message is one message to one site, with the place for its answer.
type message struct {
	address string
	deliver func(*replicator.Acceptor) (any, error)
	reply   any
	err     error
}

// batch is one phase of one proposer: all its messages, handled in a drawn
// order once the last one has been sent.
type batch struct {
	messages []*message
	done     chan struct{}
}

// tape holds the choices that rapid has drawn; when it has run out, the first
// choice is taken, which is never a fault.
type tape []byte

func (t *tape) next(choices int) int {
	if len(*t) == 0 {
		return 0
	}
	b := (*t)[0]
	*t = (*t)[1:]
	return int(b) % choices
}

func shuffled[V any](t *tape, list []V) []V {
	result := slices.Clone(list)
	for i := len(result) - 1; i > 0; i-- {
		j := i - t.next(i+1)
		result[i], result[j] = result[j], result[i]
	}
	return result
}

// world is the network, with every fault drawn by rapid. It handles one batch
// at a time; another proposer may run between two messages of a batch.
type world struct {
	t       *rapid.T
	tape    tape
	events  []string
	sites   map[string]*site
	mu      sync.Mutex
	batches map[string]*batch
	late    []*message
	depth   int
	budget  int
	dead    map[string]bool
	// chosen maps a version to the id of its change.
	chosen    map[uint64]string
	known     *control.Value
	values    []*control.Value
	acked     []string
	violation string
	// last is how the last proposal ended.
	last    error
	changes int
	spares  int
	// lasting are proposers by the number that draws them.
	lasting map[int]*lasting
}

func (w *world) send(ctx context.Context, proposer, phase string, size int, address string, deliver func(*replicator.Acceptor) (any, error)) (any, error) {
	m := &message{address: address, deliver: deliver}
	w.mu.Lock()
	key := proposer + phase
	b, ok := w.batches[key]
	if !ok {
		b = &batch{done: make(chan struct{})}
		w.batches[key] = b
	}
	b.messages = append(b.messages, m)
	full := len(b.messages) == size
	if full {
		delete(w.batches, key)
	}
	w.mu.Unlock()
	if full {
		slices.SortFunc(b.messages, func(x, y *message) int { return compare(x.address, y.address) })
		w.handle(proposer, b)
		close(b.done)
	}
	<-b.done
	return m.reply, m.err
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

var errLost = errors.New("lost")

const (
	fateDeliver = iota
	fateDrop
	fateLoseAnswer
	fateDouble
	fateLate
	fateDie
)

var (
	fates = []int{0, 0, 0, 0, 0, 0, 0, 0, fateDrop, fateLoseAnswer, fateDouble, fateLate, fateDie}
	// focuses are the events that may happen between two messages.
	focuses = [][]string{
		{"", "", "", "", "", "", "late", "restart", "full", "wipe", "down", "other", "join"},
		{"", "", "", "", "other", "restart", "late"},
		{"", "", "", "", "wipe", "other", "join", "down", "late"},
	}
)

func (w *world) handle(proposer string, b *batch) {
	for _, m := range shuffled(&w.tape, b.messages) {
		w.between()
		fate := fateDeliver
		if w.budget > 0 {
			fate = fates[w.tape.next(len(fates))]
		}
		if fate != fateDeliver {
			w.budget--
		}
		if w.dead[proposer] {
			m.err = errLost
			continue
		}
		w.apply(proposer, m, fate)
	}
}

func (w *world) apply(proposer string, m *message, fate int) {
	switch fate {
	case fateDrop:
		m.err = errLost
	case fateLate:
		w.late = append(w.late, m)
		m.err = errLost
	case fateDie:
		w.dead[proposer] = true
		m.err = errLost
	case fateDouble:
		w.deliver(m)
		w.deliver(m)
	case fateLoseAnswer:
		w.deliver(m)
		m.reply, m.err = nil, errLost
	default:
		w.deliver(m)
	}
}

func (w *world) deliver(m *message) {
	s, ok := w.sites[m.address]
	if !ok || s.down {
		m.err = errLost
		return
	}
	m.reply, m.err = m.deliver(s.acceptor)
}

// between lets anything happen between two messages.
func (w *world) between() {
	if w.budget <= 0 {
		return
	}
	switch w.events[w.tape.next(len(w.events))] {
	case "late":
		if len(w.late) > 0 {
			m := w.late[0]
			w.late = w.late[1:]
			w.deliver(m)
		}
	case "restart":
		w.pick().open()
	case "full":
		s := w.pick()
		s.disk.full = !s.disk.full
		w.budget--
	case "wipe":
		w.wipe()
	case "down":
		s := w.pick()
		s.down = !s.down
		w.budget--
	case "other":
		if w.depth < 3 {
			w.depth++
			w.budget--
			w.propose()
			w.depth--
		}
	case "join":
		w.join(w.pick(), w.values[w.tape.next(len(w.values))])
	}
}

// wipe loses a disk: the folder comes back empty, with a new identity. No
// more disks are lost than the set can bear.
func (w *world) wipe() {
	s := w.pick()
	// No further disk is lost before the last one is known to be replaced, and
	// the spare site only once it is known to be a member: a set that is
	// chosen but not heard of may count on it.
	for _, other := range w.sites {
		wiped := other.identity != other.address+"-0"
		if (wiped || other == s) && !replicator.HasVote(w.known.Epoch, w.known, other.identity) {
			return
		}
	}
	if w.spares > 2 || s.down {
		return
	}
	w.budget--
	w.spares++
	s.identity = fmt.Sprintf("%s-%d", s.address, w.spares)
	s.disk = &disk{files: map[string][]byte{}}
	s.open()
}

func (w *world) pick() *site {
	names := w.names()
	return w.sites[names[w.tape.next(len(names))]]
}

func (w *world) names() []string {
	names := make([]string, 0, len(w.sites))
	for name := range w.sites {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// join has a member install a value that is known to be chosen, perhaps an
// old one, as the daemon's joiner does.
func (w *world) join(to *site, v *control.Value) {
	if to.down || v.Epoch <= to.acceptor.Epoch() || !replicator.HasVote(v.Epoch, v, to.identity) {
		return
	}
	_, _ = to.acceptor.Install(&control.InstallRequest{Replica: to.identity, Epoch: v.Epoch, Value: v})
}

// network is the world as one proposer sees it.
type network struct {
	world *world
	name  string
	size  int
}

func (n *network) Prepare(ctx context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error) {
	got, err := n.world.send(ctx, n.name, fmt.Sprint("p", r.Epoch, r.Ballot.Count), n.setSize(r.Epoch), address, func(a *replicator.Acceptor) (any, error) { return a.Prepare(r) })
	return as[*control.PrepareReply](got, err)
}

func (n *network) Accept(ctx context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error) {
	got, err := n.world.send(ctx, n.name, fmt.Sprint("a", r.Epoch, r.Ballot.Count), n.setSize(r.Epoch), address, func(a *replicator.Acceptor) (any, error) { return a.Accept(r) })
	return as[*control.AcceptReply](got, err)
}

func (n *network) Install(ctx context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error) {
	got, err := n.world.send(ctx, n.name, fmt.Sprint("i", r.Epoch, r.Value.Version, r.Ballot), len(r.Value.Replicas), address, func(a *replicator.Acceptor) (any, error) { return a.Install(r) })
	return as[*control.InstallReply](got, err)
}

// setSize is the same in every epoch: replicas are replaced, not added.
func (n *network) setSize(uint64) int { return n.size }

func as[R any](got any, err error) (R, error) {
	r, ok := got.(R)
	if err == nil && !ok {
		err = errLost
	}
	return r, err
}

// hear checks what must hold for every chosen value.
func (w *world) hear(v *control.Value) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[string]bool{}
	for _, c := range v.Changes {
		if seen[c.Id] {
			w.violation = fmt.Sprintf("change %s was made twice", c.Id)
		}
		seen[c.Id] = true
		if other, ok := w.chosen[c.Version]; ok && other != c.Id {
			w.violation = fmt.Sprintf("version %d is both %s and %s", c.Version, other, c.Id)
		}
		w.chosen[c.Version] = c.Id
	}
	if w.known == nil || v.Version > w.known.Version {
		w.known = v
	}
	w.values = append(w.values, v)
}

// propose runs one proposer with one change, from a value that may be old.
func (w *world) propose() bool {
	w.changes++
	id := fmt.Sprintf("change%d", w.changes)
	base := w.known
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
	if leaving, joining := w.replacement(base); joining != nil {
		r := &planner.Replacement{ID: id, Base: base.Version, Leaving: leaving, Joining: []*control.Member{joining}}
		update = r.Update()
	}
	return w.run(id, base, update)
}

// replacement proposes to replace a member whose disk was lost, if any.
func (w *world) replacement(v *control.Value) (string, *control.Member) {
	for _, m := range v.Replicas {
		s := w.sites[m.Address]
		if s.identity != m.Identity && !s.down {
			return m.Identity, &control.Member{Identity: s.identity, Address: s.address}
		}
	}
	// Now and then a healthy member makes room for the spare site.
	if w.tape.next(3) == 1 {
		for _, name := range w.names() {
			s := w.sites[name]
			if !s.down && !replicator.HasVote(v.Epoch, v, s.identity) {
				return v.Replicas[w.tape.next(len(v.Replicas))].Identity, &control.Member{Identity: s.identity, Address: s.address}
			}
		}
	}
	return "", nil
}

func (w *world) run(id string, base *control.Value, update replicator.Update) bool {
	s := w.proposer(id)
	s.busy = true
	defer func() { s.busy = false }()
	s.network.name, s.network.size = id, len(base.Replicas)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.clock.left, s.clock.give = 20, cancel
	_, err := s.proposer.Run(ctx, base, update)
	w.last = err
	var repeat *planner.AlreadyAppliedError
	if err == nil || errors.As(err, &repeat) {
		w.acked = append(w.acked, id)
		return true
	}
	return false
}

// lasting is a proposer that makes several changes, and so has a value from
// earlier ones.
type lasting struct {
	proposer *replicator.Proposer
	network  *network
	clock    *skipClock
	busy     bool
}

// lastingProposers is how many proposers make more than one change.
const lastingProposers = 3

// proposer draws one that has run before, or makes another one.
func (w *world) proposer(id string) *lasting {
	// Names decide between equal counts, so they must not follow the order.
	drawn := w.tape.next(8)
	if s, ok := w.lasting[drawn]; ok && !s.busy {
		return s
	}
	s := &lasting{network: &network{world: w}, clock: &skipClock{}}
	s.proposer = replicator.NewProposer(s.network, s.clock, fmt.Sprint(drawn, id), rand.New(rand.NewPCG(1, 2)), w.hear)
	if drawn < lastingProposers {
		w.lasting[drawn] = s
	}
	return s
}

// skipClock does not wait, and gives up after so many pauses.
type skipClock struct {
	timekeeper.Manual
	left int
	give func()
}

// TestRegisterModel draws two and more proposers, messages that are lost,
// doubled, late and reordered, proposers that die at every step, restarts,
// full and lost disks, and replacements, and checks that versions never fork,
// no change is made twice and no confirmed change is lost.
func TestRegisterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas"))
		for range rapid.IntRange(2, 6).Draw(t, "changes") {
			w.propose()
		}
		w.heal()
		// The first ones may find a change that was left half-made.
		for try := 0; !w.propose(); try++ {
			if try == 2 {
				t.Fatalf("no progress with all sites up: %v", w.last)
			}
		}
		w.check()
	})
}

func newWorld(t *rapid.T, size int) *world {
	w := &world{
		t: t, tape: rapid.SliceOfN(rapid.Byte(), 200, 800).Draw(t, "tape"), sites: map[string]*site{},
		batches: map[string]*batch{}, lasting: map[int]*lasting{}, dead: map[string]bool{}, chosen: map[uint64]string{},
		budget: rapid.IntRange(1, 25).Draw(t, "faults"),
	}
	w.events = focuses[w.tape.next(len(focuses))]
	var members []*control.Member
	for i := range size {
		s := &site{address: fmt.Sprint("s", i), identity: fmt.Sprint("s", i, "-0"), disk: &disk{files: map[string][]byte{}}}
		s.open()
		w.sites[s.address] = s
		members = append(members, &control.Member{Identity: s.identity, Address: s.address})
	}
	first := planner.InitialValue(members)
	spare := &site{address: "spare", identity: "spare-0", disk: &disk{files: map[string][]byte{}}}
	spare.open()
	defer func() { w.sites[spare.address] = spare }()
	for _, s := range w.sites {
		if _, err := s.acceptor.Install(&control.InstallRequest{Replica: s.identity, Epoch: 1, Value: first}); err != nil {
			t.Fatal(err)
		}
	}
	w.hear(first)
	return w
}

// heal ends all faults but lost disks, delivers what is late, and repairs.
func (w *world) heal() {
	w.budget = 0
	for _, s := range w.sites {
		s.disk.full, s.down = false, false
		s.open()
	}
	for _, m := range w.late {
		w.deliver(m)
	}
	w.late = nil
	for _, s := range w.sites {
		w.join(s, w.known)
	}
}

func (w *world) check() {
	if w.violation != "" {
		w.t.Fatal(w.violation)
	}
	final := map[string]bool{}
	for _, c := range w.known.Changes {
		final[c.Id] = true
	}
	for _, id := range w.acked {
		if !final[id] {
			w.t.Fatalf("confirmed change %s is lost; the trail is %v", id, w.known.Changes)
		}
	}
}

// After implements timekeeper.Clock without waiting.
func (c *skipClock) After(d time.Duration) <-chan time.Time {
	c.left--
	if c.left <= 0 {
		c.give()
	}
	ch := make(chan time.Time, 1)
	ch <- time.Time{}
	return ch
}
