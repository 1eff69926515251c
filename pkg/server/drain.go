package server

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// knownCentres returns the data centres that exist, as far as this node knows: those of
// the settings and those of the instances in the gossip table.
func (s *Server) knownCentres() []string {
	centres := slices.Clone(s.live.Load().Centres)
	for _, e := range s.gossip.Members() {
		centres = append(centres, e.Centre)
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// orderDrain runs an order in the register, within the timeout, and logs the outcome. It
// returns the version that holds the order, and nil or an *AlreadyAppliedError if it is
// acknowledged; an *UnknownCentreError, a *ConflictError or another error if it is
// refused and changes nothing; and an *UncertainError otherwise.
func (s *Server) orderDrain(ctx context.Context, d *planner.Drain, timeout time.Duration) (uint64, error) {
	started := s.clock.Now()
	d.Known, d.Time = s.knownCentres(), time.Now().UnixNano()
	version, err := s.proposeDrain(ctx, d, timeout)
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	s.log.Info("drain_order", "centre", d.Centre, "begin", d.Begin, "operator", d.Operator, "id", d.ID,
		"outcome", outcome, "version", version, "took", s.clock.Now().Sub(started))
	return version, err
}

func (s *Server) proposeDrain(ctx context.Context, d *planner.Drain, timeout time.Duration) (uint64, error) {
	known := s.config.Current().Value()
	if known.Version == 0 {
		return 0, &UncertainError{Err: errNoReplicaKnown}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	value, err := s.proposer.Run(ctx, known, s.drainUpdate(d))
	var alreadyApplied *planner.AlreadyAppliedError
	var unknown *planner.UnknownCentreError
	var tolerance *planner.ToleranceError
	switch {
	case err == nil:
		return value.Version, nil
	case errors.As(err, &alreadyApplied):
		return alreadyApplied.Change.Version, err
	case errors.As(err, &unknown) && len(s.live.Load().Centres) == 0 && !s.hasContacts():
		// The gossip table of a node that has just started lacks data centres.
		return 0, &UncertainError{Err: err}
	case value == nil || errors.As(err, &tolerance):
		return 0, &UncertainError{Err: err}
	}
	return value.Version, err
}

// drainUpdate returns the update for an order. Whether the data centre exists is
// checked before the tolerance, since that refusal is final.
func (s *Server) drainUpdate(d *planner.Drain) replicator.Update {
	tolerant := planner.RequireTolerance(s.tolerance(), d.Update())
	return func(current *control.Value) (*control.Value, error) {
		if err := d.Check(current); err != nil {
			return nil, err
		}
		return tolerant(current)
	}
}

// applyDrains brings the drains of a version into force on this node's target, and logs
// them if they are others than before. The enforcer calls it for one version at a time.
func (s *Server) applyDrains(c *enforcer.Config) {
	released := s.admitter.SetDrained(c.Drained(s.settings.Centre))
	equal := func(a, b *control.Drain) bool { return a.Centre == b.Centre && a.Version == b.Version }
	if slices.EqualFunc(s.drains, c.Drains(), equal) {
		return
	}
	s.drains = c.Drains()
	var names, orders []string
	for _, d := range s.drains {
		names = append(names, d.Centre)
		orders = append(orders, fmt.Sprintf("%s by %s, version %d, %s", d.Centre, d.Operator, d.Version, time.Unix(0, d.Since).UTC().Format(time.RFC3339)))
	}
	s.log.Info("drains", "centres", strings.Join(names, " "), "version", c.Version(), "orders", strings.Join(orders, "; "),
		"own", c.Drained(s.settings.Centre), "released", released)
}

// Drain implements ControlBackend.
func (c *controlBackend) Drain(ctx context.Context, centre string, begin bool) error {
	d := &planner.Drain{Centre: centre, Begin: begin, Operator: "operator"}
	_, err := c.server.orderDrain(ctx, d, applyTimeout)
	var alreadyApplied *planner.AlreadyAppliedError
	if errors.As(err, &alreadyApplied) {
		return nil
	}
	return err
}

// PlanDrain implements control.Operator.
func (o *operatorService) PlanDrain(_ context.Context, r *control.DrainRequest) (*control.PlanReply, error) {
	s := o.server
	current := s.config.Current().Value()
	plan, err := planner.NewDrainPlan(current, &planner.Drain{Centre: r.Centre, Begin: r.Begin, Known: s.knownCentres()})
	if err != nil {
		return &control.PlanReply{Refused: err.Error()}, nil
	}
	lines := plan.Lines
	if len(lines) > 0 {
		lines = append(lines, describeDrain(s.gossip.Members(), current.Drains, r.Centre)...)
	}
	return &control.PlanReply{Id: plan.ID, Base: plan.Base, Lines: lines}, nil
}

// describeDrain returns one line for each service with targets in a data centre: how
// many of its targets are there, and how many are in other data centres that are not
// drained.
func describeDrain(members []*control.Entry, drains []*control.Drain, centre string) []string {
	here, elsewhere := map[string]int{}, map[string]int{}
	for _, e := range members {
		drained := slices.ContainsFunc(drains, func(d *control.Drain) bool { return d.Centre == e.Centre })
		switch {
		case e.Service == "" || e.State == control.State_STATE_DEAD:
		case e.Centre == centre:
			here[e.Service]++
		case !drained:
			elsewhere[e.Service]++
		}
	}
	var lines []string
	for service, count := range here {
		lines = append(lines, fmt.Sprintf("service %s: targets here %d, elsewhere %d", service, count, elsewhere[service]))
	}
	slices.SortFunc(lines, strings.Compare)
	return lines
}

// Drain implements control.Operator. Only plans are taken.
func (o *operatorService) Drain(ctx context.Context, r *control.DrainRequest) (*control.ProposeReply, error) {
	if r.Id == "" {
		return &control.ProposeReply{Refused: "the order has no plan; plan it first"}, nil
	}
	d := &planner.Drain{Centre: r.Centre, Begin: r.Begin, ID: r.Id, Base: r.Base, Operator: operatorName(ctx)}
	version, err := o.server.orderDrain(ctx, d, proposeTimeout)
	var alreadyApplied *planner.AlreadyAppliedError
	var conflict *planner.ConflictError
	var uncertain *UncertainError
	switch {
	case err == nil:
		return &control.ProposeReply{Version: version}, nil
	case errors.As(err, &alreadyApplied):
		return &control.ProposeReply{Version: version, Repeated: true}, nil
	case errors.As(err, &conflict):
		return &control.ProposeReply{Conflict: conflict.Winner, Refused: err.Error()}, nil
	case errors.As(err, &uncertain):
		return nil, twirpError(fmt.Errorf("whether the order was made is not known, confirm again: %w", err))
	}
	return &control.ProposeReply{Refused: err.Error()}, nil
}
