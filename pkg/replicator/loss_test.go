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

// herd is a fleet of replicas that lose their disks. Messages arrive at once,
// but for those to the addresses in deaf.
type herd struct {
	sites map[string]*site
	deaf  map[string]bool
	// known is the newest value that a surviving node has in force.
	known   *control.Value
	changes int
}

// centres and perCentre are the shape of the fleet.
const (
	centres   = 6
	perCentre = 2
)

// newHerd is a fleet founded by three seeds in three data centres.
func newHerd(c *qt.C) *herd {
	h := &herd{sites: map[string]*site{}, deaf: map[string]bool{}}
	var members []*control.Member
	for i := range centres {
		for j := range perCentre {
			s := &site{address: fmt.Sprint(i, ".", j), disk: &disk{files: map[string][]byte{}}}
			s.identity = s.address + "-0"
			s.open()
			h.sites[s.address] = s
			if j == 0 && i < 3 {
				members = append(members, &control.Member{Identity: s.identity, Address: s.address})
			}
		}
	}
	h.known = planner.InitialValue(members)
	for _, m := range members {
		_, err := h.sites[m.Address].acceptor.Install(&control.InstallRequest{Replica: m.Identity, Epoch: 1, Value: h.known})
		c.Assert(err, qt.IsNil)
	}
	return h
}

func (h *herd) clone() *herd {
	next := &herd{sites: map[string]*site{}, deaf: map[string]bool{}, known: h.known, changes: h.changes}
	for address, s := range h.sites {
		copied := &site{address: address, identity: s.identity, disk: &disk{files: maps.Clone(s.disk.files)}}
		copied.open()
		next.sites[address] = copied
	}
	return next
}

// Prepare implements replicator.Network.
func (h *herd) Prepare(_ context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error) {
	return h.sites[address].acceptor.Prepare(r)
}

// Accept implements replicator.Network.
func (h *herd) Accept(_ context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error) {
	if h.deaf[address] {
		return nil, errLost
	}
	return h.sites[address].acceptor.Accept(r)
}

// Install implements replicator.Network.
func (h *herd) Install(_ context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error) {
	return h.sites[address].acceptor.Install(r)
}

func (h *herd) run(update replicator.Update) (*control.Value, error) {
	h.changes++
	clock := &skipClock{left: 20}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock.give = cancel
	p := replicator.NewProposer(h, clock, fmt.Sprint("p", h.changes), rand.New(rand.NewPCG(1, 2)), nil)
	return p.Run(ctx, h.known, update)
}

// repair lets the healer work until it has nothing left to do.
func (h *herd) repair(c *qt.C, tolerance int) {
	for range 2 * len(h.sites) {
		var members, seen []healer.Replica
		for _, m := range h.known.Replicas {
			members = append(members, healer.Replica{Identity: m.Identity, Address: m.Address})
		}
		for _, s := range h.sites {
			seen = append(seen, healer.Replica{Identity: s.identity, Address: s.address, Centre: s.address[:1]})
		}
		next, ok := healer.Decide(members, seen, tolerance, time.Unix(1, 0))
		if !ok {
			return
		}
		r := &planner.Replacement{ID: fmt.Sprint("r", h.changes), Base: h.known.Version, Leaving: next.Leaving}
		for _, address := range next.Joining {
			r.Joining = append(r.Joining, &control.Member{Identity: h.sites[address].identity, Address: address})
		}
		value, err := h.run(r.Update())
		var conflict *planner.ConflictError
		if errors.As(err, &conflict) {
			value, err = h.run(func(*control.Value) (*control.Value, error) { return nil, nil })
		}
		c.Assert(err, qt.IsNil)
		h.known = value
	}
	c.Fatal("the healer does not come to an end")
}

// wipe loses the disks at the addresses; all others lose power.
func (h *herd) wipe(addresses []string) {
	for _, s := range h.sites {
		if slices.Contains(addresses, s.address) {
			s.identity, s.disk = s.address+"-1", &disk{files: map[string][]byte{}}
		}
		s.open()
	}
}

// subsets lists all choices of n out of the list.
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

// TestLostDisksAfterAcknowledgement wipes any f disks right after a change was
// acknowledged by the fewest replicas that may, while all others lose power and
// nobody remembers the change but them.
func TestLostDisksAfterAcknowledgement(t *testing.T) {
	for _, f := range []int{1, 2} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			c := qt.New(t)
			h := newHerd(c)
			h.repair(c, f)
			var members []string
			for _, m := range h.known.Replicas {
				members = append(members, m.Address)
			}
			for _, deaf := range subsets(members, (len(members)-1)/2) {
				told := h.clone()
				for _, address := range deaf {
					told.deaf[address] = true
				}
				acked, err := told.run(planner.RequireTolerance(f, acknowledged))
				c.Assert(err, qt.IsNil)
				for _, lost := range subsets(members, f) {
					after := told.clone()
					after.wipe(lost)
					after.repair(c, f)
					value, err := after.run(func(*control.Value) (*control.Value, error) { return nil, nil })
					c.Assert(err, qt.IsNil)
					c.Assert(value.Revision, qt.Equals, acked.Revision, qt.Commentf("not told %v, lost %v", deaf, lost))
				}
			}
		})
	}
}

// acknowledged is the change of an operator.
func acknowledged(current *control.Value) (*control.Value, error) {
	version := current.Version + 1
	return &control.Value{
		Version: version, Epoch: current.Epoch, Replicas: current.Replicas, Former: current.Former, Revision: 7,
		Changes: append(slices.Clone(current.Changes), &control.Change{Id: "acked", Version: version, Base: current.Version}),
	}, nil
}
