package replicator

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/storer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// acceptorFile is the file of the data folder that holds the acceptor's state.
const acceptorFile = "register"

// IdentityError reports a message addressed to another data folder, such as the
// one that this instance used before it lost its disk.
type IdentityError struct {
	Requested, Actual string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("message is for replica %s, this is %s", e.Requested, e.Actual)
}

// Acceptor is the Paxos acceptor of a replica. It replies only after its new
// state is synced to disk. When the write fails, it returns an error and keeps
// its previous state.
type Acceptor struct {
	mu    sync.Mutex
	disk  storer.Disk
	state *control.Stored
}

// OpenAcceptor reads the acceptor's state from disk. Without a stored state, the
// replica starts in epoch 0, in which it has no vote.
func OpenAcceptor(disk storer.Disk, identity, instance string) (*Acceptor, error) {
	a := &Acceptor{disk: disk, state: &control.Stored{Identity: identity, Instance: instance}}
	raw, err := disk.Read(acceptorFile)
	if errors.Is(err, fs.ErrNotExist) {
		return a, nil
	}
	if err != nil {
		return nil, err
	}
	stored := &control.Stored{}
	if err := proto.Unmarshal(raw, stored); err != nil {
		return nil, fmt.Errorf("decode register: %w", err)
	}
	if stored.Identity != identity {
		return nil, &IdentityError{Requested: stored.Identity, Actual: identity}
	}
	a.state = stored
	return a, nil
}

// Identify returns the replica's identity and instance, its epoch, and its value
// with the ballot at which it accepted that value.
func (a *Acceptor) Identify() *control.IdentifyReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &control.IdentifyReply{Identity: a.state.Identity, Instance: a.state.Instance, Epoch: a.state.Epoch, Value: a.state.Value, Accepted: a.state.Accepted}
}

// Prepare promises to refuse ballots lower than the request's, unless it has
// promised that ballot or a higher one already or is in another epoch. The reply
// holds the accepted value, or omits it when the proposer already knows it.
func (a *Acceptor) Prepare(r *control.PrepareRequest) (*control.PrepareReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkIdentity(r.Replica); err != nil {
		return nil, err
	}
	reply := &control.PrepareReply{Epoch: a.state.Epoch, Highest: a.state.Promised, Accepted: a.state.Accepted, Value: a.state.Value}
	if r.Informed && r.Epoch == a.state.Epoch && compareBallots(r.Known, a.state.Accepted) == 0 {
		reply.Value, reply.Omitted = nil, true
	}
	if r.Epoch != a.state.Epoch || compareBallots(r.Ballot, a.state.Promised) <= 0 {
		return reply, nil
	}
	next := a.copyState()
	next.Promised = r.Ballot
	if err := a.save(next); err != nil {
		return nil, err
	}
	faulter.Reach(faulter.PromiseSynced)
	reply.Promised = true
	reply.Highest = r.Ballot
	return reply, nil
}

// Accept stores a value unless the acceptor has promised a higher ballot or is
// in another epoch.
func (a *Acceptor) Accept(r *control.AcceptRequest) (*control.AcceptReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkIdentity(r.Replica); err != nil {
		return nil, err
	}
	reply := &control.AcceptReply{Epoch: a.state.Epoch, Highest: a.state.Promised}
	if r.Epoch != a.state.Epoch || compareBallots(r.Ballot, a.state.Promised) < 0 {
		return reply, nil
	}
	next := a.copyState()
	next.Promised, next.Accepted, next.Value = r.Ballot, r.Ballot, r.Value
	faulter.Reach(faulter.AcceptSyncing)
	if err := a.save(next); err != nil {
		return nil, err
	}
	faulter.Reach(faulter.AcceptSynced)
	reply.Accepted = true
	return reply, nil
}

// Install moves the replica to a later epoch with a value of that epoch; it
// refuses an earlier epoch. In the replica's current epoch it works like Accept,
// except that it reports success also when it keeps the value it has, be it the
// same or one protected by a higher promise.
func (a *Acceptor) Install(r *control.InstallRequest) (*control.InstallReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkIdentity(r.Replica); err != nil {
		return nil, err
	}
	if r.Epoch < a.state.Epoch {
		return &control.InstallReply{Epoch: a.state.Epoch}, nil
	}
	sameEpoch := r.Epoch == a.state.Epoch
	if sameEpoch && compareBallots(r.Ballot, a.state.Promised) < 0 {
		return &control.InstallReply{Installed: true, Epoch: a.state.Epoch}, nil
	}
	if sameEpoch && compareBallots(r.Ballot, a.state.Accepted) == 0 {
		return &control.InstallReply{Installed: true, Epoch: a.state.Epoch}, nil
	}
	next := a.copyState()
	next.Epoch, next.Promised, next.Accepted, next.Value = r.Epoch, r.Ballot, r.Ballot, r.Value
	if err := a.save(next); err != nil {
		return nil, err
	}
	faulter.Reach(faulter.Installed)
	return &control.InstallReply{Installed: true, Epoch: r.Epoch}, nil
}

// Epoch returns the epoch in which the replica votes; 0 before it joins a set.
func (a *Acceptor) Epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Epoch
}

func (a *Acceptor) checkIdentity(requested string) error {
	if requested != a.state.Identity {
		return &IdentityError{Requested: requested, Actual: a.state.Identity}
	}
	return nil
}

// copyState makes a shallow copy of the state; the nested messages are immutable.
func (a *Acceptor) copyState() *control.Stored {
	s := a.state
	return &control.Stored{
		Identity: s.Identity, Instance: s.Instance, Epoch: s.Epoch,
		Promised: s.Promised, Accepted: s.Accepted, Value: s.Value,
	}
}

// save writes the next state to disk and then adopts it.
func (a *Acceptor) save(next *control.Stored) error {
	raw, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode register: %w", err)
	}
	if err := a.disk.Write(acceptorFile, raw); err != nil {
		return err
	}
	a.state = next
	return nil
}

// compareBallots orders ballots by count, then by proposer. A nil ballot is the
// lowest.
func compareBallots(a, b *control.Ballot) int {
	switch {
	case a.GetCount() != b.GetCount():
		if a.GetCount() < b.GetCount() {
			return -1
		}
		return 1
	case a.GetProposer() < b.GetProposer():
		return -1
	case a.GetProposer() > b.GetProposer():
		return 1
	}
	return 0
}
