package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxBufferedResponse is the longest body, in bytes, that is read completely
	// before its response is forwarded, so that a response that breaks off can
	// still be replaced by an error or a retry.
	maxBufferedResponse = 64 << 10
	copyBufferBytes     = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// Answer is a target's HTTP response. Its body is buffered or still to be read.
type Answer struct {
	status  int
	header  http.Header
	trailer func() http.Header
	length  int64
	// body is the complete body; it is unset when stream is set.
	body   []byte
	stream io.ReadCloser
	// abort cancels the request whose response body stream reads.
	abort func()
}

// readAnswer removes the connection headers of a response and buffers its body,
// unless the body is long, has an unknown length or is followed by trailers.
func readAnswer(r *http.Response) (*Answer, error) {
	answer := &Answer{status: r.StatusCode, header: r.Header, length: r.ContentLength, stream: r.Body, trailer: func() http.Header { return r.Trailer }}
	for _, name := range connectionHeaders {
		if name != "Trailer" {
			answer.header.Del(name)
		}
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedResponse || len(r.Trailer) > 0 {
		return answer, nil
	}
	body, err := io.ReadAll(r.Body)
	r.Body.Close()
	if err != nil {
		return nil, err
	}
	answer.body, answer.stream = body, nil
	return answer, nil
}

// close releases an answer that is not forwarded.
func (a *Answer) close() {
	if a.stream != nil {
		a.stream.Close()
	}
}

// write forwards the answer to the sender of the request. When the body cannot
// be copied completely, write aborts the connection, so that the receiver does
// not take a truncated body for a complete one.
func (a *Answer) write(x *Exchange) {
	x.responseStarted = true
	h := x.writer.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the content type.
		h["Content-Type"] = nil
	}
	x.announceClose()
	x.writer.WriteHeader(a.status)
	if a.stream == nil {
		if _, err := x.writer.Write(a.body); err != nil && x.request.Method != http.MethodHead && statusAllowsBody(a.status) {
			x.abortResponse()
		}
		return
	}
	defer a.stream.Close()
	if err := copyBody(x.writer, a.stream, a.length < 0, a.abort); err != nil {
		x.abortResponse()
	}
	for name, values := range a.trailer() {
		if !strings.HasPrefix(name, headerPrefix) {
			h[http.TrailerPrefix+name] = values
		}
	}
}

// abortResponse ends a response that has begun and is not complete. net/http closes the
// connection, which to a receiver of HTTP/1.0 would be the end of a complete body of unknown
// length, so such a connection is reset.
func (x *Exchange) abortResponse() {
	if !x.request.ProtoAtLeast(1, 1) {
		c, _, err := http.NewResponseController(x.writer).Hijack()
		if l, ok := c.(interface{ SetLinger(int) error }); ok && err == nil {
			// An error means that the connection has ended already.
			_ = l.SetLinger(0)
			c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
}

// copyBody copies a body of any length, but allows each read and each write at
// most stallTimeout. It calls abort when a read stalls and returns an error when
// a write stalls.
func copyBody(w http.ResponseWriter, r io.Reader, flush bool, abort func()) error {
	stallTimer := time.AfterFunc(stallTimeout, abort)
	defer stallTimer.Stop()
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		stallTimer.Reset(stallTimeout)
		n, err := r.Read(*buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return werr
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			_ = controller.SetWriteDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return err
		}
	}
}
