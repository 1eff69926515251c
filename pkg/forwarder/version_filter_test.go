package forwarder

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/fetcher"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/pkg/withdrawer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// late is a node that has heard of a version which is not in force.
type late struct {
	config  *enforcer.Enforcer
	fetcher *fetcher.Fetcher
	forward *Forwarder
}

func newLate(t *testing.T) *late {
	config, err := enforcer.Open(nil, nil)
	qt.Assert(t, err, qt.IsNil)
	withdrawn, err := withdrawer.Open(nil)
	qt.Assert(t, err, qt.IsNil)
	l := &late{config: config}
	l.fetcher = fetcher.New(fetcher.Options{Config: config, Clock: timekeeper.RuntimeClock{}, Log: slog.New(slog.DiscardHandler)})
	config.Subscribe(func(*enforcer.Config) { l.fetcher.VersionApplied() })
	l.forward = &Forwarder{deps: Deps{
		Clock: timekeeper.RuntimeClock{}, Log: slog.New(slog.DiscardHandler), Config: config, Withdrawn: withdrawn,
		Ready: func() bool { return true }, Behind: l.fetcher.Behind, Changed: l.fetcher.Changed,
	}}
	return l
}

// declare puts a version into force.
func (l *late) declare(t *testing.T, version uint64, declaration string) {
	_, err := l.config.Apply(&control.Value{Version: version, Declaration: []byte(declaration)})
	qt.Check(t, err, qt.IsNil)
}

// get sends a request through the filter, and returns the refusal's reason, or
// nothing, and the version that decided.
func (l *late) get(path, key string) (reason string, version uint64) {
	w := httptest.NewRecorder()
	x := &Exchange{
		writer: w, request: httptest.NewRequest(http.MethodGet, path, nil), config: l.config.Current(),
		hop: newHop(), dialect: Native{},
	}
	if key != "" {
		x.keyHash = hashOf(key)
	}
	(&versionFilter{l.forward}).Serve(x, func(*Exchange) {})
	return w.Header().Get(HeaderReason), x.config.Version()
}

// withKey declares a route, and a team with a key if one is given.
func withKey(key string) string {
	keys := ""
	if key != "" {
		keys = `"` + declarer.HashKey(key) + `"`
	}
	return `{"centres": {"local": {"witnesses": ["local"]}},
		"teams": {"acme": {"keys": [` + keys + `], "rate": 100, "burst": 50}},
		"routes": [{"name": "hello", "path": "/hello", "service": "hello"}]}`
}

const knownKey, newKey = "pwk_known_known_known", "pwk_fresh_fresh_fresh"

// TestNodeThatIsBehindRefusesForGood asks a node for a route and with a key that
// its version does not have, while it knows of a newer one.
func TestNodeThatIsBehindRefusesForGood(t *testing.T) {
	for name, c := range map[string]struct {
		heard     uint64
		path, key string
		reason    string
		// age is how long ago the version was heard of, took how long the request
		// waits.
		age, took time.Duration
	}{
		"allowed":     {heard: 3, path: "/hello", key: knownKey},
		"route":       {heard: 3, path: "/added", key: knownKey, reason: string(ReasonBehind), took: catchUpMost},
		"key":         {heard: 3, path: "/hello", key: newKey, reason: string(ReasonBehind), took: catchUpMost},
		"no key":      {heard: 3, path: "/hello", reason: string(ReasonBehind), took: catchUpMost},
		"cut off":     {heard: 3, path: "/added", key: knownKey, age: 10 * time.Second, reason: string(ReasonBehind)},
		"not behind":  {heard: 2, path: "/added", key: knownKey},
		"nobody told": {heard: 0, path: "/hello", key: newKey},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLate(t)
				l.declare(t, 2, withKey(knownKey))
				l.fetcher.AddAdvert(c.heard, "other")
				time.Sleep(c.age)
				began := time.Now()
				reason, _ := l.get(c.path, c.key)
				qt.Check(t, reason, qt.Equals, c.reason)
				qt.Check(t, time.Since(began), qt.Equals, c.took)
			})
		})
	}
}

// TestRequestWaitsForTheVersion brings the newer version into force while the
// request waits.
func TestRequestWaitsForTheVersion(t *testing.T) {
	for name, c := range map[string]struct{ declaration string }{
		"key is added": {withKey(newKey)},
		"key is not":   {withKey("")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLate(t)
				l.declare(t, 2, withKey(knownKey))
				l.fetcher.AddAdvert(3, "other")
				began := time.Now()
				time.AfterFunc(20*time.Millisecond, func() { l.declare(t, 3, c.declaration) })
				// The filters behind this one decide by the version that was heard of.
				reason, version := l.get("/hello", newKey)
				qt.Check(t, reason, qt.Equals, "")
				qt.Check(t, version, qt.Equals, uint64(3))
				qt.Check(t, time.Since(began), qt.Equals, 20*time.Millisecond)
			})
		})
	}
}
