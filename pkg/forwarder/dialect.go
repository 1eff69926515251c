package forwarder

import (
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// RequestInfo is what a dialect reads from a caller's request.
type RequestInfo struct {
	// ID identifies the request in logs; some dialects have the target echo it.
	ID string
	// Key is the caller's API key; empty when the request has none.
	Key string
	// Timeout is how long the caller waits; 0 when the request does not state it.
	Timeout time.Duration
	// CallID is the id of the request in flight for which a target makes this
	// call; empty when the request does not state it.
	CallID string
	// FromTarget is set when a request without a key and without a call id may be
	// a call of this node's target.
	FromTarget bool
}

// Delivery is what a node passes to its target along with a request.
type Delivery struct {
	// ID is the request's id as the caller gave it.
	ID string
	// CallID is the id that the target sends with the calls it makes for this
	// request.
	CallID string
	// Team is the team of the request; empty on open routes without a valid key.
	Team string
	// Caller is the service of the entry node's target.
	Caller string
	// Target is the life (one run of the target process) that should answer.
	Target string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Verdict classifies an answer of this node's target. The constants below are
// all its values.
type Verdict int

// The verdicts.
const (
	// Valid answers are forwarded.
	Valid Verdict = iota
	// Declined answers state that the target did not run the request.
	Declined
	// Misdirected answers come from another target, which did not run the request.
	Misdirected
	// Invalid answers were not produced by the target for this request.
	Invalid
)

// Dialect is the set of HTTP conventions by which callers and targets exchange
// requests with the data path. The daemon uses Native.
type Dialect interface {
	// Receive reads the caller's request, and removes from it what the dialect
	// reads and everything that no target may see.
	Receive(r *http.Request) (*RequestInfo, *Refusal)
	// Deliver sets the headers that this node's target expects.
	Deliver(h http.Header, d *Delivery)
	// Matches reports whether a response belongs to a delivery.
	Matches(r *http.Response, d *Delivery) bool
	// Classify returns the verdict on a response to a delivery.
	Classify(r *http.Response, d *Delivery) Verdict
	// Statement reads what the target states about itself in a response to a
	// delivery. The statement is partial if the response may not be the target's own.
	// A limit that cannot be read is a *pacer.LimitError; the rest of the statement
	// holds.
	Statement(r *http.Response) (pacer.Statement, error)
	// Refuse writes a refusal to a caller.
	Refuse(w http.ResponseWriter, r *Refusal)
}

// Native is the daemon's own dialect. The zero value works.
type Native struct{}

// Receive implements Dialect.
func (Native) Receive(r *http.Request) (*RequestInfo, *Refusal) {
	h := r.Header
	for _, name := range []string{"Authorization", HeaderKey, HeaderCall, HeaderTimeout, headerIdempotency} {
		if len(h.Values(name)) > 1 {
			return nil, refuse(http.StatusBadRequest, ReasonRequest, 0, "header %s stands more than once", name)
		}
	}
	info := &RequestInfo{ID: h.Get(HeaderID), Key: callerKey(h), CallID: h.Get(HeaderCall), Timeout: parseTimeout(h.Get(HeaderTimeout))}
	removeHeaders(h)
	if containsPlainKey(r.URL.Path, info.Key) {
		return nil, refuse(http.StatusBadRequest, ReasonRequest, 0, "the path holds a key; send it in the header Authorization")
	}
	scrubQuery(r.URL, info.Key)
	return info, nil
}

// Deliver implements Dialect.
func (Native) Deliver(h http.Header, d *Delivery) {
	h.Set(HeaderCall, d.CallID)
	h.Set(HeaderTimeout, formatTimeout(d.TimeLeft))
	h.Set(headerTeam, d.Team)
}

// Matches implements Dialect.
func (Native) Matches(*http.Response, *Delivery) bool { return true }

// Classify implements Dialect.
func (Native) Classify(*http.Response, *Delivery) Verdict { return Valid }

// Statement implements Dialect.
func (Native) Statement(r *http.Response) (pacer.Statement, error) {
	return readNativeStatement(r.Header)
}

// Refuse implements Dialect.
func (Native) Refuse(w http.ResponseWriter, r *Refusal) { r.write(w) }
