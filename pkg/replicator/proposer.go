package replicator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// maxBackoff bounds the pause after another proposer was in the way.
	maxBackoff = 40 * time.Millisecond
	// quorumPause is the pause after too few replicas answered.
	quorumPause = 100 * time.Millisecond
	// callTimeout bounds one message to one replica.
	callTimeout = 2 * time.Second
)

// Network carries messages to one replica by its address.
type Network interface {
	Prepare(ctx context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error)
	Accept(ctx context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error)
	Install(ctx context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error)
}

// QuorumError says that too few replicas answered. Whether the change was
// made is unknown; the same change may be proposed again.
type QuorumError struct {
	Answered, Needed int
	Epoch            uint64
	// Err is one of the causes.
	Err error
}

// Error implements error.
func (e *QuorumError) Error() string {
	return fmt.Sprintf("%d of %d replicas needed answered in epoch %d: %v", e.Answered, e.Needed, e.Epoch, e.Err)
}

// Unwrap gives one of the causes.
func (e *QuorumError) Unwrap() error { return e.Err }

// Update computes the next value from the current one. An error leaves the
// current value in place and is returned to the caller of Run.
type Update func(current *control.Value) (*control.Value, error)

// Proposer changes the register. Several may run at once, on any node that
// knows a value; a value is enough to find the replicas.
type Proposer struct {
	network Network
	clock   timekeeper.Clock
	name    string
	random  *rand.Rand
	// onChosen hears every value that is known to be chosen.
	onChosen func(*control.Value)

	mu    sync.Mutex
	count uint64
	known acceptance
}

// acceptance is a value with the epoch and ballot at which it was accepted, which
// it alone can have been. Replicas leave out a value that the proposer knows.
type acceptance struct {
	epoch  uint64
	ballot *control.Ballot
	value  *control.Value
}

func (p *Proposer) recall() acceptance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

func (p *Proposer) remember(a acceptance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = a
}

// NewProposer makes a proposer; name must differ from that of any other
// proposer that ever was, so callers add a random part at each start.
func NewProposer(network Network, clock timekeeper.Clock, name string, random *rand.Rand, onChosen func(*control.Value)) *Proposer {
	return &Proposer{network: network, clock: clock, name: name, random: random, onChosen: onChosen}
}

// view is the set of replicas that votes in an epoch.
type view struct {
	epoch   uint64
	members []*control.Member
}

// viewOf finds the set for an epoch from a value that was accepted in it: the
// last value of an epoch already names the next set.
func viewOf(epoch uint64, v *control.Value) view {
	if v.Epoch > epoch {
		return view{epoch: epoch, members: v.Former}
	}
	return view{epoch: epoch, members: v.Replicas}
}

func (v view) majority() int { return len(v.members)/2 + 1 }

// errMoved says that a round must start again in another epoch.
type errMoved struct{ to view }

func (e *errMoved) Error() string { return "replicas moved to another epoch" }

// errPreempted says that a higher ballot was seen.
type errPreempted struct{ highest *control.Ballot }

func (e *errPreempted) Error() string { return "another proposer has a higher ballot" }

// Run applies update to the register, starting from any value known, and
// returns the value that stands afterwards. It tries until the context ends;
// then whether the change was made is not known.
func (p *Proposer) Run(ctx context.Context, known *control.Value, update Update) (*control.Value, error) {
	at := viewOf(known.Epoch, known)
	for {
		value, err := p.round(ctx, at, update)
		var moved *errMoved
		var preempted *errPreempted
		var quorum *QuorumError
		pause := time.Duration(0)
		switch {
		case errors.As(err, &moved):
			at = moved.to
		case errors.As(err, &preempted):
			p.raise(preempted.highest.GetCount())
			pause = p.backoff()
		case errors.As(err, &quorum):
			pause = quorumPause
		default:
			return value, err
		}
		select {
		case <-p.clock.After(pause):
		case <-ctx.Done():
			return nil, fmt.Errorf("propose: %w: %w", ctx.Err(), err)
		}
	}
}

