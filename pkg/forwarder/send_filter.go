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
	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/proto/control"
)

// sendFilter chooses a target, sends the request to the target's node, and retries
// within the retry budgets where that is safe.
type sendFilter struct{ forwarder *Forwarder }

// result is the result of a request or of one attempt: a *notRunResult, an
// *unknownResult or an *answeredResult.
type result interface{ isResult() }

// notRunResult is the result when the request did not run on a target.
type notRunResult struct{ refusal *Refusal }

// unknownResult is the result when the request may have run and its answer is
// missing.
type unknownResult struct{ refusal *Refusal }

// answeredResult is the result when the target answered.
type answeredResult struct{ answer *Answer }

func (*notRunResult) isResult()   {}
func (*unknownResult) isResult()  {}
func (*answeredResult) isResult() {}

// noTargetRetryDelay is the retry delay for a request whose service has no
// reachable target, or whose target declined it.
const noTargetRetryDelay = time.Second

// Serve implements Filter.
func (s *sendFilter) Serve(x *Exchange, _ func(*Exchange)) {
	if x.parent != nil {
		x.parent.beginCall(s.now())
		defer func() { x.parent.endCall(s.now()) }()
	}
	s.forwarder.retryBudgets.RecordFirstAttempt(x.hop.Service, s.forwarder.deps.Retries())
	s.awaitTargets(x)
	tried := map[string]bool{}
	var lastUnknown *unknownResult
	for {
		a := s.attempt(x, tried)
		if u, ok := a.result.(*unknownResult); ok {
			lastUnknown = u
		}
		if s.shouldRetry(x, a, tried) && x.reclaimBody() {
			if r, ok := a.result.(*answeredResult); ok {
				// It has run there, whatever becomes of the later attempts.
				lastUnknown = &unknownResult{refusal: lostRefusal(http.StatusBadGateway, "instance %s answered with status %d, and no other target took the request", a.target.Instance, r.answer.status)}
			}
			a.abandon()
			s.forwarder.count("retries")
			continue
		}
		s.respond(x, a, lastUnknown)
		return
	}
}

// awaitTargets waits, on a node that starts, until a target of the service is known.
func (s *sendFilter) awaitTargets(x *Exchange) {
	known := func() bool { return len(s.forwarder.deps.Targets(x.hop.Service)) > 0 }
	if !known() {
		s.forwarder.awaitStart(x, known)
	}
}

func (s *sendFilter) now() time.Time { return s.forwarder.deps.Clock.Now() }

// respond writes the final answer. When an earlier attempt may have run, it does
// not report the request as not run but gives that attempt's refusal.
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
	if r, ok := final.(*notRunResult); ok && r.refusal.Reason == ReasonLimit {
		s.forwarder.recordLevel(x, a.pacedLevel, s.now())
	}
	s.forwarder.recordChainOutcome(x, final, s.now())
	s.forwarder.logOutcome(x, a, final, s.now())
	switch r := final.(type) {
	case *answeredResult:
		r.answer.write(x)
	case *notRunResult:
		s.forwarder.count("refused_" + string(r.refusal.Reason))
		x.refuse(s.forwarder.capWait(x, r.refusal, s.now()))
	case *unknownResult:
		s.forwarder.count("lost")
		x.refuse(r.refusal)
	}
}

// callFailed reports whether a request was rejected, was lost, or was answered with
// an overload or failure status.
func callFailed(r result) bool {
	a, ok := r.(*answeredResult)
	return !ok || routerResultOf(a.answer.status) != router.Succeeded
}

// maxRejections is the number of nodes that may reject one request, or be out of
// reach, until the rejection is final. These attempts take nothing from the retry
// budgets, since they cost the targets no work.
const maxRejections = 3

