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

// rawTarget is a target that plays bytes which need not be an answer.
type rawTarget struct {
	node *node
	// play writes what a request gets; the connection is closed when it returns.
	play func(c net.Conn, path string)
	body []byte
}

// listen announces the target and serves until the test ends.
func (r *rawTarget) listen(f *fleet, service string) {
	l, err := net.Listen("tcp", r.node.target)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { l.Close() })
	go r.run(l)
	r.body, err = json.Marshal(announcer.Announcement{Service: service, Address: r.node.target, Slots: 200, Life: "raw"})
	f.Assert(err, qt.IsNil)
	f.until("the target is announced", r.announce)
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go r.loop(ctx)
}

// announce renews the announcement.
func (r *rawTarget) announce() bool {
	request, err := http.NewRequest(http.MethodPut, "http://"+r.node.admin+"/announce", bytes.NewReader(r.body))
	return err == nil && do(newClient(), request).status == http.StatusNoContent
}

func (r *rawTarget) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
			r.announce()
		}
	}
}

func (r *rawTarget) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p := &rawConn{target: r, conn: c}
		go p.run()
	}
}

type rawConn struct {
	target *rawTarget
	conn   net.Conn
}

func (r *rawConn) run() {
	defer r.conn.Close()
	buffer := make([]byte, 4096)
	n, err := r.conn.Read(buffer)
	if err != nil {
		return
	}
	if words := strings.Fields(string(buffer[:n])); len(words) > 1 {
		r.target.play(r.conn, words[1])
	}
}

// forever writes a piece until the other end closes, a little at a time.
func forever(c net.Conn, head, piece string) {
	_, err := io.WriteString(c, head)
	for err == nil {
		_, err = io.WriteString(c, piece)
	}
}

// memory is the resident memory of a daemon, in bytes.
func (n *node) memory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.daemon.Process.Pid))
	n.fleet.Assert(err, qt.IsNil)
	pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
	n.fleet.Assert(err, qt.IsNil)
	return pages * os.Getpagesize()
}

// TestTargetSendsBytesWithoutEnd lets a target answer with bytes that never end,
// in a head or in a body, to many callers at once. Each caller gets a clear end
// in time, memory is bounded, and others are served afterwards.
func TestTargetSendsBytesWithoutEnd(t *testing.T) {
	const (
		callers = 50
		waits   = time.Second
		// ends is when a caller must have its end: its own deadline, the time for
		// an answer that has begun, and a second for a busy machine.
		ends = waits + 3*time.Second
		// memoryBound is a third of the least memory of a node.
		memoryBound = 60 << 20
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
	target := &rawTarget{node: n, play: func(c net.Conn, path string) {
		switch path {
		case "/open/head":
			forever(c, "HTTP/1.1 200 OK\r\nLong: ", line)
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
			forever(c, "", "HTTP/1.1 103 Early Hints\r\n\r\n")
		case "/open/drip":
			for {
				if _, err := io.WriteString(c, "H"); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		case "/open/chunks":
			forever(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+line+"\r\n")
		case "/open/close":
			forever(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", line)
		case "/open/extra":
			forever(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", line)
		case "/open/stall":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegin")
			time.Sleep(patience)
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		}
	}}
	target.listen(f, "back")
	f.until("the target is known", func() bool { return n.ask("GET", "/open/good", nil, nil).status == 200 })
	before := n.memory()
	for _, c := range []struct {
		path string
		// status of the answer; a body that does not end must not look whole.
		status int
		whole  bool
	}{
		{"head", 502, true}, {"lines", 502, true}, {"interim", 502, true},
		{"drip", 504, true}, {"stall", 504, true},
		{"chunks", 200, false}, {"close", 200, false}, {"extra", 200, true},
	} {
		group := &endlessCallers{node: n, path: "/open/" + c.path, waits: waits, over: make(chan struct{})}
		for range callers {
			group.Add(1)
			go group.run()
		}
		go group.loop()
		most := 0
		for waiting := true; waiting; {
			select {
			case <-group.over:
				waiting = false
			case <-time.After(20 * time.Millisecond):
				most = max(most, n.memory())
			}
		}
		for _, got := range group.got {
			f.Check(got.status, qt.Equals, c.status, qt.Commentf("%s: %v", c.path, got.err))
			f.Check(got.err == nil, qt.Equals, c.whole, qt.Commentf("%s: %v", c.path, got.err))
			f.Check(got.took < ends, qt.IsTrue, qt.Commentf("%s took %v", c.path, got.took))
		}
		f.Check(most-before < memoryBound, qt.IsTrue, qt.Commentf("%s: %d MB, %d MB before", c.path, most>>20, before>>20))
		f.until("others are served", func() bool { return n.ask("GET", "/open/good", nil, nil).status == 200 })
	}
	f.until("nothing runs at the target any more", func() bool { return n.metric("inflight") <= 0 })
}

// endlessCallers ask for one path at the same time.
type endlessCallers struct {
	sync.WaitGroup
	node  *node
	path  string
	waits time.Duration
	// over is closed when all have their end.
	over chan struct{}

	mu  sync.Mutex
	got []timedReply
}

// timedReply is an answer with the time that it took.
type timedReply struct {
	reply
	took time.Duration
}

func (e *endlessCallers) run() {
	defer e.Done()
	began := time.Now()
	got := timedReply{reply: e.node.discard(e.path, e.waits)}
	got.took = time.Since(began)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got = append(e.got, got)
}

// loop waits for all callers.
func (e *endlessCallers) loop() {
	e.Wait()
	close(e.over)
}

// discard sends a request of a caller that says how long it waits, and reads the
// body without keeping it.
func (n *node) discard(path string, waits time.Duration) reply {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.listen+path, nil)
	n.fleet.Assert(err, qt.IsNil)
	r.Header.Set("Primrose-Timeout", strconv.FormatInt(waits.Milliseconds(), 10))
	r.Close = true
	client := &http.Client{Timeout: patience}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return reply{status: response.StatusCode, err: err}
}