// round is one run of both phases in one epoch.
func (p *Proposer) round(ctx context.Context, at view, update Update) (*control.Value, error) {
	ballot := p.nextBallot()
	current, settled, err := p.prepare(ctx, at, ballot)
	if err != nil {
		return nil, err
	}
	if current.Epoch > at.epoch {
		return nil, p.finishEpoch(ctx, at, ballot, current)
	}
	next, refusal := update(current)
	if refusal != nil || next == nil {
		next = current
	}
	if next != current || !settled {
		if err := p.accept(ctx, at, ballot, next); err != nil {
			return nil, err
		}
	}
	p.chosen(next)
	if next.Epoch > at.epoch {
		if err := p.install(ctx, next); err != nil {
			return next, err
		}
	}
	return next, refusal
}

// finishEpoch completes the last value of an epoch and moves on.
func (p *Proposer) finishEpoch(ctx context.Context, at view, ballot *control.Ballot, last *control.Value) error {
	if err := p.accept(ctx, at, ballot, last); err != nil {
		return err
	}
	p.chosen(last)
	if err := p.install(ctx, last); err != nil {
		return err
	}
	return &errMoved{to: viewOf(last.Epoch, last)}
}

// prepare returns the value of the highest accepted ballot of a majority, and
// whether all of that majority hold it, which means that it is chosen.
func (p *Proposer) prepare(ctx context.Context, at view, ballot *control.Ballot) (*control.Value, bool, error) {
	known := p.recall()
	informed := known.value != nil && known.epoch == at.epoch
	replies := gather(ctx, at.members, func(ctx context.Context, m *control.Member) (*control.PrepareReply, error) {
		r := &control.PrepareRequest{Replica: m.Identity, Epoch: at.epoch, Ballot: ballot}
		if informed {
			r.Informed, r.Known = true, known.ballot
		}
		return p.network.Prepare(ctx, m.Address, r)
	})
	var best *control.PrepareReply
	var lastErr error
	promised, same := 0, 0
	for range at.members {
		r := <-replies
		if r.err != nil {
			lastErr = r.err
			continue
		}
		if r.reply.Omitted {
			r.reply.Value = known.value
		}
		if r.reply.Epoch > at.epoch && r.reply.Value != nil {
			p.bring(ctx, r.reply)
			return nil, false, &errMoved{to: viewOf(r.reply.Epoch, r.reply.Value)}
		}
		if r.reply.Epoch != at.epoch {
			continue
		}
		if !r.reply.Promised {
			return nil, false, &errPreempted{highest: r.reply.Highest}
		}
		promised++
		switch c := compareReplies(r.reply, best); {
		case c > 0:
			best, same = r.reply, 1
		case c == 0:
			same++
		}
		if promised == at.majority() {
			p.remember(acceptance{epoch: at.epoch, ballot: best.Accepted, value: best.Value})
			return best.Value, same == promised, nil
		}
	}
	return nil, false, &QuorumError{Answered: promised, Needed: at.majority(), Epoch: at.epoch, Err: orTimeout(lastErr)}
}

func compareReplies(a, b *control.PrepareReply) int {
	if b == nil {
		return 1
	}
	return compareBallots(a.Accepted, b.Accepted)
}

func (p *Proposer) accept(ctx context.Context, at view, ballot *control.Ballot, value *control.Value) error {
	replies := gather(ctx, at.members, func(ctx context.Context, m *control.Member) (*control.AcceptReply, error) {
		return p.network.Accept(ctx, m.Address, &control.AcceptRequest{Replica: m.Identity, Epoch: at.epoch, Ballot: ballot, Value: value})
	})
	var lastErr error
	accepted := 0
	var refusal error
	for range at.members {
		r := <-replies
		switch {
		case r.err != nil:
			lastErr = r.err
		case r.reply.Accepted:
			accepted++
		case r.reply.Epoch == at.epoch:
			refusal = &errPreempted{highest: r.reply.Highest}
		default:
			lastErr = fmt.Errorf("replica is in epoch %d", r.reply.Epoch)
		}
		if accepted == at.majority() {
			p.remember(acceptance{epoch: at.epoch, ballot: ballot, value: value})
			return nil
		}
	}
	if refusal != nil {
		return refusal
	}
	return &QuorumError{Answered: accepted, Needed: at.majority(), Epoch: at.epoch, Err: orTimeout(lastErr)}
}

