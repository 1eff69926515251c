package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/server"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/platform"
	"github.com/primrosewall/primrosewall/proto/control"
)

// speech is one way to speak to a fleet: the daemon's own or the platform's.
type speech interface {
	face() *server.Interface
	// declare puts one open and one keyed route into force, for a team with a
	// key and a rate.
	declare(t *testing.T, p *pair)
	announce(t *testing.T, p *pair, leaving bool)
	request(p *pair, path, key string) *http.Request
}

const (
	suiteKey  = "pwk_a_key_of_the_suite_only"
	suiteRate = 5
)

// pair is a fleet of a replica and a node beside a target.
type pair struct {
	replica, node *configurer.Settings
	target        *echo
	reports       int
}

// echo is a target that answers in both ways.
type echo struct {
	address string
	seen    atomic.Int32
	key     atomic.Bool
}

func newEcho(t *testing.T) *echo {
	e := &echo{}
	l, err := net.Listen("tcp", addresses.Next())
	qt.Assert(t, err, qt.IsNil)
	e.address = l.Addr().String()
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.seen.Add(1)
	for _, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), suiteKey) {
			e.key.Store(true)
		}
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s")
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
}

func newPair(t *testing.T, s speech) *pair {
	p := &pair{target: newEcho(t)}
	peer := addresses.Next()
	base := configurer.Settings{
		Centre: "here", Links: configurer.LinksPlain, Rule: configurer.RuleStatic, Connections: 10,
		Seeds: []string{peer}, Replicas: []string{peer}, Found: true,
	}
	replica, node := base, base
	replica.Instance, replica.Peer, replica.Data = "replica", peer, t.TempDir()
	node.Instance, node.Peer, node.Listen, node.Ready = "node", addresses.Next(), addresses.Next(), addresses.Next()
	for _, settings := range []*configurer.Settings{&replica, &node} {
		settings.Admin, settings.Control = addresses.Next(), addresses.Next()
	}
	node.Drain.Duration = 300 * time.Millisecond
	p.replica, p.node = &replica, &node
	for _, settings := range []*configurer.Settings{p.replica, p.node} {
		n, err := server.New(settings, timekeeper.BootTimeClock{}, quietLogger(), s.face())
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		m := &member{server: n, ended: make(chan error, 1)}
		go m.run(ctx)
		t.Cleanup(func() {
			cancel()
			<-m.ended
		})
	}
	return p
}

// member runs a node inside the test.
type member struct {
	server *server.Server
	ended  chan error
}

func (m *member) run(ctx context.Context) { m.ended <- m.server.Run(ctx) }

// do sends a request until check likes the answer, or the time is over.
func (p *pair) do(t *testing.T, make func() *http.Request, check func(status int, body string) bool) {
	t.Helper()
	last := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.DefaultClient.Do(make())
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if check(response.StatusCode, string(body)) {
			return
		}
		last = fmt.Sprint(response.StatusCode, " ", string(body))
	}
	t.Fatalf("waited in vain; the last answer was %s", last)
}

func status(want int) func(int, string) bool {
	return func(got int, _ string) bool { return got == want }
}

// TestBothInterfaces plays the same way of a request in both of them: nothing
// is served before a configuration is known; open and keyed routes; unknown
// keys and routes; a rate; a target that leaves.
func TestBothInterfaces(t *testing.T) {
	for name, s := range map[string]speech{"native": native{}, "platform": translated{}} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, s)
			p.do(t, func() *http.Request { return s.request(p, "/open/x", "") }, status(http.StatusServiceUnavailable))
			s.declare(t, p)
			p.do(t, func() *http.Request { return s.request(p, "/open/x", "") }, status(http.StatusServiceUnavailable))
			s.announce(t, p, false)
			served := func(got int, body string) bool { return got == http.StatusOK && strings.HasPrefix(body, "GET /") }
			p.do(t, func() *http.Request { return s.request(p, "/open/x", "") }, served)
			p.do(t, func() *http.Request { return s.request(p, "/keyed/x", suiteKey) }, served)
			p.do(t, func() *http.Request { return s.request(p, "/keyed/x", "") }, status(http.StatusUnauthorized))
			p.do(t, func() *http.Request { return s.request(p, "/keyed/x", "another key of nobody") }, status(http.StatusUnauthorized))
			p.do(t, func() *http.Request { return s.request(p, "/nowhere", suiteKey) }, status(http.StatusNotFound))
			over := 0
			for range 20 * suiteRate {
				response, err := http.DefaultClient.Do(s.request(p, "/keyed/x", suiteKey))
				qt.Assert(t, err, qt.IsNil)
				response.Body.Close()
				if response.StatusCode == http.StatusTooManyRequests {
					over++
					qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			}
			qt.Assert(t, over > 0, qt.IsTrue)
			s.announce(t, p, true)
			p.do(t, func() *http.Request { return s.request(p, "/open/x", "") }, status(http.StatusServiceUnavailable))
			qt.Assert(t, p.target.key.Load(), qt.IsFalse)
		})
	}
}

