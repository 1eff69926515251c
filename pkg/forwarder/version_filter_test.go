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

// staleNode is a node to which a newer version than the one in force can be
// advertised.
type staleNode struct {
	config    *enforcer.Enforcer
	fetcher   *fetcher.Fetcher
	forwarder *Forwarder
}

func newStaleNode(t *testing.T) *staleNode {
	config, err := enforcer.Open(nil, nil)
	qt.Assert(t, err, qt.IsNil)
	withdrawn, err := withdrawer.Open(nil)
	qt.Assert(t, err, qt.IsNil)
	n := &staleNode{config: config}
	n.fetcher = fetcher.New(fetcher.Options{Config: config, Clock: timekeeper.RuntimeClock{}, Log: slog.New(slog.DiscardHandler)})
	config.Subscribe(func(*enforcer.Config) { n.fetcher.VersionApplied() })
	n.forwarder = &Forwarder{deps: Deps{
		Clock: timekeeper.RuntimeClock{}, Log: slog.New(slog.DiscardHandler), Config: config, Withdrawn: withdrawn,
		Ready: func() bool { return true }, Behind: n.fetcher.Behind, Changed: n.fetcher.Changed,
	}}
	return n
}

// declare applies a version.
func (n *staleNode) declare(t *testing.T, version uint64, declaration string) {
	_, err := n.config.Apply(&control.Value{Version: version, Declaration: []byte(declaration)})
	qt.Check(t, err, qt.IsNil)
}

// get sends a request through the version filter. It returns the reason of the
// refusal, empty if there was none, and the version that the filter decided by.
func (n *staleNode) get(path, key string) (reason string, version uint64) {
	w := httptest.NewRecorder()
	x := &Exchange{
		writer: w, request: httptest.NewRequest(http.MethodGet, path, nil), config: n.config.Current(),
		hop: newHop(), dialect: Native{},
	}
	if key != "" {
		x.keyHash = hashKey(key)
	}
	(&versionFilter{n.forwarder}).Serve(x, func(*Exchange) {})
	return w.Header().Get(HeaderReason), x.config.Version()
}

// declarationWithKey returns a declaration with a route, and a team that has the key
// unless it is empty.
func declarationWithKey(key string) string {
	keys := ""
	if key != "" {
		keys = `"` + declarer.HashKey(key) + `"`
	}
	return `{"centres": {"local": {"witnesses": ["local"]}},
		"teams": {"acme": {"keys": [` + keys + `], "rate": 100, "burst": 50}},
		"routes": [{"name": "hello", "path": "/hello", "service": "hello"}]}`
}

const knownKey, newKey = "pwk_known_known_known", "pwk_fresh_fresh_fresh"

// TestStaleNodeRejectsAsBehind guards against a final rejection by a stale node: a
// request has a route or a key that the version in force lacks, and a newer version
// has been advertised.
func TestStaleNodeRejectsAsBehind(t *testing.T) {
	for name, c := range map[string]struct {
		advertised uint64
		path, key  string
		reason     string
		// adAge is how long ago the version was advertised, took how long the
		// request waits.
		adAge, took time.Duration
	}{
		"allowed":    {advertised: 3, path: "/hello", key: knownKey},
		"route":      {advertised: 3, path: "/added", key: knownKey, reason: string(ReasonBehind), took: versionWaitTimeout},
		"key":        {advertised: 3, path: "/hello", key: newKey, reason: string(ReasonBehind), took: versionWaitTimeout},
		"no key":     {advertised: 3, path: "/hello", reason: string(ReasonBehind), took: versionWaitTimeout},
		"cut off":    {advertised: 3, path: "/added", key: knownKey, adAge: 10 * time.Second, reason: string(ReasonBehind)},
		"not behind": {advertised: 2, path: "/added", key: knownKey},
		"no advert":  {advertised: 0, path: "/hello", key: newKey},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newStaleNode(t)
				n.declare(t, 2, declarationWithKey(knownKey))
				n.fetcher.AddAdvert(c.advertised, "other")
				time.Sleep(c.adAge)
				began := time.Now()
				reason, _ := n.get(c.path, c.key)
				qt.Check(t, reason, qt.Equals, c.reason)
				qt.Check(t, time.Since(began), qt.Equals, c.took)
			})
		})
	}
}

// TestRequestWaitsForAdvertisedVersion applies the advertised version while the
// request waits for it.
func TestRequestWaitsForAdvertisedVersion(t *testing.T) {
	for name, c := range map[string]struct{ declaration string }{
		"key is added":     {declarationWithKey(newKey)},
		"key is not added": {declarationWithKey("")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newStaleNode(t)
				n.declare(t, 2, declarationWithKey(knownKey))
				n.fetcher.AddAdvert(3, "other")
				began := time.Now()
				time.AfterFunc(20*time.Millisecond, func() { n.declare(t, 3, c.declaration) })
				// The filters after this one use the advertised version.
				reason, version := n.get("/hello", newKey)
				qt.Check(t, reason, qt.Equals, "")
				qt.Check(t, version, qt.Equals, uint64(3))
				qt.Check(t, time.Since(began), qt.Equals, 20*time.Millisecond)
			})
		})
	}
}
