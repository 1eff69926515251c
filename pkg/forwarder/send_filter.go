package forwarder

import (
	"context"
	"encoding/base64"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/connector"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/proto/control"
)

// sendFilter chooses a target, sends the request to that target's node, and
// retries within the request's count where that is safe.
type sendFilter struct{ forwarder *Forwarder }

// result is how a request, or one attempt at it, ended. It is sealed: notRun,
// broken and answered are all there is.
type result interface{ isResult() }

// notRun says that no byte has gone to a target.
type notRunResult struct{ refusal *Refusal }

// broken says that the request may have run and its answer is missing.
type unknownResult struct{ refusal *Refusal }

// answered is a target's answer.
type answeredResult struct{ answer *Answer }

func (*notRunResult) isResult()   {}
func (*unknownResult) isResult()  {}
func (*answeredResult) isResult() {}

// noTargetWait is when a caller may come back if a service has no target.
const noTargetRetryDelay = time.Second

// Serve implements Filter.
func (s *sendFilter) Serve(x *Exchange, _ func(*Exchange)) {
	if x.parent != nil {
		x.parent.beginCall(s.now())
		defer func() { x.parent.endCall(s.now()) }()
	}
	s.forwarder.retryBudgets.RecordFirstAttempt(x.hop.Service, s.forwarder.deps.Retries())
	tried := map[string]bool{}
	var lastUnknown *unknownResult
	for {
		a := s.attempt(x, tried)
		if b, ok := a.result.(*unknownResult); ok {
			lastUnknown = b
		}
		if s.shouldRetry(x, a) {
			a.abandon()
			s.forwarder.count("retries")
			continue
		}
		s.respond(x, a, lastUnknown)
		return
	}
}

func (s *sendFilter) now() time.Time { return s.forwarder.deps.Clock.Now() }

// end gives the final answer. After an attempt that may have run, a refusal
// no longer says "not run".
func (s *sendFilter) respond(x *Exchange, a *attempt, lastUnknown *unknownResult) {
	defer a.finish()
	final := a.result
	if _, ok := final.(*notRunResult); ok && lastUnknown != nil {
		final = lastUnknown
	}
	if x.finishClaim != nil {
		x.finishClaim(final)
	}
	if x.parent != nil && callFailed(final) {
		x.parent.markFailedCall()
	}
	s.forwarder.logOutcome(x, a, final, s.now())
	switch r := final.(type) {
	case *answeredResult:
		r.answer.write(x)
	case *notRunResult:
		s.forwarder.count("refused_" + string(r.refusal.Reason))
		x.refuse(r.refusal)
	case *unknownResult:
		s.forwarder.count("lost")
		x.refuse(r.refusal)
	}
}

// unserved tells that a target did not do what it was asked.
func callFailed(r result) bool {
	a, ok := r.(*answeredResult)
	return !ok || routerResultOf(a.answer.status) != router.Succeeded
}

// maxPlacements bounds how many nodes are asked for one request. A refusal by
// a node costs its target nothing.
const maxRejections = 3

// mayRetry tells whether another attempt is safe, useful and within all
// bounds.
func (s *sendFilter) shouldRetry(x *Exchange, a *attempt) bool {
	if x.bodyRead.Load() || x.timeLeft(s.now()) <= 0 || x.Context().Err() != nil || a.target == nil {
		return false
	}
	switch r := a.result.(type) {
	case *notRunResult:
		if r.refusal.Reason != ReasonDeclined {
			x.rejections++
			return x.rejections < maxRejections
		}
	case *answeredResult:
		if !x.hop.Idempotent || !isRetryable(r.answer.status) {
			return false
		}
	case *unknownResult:
		if !x.hop.Idempotent {
			return false
		}
	}
	return s.forwarder.retryBudgets.AllowRetry(x.hop.Service) && x.budget.Take()
}