// shouldRetry reports whether another attempt is safe, useful and within its bound:
// maxRejections after a rejection that cost the target nothing, otherwise the retry
// budgets of the service and of the request, from which it takes one retry. A target
// that rejected the request because of its limit is not asked again, nor one in a data
// centre that is drained; the latter counts nowhere. After a rejection for lack of capacity
// targets that have just told of a full queue are not asked: a rejection costs their nodes
// about as much processor time as a request that is served.
func (s *sendFilter) shouldRetry(x *Exchange, a *attempt, tried map[string]bool) bool {
	if x.bodyRead.Load() || x.timeLeft(s.now()) <= 0 || x.Context().Err() != nil || a.target == nil {
		return false
	}
	switch r := a.result.(type) {
	case *notRunResult:
		if r.refusal.Reason == ReasonDrained {
			return s.passOverCentre(x, a.target.Centre, tried)
		}
		if a.routerResult == router.Abandoned {
			// This node stops, or has no connection left: another target would not help.
			return false
		}
		if r.refusal.Reason != ReasonDeclined {
			x.rejections++
			if r.refusal.Reason == ReasonLimit && !s.forwarder.deps.Router.HasUntried(s.forwarder.deps.Targets(x.hop.Service), tried) {
				return false
			}
			if r.refusal.Reason == ReasonLoad && !s.forwarder.deps.Router.MayHaveRoom(s.forwarder.deps.Targets(x.hop.Service), tried) {
				s.forwarder.count("full_not_asked")
				return false
			}
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

// isRetryable reports whether another target may succeed after this status.
func isRetryable(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

// attempt is one attempt to have a target serve the request.
type attempt struct {
	filter *sendFilter
	target *control.Entry
	// cause is what decided the choice of the target, if that is by the expected time
	// of completion.
	cause     router.Cause
	result    result
	startedAt time.Time
	cancel    context.CancelFunc
	// timer bounds the time until the answer has begun and, if the caller stated a
	// timeout, until it has ended.
	timer        *time.Timer
	routerResult router.Result
	// pacedLevel is the admission level that came with a rejection because of the
	// target's limit.
	pacedLevel admitter.Priority
}

// attempt chooses a target that is not in tried, and sends the request once.
func (s *sendFilter) attempt(x *Exchange, tried map[string]bool) *attempt {
	a := &attempt{filter: s, startedAt: s.now(), cancel: func() {}}
	if r := s.forwarder.refuseAttempt(x, a.startedAt); r != nil {
		a.result = &notRunResult{refusal: r}
		return a
	}
	if x.timeLeft(a.startedAt) <= 0 {
		a.result = &notRunResult{refusal: refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline had passed before the request was sent")}
		return a
	}
	a.target, a.cause = s.forwarder.deps.Router.Place(s.forwarder.deps.Targets(x.hop.Service), tried)
	if a.target == nil {
		if r := s.forwarder.drainRefusal(x.hop.Service); r != nil {
			a.result = &notRunResult{refusal: r}
			return a
		}
		a.result = &notRunResult{refusal: refuse(http.StatusServiceUnavailable, ReasonTarget, noTargetRetryDelay, "no target of service %s is known", x.hop.Service)}
		return a
	}
	tried[a.target.Instance] = true
	if a.cause.Leaves() {
		s.forwarder.count(leftEvent(a.cause))
	}
	a.send(x)
	return a
}

// finish releases the attempt and reports its result to the router. It is called
// after the answer has been written.
func (a *attempt) finish() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel()
	if a.target != nil {
		a.filter.forwarder.deps.Router.RecordResult(a.target.Instance, a.routerResult, a.filter.now().Sub(a.startedAt))
	}
}

// abandon ends an attempt before the next one.
func (a *attempt) abandon() {
	if r, ok := a.result.(*answeredResult); ok {
		r.answer.close()
	}
	a.finish()
}

// send sends the hop to the target's node and handles the response.
func (a *attempt) send(x *Exchange) {
	f := a.filter.forwarder
	ctx, cancel := context.WithCancelCause(x.Context())
	a.cancel = func() { cancel(context.Canceled) }
	a.timer = a.startTimer(x, cancel)
	delegated := x.budget.Delegate()
	request := a.request(ctx, x, delegated)
	x.attemptsSent++
	response, sent, err := f.roundTrip(ctx, request)
	took := a.filter.now().Sub(a.startedAt)
	if err != nil {
		a.timer.Stop()
		a.handleError(x, sent, err, context.Cause(ctx))
		f.deps.Router.RecordNoAnswer(a.target.Instance, a.routerResult, took)
		return
	}
	f.deps.Router.RecordAnswer(a.target.Instance, took)
	// The target's node itself bounds the time for a short answer's body; this
	// timer covers a node that stops responding.
	a.timer.Reset(x.timeLeft(a.filter.now()) + x.allowance() + 2*bodyGrace)
	a.handleResponse(x, response, delegated, took)
	if !x.hasCallerTimeout {
		a.timer.Stop()
	}
}

// roundTrip sends a request to another node. With an error, maySent reports
// whether any byte of the request may have been sent.
func (f *Forwarder) roundTrip(ctx context.Context, r *http.Request) (response *http.Response, maybeSent bool, err error) {
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

// errDeadlinePassed is the cancellation cause of an attempt or a delivery whose
// deadline passed.
var errDeadlinePassed = errors.New("deadline passed")

// startTimer bounds the time until the answer begins, by the deadline and the
// allowance for a streamed body.
func (a *attempt) startTimer(x *Exchange, cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(x.timeLeft(a.startedAt)+x.allowance(), func() { cancel(errDeadlinePassed) })
}

func (a *attempt) request(ctx context.Context, x *Exchange, retries uint32) *http.Request {
	hop := proto.Clone(x.hop).(*control.Hop)
	hop.Timeout = x.timeLeft(a.startedAt).Microseconds()
	hop.Retries = retries
	hop.Sender = a.filter.forwarder.sender
	body, length := x.nextBody()
	header := x.request.Header.Clone()
	header.Set(headerHop, encodeHop(hop))
	setWeightHeader(header, x)
	setLeftHeader(header, x, a.startedAt)
	life, s := a.filter.forwarder.deps.Router.Statement(a.target.Instance)
	setStatementHeaders(header, life, s)
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

// handleError sets the result of an attempt that got no response. When the caller
// disconnected, the router does not count it as a failure of the target.
func (a *attempt) handleError(x *Exchange, sent bool, err, cause error) {
	a.routerResult = router.Failed
	deadlinePassed := errors.Is(cause, errDeadlinePassed)
	switch {
	case x.Context().Err() != nil:
		a.routerResult = router.Abandoned
	case deadlinePassed:
		a.routerResult = router.Expired
	}
	switch {
	case !deadlinePassed && x.Context().Err() != nil && sent:
		a.result = &unknownResult{refusal: callerGoneRefusal(Unknown)}
	case !deadlinePassed && x.Context().Err() != nil:
		a.result = &notRunResult{refusal: callerGoneRefusal(NotRun)}
	case !sent && deadlinePassed:
		a.result = &notRunResult{refusal: refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline passed before the request was sent")}
	case !sent && isFull(err):
		// No target would be reached, and none is to blame.
		a.routerResult = router.Abandoned
		a.result = &notRunResult{refusal: connectionsRefusal(err)}
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

// isFull reports whether this node may open no more connections.
func isFull(err error) bool {
	var full *dialer.FullError
	return errors.As(err, &full)
}

// connectionsRefusal returns the refusal for a request that needs a connection which this
// node may not open.
func connectionsRefusal(err error) *Refusal {
	return refuse(http.StatusServiceUnavailable, ReasonLoad, shedRetryDelay, "this node: %v", err)
}

// handleResponse handles the response of the target's node: a refusal or the
// target's answer. It also reads the unused retries, the admission level, the load
// and the work from the headers. took is the time until the response began.
func (a *attempt) handleResponse(x *Exchange, r *http.Response, delegated uint32, took time.Duration) {
	f := a.filter.forwarder
	if f.deps.CountBytes != nil {
		f.deps.CountBytes(a.target.Centre, max(x.request.ContentLength, 0)+max(r.ContentLength, 0))
	}
	if left, err := strconv.ParseUint(r.Header.Get(headerRetries), 10, 32); err == nil {
		x.budget.Return(min(uint32(left), delegated))
	}
	isPaced := Reason(r.Header.Get(HeaderReason)) == ReasonLimit
	if level, err := strconv.ParseUint(r.Header.Get(headerLevel), 10, 16); err == nil && isPaced {
		// Another target may still take the request, see respond.
		a.pacedLevel = admitter.Priority(level)
	} else if err == nil {
		f.recordLevel(x, admitter.Priority(level), a.filter.now())
	}
	if load, err := strconv.Atoi(r.Header.Get(headerLoad)); err == nil {
		f.deps.Router.RecordLoad(a.target.Instance, float64(load)/100)
	}
	if work, ok := readWork(r.Header.Get(headerWork)); ok {
		f.deps.Router.RecordWork(a.target.Instance, work, took)
	}
	a.recordPeerStatement(x, r.Header)
	f.recordCost(x, r.Header)
	a.recordPeerCold(r.Header)
	switch Outcome(r.Header.Get(HeaderOutcome)) {
	case NotRun:
		refusal := readRefusal(r, NotRun)
		a.routerResult = router.Shed
		switch refusal.Reason {
		case ReasonLimit:
			a.routerResult = router.Paced
			f.deps.Router.RecordPaced(a.target.Instance, refusal.JitteredWait())
		case ReasonDrained:
			a.routerResult = router.Drained
			f.logUnknownDrain(x, a)
		case ReasonRelease:
			a.routerResult = router.Abandoned
			if stop := f.stop(); stop != nil {
				refusal = stop.refusal(a.filter.now())
			}
		}
		a.result = &notRunResult{refusal: refusal}
		r.Body.Close()
	case Unknown:
		a.routerResult = router.Failed
		a.result = &unknownResult{refusal: readRefusal(r, Unknown)}
		r.Body.Close()
	default:
		a.acceptResponse(x, r)
	}
}

// recordLevel records the admission level that came back from the target's node,
// for shedding at the entry. For a call, it also raises the level of the request
// that made the call.
func (f *Forwarder) recordLevel(x *Exchange, level admitter.Priority, now time.Time) {
	rejected := rejectedHashes(level, x.hop.Rank)
	switch {
	case f.deps.Chains == nil:
		f.shedLevels.record(shedKeyOf(x), rejected, now)
	case !x.hop.Call:
		f.deps.Chains.RecordLevel(chainKeyOf(x), float64(rejected)/rootHashCount, now)
	}
	switch {
	case x.parent != nil:
		x.parent.raiseCalleeLevel(x.hop.Service, level)
	case x.inferredParent != nil:
		x.inferredParent.raiseCalleeLevel(x.hop.Service, level)
	case x.hop.Call:
		f.inFlightTable.raiseCalleeLevels(x.route.Name, x.hop.Service, level)
	}
}

// rejectedHashes returns how many of the rootHashCount hash values of root requests
// an admission level excludes, for requests of a rank at the entry. The calls of
// requests that pass the entry have a higher priority, so that they stay above the
// level as long as shedding at the entry suffices.
func rejectedHashes(level admitter.Priority, rank uint32) int {
	return min(max(int(level)-int(admitter.NewPriority(rank, false, 0)), 0), rootHashCount)
}

// acceptResponse sets the result of an attempt that the target answered.
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

// routerResultOf returns how the router counts an answer with a status.
func routerResultOf(status int) router.Result {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return router.Shed
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return router.Failed
	}
	return router.Succeeded
}

// readRefusal returns the refusal in the response of a target's node.
func readRefusal(r *http.Response, outcome Outcome) *Refusal {
	wait, err := strconv.ParseInt(r.Header.Get(HeaderWait), 10, 64)
	if err != nil {
		wait = 0
	}
	return &Refusal{
		Status: r.StatusCode, Reason: Reason(r.Header.Get(HeaderReason)), Outcome: outcome,
		// The other node has already jittered the delay, up to twice its length, and
		// this node does so again; halving it makes up for that.
		Wait: time.Duration(wait) * time.Millisecond / 2,
		Text: "refused at the target's node",
	}
}
