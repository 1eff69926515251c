package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// wholeBody is the longest answer that is read whole before it is passed
	// on, so that a broken one can still be replaced.
	maxBufferedResponse = 64 << 10
	copyBufferBytes     = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// Answer is a target's answer, or its beginning.
type Answer struct {
	status  int
	header  http.Header
	trailer func() http.Header
	length  int64
	// content is the body when it was read whole, otherwise rest has it.
	body   []byte
	stream io.ReadCloser
	// abort ends the exchange that rest comes from.
	abort func()
}

// readAnswer takes a response and reads a short body whole.
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

// close gives up an answer that is not passed on.
func (a *Answer) close() {
	if a.stream != nil {
		a.stream.Close()
	}
}

// write passes the answer on. When the rest does not come whole, the
// connection is aborted so that nobody takes the part for the whole.
func (a *Answer) write(x *Exchange) {
	x.responseStarted = true
	h := x.writer.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	x.writer.WriteHeader(a.status)
	if a.stream == nil {
		if _, err := x.writer.Write(a.body); err != nil && x.request.Method != http.MethodHead && statusAllowsBody(a.status) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	defer a.stream.Close()
	if err := copyBody(x.writer, a.stream, a.length < 0, a.abort); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.trailer() {
		if !strings.HasPrefix(name, headerPrefix) {
			h[http.TrailerPrefix+name] = values
		}
	}
}

func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= 200
}

// copyBody copies with a deadline on progress, not on length: a sender that
// stalls is aborted, a receiver that stalls gets an error.
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
