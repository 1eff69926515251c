package forwarder

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newUpload returns an exchange with a body that is streamed, and the rest of that body.
func newUpload(t *testing.T) (*Exchange, *strings.Reader) {
	source := strings.NewReader(strings.Repeat("a", 2*maxReplayableBody))
	r := httptest.NewRequest(http.MethodPost, "/x", source)
	x := &Exchange{writer: httptest.NewRecorder(), request: r}
	qt.Assert(t, x.bufferBody(), qt.IsNil)
	qt.Assert(t, x.streamed, qt.IsTrue)
	return x, source
}

// TestFormerAttemptReadsBody guards against a transport of a failed attempt that reads
// from the body after the next attempt has got it.
func TestFormerAttemptReadsBody(t *testing.T) {
	x, source := newUpload(t)
	former, _ := x.nextBody()
	qt.Assert(t, x.reclaimBody(), qt.IsTrue)
	_, err := former.Read(make([]byte, 10))
	qt.Assert(t, errors.Is(err, errBodyDetached), qt.IsTrue)
	qt.Assert(t, source.Len(), qt.Equals, 2*maxReplayableBody)
	next, _ := x.nextBody()
	text, err := io.ReadAll(next)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.HasLen, 2*maxReplayableBody)
	qt.Assert(t, x.bodyEnded.Load(), qt.IsTrue)
}

// TestBegunBodyIsSentAgain guards against a second attempt with the rest of a body of
// which the first has sent a part.
func TestBegunBodyIsSentAgain(t *testing.T) {
	x, _ := newUpload(t)
	body, _ := x.nextBody()
	_, err := body.Read(make([]byte, 10))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, x.reclaimBody(), qt.IsFalse)
}

// TestEarlyResponseKeepsConnection guards against a connection that stays in use after a
// response to a request whose body has not ended: the rest would be taken for the next
// request.
func TestEarlyResponseKeepsConnection(t *testing.T) {
	x, _ := newUpload(t)
	x.announceClose()
	qt.Assert(t, x.writer.Header().Get("Connection"), qt.Equals, "close")
	x, _ = newUpload(t)
	body, _ := x.nextBody()
	_, err := io.ReadAll(body)
	qt.Assert(t, err, qt.IsNil)
	x.announceClose()
	qt.Assert(t, x.writer.Header().Get("Connection"), qt.Equals, "")
}
