package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// smallBody is the longest body that is held in memory, so that it can be
	// sent again to another target.
	maxReplayableBody = 16 << 10
	// stallTime is how long a body may make no progress.
	stallTimeout = 30 * time.Second
)

// Exchange is one request on its way through a chain of filters.
type Exchange struct {
	writer    http.ResponseWriter
	request   *http.Request
	config    *enforcer.Config
	startedAt time.Time

	// keyHash is the hash of the key that the caller presented.
	keyHash []byte
	route   *declarer.Route
	parent  *InFlightRequest
	// likely is the inferred parent of a call that names none.
	inferredParent *InFlightRequest
	hop            *control.Hop
	budget         *retrier.Budget
	// deadline is when the answer must have begun.
	deadline time.Time
	// stated tells that the caller has said how long it waits: it does not read
	// an answer for longer.
	hasCallerTimeout bool
	// idempotencyKey is set for requests that must be claimed.
	idempotencyKey string
	// content is the whole body, when it is small; otherwise the body is
	// streamed and can be sent once.
	bufferedBody []byte
	streamed     bool
	// prefix is the beginning of a streamed body that is in memory already.
	bodyPrefix []byte
	// touched tells that the streamed body has been read from, by the
	// transport in its own time.
	bodyRead atomic.Bool
	// conclude is called with how the request ended, before the answer goes
	// out; it may be nil.
	finishClaim func(result)
	// cancel ends the request's context.
	cancel context.CancelFunc
	// atTarget tells that this is the target's node; target and ticket are set
	// there.
	atTargetNode bool
	target       *Target
	ticket       *admitter.Ticket
	// answered tells that an answer has begun.
	responseStarted bool
	// placements counts the nodes that refused the request, sends those that
	// it was sent to.
	rejections, attemptsSent int
	// dialect writes refusals to callers.
	dialect Dialect
	// cause is why there is no answer of a target.
	cause error
	// told logs a refusal; nil once the end was logged.
	onRefusal func(*Exchange, *Refusal)
}

// Context is the context of the request.
func (x *Exchange) Context() context.Context { return x.request.Context() }

// refuse ends the exchange with a refusal.
func (x *Exchange) refuse(r *Refusal) {
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	x.responseStarted = true
	if x.onRefusal != nil {
		x.onRefusal(x, r)
	}
	if x.atTargetNode {
		x.setRetriesHeader()
		r.write(x.writer)
		return
	}
	x.dialect.Refuse(x.writer, r)
}

// streamAllowance is added to the deadline of a request with a long body that
// declares no objective; the body itself is guarded by its progress.
const streamedBodyAllowance = 24 * time.Hour

func (x *Exchange) allowance() time.Duration {
	if x.streamed && x.hop.Objective == 0 {
		return streamedBodyAllowance
	}
	return 0
}

// left is the time until the deadline.
func (x *Exchange) timeLeft(now time.Time) time.Duration { return x.deadline.Sub(now) }

// readSmall takes a small body into memory. Of a long one whose length is not
// known it takes the beginning, which names the request.
func (x *Exchange) bufferBody() error {
	length := x.request.ContentLength
	if length == 0 || x.request.Body == nil || x.request.Body == http.NoBody {
		x.bufferedBody = []byte{}
		return nil
	}
	if length > maxReplayableBody {
		x.streamed = true
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

// readUnknown reads a body of unknown length up to the bound for small ones.
func (x *Exchange) bufferUnknownLength() error {
	bufferedBody, err := io.ReadAll(io.LimitReader(newStallReader(x.writer, x.request.Body), maxReplayableBody+1))
	if err != nil {
		return err
	}
	if len(bufferedBody) > maxReplayableBody {
		x.streamed, x.bodyPrefix = true, bufferedBody
		return nil
	}
	x.bufferedBody = bufferedBody
	return nil
}

// nextBody returns the body for one attempt.
func (x *Exchange) nextBody() (io.ReadCloser, int64) {
	if !x.streamed {
		return opaqueBody{bytes.NewReader(x.bufferedBody)}, int64(len(x.bufferedBody))
	}
	rest := newStallReader(x.writer, x.request.Body)
	return &trackedBody{exchange: x, reader: io.MultiReader(bytes.NewReader(x.bodyPrefix), rest)}, x.request.ContentLength
}

// plainBody hides the reader's type, so that the transport cannot rewind it
// and send a request again by itself.
type opaqueBody struct{ io.Reader }

// Close implements io.Closer.
func (opaqueBody) Close() error { return nil }

// touchBody notes that a streamed body has been read from.
type trackedBody struct {
	exchange *Exchange
	reader   io.Reader
	once     sync.Once
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.once.Do(func() { b.exchange.bodyRead.Store(true) })
	return b.reader.Read(p)
}

// Close implements io.Closer; the server closes the caller's body.
func (b *trackedBody) Close() error { return nil }

// stallReader cuts a sender that makes no progress, but never one that does,
// however long the body is.
type stallReader struct {
	controller *http.ResponseController
	reader     io.Reader
}

func newStallReader(w http.ResponseWriter, r io.Reader) *stallReader {
	return &stallReader{controller: http.NewResponseController(w), reader: r}
}

// Read implements io.Reader.
func (s *stallReader) Read(p []byte) (int, error) {
	// A writer without deadlines, as in tests, has no slow senders either.
	_ = s.controller.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := s.reader.Read(p)
	if err != nil {
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// digest names a request for the search for crash causes and for claims: the
// same team, host of the route, method, path and body give the same digest. Of a
// long body its length or its beginning counts. The idempotency key does not: a
// caller may take another one each time.
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
