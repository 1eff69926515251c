package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/emulator"
)

// waitTimeout bounds waits for events that must happen. It is generous, as tests
// that use it do not check how fast the event happens.
const waitTimeout = 20 * time.Second

// programFolder holds the built programs.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m))
}

// runWithPrograms builds the programs with the tag faults, then runs the tests.
func runWithPrograms(m *testing.M) int {
	folder, err := os.MkdirTemp("", "primrosewall")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	programFolder = folder
	build := exec.Command("go", "build", "-tags", "faults", "-o", folder+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	return m.Run()
}

// fleet is a set of nodes under test. A node can have a target.
type fleet struct {
	*qt.C
	// folder holds settings, data folders, logs and the targets' records.
	folder string
	nodes  map[string]*node
	names  []string
}

// node is one instance: a daemon and its target.
type node struct {
	fleet                       *fleet
	name, centre                string
	listen, peer, admin, target string
	replica                     bool
	// targetFlags are command-line flags of the target.
	targetFlags []string
	// fault is injected at the next start of the daemon and then cleared.
	fault string
	// connections is the highest number of connections to the target; 0 leaves
	// the default.
	connections int
	// joinsLater is set for a replica outside the first set of replicas.
	joinsLater bool
	// extraSettings are merged into the daemon's settings.
	extraSettings         map[string]any
	daemon, targetProcess *exec.Cmd
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{C: qt.New(t), folder: t.TempDir(), nodes: map[string]*node{}}
	f.Assert(os.WriteFile(f.path("secret"), []byte("a fleet secret for tests only"), 0o600), qt.IsNil)
	return f
}

func (f *fleet) path(name string) string { return filepath.Join(f.folder, name) }

// addresses reserves the addresses of the programs under test, also across
// parallel tests.
var addresses emulator.Reserver

// add adds a node without starting it. A node without target flags has no target.
func (f *fleet) add(name, centre string, replica bool, targetFlags ...string) *node {
	n := &node{fleet: f, name: name, centre: centre, replica: replica, targetFlags: targetFlags}
	for _, a := range []*string{&n.listen, &n.peer, &n.admin, &n.target} {
		*a = addresses.Next()
	}
	f.nodes[name] = n
	f.names = append(f.names, name)
	return n
}

// start starts all daemons, then all targets.
func (f *fleet) start() {
	for _, name := range f.names {
		f.nodes[name].startDaemon()
	}
	for _, name := range f.names {
		f.nodes[name].startTarget()
	}
}

// replicas returns the peer addresses of the first set of replicas.
func (f *fleet) replicas() []string {
	var list []string
	for _, name := range f.names {
		if f.nodes[name].replica && !f.nodes[name].joinsLater {
			list = append(list, f.nodes[name].peer)
		}
	}
	return list
}

// startDaemon writes the settings and starts the daemon.
func (n *node) startDaemon() {
	f := n.fleet
	settings := map[string]any{
		"instance": n.name, "centre": n.centre, "listen": n.listen, "peer": n.peer, "admin": n.admin,
		"secret": f.path("secret"), "replicas": f.replicas(), "seeds": f.replicas(),
	}
	if n.connections > 0 {
		settings["connections"] = n.connections
	}
	if n.replica {
		settings["data"] = f.path(n.name + ".data")
	}
	maps.Copy(settings, n.extraSettings)
	text, err := json.Marshal(settings)
	f.Assert(err, qt.IsNil)
	f.Assert(os.WriteFile(f.path(n.name+".json"), text, 0o600), qt.IsNil)
	n.daemon = f.startProgram(n.name, n.fault, "primrosed", "-settings", f.path(n.name+".json"))
	n.fault = ""
}

// startTarget starts the target, if the node has one.
func (n *node) startTarget() {
	if len(n.targetFlags) == 0 {
		return
	}
	f := n.fleet
	args := append([]string{"target", "-listen", n.target, "-admin", n.admin, "-entry", n.listen, "-record", f.path(n.name + ".seen")}, n.targetFlags...)
	n.targetProcess = f.startProgram(n.name+".target", "", "primrose", args...)
}

// startProgram starts a program and logs its output to a file. fault is empty or
// names a point and a fault, such as "hop-received=kill". The process is killed
// when the test ends.
func (f *fleet) startProgram(name, fault, program string, args ...string) *exec.Cmd {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	f.Assert(err, qt.IsNil)
	c := exec.Command(filepath.Join(programFolder, program), args...)
	c.Stderr, c.Stdout = log, log
	c.Env = append(os.Environ(), "PRIMROSE_FAULT="+fault, "PRIMROSE_ARMED="+f.path("armed"))
	f.Assert(c.Start(), qt.IsNil)
	f.Cleanup(func() {
		_ = c.Process.Kill()
		_, _ = c.Process.Wait()
		log.Close()
	})
	return c
}

func (f *fleet) signal(c *exec.Cmd, s syscall.Signal) { f.Assert(c.Process.Signal(s), qt.IsNil) }

// kill sends SIGKILL to a process and waits until it has exited.
func (f *fleet) kill(c *exec.Cmd) {
	f.signal(c, syscall.SIGKILL)
	_, _ = c.Process.Wait()
}

// primrose runs the command-line tool against a node and returns its output and
// exit code.
func (n *node) primrose(args ...string) (string, int) {
	f := n.fleet
	verb := []string{args[0]}
	if args[0] == "key" {
		verb, args = args[:2], args[1:]
	}
	all := append(verb, "-node", n.admin, "-as", "tester")
	if verb[0] != "check" && verb[0] != "status" && verb[0] != "audit" && verb[0] != "show" && verb[0] != "replace" && (len(verb) < 2 || verb[1] != "withdraw") {
		all = append(all, "-plans", f.path("plans"))
	}
	c := exec.Command(filepath.Join(programFolder, "primrose"), append(all, args[1:]...)...)
	out, err := c.CombinedOutput()
	if _, ok := err.(*exec.ExitError); !ok {
		f.Assert(err, qt.IsNil)
	}
	return string(out), c.ProcessState.ExitCode()
}

// plan plans a declaration and returns the id of the plan.
func (n *node) plan(declaration string) string {
	f := n.fleet
	file := f.path("declaration.json")
	f.Assert(os.WriteFile(file, []byte(declaration), 0o600), qt.IsNil)
	out, code := n.primrose("plan", file)
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	return planID(out)
}

// planID returns the id, which is the last word of a plan's output.
func planID(out string) string {
	words := strings.Fields(out)
	return words[len(words)-1]
}

// declare plans and confirms a declaration, and waits until every node has it in
// force.
func (n *node) declare(declaration string) {
	f := n.fleet
	f.waitUntil("the node has a configuration", func() bool { return n.metric("version") > 0 })
	out, code := n.primrose("confirm", n.plan(declaration))
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	f.waitForVersion(n)
}

// issueKey creates a key for a team and waits until every node has it in force.
func (n *node) issueKey(team string) (key, hash string) {
	f := n.fleet
	out, code := n.primrose("key", "give", team)
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	lines := strings.Split(out, "\n")
	key = strings.TrimPrefix(lines[0], "key (shown once): ")
	hash = strings.TrimPrefix(lines[1], "hash: ")
	out, code = n.primrose("confirm", planID(out))
	f.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	f.waitForVersion(n)
	return key, hash
}

// waitForVersion waits until every node has at least the version of n in force.
func (f *fleet) waitForVersion(n *node) {
	f.waitUntil("every node has the version in force", func() bool {
		for _, other := range f.nodes {
			if other.metric("version") < n.metric("version") {
				return false
			}
		}
		return true
	})
}

// metric returns the value of a metric, or -1 when the node does not answer.
func (n *node) metric(name string) float64 {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.admin + "/debug/vars")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	var all struct {
		Primrosed map[string]float64 `json:"primrosed"`
	}
	if json.NewDecoder(response.Body).Decode(&all) != nil {
		return -1
	}
	return all.Primrosed[name]
}

