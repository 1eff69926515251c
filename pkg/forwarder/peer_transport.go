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
	dialTimeout = time.Second
	// PeerIdleTimeout is how long idle connections to other nodes are kept; less than
	// their listeners keep them.
	PeerIdleTimeout = 60 * time.Second
	// linkIdle bounds the idle connections to one other node.
	maxIdlePeerConns = 32
	// neverContinue makes a sender wait for the other node's word before it
	// sends a long body.
	continueTimeout = time.Hour
	// maxAnswerHeader bounds the headers of an answer, in bytes.
	maxResponseHeaderBytes = 256 << 10
)

// countedConn counts what was written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. The bytes count before they are written: once
// handed to the system they may arrive whatever it says.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dialer.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c}, nil
}

// NewPeerTransport makes the transport to other nodes.
func NewPeerTransport(tlsConfig *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext: dialCounting, TLSClientConfig: tlsConfig, TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: PeerIdleTimeout, DisableCompression: true,
		ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// sent watches whether a byte of a request has gone out.
type sendTracker struct {
	conn        atomic.Pointer[countingConn]
	bytesBefore atomic.Int64
	// again tells that the transport took a second connection.
	reconnected atomic.Bool
}

// watch returns a context with which a request is watched.
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

// any tells whether a byte of the request may have gone out.
func (s *sendTracker) any() bool {
	if s.reconnected.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.bytesBefore.Load()
}

// once makes a request that the transport cannot send again by itself. It
// would otherwise do so after a broken connection for methods such as GET and
// for any request with an idempotency key and no body. A body without
// GetBody rules that out; methods that usually have no body are read ahead
// and still go out without one. For the others the header's name is spelled
// so that the transport does not know it; names are case-insensitive.
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

// emptyBody is a body without content that is not http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
