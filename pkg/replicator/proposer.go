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
	// maxBackoff bounds the random backoff after another proposer used a higher
	// ballot.
	maxBackoff = 40 * time.Millisecond
	// quorumRetryDelay is the delay before the next round after too few replicas
	// replied.
	quorumRetryDelay = 100 * time.Millisecond
	// callTimeout bounds one request to one replica.
	callTimeout = 2 * time.Second
)

// Network sends a request to the replica at an address.
type Network interface {
	Prepare(ctx context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error)
	Accept(ctx context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error)
	Install(ctx context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error)
}

// QuorumError reports that too few replicas replied for a majority. Whether the
// change was made is unknown; it is safe to propose the same change again.
type QuorumError struct {
	Answered, Needed int
	Epoch            uint64
	// Err is the last error seen.
	Err error
}

// Error implements error.
func (e *QuorumError) Error() string {
	return fmt.Sprintf("%d of %d replicas needed answered in epoch %d: %v", e.Answered, e.Needed, e.Epoch, e.Err)
}

// Unwrap returns Err.
func (e *QuorumError) Unwrap() error { return e.Err }

// Update computes the next value from the current one. If it returns nil or an
// error, the current value stays; Run returns the error. Run may call it several
// times, once for each round that gets this far.
type Update func(current *control.Value) (*control.Value, error)

// Proposer changes the register. Several proposers may run at once, on any node
// that knows a value of the register, since the value names the replicas.
type Proposer struct {
	network Network
	clock   timekeeper.Clock
	name    string
	random  *rand.Rand
	// onChosen is called with every value that this proposer knows to be chosen;
	// it may be nil.
	onChosen func(*control.Value)

	mu sync.Mutex
	// count is the highest ballot count that this proposer has used or that has
	// preempted it.
	count uint64
	known acceptedValue
}

// acceptedValue is a value with the epoch and ballot at which it was accepted.
// Epoch and ballot together identify the value, so a replica can omit it from
// its reply when the proposer already knows it.
type acceptedValue struct {
	epoch  uint64
	ballot *control.Ballot
	value  *control.Value
}

// knownValue returns the value that this proposer last read or had accepted.
func (p *Proposer) knownValue() acceptedValue {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

func (p *Proposer) setKnownValue(a acceptedValue) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = a
}

// NewProposer returns a proposer. No other proposer may ever have had the same
// name, so callers add a random part at each start.
func NewProposer(network Network, clock timekeeper.Clock, name string, random *rand.Rand, onChosen func(*control.Value)) *Proposer {
	return &Proposer{network: network, clock: clock, name: name, random: random, onChosen: onChosen}
}

// voterSet is the set of replicas that votes in an epoch.
type voterSet struct {
	epoch   uint64
	members []*control.Member
}

// votersOf returns the set that votes in an epoch, given a value accepted in that
// epoch. The last value of an epoch carries the next epoch and set already; the
// voters are then its former set.
func votersOf(epoch uint64, v *control.Value) voterSet {
	if v.Epoch > epoch {
		return voterSet{epoch: epoch, members: v.Former}
	}
	return voterSet{epoch: epoch, members: v.Replicas}
}

func (s voterSet) majority() int { return len(s.members)/2 + 1 }

// epochEndedError makes Run repeat the round in a later epoch.
type epochEndedError struct{ next voterSet }

func (e *epochEndedError) Error() string { return "replicas moved to another epoch" }

// preemptedError reports that a replica has promised a higher ballot.
type preemptedError struct{ highest *control.Ballot }

func (e *preemptedError) Error() string { return "another proposer has a higher ballot" }

// Run applies update to the register and returns the resulting value. known is
// any value of the register; Run starts with its voters. It retries until the
// context ends; it is then unknown whether the change was made.
func (p *Proposer) Run(ctx context.Context, known *control.Value, update Update) (*control.Value, error) {
	voters := votersOf(known.Epoch, known)
	for {
		value, err := p.round(ctx, voters, update)
		var epochEnded *epochEndedError
		var preempted *preemptedError
		var quorum *QuorumError
		delay := time.Duration(0)
		switch {
		case errors.As(err, &epochEnded):
			voters = epochEnded.next
		case errors.As(err, &preempted):
			p.raiseCount(preempted.highest.GetCount())
			delay = p.backoff()
		case errors.As(err, &quorum):
			delay = quorumRetryDelay
		default:
			return value, err
		}
		select {
		case <-p.clock.After(delay):
		case <-ctx.Done():
			return nil, fmt.Errorf("propose: %w: %w", ctx.Err(), err)
		}
	}
}

