package forwarder

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// The sources from which a node learns what a target states.
const (
	// sourceAnswer is an answer of the node's own target.
	sourceAnswer = "answer"
	// sourceHop is a request from another node that has learned it earlier.
	sourceHop = "hop"
	// sourceNode is an answer that the target's node has passed on.
	sourceNode = "node"
)

// ownTarget holds what this node's target states about itself.
type ownTarget struct {
	tracker pacer.Tracker

	mu sync.Mutex
	// malformedLife is the last life whose malformed limit was logged.
	malformedLife string
}

// recordStatement takes what the own target states in a response to a request that
// was delivered at sentAt. A limit that cannot be read leaves the one in force as it
// is, since the target still means to name one.
func (f *Forwarder) recordStatement(x *Exchange, r *http.Response, sentAt time.Time) {
	s, err := f.deps.Dialect.Statement(r)
	life := x.target.Life
	if err != nil {
		f.logMalformedLimit(x, life, err)
	}
	now := f.deps.Clock.Now()
	inForce, changed := f.ownTarget.tracker.Record(life, s, sentAt, now)
	if changed {
		f.logTargetState(x.hop.Id, "", life, inForce, sourceAnswer, now.Sub(sentAt))
		if target := f.deps.Target(); target != nil {
			f.applyTargetLimit(target.Life)
		}
	}
	if inForce.Leaving() {
		f.deps.TargetLeaving(x.target)
	}
}

// adoptLimit takes the limit of the own target that the sender of a hop has learned.
func (f *Forwarder) adoptLimit(hop *control.Hop, h http.Header) {
	life, s, ok := readStatementHeaders(h)
	target := f.deps.Target()
	if !ok || target == nil || target.Life != life {
		return
	}
	inForce, changed := f.ownTarget.tracker.Adopt(life, s, f.deps.Clock.Now())
	if changed {
		f.logTargetState(hop.Id, "", life, inForce, sourceHop, 0)
		f.applyTargetLimit(life)
	}
}

// applyTargetLimit sets the limit that a life of the own target names, for the
// admission.
func (f *Forwarder) applyTargetLimit(life string) {
	f.deps.Admitter.SetTargetLimit(f.ownTarget.tracker.Current(life).Limit())
}

// TargetLimit returns the limit that this node's target names, in requests a second,
// and whether it names one.
func (f *Forwarder) TargetLimit() (rate float64, limited bool) {
	target := f.deps.Target()
	if target == nil {
		return 0, false
	}
	return f.ownTarget.tracker.Current(target.Life).Limit()
}

// logMalformedLimit logs a limit that cannot be read, once for each life.
func (f *Forwarder) logMalformedLimit(x *Exchange, life string, err error) {
	o := &f.ownTarget
	o.mu.Lock()
	logged := o.malformedLife == life
	o.malformedLife = life
	o.mu.Unlock()
	if !logged {
		f.count("malformed_limit")
		f.deps.Log.Warn("malformed_limit", "id", x.hop.Id, "life", life, "error", err.Error())
	}
}

// logTargetState logs what a target states from now on, and how this node learned it.
// target is the target's instance; empty for the own one.
func (f *Forwarder) logTargetState(id, target, life string, s pacer.Statement, source string, age time.Duration) {
	rate, limited := s.Limit()
	f.count("target_state")
	f.deps.Log.Info("target_state", "id", id, "target", target, "life", life, "limited", limited, "rate", rate,
		"leaving", s.Leaving(), "source", source, "age", age)
}

// setStatementHeaders adds what a life of a target states, if anything, to a message
// for another node.
func setStatementHeaders(h http.Header, life string, s pacer.Statement) {
	if s == (pacer.Statement{}) {
		return
	}
	h.Set(headerLife, url.PathEscape(life))
	if text := s.String(); text != "" {
		h.Set(HeaderLimit, text)
	}
	if s.Leaving() {
		h.Set(HeaderLeaving, leavingValue)
	}
}

// readStatementHeaders reads what setStatementHeaders wrote; ok is false if the
// message holds no statement.
func readStatementHeaders(h http.Header) (life string, s pacer.Statement, ok bool) {
	life, err := url.PathUnescape(h.Get(headerLife))
	if err != nil || life == "" {
		return "", s, false
	}
	s, err = readNativeStatement(h)
	return life, s, err == nil
}

// readNativeStatement reads the headers in which targets of the daemon's own
// interface, and nodes, make statements.
func readNativeStatement(h http.Header) (pacer.Statement, error) {
	var s pacer.Statement
	if h.Get(HeaderLeaving) == leavingValue {
		s = s.WithLeaving()
	}
	return s.Read(h.Values(HeaderLimit))
}

// setStateHeaders tells the entry node below which priority it should reject
// requests, how loaded this node's target is, and what the target states. The level
// is the higher one of this node's own admission level and callLevel, the highest
// that the request's calls to other services returned.
func (f *Forwarder) setStateHeaders(x *Exchange, callLevel admitter.Priority) {
	load := f.deps.Admitter.Load()
	h := x.writer.Header()
	h.Set(headerLevel, strconv.FormatUint(uint64(max(load.Level, callLevel)), 10))
	h.Set(headerLoad, strconv.Itoa(loadPercent(load)))
	f.setWorkHeader(x)
	if load.Cold != pacer.Warm {
		h.Set(headerCold, strconv.FormatInt(ceilMilliseconds(load.ColdTime()), 10))
	}
	setStatementHeaders(h, x.target.Life, f.ownTarget.tracker.Current(x.target.Life))
}

// recordPeerCold takes for how long the target's node says that its target stays cold. A
// message that tells the load and no such time ends the one that is known.
func (a *attempt) recordPeerCold(h http.Header) {
	if h.Get(headerLoad) == "" {
		return
	}
	ms, err := strconv.ParseUint(h.Get(headerCold), 10, 32)
	if err != nil {
		ms = 0
	}
	a.filter.forwarder.deps.Router.RecordCold(a.target.Instance, min(time.Duration(ms)*time.Millisecond, maxPeerCold))
}

// maxPeerCold bounds for how long an entry node takes a target for cold without another
// word of its node.
const maxPeerCold = 10 * time.Second

// recordPeerStatement takes what the target's node passes on about its target. A
// message that tells the load and no statement ends the limit that is known.
func (a *attempt) recordPeerStatement(x *Exchange, h http.Header) {
	f := a.filter.forwarder
	life, s, ok := readStatementHeaders(h)
	if !ok {
		if h.Get(headerLoad) == "" {
			return
		}
		life, _ = f.deps.Router.Statement(a.target.Instance)
	}
	if life == "" {
		return
	}
	inForce, changed := f.deps.Router.RecordStatement(a.target, life, s, a.startedAt)
	if changed {
		f.logTargetState(x.hop.Id, a.target.Instance, life, inForce, sourceNode, a.filter.now().Sub(a.startedAt))
	}
}