// install brings the new set of a chosen value into its epoch. Every member
// is tried; a majority must have it.
func (p *Proposer) install(ctx context.Context, value *control.Value) error {
	at := viewOf(value.Epoch, value)
	replies := gather(ctx, at.members, func(ctx context.Context, m *control.Member) (*control.InstallReply, error) {
		return p.network.Install(ctx, m.Address, &control.InstallRequest{Replica: m.Identity, Epoch: value.Epoch, Value: value})
	})
	installed := 0
	var lastErr error
	for range at.members {
		r := <-replies
		if r.err != nil {
			lastErr = r.err
			continue
		}
		installed++
	}
	if installed < at.majority() {
		return &QuorumError{Answered: installed, Needed: at.majority(), Epoch: at.epoch, Err: orTimeout(lastErr)}
	}
	return nil
}

// bring hands what a replica has accepted in a later epoch to the others of
// that epoch, as if it came late from its proposer. One that was not reached
// when the epoch began gets its vote this way, even if nobody else is left
// who knows of the epoch.
func (p *Proposer) bring(ctx context.Context, r *control.PrepareReply) {
	at := viewOf(r.Epoch, r.Value)
	replies := gather(ctx, at.members, func(ctx context.Context, m *control.Member) (*control.InstallReply, error) {
		return p.network.Install(ctx, m.Address, &control.InstallRequest{Replica: m.Identity, Epoch: r.Epoch, Ballot: r.Accepted, Value: r.Value})
	})
	// Whoever is missed now is tried again with the next round.
	for range at.members {
		<-replies
	}
}

func (p *Proposer) chosen(v *control.Value) {
	faulter.Reach(faulter.Chosen)
	if p.onChosen != nil {
		p.onChosen(v)
	}
}

func (p *Proposer) nextBallot() *control.Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	return &control.Ballot{Count: p.count, Proposer: p.name}
}

func (p *Proposer) raise(count uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count = max(p.count, count)
}

// backoff is a random time, so that rivals get out of each other's way.
func (p *Proposer) backoff() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(maxBackoff)))
}

func orTimeout(err error) error {
	if err == nil {
		return errors.New("no vote in this epoch")
	}
	return err
}

type answer[R any] struct {
	reply R
	err   error
}

// call is one message to one member.
type call[R any] struct {
	member  *control.Member
	send    func(context.Context, *control.Member) (R, error)
	answers chan answer[R]
}

func (c *call[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.send(ctx, c.member)
	c.answers <- answer[R]{reply: reply, err: err}
}

// gather calls every member at once; the channel takes all answers, so late
// ones are dropped without a leak. A message goes on when the proposer stops
// waiting: more copies of a value do no harm.
func gather[R any](ctx context.Context, members []*control.Member, send func(context.Context, *control.Member) (R, error)) <-chan answer[R] {
	answers := make(chan answer[R], len(members))
	for _, m := range members {
		c := &call[R]{member: m, send: send, answers: answers}
		go c.run(context.WithoutCancel(ctx))
	}
	return answers
}

// HasVote tells whether an identity belongs to the set that votes in an epoch,
// judged by a value that was accepted there.
func HasVote(epoch uint64, v *control.Value, identity string) bool {
	for _, m := range viewOf(epoch, v).members {
		if m.Identity == identity {
			return true
		}
	}
	return false
}

// FormerMembers returns the set that voted in the epoch before, judged by a value
// that was accepted in this one; empty for the first epoch. The last value of
// an epoch no longer tells.
func FormerMembers(epoch uint64, v *control.Value) ([]*control.Member, bool) {
	return v.Former, v.Epoch == epoch
}
