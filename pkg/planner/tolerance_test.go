package planner_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestSmallSetDoesNotAcknowledge repeats a change that was made before, with sets
// that do and do not tolerate the required losses. A set that does not must refuse
// it, as it would refuse a new change.
func TestSmallSetDoesNotAcknowledge(t *testing.T) {
	repeated := &planner.AlreadyAppliedError{Change: &control.Change{Version: 3}}
	for _, test := range []struct {
		replicas, tolerance int
		refused             bool
	}{
		{1, 0, false}, {3, 1, false}, {2, 1, true}, {3, 2, true}, {4, 2, true}, {5, 2, false},
	} {
		current := &control.Value{Version: 3, Replicas: make([]*control.Member, test.replicas)}
		_, err := planner.RequireTolerance(test.tolerance, func(*control.Value) (*control.Value, error) { return nil, repeated })(current)
		var small *planner.ToleranceError
		qt.Assert(t, errors.As(err, &small), qt.Equals, test.refused, qt.Commentf("%+v", test))
		if !test.refused {
			qt.Assert(t, err, qt.Equals, error(repeated))
		}
	}
}
