package forwarder

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/dialer"
)

const (
	tlsHandshakeTimeout = time.Second
	// PeerIdleTimeout is how long idle connections to other nodes are kept. It is
	// shorter than the idle timeout of their listeners.
	PeerIdleTimeout = 60 * time.Second
	// maxIdlePeerConns bounds the idle connections to one other node.
	maxIdlePeerConns = 32
	// continueTimeout is so long that a streamed body is sent only after the other
	// node has answered 100 Continue.
	continueTimeout = time.Hour
	// maxResponseHeaderBytes bounds the headers of a response.
	maxResponseHeaderBytes = 256 << 10
)

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
	budget  *dialer.Budget
	closed  atomic.Bool
}

// Close implements net.Conn. It returns the place in the budget.
func (c *countingConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	defer c.budget.Release()
	return c.Conn.Close()
}

// Write implements net.Conn. It counts the bytes before it writes them: even when
// the system call returns an error, they may arrive.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// NewPeerTransport returns the transport for requests to other nodes, whose connections a
// budget bounds; it may be nil.
func NewPeerTransport(tlsConfig *tls.Config, budget *dialer.Budget) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := budget.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, budget: budget}, nil
	}
	t := &http.Transport{
		DialContext: dial, TLSClientConfig: tlsConfig, TLSHandshakeTimeout: tlsHandshakeTimeout,
		MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: PeerIdleTimeout, DisableCompression: true,
		ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	budget.AddPool(func() bool {
		before := budget.Open()
		t.CloseIdleConnections()
		return budget.Open() < before
	})
	return t
}

// sendTracker records whether any byte of a request may have been sent.
type sendTracker struct {
	conn        atomic.Pointer[countingConn]
	bytesBefore atomic.Int64
	// reconnected is set when the transport took another connection after bytes
	// may have been sent on the first one.
	reconnected atomic.Bool
}

// trace returns a context whose request s tracks.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	raw := info.Conn
	if t, ok := raw.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	c, ok := raw.(*countingConn)
	if !ok {
		return
	}
	if s.any() {
		s.reconnected.Store(true)
	}
	s.bytesBefore.Store(c.written.Load())
	s.conn.Store(c)
}

// any reports whether any byte of the request may have been sent.
func (s *sendTracker) any() bool {
	if s.reconnected.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.bytesBefore.Load()
}

// preventReplay changes a request so that the transport cannot resend it. After a
// broken connection the transport otherwise resends requests with methods such as
// GET, and any request with an idempotency key and no body. It does not resend a
// body without GetBody; for methods that usually have no body, preventReplay sets
// an empty one, which the transport reads ahead and then sends no body. It also
// writes the names of the idempotency headers in lower case, which the transport
// does not recognize; header names are case-insensitive.
func preventReplay(r *http.Request) {
	r.GetBody = nil
	if r.ContentLength != 0 {
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		r.Body = emptyBody{}
	default:
		r.Body = http.NoBody
	}
	for _, name := range []string{headerIdempotency, "X-Idempotency-Key"} {
		if values, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[lowercaseNames[name]] = values
		}
	}
}

var lowercaseNames = map[string]string{headerIdempotency: "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"}

// emptyBody is an empty body that differs from http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