// waitUntil polls ready and fails the test after waitTimeout.
func (f *fleet) waitUntil(what string, ready func() bool) {
	f.Helper()
	end := time.Now().Add(waitTimeout)
	for !ready() {
		if time.Now().After(end) {
			f.Fatalf("timed out waiting until %s\n%s", what, f.dump())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is a response with its whole body, or the error.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request on its own connection.
func (n *node) send(method, path string, body io.Reader, header map[string]string) reply {
	r, err := http.NewRequest(method, "http://"+n.listen+path, body)
	n.fleet.Assert(err, qt.IsNil)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	r.Close = true
	return doRequest(&http.Client{Timeout: waitTimeout}, r)
}

// armFault enables the faults of the started programs.
func (f *fleet) armFault() { f.Assert(os.WriteFile(f.path("armed"), nil, 0o600), qt.IsNil) }

func doRequest(client *http.Client, r *http.Request) reply {
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func bearerHeader(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

// received reads the record of the requests that the node's target received.
func (n *node) received() []emulator.ReceivedRequest {
	raw, err := os.ReadFile(n.fleet.path(n.name + ".seen"))
	if os.IsNotExist(err) {
		return nil
	}
	n.fleet.Assert(err, qt.IsNil)
	var list []emulator.ReceivedRequest
	for _, line := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
		var s emulator.ReceivedRequest
		if json.Unmarshal(line, &s) == nil {
			list = append(list, s)
		}
	}
	return list
}

// twoServicesDeclaration declares the routes that most tests use.
const twoServicesDeclaration = `{
  "centres": {"east": {"witnesses": ["a", "b"]}, "west": {"witnesses": ["c"]}},
  "teams": {"acme": {"keys": [], "rate": 100000, "burst": 100000}},
  "routes": [
    {"name": "front", "path": "/front", "service": "front", "important": true},
    {"name": "back", "path": "/back", "service": "back"},
    {"name": "open", "path": "/open", "service": "back", "open": true}
  ]
}`

// newThreeNodeFleet starts one replica and two other nodes in two data centres,
// each with a target. Requests to the service front call the service back.
func newThreeNodeFleet(t *testing.T) (*fleet, *node, *node, *node) {
	f := newFleet(t)
	a := f.add("a", "east", true, "-service", "front", "-next", "/back/deep")
	b := f.add("b", "east", false, "-service", "back")
	c := f.add("c", "west", false, "-service", "back")
	f.start()
	a.declare(twoServicesDeclaration)
	f.waitUntil("nodes a and c have routed a request to a target", func() bool {
		return a.send("GET", "/open", nil, nil).status == 200 && c.send("GET", "/open", nil, nil).status == 200
	})
	return f, a, b, c
}

// waitForTokens waits until a request with the key is served. After a
// holder has obtained its lease, its buckets stay closed until all tokens of a former
// holder have expired.
func (f *fleet) waitForTokens(n *node, path, key string) {
	f.waitUntil("the team has tokens", func() bool { return n.send("GET", path, nil, bearerHeader(key)).status == 200 })
}

func newClient() *http.Client { return &http.Client{Timeout: time.Second} }
