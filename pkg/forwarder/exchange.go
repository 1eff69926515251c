package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/pkg/shedder"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// maxReplayableBody is the longest body, in bytes, that is buffered, so that
	// a retry can send it to another target.
	maxReplayableBody = 16 << 10
	// stallTimeout is how long a read or a write of a body may make no progress.
	stallTimeout = 30 * time.Second
)

// Exchange is one request and its answer on their way through a chain of
// filters.
type Exchange struct {
	writer    http.ResponseWriter
	request   *http.Request
	config    *enforcer.Config
	startedAt time.Time

	// keyHash is the hash of the caller's key; nil without a key.
	keyHash []byte
	route   *declarer.Route
	parent  *InFlightRequest
	// inferredParent is the probable parent of a call that carries no call id.
	inferredParent *InFlightRequest
	// likelyParent is one of the requests in flight that may have made a call, drawn at
	// random, for a call of which no parent could be inferred.
	likelyParent *InFlightRequest
	hop          *control.Hop
	budget       *retrier.Budget
	// deadline is when the answer must have begun.
	deadline time.Time
	// hasCallerTimeout is set when the caller stated its timeout: it does not read
	// an answer for longer than that.
	hasCallerTimeout bool
	// idempotencyKey is set for requests whose key must be claimed.
	idempotencyKey string
	// bufferedBody is the complete body of a request with a short one. A longer
	// body is streamed and can be sent only once.
	bufferedBody []byte
	streamed     bool
	// bodyPrefix is the beginning of a streamed body of unknown length, which is
	// already in memory.
	bodyPrefix []byte
	// streamedBody is the reader of the streamed body that the latest attempt has got;
	// nil before the first one.
	streamedBody *streamedBody
	// bodyRead is set once a transport, in its own goroutine, has read from the
	// streamed body, and bodyEnded once it has read its end.
	bodyRead, bodyEnded atomic.Bool
	// finishClaim is called with the result of the request before the answer is
	// written; it may be nil.
	finishClaim func(result)
	// cancel cancels the request's context.
	cancel context.CancelFunc
	// atTargetNode is set on the target's node. Only there target and ticket are
	// set.
	atTargetNode bool
	target       *Target
	ticket       *admitter.Ticket
	// responseStarted is set once a response to the sender has begun.
	responseStarted bool
	// rejections counts the attempts that ended before any byte reached a target,
	// for a reason other than "declined"; attemptsSent counts the attempts that
	// were sent to a target's node.
	rejections, attemptsSent int
	// weight is for how many requests this one stands, as the entry node held back the
	// others; see admitter.AdmitWeighted.
	weight float64
	// counted is set on the target's node if another node has rejected the request and
	// counted it as demand.
	counted bool
	// dueAt is when the objective of the request, or of the one that made the call, ends;
	// zero unless Deps.Objectives is set.
	dueAt time.Time
	// decision is what the shed filter decided; unset unless Deps.Chains is set.
	decision shedder.Decision
	// chainCost is what the answers to a root request told.
	chainCost chainCost
	// dialect writes refusals to callers; unused on the target's node.
	dialect Dialect
	// cause is the error because of which there is no answer of the target.
	cause error
	// onRefusal logs a refusal; it is nil once the outcome was logged.
	onRefusal func(*Exchange, *Refusal)
}

// Context returns the context of the request.
func (x *Exchange) Context() context.Context { return x.request.Context() }

// refuse logs a refusal and writes it as the response. When another response has
// begun, it aborts the connection instead.
func (x *Exchange) refuse(r *Refusal) {
	if x.responseStarted {
		x.abortResponse()
	}
	x.responseStarted = true
	if x.onRefusal != nil {
		x.onRefusal(x, r)
	}
	x.announceClose()
	if x.atTargetNode {
		x.setRetriesHeader()
		r.write(x.writer)
		return
	}
	x.dialect.Refuse(x.writer, r)
}

// streamedBodyAllowance extends the deadline of a request with a streamed body
// on a route without an objective, since a long body may take longer than the
// timeout; stallTimeout bounds its transfer instead.
const streamedBodyAllowance = 24 * time.Hour

