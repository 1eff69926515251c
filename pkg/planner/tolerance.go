package planner

import (
	"fmt"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// ToleranceError reports that the set of replicas in force is too small for the
// number of lost disks that it must tolerate, so that no change can be acknowledged
// yet.
type ToleranceError struct {
	Replicas, Tolerance int
}

// Error implements error.
func (e *ToleranceError) Error() string {
	return fmt.Sprintf("%d replicas bear the loss of %d disks at once, %d are to be borne; more replicas are joining", e.Replicas, healer.ToleratedLosses(e.Replicas), e.Tolerance)
}

// RequireTolerance wraps an update so that it fails with a *ToleranceError while the
// set in force does not tolerate the loss of that many disks at once. This includes
// a change that was made before, since its acknowledgement makes the same promise.
func RequireTolerance(tolerance int, update replicator.Update) replicator.Update {
	return func(current *control.Value) (*control.Value, error) {
		if replicas := len(current.Replicas); healer.ToleratedLosses(replicas) < tolerance {
			return nil, &ToleranceError{Replicas: replicas, Tolerance: tolerance}
		}
		return update(current)
	}
}
