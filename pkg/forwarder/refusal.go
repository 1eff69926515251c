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

// Headers of our own; all but Call and Timeout are removed from callers.
const (
	headerPrefix = "Primrose-"
	// HeaderCall carries the call id to a target and back.
	HeaderCall = "Primrose-Call"
	// HeaderKey carries a caller's key; Authorization works as well.
	HeaderKey = "Primrose-Key"
	// HeaderTimeout carries the milliseconds that are left.
	HeaderTimeout = "Primrose-Timeout"
	// HeaderOutcome tells whether a refused request was run.
	HeaderOutcome = "Primrose-Outcome"
	// HeaderReason tells in one word why a request was refused.
	HeaderReason = "Primrose-Reason"
	// HeaderWait carries the milliseconds after which to come back.
	HeaderWait = "Primrose-Wait"
	// HeaderID names a request in logs.
	HeaderID = "Primrose-Id"
	// HeaderReplay marks the stored answer of an earlier sender.
	HeaderReplay = "Primrose-Replay"

	// headerHop, headerRetries, headerLevel and headerLoad are used between nodes
	// only.
	headerHop     = "Primrose-Hop"
	headerRetries = "Primrose-Retries"
	headerLevel   = "Primrose-Level"
	headerLoad    = "Primrose-Load"

	// headerTeam tells a target which team a request runs for.
	headerTeam = "Primrose-Team"

	headerIdempotency = "Idempotency-Key"
)

// Outcome tells what a refusal says about the request.
type Outcome string

// The outcomes.
const (
	// NotRun says that no byte of the request has gone to a target.
	NotRun Outcome = "notrun"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is one word for why a request was refused.
type Reason string

// The reasons.
const (
	ReasonRequest  Reason = "request"
	ReasonKey      Reason = "key"
	ReasonRoute    Reason = "route"
	ReasonRate     Reason = "rate"
	ReasonLoad     Reason = "load"
	ReasonDeadline Reason = "deadline"
	ReasonPoison   Reason = "poison"
	ReasonTarget   Reason = "target"
	ReasonClaimed  Reason = "claimed"
	ReasonQuorum   Reason = "quorum"
	ReasonContact  Reason = "contact"
	ReasonLost     Reason = "lost"
	// ReasonBehind stands for requests that the version in force does not allow,
	// at a node that knows of a newer one.
	ReasonBehind Reason = "behind"
	// ReasonGone stands for requests whose caller went away before the answer.
	ReasonGone Reason = "gone"
	// ReasonDeclined stands for requests that reached a target, which says that
	// it has not run them.
	ReasonDeclined Reason = "declined"
)

// Refusal is a final answer that this system gives in place of a target.
type Refusal struct {
	Status  int
	Reason  Reason
	Outcome Outcome
	// Wait is when the caller may come back; 0 gives no such advice.
	Wait time.Duration
	Text string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Text) }

// Refuse makes a refusal of a request that was not run.
func Refuse(status int, reason Reason, format string, args ...any) *Refusal {
	return refuse(status, reason, 0, format, args...)
}

func refuse(status int, reason Reason, wait time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Reason: reason, Outcome: NotRun, Wait: wait, Text: fmt.Sprintf(format, args...)}
}

// lost is the answer when a request may have run and its answer is missing.
func lostRefusal(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Reason: ReasonLost, Outcome: Unknown, Text: fmt.Sprintf(format, args...)}
}

// gone ends a request that nobody waits for any more.
func callerGoneRefusal(outcome Outcome) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: ReasonGone, Outcome: outcome, Text: "the caller went away"}
}

// body is the JSON form of a refusal.
type refusalBody struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	Text    string  `json:"text"`
	// Wait in milliseconds.
	Wait int64 `json:"wait,omitempty"`
}

// write sends the refusal at once, with a time to come back that is spread so
// that clients do not return together.
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
	// A caller that has gone away needs no answer.
	_, _ = w.Write(text)
}

// JitteredWait is when a caller may come back, drawn from Wait to twice that.
func (r *Refusal) JitteredWait() time.Duration {
	if r.Wait <= 0 {
		return 0
	}
	return r.Wait + rand.N(r.Wait)
}
