package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/connector"
	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// scriptedTarget is a target whose responses a test writes byte by byte.
type scriptedTarget struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
	// respond writes the response to a request; if it returns false, the
	// connection is closed.
	respond func(conn net.Conn, r *http.Request, body string) bool
}

func newScriptedTarget(t *testing.T, respond func(net.Conn, *http.Request, string) bool) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &scriptedTarget{listener: l, respond: respond}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *scriptedTarget) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		c := &session{scriptedTarget: s, conn: conn}
		go c.run()
	}
}

// session serves one connection. It leaves the body of a request unread if the
// request has the header Early.
type session struct {
	scriptedTarget *scriptedTarget
	conn           net.Conn
}

func (s *session) run() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.scriptedTarget.requests.Add(1)
		var body []byte
		if r.Header.Get("Early") == "" {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if !s.scriptedTarget.respond(s.conn, r, string(body)) {
			return
		}
	}
}

func get(t *testing.T, c *connector.Connector, s *scriptedTarget, id string) (string, error) {
	r, err := http.NewRequest("GET", "http://x/", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Id", id)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := c.Do(ctx, s.listener.Addr().String(), r, func(a *http.Response) bool { return a.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// TestConnectionIsReused checks that successive requests share one connection.
func TestConnectionIsReused(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, reply(r.Header.Get("Id"), "ok"))
		return err == nil
	})
	c := connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout)
	for _, id := range []string{"1", "2", "3"} {
		text, err := get(t, c, s, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, text, qt.Equals, "ok")
	}
	qt.Assert(t, s.conns.Load(), qt.Equals, int32(1))
	qt.Assert(t, c.Dialed(), qt.Equals, int64(1))
}

// TestDuplicateResponseIsDiscarded sends each response twice. The duplicate must
// not be returned for the next request.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, reply(r.Header.Get("Id"), "a"+r.Header.Get("Id"))+reply(r.Header.Get("Id"), "b"+r.Header.Get("Id")))
		return err == nil
	})
	c := connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout)
	for _, id := range []string{"1", "2", "3", "4"} {
		text, err := get(t, c, s, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, text, qt.Equals, "a"+id)
	}
}

// TestResponseToOtherRequestIsSkipped sends a response to another request first.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, reply("other", "xx")+reply(r.Header.Get("Id"), "mine"))
		return err == nil
	})
	text, err := get(t, connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout), s, "1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, "mine")
}

// TestRequestIsNeverResent closes each connection after a request was read from
// it.
func TestRequestIsNeverResent(t *testing.T) {
	s := newScriptedTarget(t, func(net.Conn, *http.Request, string) bool { return false })
	_, err := get(t, connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout), s, "1")
	var broken *connector.Error
	qt.Assert(t, errors.As(err, &broken), qt.IsTrue)
	qt.Assert(t, broken.Sent, qt.IsTrue)
	qt.Assert(t, s.requests.Load(), qt.Equals, int32(1))
}

// TestUnreachableTargetReportsNotSent connects to a port without a listener.
func TestUnreachableTargetReportsNotSent(t *testing.T) {
	s := newScriptedTarget(t, nil)
	s.listener.Close()
	_, err := get(t, connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout), s, "1")
	var broken *connector.Error
	qt.Assert(t, errors.As(err, &broken), qt.IsTrue)
	qt.Assert(t, broken.Sent, qt.IsFalse)
}

// TestTruncatedResponseIsAnError ends a response body before its Content-Length.
func TestTruncatedResponseIsAnError(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\nhalf")
		return false
	})
	_, err := get(t, connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout), s, "1")
	qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
}

// slowBody returns its first part at once; further reads block until second
// receives a text or is closed.
type slowBody struct {
	first  *strings.Reader
	second chan string
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.first.Len() > 0 {
		return b.first.Read(p)
	}
	text, ok := <-b.second
	if !ok {
		return 0, io.EOF
	}
	return copy(p, text), nil
}

// TestEarlyResponseClosesTheConnection responds before the request body is
// complete. The target would take the rest of the body for the next request if
// the connection were reused.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, reply(r.Header.Get("Id"), "no"))
		return err == nil
	})
	c := connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout)
	body := &slowBody{first: strings.NewReader("half"), second: make(chan string, 1)}
	r, err := http.NewRequest("POST", "http://x/", io.NopCloser(body))
	qt.Assert(t, err, qt.IsNil)
	r.ContentLength = 8
	r.Header.Set("Id", "1")
	r.Header.Set("Early", "1")
	response, err := c.Do(context.Background(), s.listener.Addr().String(), r, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	close(body.second)
	text, err := get(t, c, s, "2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, "no")
	qt.Assert(t, s.conns.Load(), qt.Equals, int32(2))
}

// writeUntilClosed writes head once and then piece repeatedly, until the
// connection is closed. It returns how many bytes were written.
func writeUntilClosed(c net.Conn, head, piece string) int64 {
	taken, err := io.WriteString(c, head)
	total := int64(taken)
	for err == nil {
		taken, err = io.WriteString(c, piece)
		total += int64(taken)
	}
	return total
}

// TestEndlessResponsesAreBounded sends bytes that never make a final response.
// The connector must give up by itself after a bounded number of bytes.
func TestEndlessResponsesAreBounded(t *testing.T) {
	// maxBytes leaves room for a response's headers and for socket buffers.
	const maxBytes = 8 << 20
	line := strings.Repeat("x", 1000)
	for name, answer := range map[string]struct{ head, piece string }{
		"status line":    {"HTTP/1.1 200 ", line},
		"header value":   {"HTTP/1.1 200 OK\r\nLong: ", line},
		"many headers":   {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		"no protocol":    {"", line},
		"interim":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"foreign body":   {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", line},
		"foreign chunks": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int64, 1)
			s := newScriptedTarget(t, func(c net.Conn, _ *http.Request, _ string) bool {
				taken <- writeUntilClosed(c, answer.head, answer.piece)
				return false
			})
			began := time.Now()
			_, err := get(t, connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout), s, "1")
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%v: %v", time.Since(began), err))
			total := <-taken
			qt.Assert(t, total < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", total))
		})
	}
}

// TestConnectionsLeakFromBudget guards against places in a budget that are not returned when a
// connection ends, in whichever way, and against idle connections that keep others from being
// made.
func TestConnectionsLeakFromBudget(t *testing.T) {
	answers := func(c net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("Id")
		switch id {
		case "breaks":
			return false
		case "foreign":
			_, err := io.WriteString(c, strings.Repeat(reply("other", "x"), 4))
			return err == nil
		case "short":
			_, err := io.WriteString(c, strings.TrimSuffix(reply(id, "xy"), "y"))
			return err != nil
		}
		_, err := io.WriteString(c, reply(id, "ok"))
		return err == nil
	}
	first, second := newScriptedTarget(t, answers), newScriptedTarget(t, answers)
	budget := dialer.NewBudget(1)
	c := connector.New(timekeeper.BootTimeClock{}, connector.TargetIdleTimeout)
	c.UseBudget(budget)
	for range 3 {
		for _, id := range []string{"breaks", "foreign", "short", "ok"} {
			for _, s := range []*scriptedTarget{first, second} {
				_, err := get(t, c, s, id)
				qt.Assert(t, err == nil, qt.Equals, id == "ok", qt.Commentf("%s: %v", id, err))
				var full *dialer.FullError
				qt.Assert(t, errors.As(err, &full), qt.IsFalse, qt.Commentf("%s", id))
			}
		}
	}
	qt.Assert(t, budget.Open(), qt.Equals, 1)
}
