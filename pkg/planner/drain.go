package planner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// UnknownCentreError reports an order for a data centre that does not exist.
type UnknownCentreError struct {
	Centre string
	// Known are the data centres that exist.
	Known []string
}

// Error implements error.
func (e *UnknownCentreError) Error() string {
	return fmt.Sprintf("data centre %q is not known; known: %s", e.Centre, strings.Join(e.Known, ", "))
}

// Drain orders that no request be sent to the targets of a data centre, or revokes
// that order. It names the state that is wanted, so that an order that is sent again,
// to whichever replica, changes nothing and is acknowledged again. Of two orders for
// one data centre the one that the register takes last stands.
type Drain struct {
	Centre string
	// Begin is set for the beginning of a drain, and not for its end.
	Begin bool
	// Known are the data centres that exist.
	Known    []string
	Operator string
	// Time is in nanoseconds since 1970, for the audit trail.
	Time int64
	// ID and Base are those of the plan that is confirmed; an empty ID means that
	// there is none. A plan cannot be confirmed after another order for the data
	// centre; an order without a plan stands in any case.
	ID   string
	Base uint64
}

// NewDrainPlan returns the plan of an order on the current value. Its lines are empty
// if the order would change nothing.
func NewDrainPlan(current *control.Value, d *Drain) (*Plan, error) {
	if err := d.Check(current); err != nil {
		return nil, err
	}
	p := &Plan{ID: d.planID(current.Version), Base: current.Version}
	if (d.drain(current) != nil) != d.Begin {
		p.Lines = []string{d.auditLine()}
	}
	return p, nil
}

// drain returns the drain of the order's data centre that is in force, or nil.
func (d *Drain) drain(current *control.Value) *control.Drain {
	for _, other := range current.Drains {
		if other.Centre == d.Centre {
			return other
		}
	}
	return nil
}

// Check returns an *UnknownCentreError if the data centre does not exist. One that is
// drained counts as existing: its drain can be ended after its last instance is gone.
func (d *Drain) Check(current *control.Value) error {
	if d.drain(current) == nil && (d.Centre == "" || !slices.Contains(d.Known, d.Centre)) {
		return &UnknownCentreError{Centre: d.Centre, Known: d.Known}
	}
	return nil
}

// planID identifies the order as planned on a version.
func (d *Drain) planID(base uint64) string {
	return declarer.PlanID(base, []byte(d.auditLine()))
}

// auditLine describes the order for the audit trail.
func (d *Drain) auditLine() string {
	if d.Begin {
		return beginLine(d.Centre)
	}
	return endLine(d.Centre)
}

func beginLine(centre string) string { return fmt.Sprintf("~ centre %s: drained", centre) }

func endLine(centre string) string { return fmt.Sprintf("~ centre %s: no longer drained", centre) }

// Update returns the compare-and-set for the register. It fails with an
// *UnknownCentreError, with an *AlreadyAppliedError when the data centre is already in
// the wanted state, which acknowledges the order, or, for a plan, with a
// *ConflictError. The revision stays, so that a document based on it can be applied.
func (d *Drain) Update() replicator.Update {
	return func(current *control.Value) (*control.Value, error) {
		if err := d.Check(current); err != nil {
			return nil, err
		}
		if err := d.checkPlan(current); err != nil {
			return nil, err
		}
		inForce := d.drain(current)
		if (inForce != nil) == d.Begin {
			version := current.Version
			if inForce != nil {
				version = inForce.Version
			}
			return nil, &AlreadyAppliedError{Change: &control.Change{Version: version}}
		}
		id := d.ID
		if id == "" {
			id = d.planID(current.Version)
		}
		value := successor(current, &control.Change{Id: id, Operator: d.Operator, Time: d.Time, Lines: []string{d.auditLine()}})
		value.Drains = slices.DeleteFunc(slices.Clone(current.Drains), func(other *control.Drain) bool { return other.Centre == d.Centre })
		if d.Begin {
			value.Drains = append(value.Drains, &control.Drain{Centre: d.Centre, Since: d.Time, Operator: d.Operator, Version: value.Version})
			slices.SortFunc(value.Drains, func(a, b *control.Drain) int { return strings.Compare(a.Centre, b.Centre) })
		}
		return value, nil
	}
}

// checkPlan returns an *AlreadyAppliedError if the plan was confirmed before, and a
// *ConflictError if another order for its data centre was made after its base, or may
// have been: the value remembers a bounded number of changes.
func (d *Drain) checkPlan(current *control.Value) error {
	if d.ID == "" {
		return nil
	}
	if d.ID != d.planID(d.Base) {
		return fmt.Errorf("plan %s does not belong to this order; plan again", d.ID)
	}
	oldest := current.Version + 1
	for _, c := range current.Changes {
		oldest = min(oldest, c.Version)
		if c.Id == d.ID {
			return &AlreadyAppliedError{Change: c}
		}
		if c.Version > d.Base && (slices.Contains(c.Lines, beginLine(d.Centre)) || slices.Contains(c.Lines, endLine(d.Centre))) {
			return &ConflictError{Base: d.Base, Winner: c}
		}
	}
	if d.Base+1 < oldest && d.Base < current.Version {
		return &ConflictError{Base: d.Base, Winner: newestChange(current)}
	}
	return nil
}
