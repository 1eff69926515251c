package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// orderDrain returns the order for data centre "9", as a server proposes it.
func orderDrain(begin bool) replicator.Update {
	d := &planner.Drain{Centre: "9", Begin: begin, Known: []string{"9"}}
	return planner.RequireTolerance(2, d.Update())
}

// acknowledges reports whether the result of a proposal acknowledges an order.
func acknowledges(err error) bool {
	var repeated *planner.AlreadyAppliedError
	return err == nil || errors.As(err, &repeated)
}

// The tests run in bubbles, in which they wait for requests that a proposal has left
// behind before they copy a disk.

// newDrainFleet returns a fleet with one replica in each of five data centres, and
// the addresses of its set.
func newDrainFleet(c *qt.C) (*fleet, []string) {
	f := newFleet(c)
	f.repair(c, 2)
	synctest.Wait()
	var members []string
	for _, m := range f.known.Replicas {
		members = append(members, m.Address)
	}
	return f, members
}

// drainInForce reads the register and returns whether data centre "9" is drained.
func drainInForce(c *qt.C, f *fleet) bool {
	value, err := f.propose(func(*control.Value) (*control.Value, error) { return nil, nil })
	c.Assert(err, qt.IsNil)
	return len(value.Drains) == 1
}

// TestAcknowledgedDrainIsKept guards against an order that is lost after its
// acknowledgement: only a bare majority accepted it, then all nodes lose power and the
// disks of one data centre are gone.
func TestAcknowledgedDrainIsKept(t *testing.T) {
	synctest.Test(t, acknowledgedDrainIsKept)
}

func acknowledgedDrainIsKept(t *testing.T) {
	c := qt.New(t)
	f, members := newDrainFleet(c)
	for _, begin := range []bool{true, false} {
		for _, dropAccepts := range subsets(members, 2) {
			before := f.clone()
			if !begin {
				value, err := before.propose(orderDrain(true))
				c.Assert(err, qt.IsNil)
				synctest.Wait()
				before.known = value
			}
			for _, address := range dropAccepts {
				before.dropAccepts[address] = true
			}
			_, err := before.propose(orderDrain(begin))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
			for i := range centreCount {
				var lost []string
				for j := range replicasPerCentre {
					lost = append(lost, fmt.Sprint(i, ".", j))
				}
				after := before.clone()
				after.wipe(lost)
				after.repair(c, 2)
				synctest.Wait()
				c.Assert(drainInForce(c, after), qt.Equals, begin, qt.Commentf("Accept lost at %v, data centre %d lost", dropAccepts, i))
			}
		}
	}
}

// TestDrainDuringCut sends an order to the side of a cut that has no majority: it is not
// acknowledged. Sent again after the cut, also after all nodes lost power, it is in force.
func TestDrainDuringCut(t *testing.T) {
	synctest.Test(t, drainDuringCut)
}

func drainDuringCut(t *testing.T) {
	c := qt.New(t)
	f, members := newDrainFleet(c)
	for _, reached := range subsets(members, 2) {
		cut := f.clone()
		for _, address := range members {
			cut.dropAccepts[address] = !slices.Contains(reached, address)
		}
		_, err := cut.propose(orderDrain(true))
		c.Assert(acknowledges(err), qt.IsFalse)
		synctest.Wait()
		healed := cut.clone()
		healed.wipe(nil)
		_, err = healed.propose(orderDrain(true))
		c.Assert(acknowledges(err), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(drainInForce(c, healed), qt.IsTrue)
	}
}

// deafFleet loses the replies to Accept requests, and everything after the first one.
type deafFleet struct {
	*fleet
	accepted atomic.Bool
}

// Prepare implements replicator.Network.
func (d *deafFleet) Prepare(ctx context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error) {
	if d.accepted.Load() {
		return nil, errLost
	}
	return d.fleet.Prepare(ctx, address, r)
}

// Accept implements replicator.Network.
func (d *deafFleet) Accept(ctx context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error) {
	d.accepted.Store(true)
	if _, err := d.fleet.Accept(ctx, address, r); err != nil {
		return nil, err
	}
	return nil, errLost
}

// TestDrainAfterLostAnswer guards against an order that was accepted although its
// operator got no answer, and that the operator's repetition, at another replica, or a
// second operator's opposite order does not find.
func TestDrainAfterLostAnswer(t *testing.T) {
	synctest.Test(t, drainAfterLostAnswer)
}

func drainAfterLostAnswer(t *testing.T) {
	c := qt.New(t)
	f, _ := newDrainFleet(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := &skipClock{pausesLeft: 20, giveUp: cancel}
	deaf := replicator.NewProposer(&deafFleet{fleet: f}, clock, "deaf", rand.New(rand.NewPCG(1, 2)), nil)
	_, err := deaf.Run(ctx, f.known, orderDrain(true))
	c.Assert(acknowledges(err), qt.IsFalse)
	for _, begin := range []bool{true, false, false, true} {
		_, err = f.propose(orderDrain(begin))
		c.Assert(acknowledges(err), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(drainInForce(c, f), qt.Equals, begin)
	}
}
