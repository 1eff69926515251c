package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// pipelinedAnswer is the length of an answer, more than what the callers' sockets take
	// at once, and pipelinedTime what the target needs.
	pipelinedAnswer = 256 << 10
	pipelinedTime   = 300 * time.Millisecond
	// smallReceiveBuffer is the size of the receive buffer of the callers' sockets.
	smallReceiveBuffer = 8 << 10
	pipeliningCallers  = 12
	// behindDelay is how long after a request the next ones are sent.
	behindDelay = 30 * time.Millisecond
)

// longTarget answers with a long body.
type longTarget struct {
	address string

	mu sync.Mutex
	// paths are those of the requests that have arrived.
	paths []string
}

func newLongTarget(t *testing.T) *longTarget {
	target := &longTarget{address: addresses.Next()}
	serveTarget(t, target.address, target)
	return target
}

// ServeHTTP implements http.Handler.
func (l *longTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.paths = append(l.paths, r.URL.Path)
	l.mu.Unlock()
	time.Sleep(pipelinedTime)
	platformDriver{}.answer(w.Header(), r, "", false)
	_, _ = io.WriteString(w, strings.Repeat("x", pipelinedAnswer))
}

func (l *longTarget) saw(path string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.paths {
		if p == path {
			return true
		}
	}
	return false
}

// pipeliningCaller sends a request and two more behind it on one connection, and reads the
// answer to the first one.
type pipeliningCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newPipeliningCaller(t *testing.T, address string) *pipeliningCaller {
	dialer := net.Dialer{Timeout: waitTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	return &pipeliningCaller{conn, bufio.NewReader(conn)}
}

func (c *pipeliningCaller) send(t *testing.T, r *http.Request) {
	qt.Assert(t, r.Write(c.conn), qt.IsNil)
}

// read reads one answer.
func (c *pipeliningCaller) read() (status int, length int, closes bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, false, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), response.Close, err
}

// TestStopResetsAnswersBeforePipelinedRequests guards against a stopping node that resets a
// connection with unread requests, so that the caller loses the answer before them.
func TestStopResetsAnswersBeforePipelinedRequests(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		target := newLongTarget(t)
		f := newInterfaceFleet(t, s, target.address)
		s.declare(t, f)
		f.announce(t, s, false)
		entry, cancel := f.startEntry(t, 0)
		f.sendUntil(t, func() *http.Request { return s.request(entry, "/open/ready", "") }, hasStatus(http.StatusOK))
		cancel()
		time.Sleep(behindDelay)
		var callers []*pipeliningCaller
		for i := range pipeliningCallers {
			c := newPipeliningCaller(t, entry.Listen)
			c.send(t, s.request(entry, fmt.Sprintf("/open/first%d", i), ""))
			callers = append(callers, c)
		}
		time.Sleep(behindDelay)
		for i, c := range callers {
			for range 2 {
				c.send(t, s.request(entry, fmt.Sprintf("/open/behind%d", i), ""))
			}
		}
		for i, c := range callers {
			status, length, closes, err := c.read()
			qt.Check(t, err, qt.IsNil, qt.Commentf("caller %d got %d bytes", i, length))
			qt.Check(t, status, qt.Equals, http.StatusOK)
			qt.Check(t, length, qt.Equals, pipelinedAnswer)
			qt.Check(t, closes, qt.IsTrue)
			qt.Check(t, target.saw(fmt.Sprintf("/open/behind%d", i)), qt.IsFalse, qt.Commentf("a request behind the last answer has run"))
			c.conn.Close()
		}
	})
}
