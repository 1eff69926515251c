package forwarder

import (
	"net/http"
	"time"
)

// RequestInfo is what a caller's request says about itself.
type RequestInfo struct {
	// ID names the request in logs; a target may have to echo it.
	ID string
	// Key of the caller; empty when there is none.
	Key string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// CallID is the id of the request in flight that a target makes this call
	// for; empty when it does not say.
	CallID string
	// FromTarget tells that a request without a key and a call id may be a call
	// of the own target.
	FromTarget bool
}

// Delivery is what the own target is told about a request.
type Delivery struct {
	// ID as the caller gave it.
	ID string
	// CallID is the id that the target passes back with its calls.
	CallID string
	// Team that the request runs for; empty on open routes.
	Team string
	// Caller is the service beside which the request began.
	Caller string
	// Target is the life of the target that is meant.
	Target string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Verdict is what an answer of the own target is worth. Its values are all
// there is.
type Verdict int

// The verdicts.
const (
	// Valid answers are passed on.
	Valid Verdict = iota
	// Declined answers say that the request was not run.
	Declined
	// Misdirected answers come from another target, which has not run it.
	Misdirected
	// Invalid answers are none of the target's own making.
	Invalid
)

// Dialect is how callers and targets speak to the data path. The daemon's own
// is Native.
type Dialect interface {
	// Receive reads what a caller says, and removes it from the headers with
	// everything that no target may see.
	Receive(r *http.Request) (*RequestInfo, *Refusal)
	// Deliver sets the headers that the own target expects.
	Deliver(h http.Header, d *Delivery)
	// Matches tells whether an answer belongs to a delivery.
	Matches(r *http.Response, d *Delivery) bool
	// Classify tells what an answer is worth.
	Classify(r *http.Response, d *Delivery) Verdict
	// Refuse writes a refusal.
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

// Refuse implements Dialect.
func (Native) Refuse(w http.ResponseWriter, r *Refusal) { r.write(w) }
