package planner_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/proto/control"
)

var centres = []string{"east", "north", "west"}

// order returns the value after an order of an operator, which must be acknowledged,
// and whether it changed anything.
func order(t *testing.T, current *control.Value, centre string, begin bool, operator string) (next *control.Value, changed bool) {
	d := &planner.Drain{Centre: centre, Begin: begin, Known: centres, Operator: operator, Time: 5}
	next, err := d.Update()(current)
	var repeated *planner.AlreadyAppliedError
	if errors.As(err, &repeated) {
		return current, false
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next.Version, qt.Equals, current.Version+1)
	return next, true
}

// drained lists the drained data centres.
func drained(v *control.Value) []string {
	list := []string{}
	for _, d := range v.Drains {
		list = append(list, d.Centre)
	}
	return list
}

// TestLastDrainOrderStands guards against a state that depends on more than the last
// order for each data centre: orders in quick succession, of two operators, repeated.
func TestLastDrainOrderStands(t *testing.T) {
	value := planner.InitialValue(nil)
	for i, test := range []struct {
		centre   string
		begin    bool
		operator string
		changed  bool
		want     []string
	}{
		{"west", false, "ann", false, []string{}},
		{"west", true, "ann", true, []string{"west"}},
		{"west", true, "ann", false, []string{"west"}},
		{"west", true, "ben", false, []string{"west"}},
		{"east", true, "ben", true, []string{"east", "west"}},
		{"west", false, "ben", true, []string{"east"}},
		{"west", true, "ann", true, []string{"east", "west"}},
		{"west", false, "ann", true, []string{"east"}},
		{"east", false, "ann", true, []string{}},
		{"east", false, "ben", false, []string{}},
	} {
		next, changed := order(t, value, test.centre, test.begin, test.operator)
		qt.Assert(t, changed, qt.Equals, test.changed, qt.Commentf("order %d", i))
		qt.Assert(t, drained(next), qt.DeepEquals, test.want, qt.Commentf("order %d", i))
		value = next
	}
}

// TestDrainStatesItsOrder checks that the first order, not its repetition, says who
// began a drain and with which version.
func TestDrainStatesItsOrder(t *testing.T) {
	value, _ := order(t, planner.InitialValue(nil), "west", true, "ann")
	value, _ = order(t, value, "west", true, "ben")
	d := value.Drains[0]
	qt.Assert(t, []any{d.Operator, d.Since, d.Version}, qt.DeepEquals, []any{"ann", int64(5), uint64(2)})
	qt.Assert(t, value.Changes[1].Lines, qt.DeepEquals, []string{"~ centre west: drained"})
}

// TestDrainOutlivesOtherChanges guards against a change of another kind that loses the
// drains, and against a drain that makes an operator's next document stale.
func TestDrainOutlivesOtherChanges(t *testing.T) {
	value, err := apply(t, planner.InitialValue(nil), 0, 3, "one")
	qt.Assert(t, err, qt.IsNil)
	value, _ = order(t, value, "west", true, "ann")
	value, err = apply(t, value, 3, 6, "two")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained(value), qt.DeepEquals, []string{"west"})
	r := &planner.Replacement{ID: "r", Base: value.Version, Joining: []*control.Member{{Identity: "a"}}}
	value, err = r.Update()(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained(value), qt.DeepEquals, []string{"west"})
	plan, err := planner.NewPlan(value, "declaration", []byte(`{}`))
	qt.Assert(t, err, qt.IsNil)
	c := &planner.Confirmation{ID: plan.ID, Base: plan.Base, Declaration: plan.Canonical}
	value, err = c.Update()(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained(value), qt.DeepEquals, []string{"west"})
}

// TestUnknownCentreIsRefused checks that an order for a data centre that does not exist
// changes nothing, and that a drain can be ended after its data centre is gone.
func TestUnknownCentreIsRefused(t *testing.T) {
	value, _ := order(t, planner.InitialValue(nil), "west", true, "ann")
	for _, centre := range []string{"", "south", "West", "west "} {
		for _, begin := range []bool{true, false} {
			_, err := (&planner.Drain{Centre: centre, Begin: begin, Known: centres}).Update()(value)
			var unknown *planner.UnknownCentreError
			qt.Check(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%q: %v", centre, err))
		}
	}
	next, err := (&planner.Drain{Centre: "west"}).Update()(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained(next), qt.DeepEquals, []string{})
}

// TestConfirmedDrainPlan checks that a plan is not confirmed over another order for its
// data centre, that a lost answer does not repeat an order that was revoked since, and
// that other changes do not keep it from being confirmed.
func TestConfirmedDrainPlan(t *testing.T) {
	value := planner.InitialValue(nil)
	d := &planner.Drain{Centre: "west", Begin: true, Known: centres}
	plan, err := planner.NewDrainPlan(value, d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plan.Lines, qt.HasLen, 1)
	d.ID, d.Base = plan.ID, plan.Base
	var repeated *planner.AlreadyAppliedError
	var conflict *planner.ConflictError

	value, err = apply(t, value, 0, 3, "one")
	qt.Assert(t, err, qt.IsNil)
	value, err = d.Update()(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drained(value), qt.DeepEquals, []string{"west"})
	ended, _ := order(t, value, "west", false, "ben")
	_, err = d.Update()(ended)
	qt.Assert(t, errors.As(err, &repeated), qt.IsTrue, qt.Commentf("%v", err))

	late := &planner.Drain{Centre: "west", Begin: true, Known: centres}
	plan, err = planner.NewDrainPlan(ended, late)
	qt.Assert(t, err, qt.IsNil)
	late.ID, late.Base = plan.ID, plan.Base
	value, err = apply(t, ended, 3, 6, "two")
	qt.Assert(t, err, qt.IsNil)
	again, _ := order(t, value, "west", true, "ben")
	_, err = late.Update()(again)
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	many := value
	for i := range uint64(70) {
		many, err = apply(t, many, 3*i+6, 3*i+9, fmt.Sprint("team", i))
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = late.Update()(many)
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
}
