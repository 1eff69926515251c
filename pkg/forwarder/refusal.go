package forwarder

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Headers of this system. Every header with this prefix is removed from a caller's
// request and from a target's answer.
const (
	headerPrefix = "Primrose-"
	// HeaderCall carries the call id to a target, and from there with its calls.
	HeaderCall = "Primrose-Call"
	// HeaderKey carries a caller's key; the header Authorization does as well.
	HeaderKey = "Primrose-Key"
	// HeaderTimeout carries the remaining time in milliseconds: from a caller how
	// long it waits, to a target the time until the deadline.
	HeaderTimeout = "Primrose-Timeout"
	// HeaderOutcome states whether a rejected request may have run.
	HeaderOutcome = "Primrose-Outcome"
	// HeaderReason states in one word why a request was rejected.
	HeaderReason = "Primrose-Reason"
	// HeaderWait carries the time after which to retry, in milliseconds.
	HeaderWait = "Primrose-Wait"
	// HeaderID carries the request id that is logged.
	HeaderID = "Primrose-Id"
	// HeaderLimit names the limit of an overloaded target, in requests a second, in its
	// answers and between nodes.
	HeaderLimit = "Primrose-Limit"
	// HeaderLeaving marks the answers of a target that leaves, with the value 1.
	HeaderLeaving = "Primrose-Leaving"
	leavingValue  = "1"
	// HeaderReplay marks a replay of the stored answer to an earlier request with
	// the same idempotency key.
	HeaderReplay = "Primrose-Replay"

	// The following are used only between nodes. headerLife says which life of the
	// target HeaderLimit and HeaderLeaving are about, headerWork what the target has to
	// do for all nodes, headerCost what a request used of overloaded services, in
	// microseconds, headerWeight for how many requests one stands, headerLeft the time
	// until its objective ends, in microseconds, and headerCold for how many
	// milliseconds the target stays cold.
	headerHop     = "Primrose-Hop"
	headerRetries = "Primrose-Retries"
	headerLevel   = "Primrose-Level"
	headerLoad    = "Primrose-Load"
	headerWork    = "Primrose-Work"
	headerLife    = "Primrose-Life"
	headerCost    = "Primrose-Cost"
	headerWeight  = "Primrose-Weight"
	headerLeft    = "Primrose-Left"
	headerCold    = "Primrose-Cold"

	// headerTeam names the team of a request to the target.
	headerTeam = "Primrose-Team"

	headerIdempotency = "Idempotency-Key"
)

// Outcome states whether a rejected request may have run.
type Outcome string

// The outcomes.
const (
	// NotRun states that the request did not run on a target.
	NotRun Outcome = "notrun"
	// Unknown states that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is one word for why a request was rejected.
type Reason string

// The reasons.
const (
	ReasonRequest Reason = "request"
	ReasonKey     Reason = "key"
	ReasonRoute   Reason = "route"
	ReasonRate    Reason = "rate"
	ReasonLoad    Reason = "load"
	// ReasonLimit stands for requests over the limit that the target names.
	ReasonLimit    Reason = "limit"
	ReasonDeadline Reason = "deadline"
	ReasonPoison   Reason = "poison"
	ReasonTarget   Reason = "target"
	ReasonClaimed  Reason = "claimed"
	ReasonQuorum   Reason = "quorum"
	ReasonContact  Reason = "contact"
	ReasonLost     Reason = "lost"
	// ReasonBehind stands for requests that the version in force does not allow,
	// on a node to which a newer version has been advertised.
	ReasonBehind Reason = "behind"
	// ReasonGone stands for requests whose caller disconnected before the answer.
	ReasonGone Reason = "gone"
	// ReasonDeclined stands for requests that reached a target, which stated that
	// it did not run them.
	ReasonDeclined Reason = "declined"
	// ReasonStop stands for requests that a stopping node may not answer before its
	// process ends.
	ReasonStop Reason = "stop"
	// ReasonRelease stands for requests that no longer wait at the target's node, since
	// their entry node stops. Callers get ReasonStop.
	ReasonRelease Reason = "release"
	// ReasonDrained stands for requests that only targets in drained data centres could
	// serve.
	ReasonDrained Reason = "drained"
)

// Refusal is the response that a node gives to a rejected request in place of a
// target's answer.
type Refusal struct {
	Status  int
	Reason  Reason
	Outcome Outcome
	// Wait is the shortest delay before the caller retries; 0 means that the
	// refusal suggests no delay.
	Wait time.Duration
	Text string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Text) }

// Refuse returns a refusal with outcome NotRun and no delay for a retry.
func Refuse(status int, reason Reason, format string, args ...any) *Refusal {
	return refuse(status, reason, 0, format, args...)
}

func refuse(status int, reason Reason, wait time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Reason: reason, Outcome: NotRun, Wait: wait, Text: fmt.Sprintf(format, args...)}
}

// lostRefusal returns the refusal for a request that may have run and whose answer
// is missing.
func lostRefusal(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Reason: ReasonLost, Outcome: Unknown, Text: fmt.Sprintf(format, args...)}
}

// callerGoneRefusal returns the refusal for a request whose caller disconnected.
func callerGoneRefusal(outcome Outcome) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: ReasonGone, Outcome: outcome, Text: "the caller went away"}
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	Text    string  `json:"text"`
	// Wait is in milliseconds.
	Wait int64 `json:"wait,omitempty"`
}

// write sends the refusal, with a jittered delay so that callers do not all retry
// at the same time.
func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	wait := r.JitteredWait()
	if wait > 0 {
		h.Set(HeaderWait, strconv.FormatInt(wait.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="primrosewall"`)
	}
	text, err := json.Marshal(refusalBody{Outcome: r.Outcome, Reason: r.Reason, Text: r.Text, Wait: wait.Milliseconds()})
	if err != nil {
		text = []byte(`{"outcome":"` + string(r.Outcome) + `"}`)
	}
	text = append(text, '\n')
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(text)
}

// JitteredWait returns a random delay between Wait and twice Wait.
func (r *Refusal) JitteredWait() time.Duration {
	if r.Wait <= 0 {
		return 0
	}
	return r.Wait + rand.N(r.Wait)
}
