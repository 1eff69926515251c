package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// bodyLinger is how long the rest of a body is read after its request was answered:
	// a connection that is closed with unread bytes is reset, and its caller may lose
	// the answer.
	bodyLinger = 2 * time.Second
	// lingerPause is how long a sender may pause in that time if the answer has no known
	// length. Its end is written when the handler returns, and a sender that waits for it
	// must not be kept waiting.
	lingerPause = 500 * time.Millisecond
	// maxLingerBytes bounds how much of that rest is read.
	maxLingerBytes = 16 << 20
)

// errBodyDetached is the error of reads by a transport that no longer owns a body.
var errBodyDetached = errors.New("the body is no longer sent")

// streamBody makes the request's body one that is streamed. Its sender may be answered
// before the body has ended, while a transport still reads it: by default net/http would
// read it too, to its end, and the transport would go on behind a gap.
func (x *Exchange) streamBody() {
	x.streamed = true
	// An error means that the writer reads no bodies itself, as in tests.
	_ = http.NewResponseController(x.writer).EnableFullDuplex()
}

// announceClose tells the sender of a streamed body that has not ended that its
// connection ends with the response: the rest of the body stands there in place of the
// next request.
func (x *Exchange) announceClose() {
	if x.streamed && !x.bodyEnded.Load() {
		x.writer.Header().Set("Connection", "close")
	}
}

// streamedBody lends the stream of a request's body to the transport of one attempt, the
// only reader until it is detached.
type streamedBody struct {
	exchange   *Exchange
	reader     io.Reader
	controller *http.ResponseController

	// reading is held during a read, which may last as long as the sender is silent.
	reading sync.Mutex
	// mu guards detached, and the deadline of reads until then.
	mu       sync.Mutex
	detached bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.begin() {
		return 0, errBodyDetached
	}
	n, err := b.reader.Read(p)
	b.end(err)
	return n, err
}

// begin records that the body is read from, and bounds the read, unless the body is
// detached.
func (b *streamedBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detached {
		return false
	}
	b.exchange.bodyRead.Store(true)
	// An error means that the writer supports no deadlines, as in tests.
	_ = b.controller.SetReadDeadline(time.Now().Add(stallTimeout))
	return true
}

// end records the end of the body, and lifts the bound after the last read.
func (b *streamedBody) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == io.EOF {
		b.exchange.bodyEnded.Store(true)
	}
	if err != nil && !b.detached {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
}

// detach ends the loan: later reads fail, so that nothing that follows a gap is sent.
func (b *streamedBody) detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
}

// Close implements io.Closer. It does nothing: the HTTP server closes the body.
func (b *streamedBody) Close() error { return nil }

// reclaimBody ends the loan to the transport of a failed attempt, and reports whether the
// body is still whole, so that another attempt can send it.
func (x *Exchange) reclaimBody() bool {
	if x.streamedBody != nil {
		x.streamedBody.detach()
	}
	return !x.bodyRead.Load()
}

// finishBody ends the loan of a streamed body whose request was answered early, and reads
// the rest as long as it keeps coming, so that the sender finds the answer.
func (x *Exchange) finishBody(now time.Time) {
	if !x.streamed || x.bodyEnded.Load() {
		return
	}
	controller := http.NewResponseController(x.writer)
	// Errors mean that the sender has disconnected; the reads below fail then.
	_ = controller.Flush()
	pause, linger := x.lingerTimes(now)
	if x.streamedBody != nil {
		x.streamedBody.detach()
		_ = controller.SetReadDeadline(time.Now().Add(pause))
		// A read in progress ends with the next bytes, or at the deadline. It must not
		// outlast the handler: net/http then spoils the reader of a chunked body.
		x.streamedBody.reading.Lock()
		defer x.streamedBody.reading.Unlock()
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	left, end := maxLingerBytes, time.Now().Add(linger)
	for left > 0 && time.Now().Before(end) {
		_ = controller.SetReadDeadline(time.Now().Add(pause))
		n, err := x.request.Body.Read(*buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// lingerTimes returns how long the sender may pause while the rest of its body is read,
// and how long that lasts. An entry node passes an answer on as fast as its caller reads,
// and closes the connection after that.
func (x *Exchange) lingerTimes(now time.Time) (pause, linger time.Duration) {
	if x.writer.Header().Get("Content-Length") == "" {
		return lingerPause, bodyLinger
	}
	linger = bodyLinger
	if x.atTargetNode {
		linger = max(linger, x.timeLeft(now)+bodyGrace)
	}
	return linger, linger
}