// round runs both Paxos phases once in one epoch. It skips the accept phase when
// the value stays as it is and is already chosen.
func (p *Proposer) round(ctx context.Context, voters voterSet, update Update) (*control.Value, error) {
	ballot := p.nextBallot()
	current, alreadyChosen, err := p.prepare(ctx, voters, ballot)
	if err != nil {
		return nil, err
	}
	if current.Epoch > voters.epoch {
		return nil, p.finishEpoch(ctx, voters, ballot, current)
	}
	next, updateErr := update(current)
	if updateErr != nil || next == nil {
		next = current
	}
	if next != current || !alreadyChosen {
		if err := p.accept(ctx, voters, ballot, next); err != nil {
			return nil, err
		}
	}
	p.notifyChosen(next)
	if next.Epoch > voters.epoch {
		if err := p.install(ctx, next); err != nil {
			return next, err
		}
	}
	return next, updateErr
}

// finishEpoch has the last value of an epoch accepted by the old set, installs it
// on the new set, and returns an epochEndedError on success.
func (p *Proposer) finishEpoch(ctx context.Context, voters voterSet, ballot *control.Ballot, last *control.Value) error {
	if err := p.accept(ctx, voters, ballot, last); err != nil {
		return err
	}
	p.notifyChosen(last)
	if err := p.install(ctx, last); err != nil {
		return err
	}
	return &epochEndedError{next: votersOf(last.Epoch, last)}
}

// prepare runs the first phase. It returns the value that a majority's replies
// carry at the highest accepted ballot, and whether it is already chosen, that
// is, held by all of that majority.
func (p *Proposer) prepare(ctx context.Context, voters voterSet, ballot *control.Ballot) (*control.Value, bool, error) {
	known := p.knownValue()
	informed := known.value != nil && known.epoch == voters.epoch
	replies := gather(ctx, voters.members, func(ctx context.Context, m *control.Member) (*control.PrepareReply, error) {
		r := &control.PrepareRequest{Replica: m.Identity, Epoch: voters.epoch, Ballot: ballot}
		if informed {
			r.Informed, r.Known = true, known.ballot
		}
		return p.network.Prepare(ctx, m.Address, r)
	})
	var best *control.PrepareReply
	var lastErr error
	promised, same := 0, 0
	for range voters.members {
		r := <-replies
		if r.err != nil {
			lastErr = r.err
			continue
		}
		if r.reply.Omitted {
			r.reply.Value = known.value
		}
		if r.reply.Epoch > voters.epoch && r.reply.Value != nil {
			p.propagate(ctx, r.reply)
			return nil, false, &epochEndedError{next: votersOf(r.reply.Epoch, r.reply.Value)}
		}
		if r.reply.Epoch != voters.epoch {
			continue
		}
		if !r.reply.Promised {
			return nil, false, &preemptedError{highest: r.reply.Highest}
		}
		promised++
		switch c := compareReplies(r.reply, best); {
		case c > 0:
			best, same = r.reply, 1
		case c == 0:
			same++
		}
		if promised == voters.majority() {
			p.setKnownValue(acceptedValue{epoch: voters.epoch, ballot: best.Accepted, value: best.Value})
			return best.Value, same == promised, nil
		}
	}
	return nil, false, &QuorumError{Answered: promised, Needed: voters.majority(), Epoch: voters.epoch, Err: orNoVote(lastErr)}
}

// compareReplies orders replies by accepted ballot; a nil b is the lowest.
func compareReplies(a, b *control.PrepareReply) int {
	if b == nil {
		return 1
	}
	return compareBallots(a.Accepted, b.Accepted)
}

