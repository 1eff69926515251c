package forwarder

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
)

// drainedRetryDelay is the retry delay for a request whose service has targets only in
// drained data centres. The end of a drain reaches all nodes within about a second.
const drainedRetryDelay = time.Second

// drainFilter rejects on the entry node, before it waits for anything else, a request
// whose service has targets only in drained data centres. A node that starts waits until
// it knows another target, as for a service without any: it may have heard of those in
// the drained data centre first.
type drainFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (d *drainFilter) Serve(x *Exchange, next func(*Exchange)) {
	f := d.forwarder
	placeable := func() bool { return f.drainRefusal(x.hop.Service) == nil }
	if !placeable() && f.awaitStart(x, placeable) {
		next(x)
		return
	}
	if r := f.drainRefusal(x.hop.Service); r != nil {
		f.count("refused_drained")
		x.refuse(r)
		return
	}
	next(x)
}

// drainRefusal returns the refusal for a service that has targets only in drained data
// centres, or nil.
func (f *Forwarder) drainRefusal(service string) *Refusal {
	if f.deps.DrainedCentres == nil {
		return nil
	}
	centres := f.deps.DrainedCentres(service)
	if len(centres) == 0 {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, ReasonDrained, drainedRetryDelay,
		"service %s has targets only in drained data centres: %s", service, strings.Join(centres, ", "))
}

// ownCentreDrained reports whether no request may be sent to this node's target because
// its data centre is drained.
func (f *Forwarder) ownCentreDrained() bool {
	return f.deps.Config.Current().Drained(f.deps.Centre)
}

// rejectDrained rejects a request on the target's node if its data centre is drained,
// and reports whether it did.
func (f *Forwarder) rejectDrained(x *Exchange) bool {
	if !f.ownCentreDrained() {
		return false
	}
	f.count("refused_drained")
	x.refuse(refuse(http.StatusServiceUnavailable, ReasonDrained, drainedRetryDelay, "data centre %s is drained", f.deps.Centre))
	return true
}

// passOverCentre marks the targets of a service in a data centre as tried and reports
// whether another usable one is left. Load answered: an order has come into force at the
// targets' nodes and not yet here, and the first answer tells it.
func (s *sendFilter) passOverCentre(x *Exchange, centre string, tried map[string]bool) bool {
	targets := s.forwarder.deps.Targets(x.hop.Service)
	for _, e := range targets {
		if e.Centre == centre {
			tried[e.Instance] = true
		}
	}
	return s.forwarder.deps.Router.HasUntried(targets, tried)
}

// unknownDrains remembers which drains have been learned of from refusals, by data
// centre with the version in force then, so that each is logged once.
type unknownDrains struct {
	mu      sync.Mutex
	centres map[string]uint64
}

// isNew reports whether a refusal tells of a drain that this version does not hold, for
// the first time.
func (u *unknownDrains) isNew(centre string, c *enforcer.Config) bool {
	if c.Drained(centre) {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if version, ok := u.centres[centre]; ok && version == c.Version() {
		return false
	}
	if u.centres == nil {
		u.centres = map[string]uint64{}
	}
	u.centres[centre] = c.Version()
	return true
}

// logUnknownDrain logs that a target's node knows a drain that is not in force here.
func (f *Forwarder) logUnknownDrain(x *Exchange, a *attempt) {
	c := f.deps.Config.Current()
	if !f.unknownDrains.isNew(a.target.Centre, c) {
		return
	}
	heard, age := f.deps.Behind()
	f.deps.Log.Warn("drain_unknown", "id", x.hop.Id, "centre", a.target.Centre, "at", a.target.Instance,
		"version", c.Version(), "heard", heard, "behind", age)
}
