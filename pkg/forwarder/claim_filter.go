package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/deduplicator"
	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/proto/control"
)

// claimFilter claims the idempotency key of a request that must run at most
// once. It answers later requests with the same key itself.
type claimFilter struct{ forwarder *Forwarder }

// claimRetryDelay is the retry delay for a request whose key is in use or could
// not be claimed.
const claimRetryDelay = time.Second

// Serve implements Filter.
func (c *claimFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.idempotencyKey == "" {
		next(x)
		return
	}
	deps := c.forwarder.deps
	if err := deduplicator.CheckKey(x.idempotencyKey, deps.Clock.Now()); err != nil {
		x.refuse(refuse(http.StatusBadRequest, ReasonClaimed, 0, "%v", err))
		return
	}
	name := deduplicator.ClaimName(x.hop.Team, x.hop.Service, x.idempotencyKey)
	faulter.Reach(faulter.EntryClaiming)
	claim, err := deps.Claimer.Claim(x.Context(), name, x.hop.Digest)
	var claimed *deduplicator.ClaimedError
	switch {
	case err == nil:
		faulter.Reach(faulter.EntryClaimed)
		x.finishClaim = func(r result) { finishClaim(x, claim, r) }
		next(x)
	case errors.As(err, &claimed):
		answerDuplicate(x, claimed)
	default:
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonQuorum, claimRetryDelay, "the key could not be claimed, so the request was not run: %v", err))
	}
}

// finishClaim releases the claim of a request that was not run, and stores the
// answer of one that was. When the outcome is unknown the claim stays, and later
// requests with the key are rejected with outcome unknown.
func finishClaim(x *Exchange, claim *deduplicator.Claim, r result) {
	switch r := r.(type) {
	case *notRunResult:
		claim.Release(x.Context())
	case *answeredResult:
		faulter.Reach(faulter.EntryAnswered)
		claim.Finish(x.Context(), storedAnswer(r.answer))
		faulter.Reach(faulter.EntrySettled)
	case *unknownResult:
	}
}

// storedAnswer returns the form of an answer that the claim's record keeps. An
// answer whose body was not buffered is marked as cut.
func storedAnswer(a *Answer) *control.Answer {
	s := &control.Answer{Status: uint32(a.status), Body: a.body, Cut: a.stream != nil}
	for name, values := range a.header {
		for _, v := range values {
			s.Headers = append(s.Headers, &control.Header{Name: name, Value: v})
		}
	}
	return s
}

// answerDuplicate handles a request whose key is already claimed: it replays the
// stored answer, or rejects the request with what the record shows.
func answerDuplicate(x *Exchange, claimed *deduplicator.ClaimedError) {
	r := claimed.Record
	switch {
	case claimed.Differs:
		x.refuse(refuse(http.StatusUnprocessableEntity, ReasonClaimed, 0, "this idempotency key was used for another request"))
	case r.Done && !r.Answer.GetCut():
		replayAnswer(x, r.Answer)
	case r.Done:
		x.refuse(&Refusal{Status: http.StatusConflict, Reason: ReasonClaimed, Outcome: Unknown,
			Text: "a request with this idempotency key has run; its answer was too long to keep"})
	default:
		x.refuse(&Refusal{Status: http.StatusConflict, Reason: ReasonClaimed, Outcome: Unknown, Wait: claimRetryDelay,
			Text: "a request with this idempotency key is running, or its answer was lost"})
	}
}

func replayAnswer(x *Exchange, a *control.Answer) {
	x.responseStarted = true
	h := x.writer.Header()
	for _, header := range a.Headers {
		h.Add(header.Name, header.Value)
	}
	h.Set(HeaderReplay, "first")
	x.writer.WriteHeader(int(a.Status))
	// A write error means that the caller has disconnected.
	_, _ = x.writer.Write(a.Body)
}
