package planner

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// maxAppliedDigests is how many applied documents a value remembers, so that a
	// document sent again is acknowledged again. At the 2,500 changes a day that the
	// fleet is designed for, they cover more than a day and a half.
	maxAppliedDigests = 4096
	// digestSize is the length of an application's digest in bytes.
	digestSize = 12
	// maxAuditLines bounds the lines that one applied document adds to the audit
	// trail; one more line counts the rest.
	maxAuditLines = 8
)

// StaleBaseError reports a document based on a revision that is not in force.
type StaleBaseError struct{ Base, Current uint64 }

// Error implements error.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("the document builds on revision %d, but revision %d is in force", e.Base, e.Current)
}

// InvalidError reports a document that cannot come into force.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return "the document is not valid: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// Application puts a document into force without a plan, since its sender has
// reviewed it already.
type Application struct {
	// Base is the revision that the document is based on. Revision is the number
	// that the sender chooses for the new one; it must be higher than Base.
	Base, Revision uint64
	// Document is stored byte for byte.
	Document  []byte
	Interpret enforcer.Interpreter
	Operator  string
	// Time is in nanoseconds since 1970, for the audit trail.
	Time int64
	// DivisionEnded reports whether a former division of a limit is no longer used;
	// nil means that none has ended.
	DivisionEnded func(*control.Division) bool
}

// digest identifies the application: it is the same when the same document is sent
// again with the same base and revision.
func (a *Application) digest() []byte {
	h := sha256.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], a.Base)
	binary.BigEndian.PutUint64(numbers[8:], a.Revision)
	h.Write(numbers[:])
	h.Write(a.Document)
	return h.Sum(nil)[:digestSize]
}

// Check returns an *InvalidError when the document can never come into force,
// whatever is in force now.
func (a *Application) Check() error {
	_, err := a.Interpret(a.Document)
	if err != nil {
		return &InvalidError{Err: err}
	}
	return nil
}

// Update returns the compare-and-set for the register. It fails with an
// *AlreadyAppliedError, a *StaleBaseError or an *InvalidError, or when the document
// in force cannot be interpreted.
func (a *Application) Update() replicator.Update {
	digest := a.digest()
	return func(current *control.Value) (*control.Value, error) {
		for _, known := range current.Applied {
			if bytes.Equal(known, digest) {
				return nil, &AlreadyAppliedError{Change: &control.Change{Version: current.Version}}
			}
		}
		if current.Revision != a.Base {
			return nil, &StaleBaseError{Base: a.Base, Current: current.Revision}
		}
		if a.Revision <= current.Revision {
			return nil, &InvalidError{Err: fmt.Errorf("its revision %d is not above %d, which is in force", a.Revision, current.Revision)}
		}
		return a.next(current, digest)
	}
}

// next builds the value that puts the document into force.
func (a *Application) next(current *control.Value, digest []byte) (*control.Value, error) {
	next, err := a.Interpret(a.Document)
	if err != nil {
		return nil, &InvalidError{Err: err}
	}
	old := &declarer.Declaration{}
	if len(current.Document) > 0 {
		if old, err = a.Interpret(current.Document); err != nil {
			return nil, fmt.Errorf("revision %d, which is in force: %w", current.Revision, err)
		}
	}
	lines := declarer.Diff(old, next)
	if extra := len(lines) - maxAuditLines; extra > 0 {
		lines = append(lines[:maxAuditLines:maxAuditLines], fmt.Sprintf("and %d more", extra))
	}
	value := successor(current, &control.Change{
		Id: fmt.Sprintf("%x", digest), Operator: a.Operator, Time: a.Time, Lines: lines,
	})
	value.Revision, value.Document, value.Declaration = a.Revision, a.Document, nil
	value.Applied = append(slices.Clone(current.Applied), digest)
	if extra := len(value.Applied) - maxAppliedDigests; extra > 0 {
		value.Applied = value.Applied[extra:]
	}
	filter := &Confirmation{DivisionEnded: a.DivisionEnded}
	value.Divisions = limiter.FormerDivisions(old, next, filter.filter(current.Divisions), value.Version)
	return value, nil
}
