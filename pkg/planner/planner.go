// Package planner turns the requests of operators into changes of the register: a
// plan against the version in force, its confirmation, a document applied without
// a plan, the drain of a data centre, and the replacement of replicas. Each change is a
// compare-and-set.
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

// maxRecentChanges bounds the audit entries in the register's value.
const maxRecentChanges = 64

// ConflictError reports that another change was made first.
type ConflictError struct {
	// Base is the version that the refused change was planned against.
	Base uint64
	// Winner is the change made on that version or, if no audit entry shows it, the
	// newest change.
	Winner *control.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("planned on version %d, but %s made version %d meanwhile; plan again", e.Base, e.Winner.GetOperator(), e.Winner.GetVersion())
}

// AlreadyAppliedError reports that the change was made before. Change is its audit
// entry; for an applied document, it holds only the current version.
type AlreadyAppliedError struct{ Change *control.Change }

// Error implements error.
func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("this change was made before, as version %d", e.Change.Version)
}

// ErrBusy reports that the last change of the set of replicas is not complete.
var ErrBusy = errors.New("the last replacement of a replica is not complete yet")

// Plan describes what a declaration would change.
type Plan struct {
	ID string
	// Base is the version that the plan was made against.
	Base  uint64
	Lines []string
	// Canonical is the declaration to confirm, in canonical form.
	Canonical []byte
}

// NewPlan compares a declaration with the one in the current value.
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
	// Time is in nanoseconds since 1970, for the audit trail.
	Time int64
	// DivisionEnded reports whether a former division of a limit is no longer used;
	// nil means that none has ended.
	DivisionEnded func(*control.Division) bool
}

// Update returns the compare-and-set for the register. It fails with a
// *ConflictError or an *AlreadyAppliedError, or when the plan's id or the
// declaration is not valid.
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

// filter returns the former divisions that have not ended.
func (c *Confirmation) filter(divisions []*control.Division) []*control.Division {
	var open []*control.Division
	for _, d := range divisions {
		if c.DivisionEnded == nil || !c.DivisionEnded(d) {
			open = append(open, d)
		}
	}
	return open
}

// checkBase returns an error if the change was made before or if another change
// was made on its base version first.
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
	return &ConflictError{Base: base, Winner: newestChange(current)}
}

// newestChange returns the last audit entry, or one that names only the version.
func newestChange(current *control.Value) *control.Change {
	if len(current.Changes) == 0 {
		return &control.Change{Version: current.Version}
	}
	return current.Changes[len(current.Changes)-1]
}

// successor copies a value, with the next version and the change's audit entry. It
// sets the version and the base of the change.
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
		Drains: current.Drains,
	}
}

// Replacement changes the set of replicas: it removes one member and adds others,
// or only adds.
type Replacement struct {
	ID   string
	Base uint64
	// Leaving is the identity of the member to remove; empty to remove none.
	Leaving  string
	Joining  []*control.Member
	Operator string
	// Time is in nanoseconds since 1970, for the audit trail.
	Time int64
}

// Update returns the compare-and-set for the register. It ends the epoch: the next
// one begins with the new set.
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

// auditLine describes the replacement for the audit trail.
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

// newMembers returns the new set. It fails if a joining replica is a member already
// or the leaving one is not a member.
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

// InitialValue returns version 1, which founds a fleet with the given replicas.
func InitialValue(members []*control.Member) *control.Value {
	return &control.Value{
		Version: 1, Epoch: 1, Replicas: members,
		Changes: []*control.Change{{Id: "founding", Version: 1, Operator: "founding", Lines: []string{"+ fleet founded"}}},
	}
}
