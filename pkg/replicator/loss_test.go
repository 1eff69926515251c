package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// fleet is a set of replicas whose disks can be lost. It delivers every request
// at once, except that Accept requests to the addresses in dropAccepts are lost.
type fleet struct {
	replicas    map[string]*testReplica
	dropAccepts map[string]bool
	// known is the newest value that is in force on a surviving node.
	known     *control.Value
	proposals int
}

// The number of data centres, and of replicas in each.
const (
	centreCount       = 6
	replicasPerCentre = 2
)

// newFleet returns a fleet whose first set is one replica in each of three data
// centres.
func newFleet(c *qt.C) *fleet {
	f := &fleet{replicas: map[string]*testReplica{}, dropAccepts: map[string]bool{}}
	var members []*control.Member
	for i := range centreCount {
		for j := range replicasPerCentre {
			r := &testReplica{address: fmt.Sprint(i, ".", j), disk: &disk{files: map[string][]byte{}}}
			r.identity = r.address + "-0"
			r.open()
			f.replicas[r.address] = r
			if j == 0 && i < 3 {
				members = append(members, &control.Member{Identity: r.identity, Address: r.address})
			}
		}
	}
	f.known = planner.InitialValue(members)
	for _, m := range members {
		_, err := f.replicas[m.Address].acceptor.Install(&control.InstallRequest{Replica: m.Identity, Epoch: 1, Value: f.known})
		c.Assert(err, qt.IsNil)
	}
	return f
}

// clone copies the fleet with its disks; the copy loses no requests.
func (f *fleet) clone() *fleet {
	next := &fleet{replicas: map[string]*testReplica{}, dropAccepts: map[string]bool{}, known: f.known, proposals: f.proposals}
	for address, r := range f.replicas {
		copied := &testReplica{address: address, identity: r.identity, disk: &disk{files: maps.Clone(r.disk.files)}}
		copied.open()
		next.replicas[address] = copied
	}
	return next
}

// Prepare implements replicator.Network.
func (f *fleet) Prepare(_ context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error) {
	return f.replicas[address].acceptor.Prepare(r)
}

// Accept implements replicator.Network.
func (f *fleet) Accept(_ context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error) {
	if f.dropAccepts[address] {
		return nil, errLost
	}
	return f.replicas[address].acceptor.Accept(r)
}

// Install implements replicator.Network.
func (f *fleet) Install(_ context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error) {
	return f.replicas[address].acceptor.Install(r)
}

// propose runs an update with a new proposer, which gives up after 20 rounds.
func (f *fleet) propose(update replicator.Update) (*control.Value, error) {
	f.proposals++
	clock := &skipClock{pausesLeft: 20}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock.giveUp = cancel
	p := replicator.NewProposer(f, clock, fmt.Sprint("p", f.proposals), rand.New(rand.NewPCG(1, 2)), nil)
	return p.Run(ctx, f.known, update)
}

// repair makes the replacements that the healer decides on until there are none
// left.
func (f *fleet) repair(c *qt.C, tolerance int) {
	for range 2 * len(f.replicas) {
		var members, announced []healer.Replica
		for _, m := range f.known.Replicas {
			members = append(members, healer.Replica{Identity: m.Identity, Address: m.Address})
		}
		for _, r := range f.replicas {
			announced = append(announced, healer.Replica{Identity: r.identity, Address: r.address, Centre: r.address[:1]})
		}
		next, ok := healer.Decide(members, announced, tolerance, time.Unix(1, 0))
		if !ok {
			return
		}
		replacement := &planner.Replacement{ID: fmt.Sprint("r", f.proposals), Base: f.known.Version, Leaving: next.Leaving}
		for _, address := range next.Joining {
			replacement.Joining = append(replacement.Joining, &control.Member{Identity: f.replicas[address].identity, Address: address})
		}
		value, err := f.propose(replacement.Update())
		var conflict *planner.ConflictError
		if errors.As(err, &conflict) {
			value, err = f.propose(func(*control.Value) (*control.Value, error) { return nil, nil })
		}
		c.Assert(err, qt.IsNil)
		f.known = value
	}
	c.Fatal("the healer does not finish")
}

// wipe replaces the disks at the addresses by empty ones and restarts every
// replica.
func (f *fleet) wipe(addresses []string) {
	for _, r := range f.replicas {
		if slices.Contains(addresses, r.address) {
			r.identity, r.disk = r.address+"-1", &disk{files: map[string][]byte{}}
		}
		r.open()
	}
}

// subsets returns all subsets of n elements.
func subsets(list []string, n int) [][]string {
	if n == 0 {
		return [][]string{nil}
	}
	if len(list) < n {
		return nil
	}
	result := subsets(list[1:], n)
	for _, rest := range subsets(list[1:], n-1) {
		result = append(result, append([]string{list[0]}, rest...))
	}
	return result
}

// TestLostDisksAfterAcknowledgement guards against an acknowledged change that is
// lost with as many disks as the fleet must tolerate. The change is accepted by a
// bare majority; then any such set of disks is wiped, all replicas restart, and
// no node remembers the change outside of the surviving disks.
func TestLostDisksAfterAcknowledgement(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		t.Run(fmt.Sprint(tolerance), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.repair(c, tolerance)
			var members []string
			for _, m := range f.known.Replicas {
				members = append(members, m.Address)
			}
			for _, dropAccepts := range subsets(members, (len(members)-1)/2) {
				before := f.clone()
				for _, address := range dropAccepts {
					before.dropAccepts[address] = true
				}
				acked, err := before.propose(planner.RequireTolerance(tolerance, applyRevision))
				c.Assert(err, qt.IsNil)
				for _, lost := range subsets(members, tolerance) {
					after := before.clone()
					after.wipe(lost)
					after.repair(c, tolerance)
					value, err := after.propose(func(*control.Value) (*control.Value, error) { return nil, nil })
					c.Assert(err, qt.IsNil)
					c.Assert(value.Revision, qt.Equals, acked.Revision, qt.Commentf("Accept lost at %v, disks lost at %v", dropAccepts, lost))
				}
			}
		})
	}
}

// applyRevision is an operator's change, recognizable by its revision, 7.
func applyRevision(current *control.Value) (*control.Value, error) {
	version := current.Version + 1
	return &control.Value{
		Version: version, Epoch: current.Epoch, Replicas: current.Replicas, Former: current.Former, Revision: 7,
		Changes: append(slices.Clone(current.Changes), &control.Change{Id: "acked", Version: version, Base: current.Version}),
	}, nil
}
