package server

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/bounder"
	"github.com/primrosewall/primrosewall/pkg/closer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
)

const (
	// refusalWriteTimeout bounds the write of a refusal by the goroutine that reads a head.
	refusalWriteTimeout = 100 * time.Millisecond
	// boundRetryDelay is the retry delay of a caller that is refused because heads take too
	// much memory: those that are slow are gone by then.
	boundRetryDelay = time.Second
)

// boundedListener is a listener whose connections count in the bounds of the process.
type boundedListener struct {
	net.Listener
	server *Server
	gate   *bounder.Gate
	// refuse answers requests that are refused; useTLS is set where a refusal cannot be
	// written before a request has been read.
	refuse func(http.ResponseWriter, *forwarder.Refusal)
	useTLS bool
}

// Accept implements net.Listener. It closes connections that find no place.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &boundedConn{Conn: raw.(*closer.Conn), listener: l}
		if c.slot = l.gate.Admit(c); c.slot != nil {
			return c, nil
		}
		l.server.boundsLog.count(bounder.TooManyConnections)
		raw.Close()
	}
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	*closer.Conn
	listener *boundedListener
	slot     *bounder.Slot
	closed   atomic.Bool
}

// Read implements net.Conn. It ends a connection that has to, with a refusal if it can.
func (c *boundedConn) Read(p []byte) (int, error) {
	waits := c.slot.WaitRead()
	n, err := c.Conn.Read(p)
	if waits {
		c.slot.EndRead(n)
	}
	if n == 0 {
		return n, err
	}
	cause := c.slot.Read(p[:n])
	if cause == "" {
		return n, err
	}
	c.listener.server.boundsLog.count(cause)
	c.writeRefusal(boundRefusal(cause))
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.slot.WaitWrite(len(p))
	n, err := c.Conn.Write(p)
	c.slot.EndWrite(len(p), n)
	return n, err
}

// Close implements net.Conn. While the connection lingers it counts, and gives way to
// others.
func (c *boundedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if !c.slot.Linger() {
		return c.CloseNow()
	}
	return c.CloseThen(c.slot.Close)
}

// boundRefusal returns the refusal for a cause.
func boundRefusal(cause bounder.Cause) *forwarder.Refusal {
	if cause == bounder.TooManyLines {
		return forwarder.Refuse(http.StatusRequestHeaderFieldsTooLarge, forwarder.ReasonRequest, "the head has too many lines")
	}
	r := forwarder.Refuse(http.StatusServiceUnavailable, forwarder.ReasonLoad, "the heads and bodies of requests take too much memory")
	r.Wait = boundRetryDelay
	return r
}

// writeRefusal writes a refusal in place of the response to a request whose head has not
// been read to its end.
func (c *boundedConn) writeRefusal(r *forwarder.Refusal) {
	if c.listener.useTLS {
		return
	}
	w := &refusalWriter{header: http.Header{"Connection": {"close"}}}
	c.listener.refuse(w, r)
	// An error means that the caller has disconnected, or reads nothing.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_ = w.response().Write(c.Conn)
}

// refusalWriter collects a refusal.
type refusalWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *refusalWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *refusalWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *refusalWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

func (w *refusalWriter) response() *http.Response {
	return &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body),
	}
}

// boundedConnKey is the key of the boundedConn in the context of a request.
type boundedConnKey struct{}

// boundedConnOf returns the connection that the process counts.
func boundedConnOf(c net.Conn) *boundedConn {
	b, _ := withoutTLS(c).(*boundedConn)
	return b
}

// withoutTLS returns the connection under that of a TLS listener.
func withoutTLS(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}

// connectionIdle records that a connection has been answered and waits for its next
// request.
func connectionIdle(c net.Conn) {
	switch c := withoutTLS(c).(type) {
	case *boundedConn:
		c.slot.Idle()
		c.Idle()
	case *closer.Conn:
		c.Idle()
	}
}

// boundListener makes the connections of a server count in the bounds of the process, if
// there are any. The connections of socket are of type *closer.Conn.
func (s *Server) boundListener(server *http.Server, socket net.Listener, useTLS bool, refuse func(http.ResponseWriter, *forwarder.Refusal)) net.Listener {
	if s.bounds == nil {
		return socket
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, boundedConnKey{}, boundedConnOf(c))
	}
	server.Handler = &boundedHandler{server: s, next: server.Handler, refuse: refuse}
	return &boundedListener{Listener: socket, server: s, gate: s.bounds.Gate(), refuse: refuse, useTLS: useTLS}
}

// boundedHandler counts requests whose heads have been read.
type boundedHandler struct {
	server *Server
	next   http.Handler
	refuse func(http.ResponseWriter, *forwarder.Refusal)
}

// ServeHTTP implements http.Handler.
func (h *boundedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(boundedConnKey{}).(*boundedConn)
	if !ok || c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	cause := c.slot.Begin(forwarder.BufferedBytes(r), hasBody)
	if cause == "" {
		if hasBody {
			r.Body = &boundedBody{ReadCloser: r.Body, slot: c.slot}
		}
		h.next.ServeHTTP(w, r)
		return
	}
	h.server.boundsLog.count(cause)
	w.Header().Set("Connection", "close")
	h.refuse(w, boundRefusal(cause))
}

// boundedBody is the body of a request. Its end is recorded, since a connection that is read
// after it waits for nothing that the caller owes.
type boundedBody struct {
	io.ReadCloser
	slot *bounder.Slot
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.slot.EndBody()
	}
	return n, err
}

// evict closes a connection that gives way to others.
func (s *Server) evict(slot *bounder.Slot, cause bounder.Cause) {
	s.boundsLog.count(cause)
	if err := slot.Conn.(*boundedConn).CloseNow(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.countEvent("connection_errors", 1)
	}
}