// accept runs the second phase: it succeeds once a majority has accepted the
// value.
func (p *Proposer) accept(ctx context.Context, voters voterSet, ballot *control.Ballot, value *control.Value) error {
	replies := gather(ctx, voters.members, func(ctx context.Context, m *control.Member) (*control.AcceptReply, error) {
		return p.network.Accept(ctx, m.Address, &control.AcceptRequest{Replica: m.Identity, Epoch: voters.epoch, Ballot: ballot, Value: value})
	})
	var lastErr error
	accepted := 0
	var preempted error
	for range voters.members {
		r := <-replies
		switch {
		case r.err != nil:
			lastErr = r.err
		case r.reply.Accepted:
			accepted++
		case r.reply.Epoch == voters.epoch:
			preempted = &preemptedError{highest: r.reply.Highest}
		default:
			lastErr = fmt.Errorf("replica is in epoch %d", r.reply.Epoch)
		}
		if accepted == voters.majority() {
			p.setKnownValue(acceptedValue{epoch: voters.epoch, ballot: ballot, value: value})
			return nil
		}
	}
	if preempted != nil {
		return preempted
	}
	return &QuorumError{Answered: accepted, Needed: voters.majority(), Epoch: voters.epoch, Err: orNoVote(lastErr)}
}

// install moves the new set of a chosen value to the value's epoch. It waits for
// every member and fails without a majority. A member that is already in a later
// epoch counts as installed.
func (p *Proposer) install(ctx context.Context, value *control.Value) error {
	voters := votersOf(value.Epoch, value)
	replies := gather(ctx, voters.members, func(ctx context.Context, m *control.Member) (*control.InstallReply, error) {
		return p.network.Install(ctx, m.Address, &control.InstallRequest{Replica: m.Identity, Epoch: value.Epoch, Value: value})
	})
	installed := 0
	var lastErr error
	for range voters.members {
		r := <-replies
		if r.err != nil {
			lastErr = r.err
			continue
		}
		installed++
	}
	if installed < voters.majority() {
		return &QuorumError{Answered: installed, Needed: voters.majority(), Epoch: voters.epoch, Err: orNoVote(lastErr)}
	}
	return nil
}

// propagate sends the value that a replica has accepted in a later epoch to all
// voters of that epoch, like a delayed request of its proposer. A member that
// install did not reach when the epoch began gets its vote this way, even if no
// other node that knows of the epoch is left.
func (p *Proposer) propagate(ctx context.Context, r *control.PrepareReply) {
	voters := votersOf(r.Epoch, r.Value)
	replies := gather(ctx, voters.members, func(ctx context.Context, m *control.Member) (*control.InstallReply, error) {
		return p.network.Install(ctx, m.Address, &control.InstallRequest{Replica: m.Identity, Epoch: r.Epoch, Ballot: r.Accepted, Value: r.Value})
	})
	// Errors are ignored: any later Run that starts in an older epoch and gets a
	// reply from this one sends its value again.
	for range voters.members {
		<-replies
	}
}

func (p *Proposer) notifyChosen(v *control.Value) {
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

func (p *Proposer) raiseCount(count uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count = max(p.count, count)
}

// backoff returns a random delay, which makes it unlikely that competing proposers
// preempt each other again.
func (p *Proposer) backoff() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(maxBackoff)))
}

// orNoVote returns err, or, when no replica failed, the remaining cause: the
// replicas that replied are in another epoch.
func orNoVote(err error) error {
	if err == nil {
		return errors.New("no vote in this epoch")
	}
	return err
}

type result[R any] struct {
	reply R
	err   error
}

// call is one request to one member.
type call[R any] struct {
	member  *control.Member
	send    func(context.Context, *control.Member) (R, error)
	results chan result[R]
}

func (c *call[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.send(ctx, c.member)
	c.results <- result[R]{reply: reply, err: err}
}

// gather sends a request to all members concurrently. The channel has room for all
// results, so no goroutine leaks when the proposer stops reading early. A request
// continues after the proposer stops waiting: further copies of a value do no
// harm.
func gather[R any](ctx context.Context, members []*control.Member, send func(context.Context, *control.Member) (R, error)) <-chan result[R] {
	results := make(chan result[R], len(members))
	for _, m := range members {
		c := &call[R]{member: m, send: send, results: results}
		go c.run(context.WithoutCancel(ctx))
	}
	return results
}

// HasVote reports whether an identity belongs to the set that votes in an epoch,
// given a value accepted in that epoch.
func HasVote(epoch uint64, v *control.Value, identity string) bool {
	for _, m := range votersOf(epoch, v).members {
		if m.Identity == identity {
			return true
		}
	}
	return false
}

// FormerMembers returns the set that voted in the epoch before the given one. v is
// a value accepted in the given epoch. The set is empty for the first epoch. It
// returns false for the last value of the given epoch, which no longer holds the
// former set.
func FormerMembers(epoch uint64, v *control.Value) ([]*control.Member, bool) {
	return v.Former, v.Epoch == epoch
}
