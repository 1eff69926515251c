// Package planner turns what operators want into changes of the register: a
// plan against the version in force, a confirmation that is a
// compare-and-set, and replacements of replicas.
package planner

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// recentChanges is how many audit entries the register's value carries.
const maxRecentChanges = 64

// ConflictError says that another change came first.
type ConflictError struct {
	Base   uint64
	Winner *control.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("planned on version %d, but %s made version %d meanwhile; plan again", e.Base, e.Winner.GetOperator(), e.Winner.GetVersion())
}

// AlreadyAppliedError says that the change was made before; Change is its entry.
type AlreadyAppliedError struct{ Change *control.Change }

// Error implements error.
func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("this change was made before, as version %d", e.Change.Version)
}

// ErrBusy says that the last change of the set is not complete.
var ErrBusy = errors.New("the last replacement of a replica is not complete yet")

// Plan is what a declaration would change.
type Plan struct {
	ID    string
	Base  uint64
	Lines []string
	// Canonical is the declaration to confirm.
	Canonical []byte
}

// NewPlan plans a declaration against a value.
func NewPlan(current *control.Value, file string, source []byte) (*Plan, error) {
	next, err := declarer.Parse(file, source)
	if err != nil {
		return nil, err
	}
	canonical, err := next.Canonical()
	if err != nil {
		return nil, err
	}
	old, err := parseValue(current)
	if err != nil {
		return nil, err
	}
	return &Plan{
		ID: declarer.PlanID(current.Version, canonical), Base: current.Version,
		Lines: declarer.Diff(old, next), Canonical: canonical,
	}, nil
}

func parseValue(v *control.Value) (*declarer.Declaration, error) {
	if len(v.Declaration) == 0 {
		return &declarer.Declaration{}, nil
	}
	return declarer.Parse("declaration", v.Declaration)
}

// Confirmation is a plan that an operator has confirmed.
type Confirmation struct {
	ID          string
	Base        uint64
	Declaration []byte
	Operator    string
	// Time in nanoseconds since 1970, for the audit trail.
	Time int64
	// DivisionEnded tells whether a former division of a limit is over.
	DivisionEnded func(*control.Division) bool
}

// Update is the compare-and-set for the register. It refuses with a
// *ConflictError or *AlreadyAppliedError.
func (c *Confirmation) Update() replicator.Update {
	return func(current *control.Value) (*control.Value, error) {
		if err := checkBase(current, c.ID, c.Base); err != nil {
			return nil, err
		}
		if c.ID != declarer.PlanID(c.Base, c.Declaration) {
			return nil, fmt.Errorf("plan %s does not belong to this declaration; plan again", c.ID)
		}
		old, err := parseValue(current)
		if err != nil {
			return nil, err
		}
		next, err := declarer.Parse("declaration", c.Declaration)
		if err != nil {
			return nil, err
		}
		value := successor(current, &control.Change{Id: c.ID, Operator: c.Operator, Time: c.Time, Lines: declarer.Diff(old, next)})
		value.Declaration, value.Document = c.Declaration, nil
		value.Divisions = limiter.FormerDivisions(old, next, c.filter(current.Divisions), value.Version)
		return value, nil
	}
}

// open leaves out former divisions that are over.
func (c *Confirmation) filter(divisions []*control.Division) []*control.Division {
	var open []*control.Division
	for _, d := range divisions {
		if c.DivisionEnded == nil || !c.DivisionEnded(d) {
			open = append(open, d)
		}
	}
	return open
}

// checkBase refuses a change that was made before or that another one beat.
func checkBase(current *control.Value, id string, base uint64) error {
	for _, c := range current.Changes {
		if c.Id == id {
			return &AlreadyAppliedError{Change: c}
		}
	}
	if current.Version == base {
		return nil
	}
	for _, c := range current.Changes {
		if c.Base == base {
			return &ConflictError{Base: base, Winner: c}
		}
	}
	newest := &control.Change{Version: current.Version}
	if len(current.Changes) > 0 {
		newest = current.Changes[len(current.Changes)-1]
	}
	return &ConflictError{Base: base, Winner: newest}
}

// successor copies a value under the next version with its audit entry.
func successor(current *control.Value, change *control.Change) *control.Value {
	change.Version = current.Version + 1
	change.Base = current.Version
	changes := append(slices.Clone(current.Changes), change)
	if extra := len(changes) - maxRecentChanges; extra > 0 {
		changes = changes[extra:]
	}
	return &control.Value{
		Version: change.Version, Epoch: current.Epoch, Declaration: current.Declaration, Changes: changes,
		Replicas: current.Replicas, Former: current.Former, Divisions: current.Divisions,
		Revision: current.Revision, Document: current.Document, Applied: current.Applied,
	}
}

// Replacement puts replicas into the set: one in place of another one, or, with
// an empty Leaving, any number in addition.
type Replacement struct {
	ID       string
	Base     uint64
	Leaving  string
	Joining  []*control.Member
	Operator string
	// Time in nanoseconds since 1970, for the audit trail.
	Time int64
}

// Update ends the epoch with the next set.
func (r *Replacement) Update() replicator.Update {
	return func(current *control.Value) (*control.Value, error) {
		if err := checkBase(current, r.ID, r.Base); err != nil {
			return nil, err
		}
		newMembers, err := r.newMembers(current.Replicas)
		if err != nil {
			return nil, err
		}
		value := successor(current, &control.Change{Id: r.ID, Operator: r.Operator, Time: r.Time, Lines: []string{r.auditLine()}})
		value.Epoch = current.Epoch + 1
		value.Former = current.Replicas
		value.Replicas = newMembers
		return value, nil
	}
}

// line describes the replacement in the audit trail.
func (r *Replacement) auditLine() string {
	auditLine := "~ replicas:"
	for _, m := range r.Joining {
		auditLine += fmt.Sprintf(" %s joins at %s,", m.GetIdentity(), m.GetAddress())
	}
	if r.Leaving != "" {
		auditLine += fmt.Sprintf(" %s leaves", r.Leaving)
	}
	return strings.TrimSuffix(auditLine, ",")
}

func (r *Replacement) newMembers(old []*control.Member) ([]*control.Member, error) {
	var newMembers []*control.Member
	found := r.Leaving == ""
	for _, m := range old {
		if m.Identity == r.Leaving {
			found = true
			continue
		}
		for _, j := range r.Joining {
			if m.Identity == j.GetIdentity() {
				return nil, fmt.Errorf("replica %s is in the set already", m.Identity)
			}
		}
		newMembers = append(newMembers, m)
	}
	if !found {
		return nil, fmt.Errorf("replica %s is not in the set", r.Leaving)
	}
	return append(newMembers, r.Joining...), nil
}

// InitialValue makes the first value for the first set of replicas.
func InitialValue(members []*control.Member) *control.Value {
	return &control.Value{
		Version: 1, Epoch: 1, Replicas: members,
		Changes: []*control.Change{{Id: "founding", Version: 1, Operator: "founding", Lines: []string{"+ fleet founded"}}},
	}
}
