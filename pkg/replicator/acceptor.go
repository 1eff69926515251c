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

const acceptorFile = "register"

// IdentityError says that a message was meant for another data folder, such
// as the one that stood here before a disk was lost.
type IdentityError struct {
	Requested, Actual string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("message is for replica %s, this is %s", e.Requested, e.Actual)
}

// Acceptor is the voting half of a replica. It answers only after its state
// is synced; when the disk fails, it answers with an error and keeps its vote.
type Acceptor struct {
	mu    sync.Mutex
	disk  storer.Disk
	state *control.Stored
}

// OpenAcceptor reads the state of an acceptor from its disk.
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

// Identify tells who the replica is, and its epoch and value.
func (a *Acceptor) Identify() *control.IdentifyReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &control.IdentifyReply{Identity: a.state.Identity, Instance: a.state.Instance, Epoch: a.state.Epoch, Value: a.state.Value, Accepted: a.state.Accepted}
}

// Prepare promises to refuse lower ballots and returns the accepted value.
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

// Accept takes a value unless a higher ballot was promised.
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

// Install brings the replica into a later epoch with a value that was
// proposed there. Within an epoch it counts as a late Accept.
func (a *Acceptor) Install(r *control.InstallRequest) (*control.InstallReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkIdentity(r.Replica); err != nil {
		return nil, err
	}
	if r.Epoch < a.state.Epoch {
		return &control.InstallReply{Epoch: a.state.Epoch}, nil
	}
	late := r.Epoch == a.state.Epoch
	if late && compareBallots(r.Ballot, a.state.Promised) < 0 {
		return &control.InstallReply{Installed: true, Epoch: a.state.Epoch}, nil
	}
	if late && compareBallots(r.Ballot, a.state.Accepted) == 0 {
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

// Epoch returns the epoch in which the replica votes; 0 before it joined.
func (a *Acceptor) Epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Epoch
}

func (a *Acceptor) checkIdentity(asked string) error {
	if asked != a.state.Identity {
		return &IdentityError{Requested: asked, Actual: a.state.Identity}
	}
	return nil
}

// copyState copies the fields; the messages inside are never changed.
func (a *Acceptor) copyState() *control.Stored {
	s := a.state
	return &control.Stored{
		Identity: s.Identity, Instance: s.Instance, Epoch: s.Epoch,
		Promised: s.Promised, Accepted: s.Accepted, Value: s.Value,
	}
}

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

// compareBallots orders ballots by count, then by proposer. A missing ballot
// is the lowest.
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