func (x *Exchange) allowance() time.Duration {
	if x.streamed && x.hop.Objective == 0 {
		return streamedBodyAllowance
	}
	return 0
}

// hasLongBody reports whether a request's body is, or may be, too long to be buffered.
func hasLongBody(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > maxReplayableBody
}

// BufferedBytes returns how much of a request's body is held in memory until it is answered,
// at most. A streamed body is read as fast as it is sent on.
func BufferedBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return maxReplayableBody
	}
	if hasLongBody(r) {
		return 0
	}
	return r.ContentLength
}

// timeLeft returns the time until the deadline.
func (x *Exchange) timeLeft(now time.Time) time.Duration { return x.deadline.Sub(now) }

// bufferBody reads a short body into memory. Of a long body of unknown length it
// reads the beginning, which goes into the request's digest.
func (x *Exchange) bufferBody() error {
	length := x.request.ContentLength
	if length == 0 || x.request.Body == nil || x.request.Body == http.NoBody {
		x.bufferedBody = []byte{}
		return nil
	}
	if length > maxReplayableBody {
		x.streamBody()
		return nil
	}
	if length < 0 {
		return x.bufferUnknownLength()
	}
	bufferedBody := make([]byte, length)
	if _, err := io.ReadFull(newStallReader(x.writer, x.request.Body), bufferedBody); err != nil {
		return err
	}
	x.bufferedBody = bufferedBody
	return nil
}

// bufferUnknownLength reads a body of unknown length, up to one byte more than
// maxReplayableBody.
func (x *Exchange) bufferUnknownLength() error {
	bufferedBody, err := io.ReadAll(io.LimitReader(newStallReader(x.writer, x.request.Body), maxReplayableBody+1))
	if err != nil {
		return err
	}
	if len(bufferedBody) > maxReplayableBody {
		x.bodyPrefix = bufferedBody
		x.streamBody()
		return nil
	}
	x.bufferedBody = bufferedBody
	return nil
}

// nextBody returns the body for one attempt, and its length.
func (x *Exchange) nextBody() (io.ReadCloser, int64) {
	if !x.streamed {
		return opaqueBody{bytes.NewReader(x.bufferedBody)}, int64(len(x.bufferedBody))
	}
	x.streamedBody = &streamedBody{
		exchange: x, reader: io.MultiReader(bytes.NewReader(x.bodyPrefix), x.request.Body),
		controller: http.NewResponseController(x.writer),
	}
	return x.streamedBody, x.request.ContentLength
}

// opaqueBody hides the reader's type, so that the transport cannot rewind the
// body and resend the request by itself.
type opaqueBody struct{ io.Reader }

// Close implements io.Closer.
func (opaqueBody) Close() error { return nil }

// stallReader fails a read that makes no progress within stallTimeout. It does
// not limit the time for the whole body.
type stallReader struct {
	controller *http.ResponseController
	reader     io.Reader
}

func newStallReader(w http.ResponseWriter, r io.Reader) *stallReader {
	return &stallReader{controller: http.NewResponseController(w), reader: r}
}

// Read implements io.Reader.
func (s *stallReader) Read(p []byte) (int, error) {
	// An error means that the writer supports no deadlines, as in tests.
	_ = s.controller.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := s.reader.Read(p)
	if err != nil {
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// digest identifies equal requests, for the quarantine and for claims. It covers
// the team, the host of the route, the method, the URI and the body; of a
// streamed body the length, or the beginning when the length is unknown. It
// leaves out the idempotency key, which may be a new one in each request.
func (x *Exchange) digest(team string) []byte {
	h := sha256.New()
	host, length := "", ""
	if x.route != nil {
		host = x.route.Host
	}
	if x.streamed && x.request.ContentLength >= 0 {
		length = strconv.FormatInt(x.request.ContentLength, 10)
	}
	for _, part := range []string{team, host, x.request.Method, x.request.URL.RequestURI(), length} {
		io.WriteString(h, part)
		h.Write([]byte{0})
	}
	h.Write(x.bufferedBody)
	h.Write(x.bodyPrefix)
	return h.Sum(nil)[:16]
}
