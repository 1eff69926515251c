package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/announcer"
)

// rawTarget is a target that writes raw bytes, which need not form a valid HTTP
// response.
type rawTarget struct {
	node *node
	// respond writes the response to a request for path; the connection is closed
	// when it returns.
	respond func(c net.Conn, path string)
	body    []byte
}

// listen announces the target and serves until the test ends.
func (r *rawTarget) listen(f *fleet, service string) {
	l, err := net.Listen("tcp", r.node.target)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { l.Close() })
	go r.serve(l)
	r.body, err = json.Marshal(announcer.Announcement{Service: service, Address: r.node.target, Slots: 200, Life: "raw"})
	f.Assert(err, qt.IsNil)
	f.waitUntil("the target is announced", r.announce)
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go r.announceLoop(ctx)
}

// announce sends the announcement and reports whether the node accepted it.
func (r *rawTarget) announce() bool {
	request, err := http.NewRequest(http.MethodPut, "http://"+r.node.admin+"/announce", bytes.NewReader(r.body))
	return err == nil && doRequest(newClient(), request).status == http.StatusNoContent
}

func (r *rawTarget) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
			r.announce()
		}
	}
}

func (r *rawTarget) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p := &rawConn{target: r, conn: c}
		go p.serve()
	}
}

type rawConn struct {
	target *rawTarget
	conn   net.Conn
}

func (r *rawConn) serve() {
	defer r.conn.Close()
	buffer := make([]byte, 4096)
	n, err := r.conn.Read(buffer)
	if err != nil {
		return
	}
	if words := strings.Fields(string(buffer[:n])); len(words) > 1 {
		r.target.respond(r.conn, words[1])
	}
}

// writeEndlessly writes head, then piece again and again until a write fails,
// which it does once the other end has closed the connection.
func writeEndlessly(c net.Conn, head, piece string) {
	_, err := io.WriteString(c, head)
	for err == nil {
		_, err = io.WriteString(c, piece)
	}
}

// residentMemory returns the resident memory of the daemon in bytes.
func (n *node) residentMemory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.daemon.Process.Pid))
	n.fleet.Assert(err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
	n.fleet.Assert(err, qt.IsNil)
	return pages * os.Getpagesize()
}

// TestEndlessTargetResponses has a target send response heads and bodies that
// never end, or stall, to many callers at once. Each caller must get a definite
// result in time, the node's memory must stay bounded, and other requests must
// be served afterwards.
func TestEndlessTargetResponses(t *testing.T) {
	const (
		callers = 50
		timeout = time.Second
		// maxDuration bounds a request: the caller's timeout, the time allowed for
		// a response that has begun, and one second for a busy machine.
		maxDuration = timeout + 3*time.Second
		// maxMemoryGrowth is a third of the smallest memory that a node is given.
		maxMemoryGrowth = 60 << 20
	)
	f := newFleet(t)
	n := f.add("a", "east", true)
	n.startDaemon()
	n.declare(`{
  "centres": {"east": {"witnesses": ["a"]}},
  "teams": {},
  "routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]
}`)
	line := strings.Repeat("x", 1000)
	target := &rawTarget{node: n, respond: func(c net.Conn, path string) {
		switch path {
		case "/open/head":
			writeEndlessly(c, "HTTP/1.1 200 OK\r\nLong: ", line)
		case "/open/lines":
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"); err != nil {
				return
			}
			for i := 0; ; i++ {
				if _, err := fmt.Fprintf(c, "a%d: b\r\n", i); err != nil {
					return
				}
			}
		case "/open/interim":
			writeEndlessly(c, "", "HTTP/1.1 103 Early Hints\r\n\r\n")
		case "/open/drip":
			for {
				if _, err := io.WriteString(c, "H"); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		case "/open/chunks":
			writeEndlessly(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+line+"\r\n")
		case "/open/close":
			writeEndlessly(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", line)
		case "/open/extra":
			writeEndlessly(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", line)
		case "/open/stall":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegin")
			time.Sleep(waitTimeout)
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		}
	}}
	target.listen(f, "back")
	f.waitUntil("the node has routed a request to the target", func() bool { return n.send("GET", "/open/good", nil, nil).status == 200 })
	before := n.residentMemory()
	for _, c := range []struct {
		path string
		// status of the response. complete is false when the body does not end: the
		// caller must then see an error.
		status   int
		complete bool
	}{
		{"head", 502, true}, {"lines", 502, true}, {"interim", 502, true},
		{"drip", 504, true}, {"stall", 504, true},
		{"chunks", 200, false}, {"close", 200, false}, {"extra", 200, true},
	} {
		group := &callerGroup{node: n, path: "/open/" + c.path, timeout: timeout, allDone: make(chan struct{})}
		for range callers {
			group.Add(1)
			go group.run()
		}
		go group.waitForAll()
		peak := 0
		for waiting := true; waiting; {
			select {
			case <-group.allDone:
				waiting = false
			case <-time.After(20 * time.Millisecond):
				peak = max(peak, n.residentMemory())
			}
		}
		for _, got := range group.got {
			f.Check(got.status, qt.Equals, c.status, qt.Commentf("%s: %v", c.path, got.err))
			f.Check(got.err == nil, qt.Equals, c.complete, qt.Commentf("%s: %v", c.path, got.err))
			f.Check(got.took < maxDuration, qt.IsTrue, qt.Commentf("%s took %v", c.path, got.took))
		}
		f.Check(peak-before < maxMemoryGrowth, qt.IsTrue, qt.Commentf("%s: %d MB, %d MB before", c.path, peak>>20, before>>20))
		f.waitUntil("other requests are served", func() bool { return n.send("GET", "/open/good", nil, nil).status == 200 })
	}
	f.waitUntil("no request is in flight at the target", func() bool { return n.metric("inflight") <= 0 })
}

// callerGroup requests one path concurrently.
type callerGroup struct {
	sync.WaitGroup
	node    *node
	path    string
	timeout time.Duration
	// allDone is closed when all callers have their result.
	allDone chan struct{}

	mu  sync.Mutex
	got []timedReply
}

// timedReply is a reply and how long it took.
type timedReply struct {
	reply
	took time.Duration
}

func (g *callerGroup) run() {
	defer g.Done()
	began := time.Now()
	got := timedReply{reply: g.node.sendAndDiscard(g.path, g.timeout)}
	got.took = time.Since(began)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.got = append(g.got, got)
}

// waitForAll closes allDone once all callers have their result.
func (g *callerGroup) waitForAll() {
	g.Wait()
	close(g.allDone)
}

// sendAndDiscard sends a request that states the caller's timeout, and reads the
// body without keeping it.
func (n *node) sendAndDiscard(path string, timeout time.Duration) reply {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.listen+path, nil)
	n.fleet.Assert(err, qt.IsNil)
	r.Header.Set("Primrose-Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
	r.Close = true
	client := &http.Client{Timeout: waitTimeout}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return reply{status: response.StatusCode, err: err}
}
