package test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestPath sends requests through a fleet of separate processes and checks
// responses, rejections, that keys are hidden from targets and logs, the withdrawal
// of a key, and the audit trail.
func TestRequestPath(t *testing.T) {
	f, a, b, c := newThreeNodeFleet(t)
	key, hash := b.issueKey("acme")
	f.waitForTokens(c, "/front", key)

	t.Run("a caller gets the whole response", func(t *testing.T) {
		got := c.send("GET", "/front/x?id=7", nil, bearerHeader(key))
		qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
		qt.Assert(t, got.body, qt.Equals, "front GET /front/x?id=7 body=0 team=acme [back GET /back/deep?for=7 body=0 team=acme []]\n")
	})
	t.Run("rejections state the outcome notrun", func(t *testing.T) {
		for _, header := range []map[string]string{nil, bearerHeader("pwk_wrongwrongwrongwrong"), {"Primrose-Team": "acme"}} {
			got := c.send("GET", "/front/refused", nil, header)
			qt.Assert(t, got.status, qt.Equals, 401)
			qt.Assert(t, got.header.Get("Primrose-Outcome"), qt.Equals, "notrun")
			qt.Assert(t, got.body, qt.Contains, `"outcome":"notrun"`)
		}
		for _, s := range a.received() {
			qt.Assert(t, s.URL, qt.Not(qt.Contains), "refused")
		}
	})
	t.Run("no target or log contains the key", func(t *testing.T) {
		for i, header := range keyHeaders(key) {
			got := c.send("GET", fmt.Sprintf("/front/k%d?a=1&key=%s&b=2", i, strings.ReplaceAll(key, "_", "%5f")), nil, header)
			qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
		}
		for _, n := range f.nodes {
			raw, err := os.ReadFile(f.path(n.name + ".seen"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(raw), qt.Not(qt.Contains), key[4:])
			log, err := os.ReadFile(f.path(n.name + ".log"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(log), qt.Not(qt.Contains), key[4:])
		}
	})
	t.Run("a withdrawn key is rejected, also on an open connection", func(t *testing.T) {
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		send := func() reply {
			r, err := http.NewRequest("GET", "http://"+c.listen+"/back/w", nil)
			qt.Assert(t, err, qt.IsNil)
			r.Header.Set("Authorization", "Bearer "+key)
			return doRequest(client, r)
		}
		qt.Assert(t, send().status, qt.Equals, 200)
		out, code := b.primrose("key", "withdraw", hash)
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
		f.waitUntil("the key is rejected", func() bool { return send().status == 401 })
	})
	t.Run("the audit trail is complete", func(t *testing.T) {
		out, code := c.primrose("audit")
		qt.Assert(t, code, qt.Equals, 0)
		for _, want := range []string{"version=1 ", "version=2 base=1 ", "version=3 base=2 ", "tester", "+ team acme: key " + hash} {
			qt.Assert(t, out, qt.Contains, want)
		}
	})
}

// keyHeaders returns the sets of headers in which callers may send a key.
func keyHeaders(key string) []map[string]string {
	return []map[string]string{
		bearerHeader(key),
		{"Primrose-Key": key},
		{"Authorization": "Bearer " + key, "Proxy-Authorization": "Bearer " + key, "Cookie": "a=1; k=" + key + "; b=2"},
		{"Authorization": "Bearer " + key, "X-Custom": "my " + key, "Referer": "http://x/?k=" + key},
		{"Authorization": "Bearer " + key, "Connection": "X-Hop", "X-Hop": "1", "Primrose-Team": "other"},
	}
}

// TestPlannedStopLosesNoRequests stops a target and its node with SIGTERM under
// load. No request may fail, also not an upload that is in progress.
func TestPlannedStopLosesNoRequests(t *testing.T) {
	f, a, b, c := newThreeNodeFleet(t)
	key, _ := a.issueKey("acme")
	f.waitForTokens(a, "/back", key)
	l := &loadGenerator{node: a, key: key, stop: make(chan struct{}), failures: map[string]int{}}
	l.start(8)
	upload := &upload{node: a, key: key, done: make(chan reply, 1), path: "/back/upload"}
	go upload.run()
	time.Sleep(300 * time.Millisecond)
	f.signal(b.targetProcess, syscall.SIGTERM)
	_, err := b.targetProcess.Process.Wait()
	f.Assert(err, qt.IsNil)
	f.signal(b.daemon, syscall.SIGTERM)
	_, err = b.daemon.Process.Wait()
	f.Assert(err, qt.IsNil)
	close(l.stop)
	l.group.Wait()
	f.Assert(l.failures, qt.HasLen, 0)
	f.Assert(l.served > 100, qt.IsTrue, qt.Commentf("%d", l.served))
	got := <-upload.done
	f.Assert(got.status, qt.Equals, 200, qt.Commentf("%+v", got))
	f.Assert(got.body, qt.Contains, fmt.Sprintf("body=%d ", uploadChunks*uploadChunk))
	f.Assert(len(b.received()) > 0 && len(c.received()) > 0, qt.IsTrue)
}

// TestConnectionsAreBounded sends more concurrent requests than the node may open
// connections to the target, although the target has slots for all of them.
func TestConnectionsAreBounded(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "east", true, "-service", "back", "-slots", "50", "-time", "100ms")
	a.connections = 3
	f.add("b", "east", true)
	f.add("c", "west", true)
	f.start()
	a.declare(`{
  "routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]
}`)
	f.waitUntil("the node has routed a request to the target", func() bool { return a.send("GET", "/open", nil, nil).status == 200 })
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { a.send("GET", "/open", nil, nil) })
	}
	group.Wait()
	response, err := newClient().Get("http://" + a.admin + "/metrics")
	f.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	f.Assert(err, qt.IsNil)
	made := regexp.MustCompile(`(?m)^primrose_target_connections ([0-9]+)$`).FindSubmatch(text)
	f.Assert(made, qt.HasLen, 2)
	count, err := strconv.Atoi(string(made[1]))
	f.Assert(err, qt.IsNil)
	f.Assert(count >= 1 && count <= 3, qt.IsTrue, qt.Commentf("%d", count))
}

