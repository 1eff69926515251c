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
	// lingerPause is how long a sender may pause in that time. One that waits for the
	// end of the answer must not be kept waiting: the end of an answer of unknown length
	// is written when the handler returns.
	lingerPause = 200 * time.Millisecond
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
	exchange *Exchange
	reader   io.Reader

	// reading is held during a read, which may last as long as the sender is silent.
	reading sync.Mutex
	// mu guards detached.
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
	if err == io.EOF {
		b.exchange.bodyEnded.Store(true)
	}
	return n, err
}

// begin records that the body is read from, unless it is detached.
func (b *streamedBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.detached {
		b.exchange.bodyRead.Store(true)
	}
	return !b.detached
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
func (x *Exchange) finishBody() {
	if !x.streamed || x.bodyEnded.Load() {
		return
	}
	controller := http.NewResponseController(x.writer)
	// Errors mean that the sender has disconnected; the reads below fail then.
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(lingerPause))
	if x.streamedBody != nil {
		x.streamedBody.detach()
		// A read in progress ends with the next bytes, or at the deadline. It must not
		// outlast the handler: net/http then spoils the reader of a chunked body.
		x.streamedBody.reading.Lock()
		defer x.streamedBody.reading.Unlock()
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	left, end := maxLingerBytes, time.Now().Add(bodyLinger)
	for left > 0 && time.Now().Before(end) {
		_ = controller.SetReadDeadline(time.Now().Add(lingerPause))
		n, err := x.request.Body.Read(*buffer)
		if err != nil {
			return
		}
		left -= n
	}
}
