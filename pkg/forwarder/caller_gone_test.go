package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
)

// TestCallerGoneHasReasonGone checks that an attempt whose caller disconnected
// ends with the reason "gone", both before and after the request was sent.
func TestCallerGoneHasReasonGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://host/path", nil)
	qt.Assert(t, err, qt.IsNil)
	f := &Forwarder{deps: Deps{Log: slog.New(slog.DiscardHandler)}}
	for _, sent := range []bool{false, true} {
		a := &attempt{filter: &sendFilter{forwarder: f}, target: &control.Entry{Instance: "other"}}
		a.handleError(&Exchange{request: request, hop: &control.Hop{}}, sent, errors.New("closed"), context.Canceled)
		var r *Refusal
		switch result := a.result.(type) {
		case *notRunResult:
			qt.Assert(t, sent, qt.IsFalse)
			r = result.refusal
		case *unknownResult:
			qt.Assert(t, sent, qt.IsTrue)
			r = result.refusal
		}
		qt.Assert(t, r.Reason, qt.Equals, ReasonGone)
	}
}