// loadGenerator sends requests until it is stopped and counts those that were served
// and the failures.
type loadGenerator struct {
	node     *node
	key      string
	stop     chan struct{}
	group    sync.WaitGroup
	mu       sync.Mutex
	served   int
	failures map[string]int
}

func (l *loadGenerator) start(workers int) {
	for range workers {
		l.group.Add(1)
		go l.run()
	}
}

func (l *loadGenerator) run() {
	defer l.group.Done()
	client := &http.Client{Transport: &http.Transport{}}
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		r, err := http.NewRequest("GET", "http://"+l.node.listen+"/back/load", nil)
		if err != nil {
			panic(err)
		}
		r.Header.Set("Authorization", "Bearer "+l.key)
		got := doRequest(client, r)
		l.mu.Lock()
		if got.status == 200 && got.err == nil {
			l.served++
		} else {
			l.failures[fmt.Sprint(got.status, got.body, got.err)]++
		}
		l.mu.Unlock()
	}
}

const (
	uploadChunks = 30
	uploadChunk  = 8 << 10
)

// upload sends a long body slowly, in chunks.
type upload struct {
	node      *node
	key, path string
	done      chan reply
}

func (u *upload) run() {
	r, w := io.Pipe()
	go u.writeBody(w)
	u.done <- u.node.send("POST", u.path, r, bearerHeader(u.key))
}

func (u *upload) writeBody(w *io.PipeWriter) {
	for range uploadChunks {
		if _, err := w.Write(make([]byte, uploadChunk)); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.Close()
}

// TestKilledReplicaLosesNothing kills all nodes right after a confirmed change and a
// withdrawal, and restarts them with the same data folders. The version, the
// declaration and the audit trail must be there again.
func TestKilledReplicaLosesNothing(t *testing.T) {
	f, a, b, _ := newThreeNodeFleet(t)
	key, hash := b.issueKey("acme")
	_, code := b.primrose("key", "withdraw", "sha256:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Assert(code, qt.Equals, 0)
	for _, n := range f.nodes {
		f.kill(n.daemon)
	}
	for _, name := range f.names {
		f.nodes[name].startDaemon()
	}
	f.waitUntil("the version is in force again", func() bool { return a.metric("version") == 3 && b.metric("version") == 3 })
	f.waitForTokens(b, "/back", key)
	out, _ := b.primrose("show")
	f.Assert(out, qt.Contains, hash)
	out, _ = b.primrose("audit")
	f.Assert(out, qt.Contains, "version=3 base=2")
}
