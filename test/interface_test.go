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

// interfaceDriver drives a fleet through one of its interfaces: the daemon's own
// or the platform's.
type interfaceDriver interface {
	serverInterface() *server.Interface
	// declare puts into force an open route, a route that requires a key, and a
	// team with a key and a rate.
	declare(t *testing.T, f *interfaceFleet)
	// announcement is a message of the target to its node.
	announcement(f *interfaceFleet, leaving bool) *http.Request
	// foreign is an announcement of another writer, of another service, in the place of
	// the target.
	foreign(f *interfaceFleet) *http.Request
	// answer adds to the headers of an answer what the target must send, and what it
	// states: a limit, if not empty, and whether it leaves.
	answer(h http.Header, r *http.Request, limit string, leaving bool)
	// drain sends an order for a data centre to a node, and returns the status.
	drain(t *testing.T, node *configurer.Settings, centre string, begin bool) int
	// request is a request of a caller at a node.
	request(entry *configurer.Settings, path, key string) *http.Request
}

const (
	testKey  = "pwk_a_key_of_the_suite_only"
	testRate = 5
	// testSlots is how many requests the target runs at once.
	testSlots = 100
)

// interfaceFleet is a replica and a node with a target.
type interfaceFleet struct {
	replica, node *configurer.Settings
	// running is the node.
	running *runningNode
	// address is where the target listens.
	address    string
	heartbeats atomic.Int64
	// starts counts the starts of the target after the first.
	starts atomic.Int64
	iface  *server.Interface
}

// echoTarget is a target whose responses suit both interfaces: it sends the
// headers that the platform requires.
type echoTarget struct {
	address  string
	requests atomic.Int32
	sawKey   atomic.Bool
}

func newEchoTarget(t *testing.T) *echoTarget {
	e := &echoTarget{address: addresses.Next()}
	serveTarget(t, e.address, e)
	return e
}

// serveTarget serves requests to a target until the test ends.
func serveTarget(t testing.TB, address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
}

// ServeHTTP implements http.Handler.
func (e *echoTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.requests.Add(1)
	for _, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), testKey) {
			e.sawKey.Store(true)
		}
	}
	platformDriver{}.answer(w.Header(), r, "", false)
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
}

func newInterfaceFleet(t *testing.T, s interfaceDriver, target string) *interfaceFleet {
	f := &interfaceFleet{address: target, iface: s.serverInterface()}
	peer := addresses.Next()
	base := configurer.Settings{
		Centre: "here", Links: configurer.LinksPlain, Rule: configurer.RuleStatic, Connections: testSlots,
		Seeds: []string{peer}, Replicas: []string{peer}, Found: true,
	}
	replica, node := base, base
	replica.Instance, replica.Peer, replica.Data = "replica", peer, t.TempDir()
	node.Instance, node.Peer, node.Listen, node.Ready = "node", addresses.Next(), addresses.Next(), addresses.Next()
	for _, settings := range []*configurer.Settings{&replica, &node} {
		settings.Admin, settings.Control = addresses.Next(), addresses.Next()
	}
	node.Drain.Duration = 300 * time.Millisecond
	f.replica, f.node = &replica, &node
	t.Cleanup(f.startNode(t, f.replica).stop)
	f.running = f.startNode(t, f.node)
	t.Cleanup(func() { f.running.stop() })
	return f
}

// restartNode stops the node and starts it again; it then knows nothing of before.
func (f *interfaceFleet) restartNode(t *testing.T) {
	f.running.stop()
	f.running = f.startNode(t, f.node)
}

// addEntry starts a further node, without a target.
func (f *interfaceFleet) addEntry(t *testing.T, number int) *configurer.Settings {
	settings, _ := f.startEntry(t, number)
	return settings
}

// startEntry starts a further node, without a target; every second one is in another data
// centre. cancel begins its stop.
func (f *interfaceFleet) startEntry(t *testing.T, number int) (settings *configurer.Settings, cancel context.CancelFunc) {
	e := *f.node
	e.Instance = fmt.Sprintf("entry%d", number)
	e.Peer, e.Listen, e.Ready, e.Admin, e.Control = addresses.Next(), addresses.Next(), addresses.Next(), addresses.Next(), addresses.Next()
	if number%2 == 1 {
		e.Centre = "there"
	}
	n := f.startNode(t, &e)
	t.Cleanup(n.stop)
	return &e, n.cancel
}