// worthRetry tells whether another target may do better.
func isRetryable(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

// attempt is one try at one target.
type attempt struct {
	filter    *sendFilter
	target    *control.Entry
	result    result
	startedAt time.Time
	cancel    context.CancelFunc
	// timer bounds the time until the answer has ended.
	timer        *time.Timer
	routerResult router.Result
}

// attempt sends the request once.
func (s *sendFilter) attempt(x *Exchange, tried map[string]bool) *attempt {
	a := &attempt{filter: s, startedAt: s.now(), cancel: func() {}}
	if x.timeLeft(a.startedAt) <= 0 {
		a.result = &notRunResult{refusal: refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline had passed before the request was sent")}
		return a
	}
	a.target = s.forwarder.deps.Router.Choose(s.forwarder.deps.Targets(x.hop.Service), tried)
	if a.target == nil {
		a.result = &notRunResult{refusal: refuse(http.StatusServiceUnavailable, ReasonTarget, noTargetRetryDelay, "no target of service %s is known", x.hop.Service)}
		return a
	}
	tried[a.target.Instance] = true
	a.send(x)
	return a
}

// finish tells the router how the attempt went, once the answer is through.
func (a *attempt) finish() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel()
	if a.target != nil {
		a.filter.forwarder.deps.Router.RecordResult(a.target.Instance, a.routerResult, a.filter.now().Sub(a.startedAt))
	}
}

// giveUp drops an attempt in favour of another one.
func (a *attempt) abandon() {
	if r, ok := a.result.(*answeredResult); ok {
		r.answer.close()
	}
	a.finish()
}

// send does the exchange with the target's node.
func (a *attempt) send(x *Exchange) {
	f := a.filter.forwarder
	ctx, cancel := context.WithCancelCause(x.Context())
	a.cancel = func() { cancel(context.Canceled) }
	a.timer = a.startTimer(x, cancel)
	delegated := x.budget.Delegate()
	request := a.request(ctx, x, delegated)
	x.attemptsSent++
	response, sent, err := f.roundTrip(ctx, request)
	if err != nil {
		a.timer.Stop()
		a.handleError(x, sent, err, context.Cause(ctx))
		return
	}
	// The target's node bounds the rest of a short answer; this is for a node
	// that falls silent.
	a.timer.Reset(x.timeLeft(a.filter.now()) + x.allowance() + 2*bodyGrace)
	a.handleResponse(x, response, delegated)
	if !x.hasCallerTimeout {
		a.timer.Stop()
	}
}

// roundTrip sends a request to another node. Without an answer it tells whether
// a byte of the request may have gone out.
func (f *Forwarder) roundTrip(ctx context.Context, r *http.Request) (response *http.Response, maySent bool, err error) {
	if r.ContentLength == 0 && f.deps.PeerConnector != nil {
		r.Body = nil
		response, err := f.deps.PeerConnector.Do(ctx, r.URL.Host, r, nil)
		var connectorErr *connector.Error
		return response, !errors.As(err, &connectorErr) || connectorErr.Sent, err
	}
	trace := &sendTracker{}
	preventReplay(r)
	response, err = f.deps.PeerTransport.RoundTrip(r.WithContext(trace.trace(ctx)))
	return response, trace.any(), err
}

// errDeadline is the cause of a cancelled attempt whose time is over.
var errDeadlinePassed = errors.New("deadline passed")

// startTimer bounds the time to the beginning of the answer. For a streamed
// body the time counts from its end, since it is never cut for its length.
func (a *attempt) startTimer(x *Exchange, cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(x.timeLeft(a.startedAt)+x.allowance(), func() { cancel(errDeadlinePassed) })
}

func (a *attempt) request(ctx context.Context, x *Exchange, retries uint32) *http.Request {
	hop := proto.Clone(x.hop).(*control.Hop)
	hop.Timeout = x.timeLeft(a.startedAt).Microseconds()
	hop.Retries = retries
	body, length := x.nextBody()
	header := x.request.Header.Clone()
	header.Set(headerHop, encodeHop(hop))
	if x.streamed {
		header.Set("Expect", "100-continue")
	}
	r := &http.Request{
		Method: x.request.Method, Host: x.request.Host, Header: header, Body: body, ContentLength: length,
		URL:   &url.URL{Scheme: a.filter.forwarder.deps.PeerScheme, Host: a.target.Address, Path: x.request.URL.Path, RawPath: x.request.URL.RawPath, RawQuery: x.request.URL.RawQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return r.WithContext(ctx)
}

func encodeHop(h *control.Hop) string {
	raw, err := proto.Marshal(h)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// fail takes an attempt that got no answer.
func (a *attempt) handleError(x *Exchange, sent bool, err, cause error) {
	a.routerResult = router.Failed
	deadlinePassed := errors.Is(cause, errDeadlinePassed)
	if x.Context().Err() != nil {
		a.routerResult = router.Succeeded
	}
	switch {
	case !deadlinePassed && x.Context().Err() != nil && sent:
		a.result = &unknownResult{refusal: callerGoneRefusal(Unknown)}
	case !deadlinePassed && x.Context().Err() != nil:
		a.result = &notRunResult{refusal: callerGoneRefusal(NotRun)}
	case !sent && deadlinePassed:
		a.result = &notRunResult{refusal: refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline passed before the request was sent")}
	case !sent:
		a.routerResult = router.Unreachable
		a.result = &notRunResult{refusal: refuse(http.StatusServiceUnavailable, ReasonTarget, noTargetRetryDelay, "the node of instance %s cannot be reached", a.target.Instance)}
	case deadlinePassed:
		a.result = &unknownResult{refusal: lostRefusal(http.StatusGatewayTimeout, "the deadline passed before the answer came")}
	default:
		if errors.Is(err, syscall.ETIMEDOUT) {
			a.routerResult = router.Unreachable
		}
		a.result = &unknownResult{refusal: lostRefusal(http.StatusBadGateway, "the connection to instance %s broke before the answer came", a.target.Instance)}
	}
	a.filter.forwarder.logAttempt(x, a, err)
}

// take handles what the target's node has answered.
func (a *attempt) handleResponse(x *Exchange, r *http.Response, delegated uint32) {
	f := a.filter.forwarder
	if f.deps.CountBytes != nil {
		f.deps.CountBytes(a.target.Centre, max(x.request.ContentLength, 0)+max(r.ContentLength, 0))
	}
	if left, err := strconv.ParseUint(r.Header.Get(headerRetries), 10, 32); err == nil {
		x.budget.Return(min(uint32(left), delegated))
	}
	if level, err := strconv.ParseUint(r.Header.Get(headerLevel), 10, 16); err == nil {
		f.recordLevel(x, admitter.Priority(level), a.filter.now())
	}
	if load, err := strconv.Atoi(r.Header.Get(headerLoad)); err == nil {
		f.deps.Router.RecordLoad(a.target.Instance, float64(load)/100)
	}
	switch Outcome(r.Header.Get(HeaderOutcome)) {
	case NotRun:
		a.routerResult = router.Shed
		a.result = &notRunResult{refusal: readRefusal(r, NotRun)}
		r.Body.Close()
	case Unknown:
		a.routerResult = router.Failed
		a.result = &unknownResult{refusal: readRefusal(r, Unknown)}
		r.Body.Close()
	default:
		a.acceptResponse(x, r)
	}
}

// hearLevel notes which requests the target's node, or a service that it
// calls, would rather see refused at the entry.
func (f *Forwarder) recordLevel(x *Exchange, level admitter.Priority, now time.Time) {
	f.shedLevels.record(shedKeyOf(x), rejectedHashes(level, x.hop.Rank), now)
	switch {
	case x.parent != nil:
		x.parent.raiseLevel(level)
	case x.inferredParent != nil:
		x.inferredParent.raiseLevel(level)
	case x.hop.Call:
		f.inFlightTable.raiseLevels(x.route.Name, level)
	}
}

// refusedHashes is how many of the hashes of root requests are below a level,
// for requests of a rank at the entry. Calls of these requests further down are
// above it as long as the entry node can do its part.
func rejectedHashes(level admitter.Priority, rank uint32) int {
	return min(max(int(level)-int(admitter.NewPriority(rank, false, 0)), 0), rootHashCount)
}

func (a *attempt) acceptResponse(x *Exchange, r *http.Response) {
	removePrefixedHeaders(r.Header)
	answer, err := readAnswer(r)
	if err != nil {
		a.routerResult = router.Failed
		a.result = &unknownResult{refusal: lostRefusal(http.StatusBadGateway, "the answer of instance %s ended early", a.target.Instance)}
		return
	}
	answer.abort = a.cancel
	a.routerResult = routerResultOf(r.StatusCode)
	a.result = &answeredResult{answer: answer}
}

func routerResultOf(status int) router.Result {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return router.Shed
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return router.Failed
	}
	return router.Succeeded
}

// refusalOf reads a refusal that another node has given.
func readRefusal(r *http.Response, outcome Outcome) *Refusal {
	wait, err := strconv.ParseInt(r.Header.Get(HeaderWait), 10, 64)
	if err != nil {
		wait = 0
	}
	return &Refusal{
		Status: r.StatusCode, Reason: Reason(r.Header.Get(HeaderReason)), Outcome: outcome,
		// The other node has spread the time; half of it is spread again.
		Wait: time.Duration(wait) * time.Millisecond / 2,
		Text: "refused at the target's node",
	}
}
