package server

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestFoundingValueDoesNotMakeNodeReady guards against a node that serves with only
// the empty first value of a new fleet. It would reject requests as having no route,
// which callers take as final, although the first declaration may follow.
func TestFoundingValueDoesNotMakeNodeReady(t *testing.T) {
	settings := configurer.Default()
	settings.Data = t.TempDir()
	s, err := New(settings, timekeeper.BootTimeClock{}, slog.New(slog.DiscardHandler), nil)
	qt.Assert(t, err, qt.IsNil)
	reason := func() string {
		w := httptest.NewRecorder()
		s.forwarder.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hello", nil))
		return w.Header().Get(forwarder.HeaderReason)
	}
	qt.Check(t, reason(), qt.Equals, string(forwarder.ReasonContact))
	s.applyValue(&control.Value{Version: 1, Epoch: 1})
	qt.Check(t, reason(), qt.Equals, string(forwarder.ReasonContact))
	s.applyValue(&control.Value{Version: 2, Epoch: 1, Declaration: []byte(`{}`)})
	qt.Check(t, reason(), qt.Equals, string(forwarder.ReasonRoute))
}