// startNode starts a node inside the test process.
func (f *interfaceFleet) startNode(t *testing.T, settings *configurer.Settings) *runningNode {
	s, err := server.New(settings, timekeeper.BootTimeClock{}, quietLogger(), f.iface)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	n := &runningNode{server: s, cancel: cancel, ended: make(chan error, 1)}
	go n.run(ctx)
	return n
}

// announce tells the node about the target, or that the target leaves.
func (f *interfaceFleet) announce(t *testing.T, s interfaceDriver, leaving bool) {
	response, err := http.DefaultClient.Do(s.announcement(f, leaving))
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%s", response.Status))
}

// runningNode is a node that runs inside the test process.
type runningNode struct {
	server *server.Server
	cancel context.CancelFunc
	ended  chan error
}

// stop stops the node and waits for its end.
func (n *runningNode) stop() {
	n.cancel()
	<-n.ended
}

func (n *runningNode) run(ctx context.Context) { n.ended <- n.server.Run(ctx) }

// sendUntil repeats a request until check accepts the response, and fails the
// test after waitTimeout.
func (f *interfaceFleet) sendUntil(t *testing.T, make func() *http.Request, check func(status int, body string) bool) {
	t.Helper()
	last := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
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
	t.Fatalf("timed out; the last response was %s", last)
}

func hasStatus(want int) func(int, string) bool {
	return func(got int, _ string) bool { return got == want }
}

