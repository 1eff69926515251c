package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Interface replaces the protocol that callers, targets and operators use to talk
// to a node.
type Interface struct {
	// Dialect is the protocol of callers and targets.
	Dialect forwarder.Dialect
	// Interpret parses the documents that operators apply.
	Interpret enforcer.Interpreter
	// Control makes the handler for the control address; nil leaves that closed.
	Control func(ControlBackend) http.Handler
}

// ControlBackend is what the node offers to the handler of the control address.
type ControlBackend interface {
	// Apply puts a document into force. It returns nil if the document is accepted,
	// now or by an earlier call, and a *planner.StaleBaseError,
	// *planner.InvalidError or *UncertainError otherwise.
	Apply(ctx context.Context, base, revision uint64, document []byte) error
	// Read returns the newest document, or an *UncertainError when the node cannot
	// determine which one that is.
	Read(ctx context.Context) ([]byte, error)
	// Drain orders that no request be sent to the targets of a data centre, or revokes
	// that order. It returns nil if the order is in the register, now or by an earlier
	// call, a *planner.UnknownCentreError if there is no such data centre, and an
	// *UncertainError otherwise.
	Drain(ctx context.Context, centre string, begin bool) error
	// IsReplica reports whether this node has a data folder, and so can be a replica
	// of the register.
	IsReplica() bool
	// Report processes a report of this node's target. It returns an
	// *announcer.IgnoredError if the report has no effect, and an *UncertainError if it
	// states that the target leaves and that is not on enough disks yet.
	Report(ctx context.Context, r announcer.Report) error
	// End records that a life of this node's target has ended, also if the node does
	// not know that life. It returns an *UncertainError if that is not on enough disks
	// yet.
	End(ctx context.Context, life string) error
	// EndTarget records that all lives of a target up to now have ended.
	EndTarget(name string)
	// Life identifies the current run of this node's target; empty when there is no
	// target.
	Life() string
}

// UncertainError reports that a change may or may not have been made, or that the
// newest document is unknown. The caller may repeat the same call at any replica.
type UncertainError struct{ Err error }

// Error implements error.
func (e *UncertainError) Error() string { return "not certain, ask again: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// controlBackend implements ControlBackend.
type controlBackend struct{ server *Server }

var errNoReplicaKnown = errors.New("this node knows no replicas yet")

// Apply implements ControlBackend.
func (c *controlBackend) Apply(ctx context.Context, base, revision uint64, document []byte) error {
	s := c.server
	a := &planner.Application{
		Base: base, Revision: revision, Document: document, Interpret: s.iface.Interpret,
		Operator: "operator", Time: time.Now().UnixNano(), DivisionEnded: s.divisionEnded,
	}
	if err := a.Check(); err != nil {
		s.log.Info("apply", "revision", revision, "base", base, "outcome", "invalid", "error", err.Error())
		return err
	}
	started := s.clock.Now()
	err := s.apply(ctx, a)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	s.log.Info("apply", "revision", revision, "base", base, "bytes", len(document), "outcome", outcome, "took", s.clock.Now().Sub(started))
	return err
}

// apply runs the change in the register and maps its errors to those of
// ControlBackend.Apply.
func (s *Server) apply(ctx context.Context, a *planner.Application) error {
	known := s.config.Current().Value()
	if known.Version == 0 {
		return &UncertainError{Err: errNoReplicaKnown}
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	_, err := s.proposer.Run(ctx, known, planner.RequireTolerance(s.tolerance(), a.Update()))
	var alreadyApplied *planner.AlreadyAppliedError
	var staleBase *planner.StaleBaseError
	var invalid *planner.InvalidError
	switch {
	case err == nil, errors.As(err, &alreadyApplied):
		return nil
	case errors.As(err, &staleBase), errors.As(err, &invalid):
		return err
	}
	return &UncertainError{Err: err}
}

const (
	// applyTimeout bounds a change, so that its sender has time to try another
	// replica.
	applyTimeout = 1500 * time.Millisecond
	// readTimeout bounds a linearizable read of the register.
	readTimeout = 800 * time.Millisecond
)

// Read implements ControlBackend.
func (c *controlBackend) Read(ctx context.Context) ([]byte, error) {
	s := c.server
	known := s.config.Current().Value()
	if known.Version == 0 {
		return nil, &UncertainError{Err: errNoReplicaKnown}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := s.proposer.Run(ctx, known, func(*control.Value) (*control.Value, error) { return nil, nil })
	if err != nil {
		return nil, &UncertainError{Err: err}
	}
	if len(value.Document) == 0 {
		return nil, &UncertainError{Err: fmt.Errorf("no document was applied yet")}
	}
	return value.Document, nil
}

// IsReplica implements ControlBackend.
func (c *controlBackend) IsReplica() bool { return c.server.folder != nil }

// Report implements ControlBackend.
func (c *controlBackend) Report(ctx context.Context, r announcer.Report) error {
	s := c.server
	if r.Address == "" {
		r.Address = s.live.Load().Target
	}
	if err := s.announcer.Report(r, s.live.Load().Drain.Duration); err != nil || !r.Leaving {
		return err
	}
	return c.record(ctx, r.Life)
}

// End implements ControlBackend.
func (c *controlBackend) End(ctx context.Context, life string) error {
	s := c.server
	s.log.Info("target_end", "life", life)
	s.announcer.End(life, s.live.Load().Drain.Duration)
	return c.record(ctx, life)
}

func (c *controlBackend) record(ctx context.Context, life string) error {
	if err := c.server.announcer.Record(ctx, life); err != nil {
		return &UncertainError{Err: err}
	}
	return nil
}

// EndTarget implements ControlBackend.
func (c *controlBackend) EndTarget(name string) {
	c.server.log.Info("target_end", "target", name)
	c.server.announcer.EndTarget(name)
}

// Life implements ControlBackend.
func (c *controlBackend) Life() string {
	if t := c.server.announcer.Target(); t != nil {
		return t.Life
	}
	return ""
}
