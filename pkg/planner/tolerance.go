package planner

import (
	"fmt"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// ToleranceError says that the set of replicas in force is too small for the
// losses that it has to bear, so that nothing can be acknowledged yet.
type ToleranceError struct {
	Replicas, Tolerance int
}

// Error implements error.
func (e *ToleranceError) Error() string {
	return fmt.Sprintf("%d replicas bear the loss of %d disks at once, %d are to be borne; more replicas are joining", e.Replicas, healer.ToleratedLosses(e.Replicas), e.Tolerance)
}

// RequireTolerance refuses an update with a *ToleranceError as long as the set in force
// does not bear the loss of so many disks at once. That holds also for a change
// that was made before: its acknowledgement promises the same.
func RequireTolerance(tolerance int, update replicator.Update) replicator.Update {
	return func(current *control.Value) (*control.Value, error) {
		if replicas := len(current.Replicas); healer.ToleratedLosses(replicas) < tolerance {
			return nil, &ToleranceError{Replicas: replicas, Tolerance: tolerance}
		}
		return update(current)
	}
}