// TestBothInterfaces runs the same steps through both interfaces: requests are
// rejected until a configuration and a target are known; then open routes and
// routes that require a key, unknown keys and routes, the team's rate, and a
// target that leaves. The target must never see the key.
func TestBothInterfaces(t *testing.T) {
	for name, s := range map[string]interfaceDriver{"native": nativeDriver{}, "platform": platformDriver{}} {
		t.Run(name, func(t *testing.T) {
			target := newEchoTarget(t)
			f := newInterfaceFleet(t, s, target.address)
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/open/x", "") }, hasStatus(http.StatusServiceUnavailable))
			s.declare(t, f)
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/open/x", "") }, hasStatus(http.StatusServiceUnavailable))
			f.announce(t, s, false)
			served := func(got int, body string) bool { return got == http.StatusOK && strings.HasPrefix(body, "GET /") }
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/open/x", "") }, served)
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/keyed/x", testKey) }, served)
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/keyed/x", "") }, hasStatus(http.StatusUnauthorized))
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/keyed/x", "another key of nobody") }, hasStatus(http.StatusUnauthorized))
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/nowhere", testKey) }, hasStatus(http.StatusNotFound))
			rejected := 0
			for range 20 * testRate {
				response, err := http.DefaultClient.Do(s.request(f.node, "/keyed/x", testKey))
				qt.Assert(t, err, qt.IsNil)
				response.Body.Close()
				if response.StatusCode == http.StatusTooManyRequests {
					rejected++
					qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			}
			qt.Assert(t, rejected > 0, qt.IsTrue)
			f.announce(t, s, true)
			f.sendUntil(t, func() *http.Request { return s.request(f.node, "/open/x", "") }, hasStatus(http.StatusServiceUnavailable))
			qt.Assert(t, target.sawKey.Load(), qt.IsFalse)
		})
	}
}

// nativeDriver uses the daemon's own interface.
type nativeDriver struct{}

func (nativeDriver) serverInterface() *server.Interface { return nil }

func (nativeDriver) declare(t *testing.T, f *interfaceFleet) {
	client := control.NewOperatorProtobufClient("http://"+f.replica.Admin, http.DefaultClient)
	d := &declarer.Declaration{
		Teams:  map[string]declarer.Team{"acme": {Keys: []string{declarer.HashKey(testKey)}, Rate: testRate, Burst: testRate}},
		Routes: []declarer.Route{{Name: "open", Path: "/open", Service: "echo", Open: true}, {Name: "keyed", Path: "/keyed", Service: "echo"}},
	}
	text, err := d.Canonical()
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
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

func (nativeDriver) announcement(f *interfaceFleet, leaving bool) *http.Request {
	method, body := http.MethodPut, fmt.Sprintf(`{"service":"echo","address":%q,"slots":%d,"life":"life%d"}`, f.address, testSlots, f.starts.Load())
	if leaving {
		method = http.MethodDelete
	}
	r, _ := http.NewRequest(method, "http://"+f.node.Admin+"/announce", strings.NewReader(body))
	return r
}

func (nativeDriver) foreign(f *interfaceFleet) *http.Request {
	body := fmt.Sprintf(`{"service":"other","address":%q,"slots":1,"life":"foreign"}`, f.address)
	r, _ := http.NewRequest(http.MethodPut, "http://"+f.node.Admin+"/announce", strings.NewReader(body))
	return r
}

func (nativeDriver) answer(h http.Header, _ *http.Request, limit string, leaving bool) {
	if limit != "" {
		h.Set("Primrose-Limit", limit)
	}
	if leaving {
		h.Set("Primrose-Leaving", "1")
	}
}

func (nativeDriver) drain(t *testing.T, node *configurer.Settings, centre string, begin bool) int {
	client := control.NewOperatorProtobufClient("http://"+node.Admin, http.DefaultClient)
	plan, err := client.PlanDrain(context.Background(), &control.DrainRequest{Centre: centre, Begin: begin})
	qt.Assert(t, err, qt.IsNil)
	if plan.Refused != "" {
		return http.StatusUnprocessableEntity
	}
	reply, err := client.Drain(context.Background(), &control.DrainRequest{Centre: centre, Begin: begin, Id: plan.Id, Base: plan.Base})
	if err != nil || reply.Refused != "" {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (nativeDriver) request(entry *configurer.Settings, path, key string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "http://"+entry.Listen+path, nil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

// platformDriver uses the platform's interface.
type platformDriver struct{}

func (platformDriver) serverInterface() *server.Interface { return platform.New() }

func (platformDriver) declare(t *testing.T, f *interfaceFleet) {
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
		"tenants":  map[string]any{"acme": map[string]any{"api_keys": []string{testKey}, "rate_per_s": testRate, "burst": testRate}},
	})
	qt.Assert(t, err, qt.IsNil)
	put := func() *http.Request {
		r, _ := http.NewRequest(http.MethodPost, "http://"+f.replica.Control+"/Config.Put", strings.NewReader(string(manifest)))
		r.Header.Set("Base-Version", "00000000")
		return r
	}
	f.sendUntil(t, put, hasStatus(http.StatusOK))
	// A repeated request is acknowledged again, and the manifest is returned byte
	// for byte.
	f.sendUntil(t, put, hasStatus(http.StatusOK))
	f.sendUntil(t, func() *http.Request {
		r, _ := http.NewRequest(http.MethodGet, "http://"+f.replica.Control+"/Config.Get", nil)
		return r
	}, func(code int, body string) bool { return code == http.StatusOK && body == string(manifest) })
}

func (platformDriver) announcement(f *interfaceFleet, leaving bool) *http.Request {
	state := "ready"
	if leaving {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"echo","slots":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		f.address, 1700+f.starts.Load(), testSlots, state, f.heartbeats.Add(1))
	r, _ := http.NewRequest(http.MethodPost, "http://"+f.node.Control+"/Instances.Heartbeat/i-1", strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	return r
}

func (platformDriver) foreign(f *interfaceFleet) *http.Request {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"other","slots":1},"status":{"state":"ready","sequence":1,"cold_remaining":"0ms"}}`,
		f.address, time.Now().UnixMilli())
	r, _ := http.NewRequest(http.MethodPost, "http://"+f.node.Control+"/Instances.Heartbeat/i-other", strings.NewReader(body))
	return r
}

func (platformDriver) answer(h http.Header, r *http.Request, limit string, leaving bool) {
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Response-Signature", "s")
	if limit != "" {
		h.Set("Server-Limit", limit)
	}
	if leaving {
		h.Set("Server-Leaving", "1")
	}
}

func (platformDriver) drain(t *testing.T, node *configurer.Settings, centre string, begin bool) int {
	call := "Evacuate.End"
	if begin {
		call = "Evacuate.Start"
	}
	response, err := http.Post("http://"+node.Control+"/"+call+"/"+centre, "", nil)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	return response.StatusCode
}

func (platformDriver) request(entry *configurer.Settings, path, key string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "http://"+entry.Listen+path, nil)
	r.Host = "a.example"
	r.Header.Set("Request-Id", fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set("Deadline-Ms", "2000")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	return r
}
