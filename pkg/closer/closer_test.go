package closer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// answerBytes is more than the sockets of a connection take at once.
	answerBytes = 4 << 20
	waitTime    = 10 * time.Second
	// shortTime is long enough for bytes to arrive, and for a reset to be seen.
	shortTime = 50 * time.Millisecond
)

// testServer is a server whose connections are of type *Conn.
type testServer struct {
	closer Closer
	server *http.Server
	socket net.Listener
}

func newTestServer(t *testing.T, handler http.HandlerFunc) *testServer {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &testServer{socket: socket}
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: waitTime, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*Conn).Idle()
		}
	}}
	go s.run()
	t.Cleanup(func() { s.server.Close() })
	return s
}

func (s *testServer) run() { _ = s.server.Serve(s.closer.Listen(s.socket)) }

func (s *testServer) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", s.socket.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(waitTime)), qt.IsNil)
	return conn
}

func answerAndClose(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(shortTime)
	w.Header().Set("Connection", "close")
	_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// TestUnreadRequestsResetAnswer guards against an answer that is lost with a reset since
// requests behind it have not been read.
func TestUnreadRequestsResetAnswer(t *testing.T) {
	s := newTestServer(t, answerAndClose)
	conn := s.dial(t)
	_, err := io.WriteString(conn, strings.Repeat(request, 3))
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(2 * shortTime)
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, answerBytes)
	_, err = reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, s.closer.Lingering(), qt.Equals, 1)
	conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	qt.Assert(t, s.closer.Wait(ctx), qt.IsNil)
	qt.Assert(t, s.closer.Cut(), qt.Equals, int64(0))
}

// TestIdleConnectionHoldsUpStop guards against idle connections that linger at a shutdown,
// whose peers do not look at them.
func TestIdleConnectionHoldsUpStop(t *testing.T) {
	s := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	conn := s.dial(t)
	_, err := io.WriteString(conn, request)
	qt.Assert(t, err, qt.IsNil)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(shortTime)
	qt.Assert(t, s.server.Shutdown(context.Background()), qt.IsNil)
	qt.Assert(t, s.closer.Lingering(), qt.Equals, 0)
}

// TestEndlessSenderIsNotReadForEver guards against a peer that goes on sending and is read
// without end.
func TestEndlessSenderIsNotReadForEver(t *testing.T) {
	s := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	conn := s.dial(t)
	for err := error(nil); err == nil; {
		_, err = io.WriteString(conn, strings.Repeat(request, 1000))
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	qt.Assert(t, s.closer.Wait(ctx), qt.IsNil)
	qt.Assert(t, s.closer.Cut(), qt.Equals, int64(1))
}

// TestCloseNowEndsLinger guards against a connection that cannot be taken back while it
// lingers.
func TestCloseNowEndsLinger(t *testing.T) {
	freed := make(chan struct{})
	closer := &Closer{}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer socket.Close()
	peer, err := net.Dial("tcp", socket.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer peer.Close()
	accepted, err := closer.Listen(socket).Accept()
	qt.Assert(t, err, qt.IsNil)
	c := accepted.(*Conn)
	_, err = io.WriteString(c, "answer")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.CloseThen(func() { close(freed) }), qt.IsNil)
	select {
	case <-freed:
		t.Fatal("the connection did not wait for its peer")
	case <-time.After(shortTime):
	}
	qt.Assert(t, c.CloseNow(), qt.IsNil)
	select {
	case <-freed:
	case <-time.After(waitTime):
		t.Fatal("the connection goes on lingering")
	}
}