// native speaks the daemon's own interface.
type native struct{}

func (native) face() *server.Interface { return nil }

func (native) declare(t *testing.T, p *pair) {
	client := control.NewOperatorProtobufClient("http://"+p.replica.Admin, http.DefaultClient)
	d := &declarer.Declaration{
		Teams:  map[string]declarer.Team{"acme": {Keys: []string{declarer.HashKey(suiteKey)}, Rate: suiteRate, Burst: suiteRate}},
		Routes: []declarer.Route{{Name: "open", Path: "/open", Service: "echo", Open: true}, {Name: "keyed", Path: "/keyed", Service: "echo"}},
	}
	text, err := d.Canonical()
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		plan, err := client.Plan(context.Background(), &control.PlanRequest{Declaration: text})
		if err != nil {
			continue
		}
		reply, err := client.Confirm(context.Background(), &control.ConfirmRequest{Id: plan.Id, Base: plan.Base, Declaration: text})
		if err == nil && reply.Refused == "" {
			return
		}
	}
	t.Fatal("the declaration did not come into force")
}

func (native) announce(t *testing.T, p *pair, leaving bool) {
	method, body := http.MethodPut, fmt.Sprintf(`{"service":"echo","address":%q,"slots":10,"life":"a"}`, p.target.address)
	if leaving {
		method = http.MethodDelete
	}
	r, err := http.NewRequest(method, "http://"+p.node.Admin+"/announce", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusNoContent)
}

func (native) request(p *pair, path, key string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "http://"+p.node.Listen+path, nil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

// translated speaks the platform's interface.
type translated struct{}

func (translated) face() *server.Interface { return platform.New() }

func (translated) declare(t *testing.T, p *pair) {
	route := func(path string, public bool) map[string]any {
		return map[string]any{
			"hostname": "a.example", "path_prefix": path, "kind": "idempotent", "timeout": "2000ms", "target_latency": "1s",
			"service": "echo", "max_attempts": 2, "public": public,
		}
	}
	manifest, err := json.Marshal(map[string]any{
		"version":  "00000003",
		"routes":   map[string]any{"open": route("/open/", true), "keyed": route("/keyed/", false)},
		"services": map[string]any{"echo": map[string]any{"health_path": "/health"}},
		"tenants":  map[string]any{"acme": map[string]any{"api_keys": []string{suiteKey}, "rate_per_s": suiteRate, "burst": suiteRate}},
	})
	qt.Assert(t, err, qt.IsNil)
	put := func() *http.Request {
		r, _ := http.NewRequest(http.MethodPost, "http://"+p.replica.Control+"/Config.Put", strings.NewReader(string(manifest)))
		r.Header.Set("Base-Version", "00000000")
		return r
	}
	p.do(t, put, status(http.StatusOK))
	// Sent again, it is acknowledged again; it can be read byte for byte.
	p.do(t, put, status(http.StatusOK))
	p.do(t, func() *http.Request {
		r, _ := http.NewRequest(http.MethodGet, "http://"+p.replica.Control+"/Config.Get", nil)
		return r
	}, func(code int, body string) bool { return code == http.StatusOK && body == string(manifest) })
}

func (translated) announce(t *testing.T, p *pair, leaving bool) {
	p.reports++
	state := "ready"
	if leaving {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":%q,"born":1700,"info":{"service":"echo","slots":10},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		p.target.address, state, p.reports)
	response, err := http.Post("http://"+p.node.Control+"/Instances.Heartbeat/i-1", "application/json", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
}

func (translated) request(p *pair, path, key string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "http://"+p.node.Listen+path, nil)
	r.Host = "a.example"
	r.Header.Set("Request-Id", fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set("Deadline-Ms", "2000")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	return r
}
