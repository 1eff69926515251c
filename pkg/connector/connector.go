package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// TargetIdleTimeout is how long an idle connection to a target is kept if the
	// target states no timeout: the shortest that servers commonly use.
	TargetIdleTimeout = 5 * time.Second
	// idleMargin is subtracted from the timeout that the target states, so that no
	// request is on its way when the target closes the connection.
	idleMargin = time.Second
	// maxForeignResponses bounds how many responses to other requests are skipped
	// before one exchange fails, and maxForeignBodyBytes the body of each.
	maxForeignResponses = 2
	maxForeignBodyBytes = 64 << 10
	// maxInterimResponses bounds how many 1xx responses may precede the final
	// one, as in net/http.
	maxInterimResponses = 5
	// readBufferBytes and writeBufferBytes are the buffer sizes per connection.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxHeaderBytes bounds the status line and headers of a response. Common
	// servers send up to 16 KB, and the decoded form may take 40 times as much
	// memory.
	maxHeaderBytes = 32 << 10
)

// Error reports that a request got no response.
type Error struct {
	// Sent is set when a byte of the request may have reached the other end.
	Sent bool
	// Reused is set when the connection had carried a request before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("no answer (sent %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// beforeSendKey is the context key of the function that WithBeforeSend sets.
type beforeSendKey struct{}

// WithBeforeSend returns a context with which Do calls a function just before it writes
// the first byte of a request, on a connection that stands by then. If the function
// returns an error, the request is not sent.
func WithBeforeSend(ctx context.Context, beforeSend func() error) context.Context {
	return context.WithValue(ctx, beforeSendKey{}, beforeSend)
}

// ResponseCheck reports whether a response belongs to the request that was sent.
type ResponseCheck func(*http.Response) bool

// Connector sends requests and pools idle connections by address.
type Connector struct {
	clock timekeeper.Clock
	// idleTimeout applies to connections whose other end states none.
	idleTimeout time.Duration
	// budget bounds the connections together with those of other pools; it may be nil.
	budget *dialer.Budget

	mu   sync.Mutex
	idle map[string][]*conn
	// dialed counts the connections made.
	dialed int64
}

// New returns a Connector; idle is how long it keeps an idle connection if the
// other end states no timeout.
func New(clock timekeeper.Clock, idle time.Duration) *Connector {
	return &Connector{clock: clock, idleTimeout: idle, idle: map[string][]*conn{}}
}

// UseBudget bounds the connections by a budget, which may close idle ones. It must be called
// before the first request.
func (c *Connector) UseBudget(b *dialer.Budget) {
	c.budget = b
	b.AddPool(c.closeIdle)
}

// closeIdle closes one idle connection, and reports whether there was one.
func (c *Connector) closeIdle() bool {
	c.mu.Lock()
	var idle *conn
	for address, list := range c.idle {
		if len(list) > 0 {
			idle, c.idle[address] = list[0], list[1:]
			break
		}
	}
	c.mu.Unlock()
	if idle == nil {
		return false
	}
	idle.Close()
	return true
}

// Dialed returns how many connections were made.
func (c *Connector) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// conn is a connection to an address.
type conn struct {
	net.Conn
	address     string
	reader      *bufio.Reader
	headerLimit *headerLimitReader
	writer      *bufio.Writer
	used        bool
	expires     time.Time
	budget      *dialer.Budget
	closed      atomic.Bool
}

// Close implements net.Conn. It returns the place in the budget.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	defer c.budget.Release()
	return c.Conn.Close()
}

// headerLimitReader fails once a response's status line and headers exceed
// maxHeaderBytes. The limit is lifted while a body is read.
type headerLimitReader struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *headerLimitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errors.New("the head of the answer is too long")
	}
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// Do sends a request to an address and returns the first final response that
// belongs accepts; nil accepts any. When ctx ends, so does the exchange, even
// while the response body is read. Errors are of type *Error.
func (c *Connector) Do(ctx context.Context, address string, r *http.Request, belongs ResponseCheck) (*http.Response, error) {
	cn, err := c.acquire(ctx, address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	x := &exchange{connector: c, conn: cn, request: r, reused: cn.used, written: make(chan error, 1)}
	x.beforeSend, _ = ctx.Value(beforeSendKey{}).(func() error)
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	cn.used = true
	if r.ContentLength == 0 {
		x.writeRequest()
	} else {
		go x.writeRequest()
	}
	response, err := x.readResponse(belongs)
	if err != nil {
		x.stopAbort()
		// After this nothing more is sent, so the value of sent is final.
		cn.Close()
		if withheld := x.withheld.Load(); withheld != nil {
			err = *withheld
		}
		return nil, &Error{Sent: x.sent.Load(), Reused: x.reused, Err: err}
	}
	response.Body = &responseBody{exchange: x, body: response.Body, response: response}
	return response, nil
}

// acquire returns an idle connection that is still open and has no data to read,
// or a new connection.
func (c *Connector) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		cn := c.popIdle(address)
		if cn == nil {
			break
		}
		if cn.reusable() && c.clock.Now().Before(cn.expires) {
			return cn, nil
		}
		cn.Close()
	}
	raw, err := c.budget.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	headerLimit := &headerLimitReader{reader: raw, remaining: maxHeaderBytes}
	return &conn{
		Conn: raw, address: address, headerLimit: headerLimit, budget: c.budget,
		reader: bufio.NewReaderSize(headerLimit, readBufferBytes), writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}, nil
}

func (c *Connector) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return last
}

// putIdle returns a connection to the pool and closes expired ones to the same
// address.
func (c *Connector) putIdle(cn *conn) {
	now := c.clock.Now()
	c.mu.Lock()
	list := c.idle[cn.address]
	var expired []*conn
	for len(list) > 0 && !now.Before(list[0].expires) {
		expired, list = append(expired, list[0]), list[1:]
	}
	c.idle[cn.address] = append(list, cn)
	c.mu.Unlock()
	for _, o := range expired {
		o.Close()
	}
}

// reusable reports that the other end has neither closed the connection nor sent
// unexpected data.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// wasReset reports that the connection did not end in order. When a reset comes while a
// request is being written, the write gets its error and the next read the end of the
// stream, as after an orderly end; the state of the socket tells them apart.
func (c *conn) wasReset() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || reset
}

// notifyingWriter calls beforeWrite before each write to a connection.
type notifyingWriter struct {
	conn        net.Conn
	beforeWrite func() error
}

// Write implements io.Writer.
func (w *notifyingWriter) Write(p []byte) (int, error) {
	if err := w.beforeWrite(); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// exchange is a request and its response on a connection.
type exchange struct {
	connector *Connector
	conn      *conn
	request   *http.Request
	reused    bool
	sent      atomic.Bool
	// beforeSend is set by WithBeforeSend, and withheld holds the error that it returned.
	beforeSend func() error
	withheld   atomic.Pointer[error]
	// stopAbort detaches the exchange from the context; it returns false if the
	// context has already ended the exchange.
	stopAbort func() bool
	// written receives the result of writing the request.
	written chan error
}

func (x *exchange) abort() { x.conn.Close() }

// writeRequest sends the request. With a body it runs concurrently with
// readResponse.
func (x *exchange) writeRequest() {
	cn := x.conn
	cn.writer.Reset(&notifyingWriter{conn: cn.Conn, beforeWrite: x.beginSend})
	err := x.request.Write(cn.writer)
	if err == nil {
		err = cn.writer.Flush()
	}
	if err != nil {
		// The target must not take a truncated request for a complete one.
		cn.Close()
	}
	x.written <- err
}

// beginSend is called before each write of the request.
func (x *exchange) beginSend() error {
	if x.sent.Load() {
		return nil
	}
	if x.beforeSend != nil {
		if err := x.beforeSend(); err != nil {
			x.withheld.Store(&err)
			return err
		}
	}
	x.sent.Store(true)
	return nil
}

// readResponse returns the first final response that belongs to the request.
func (x *exchange) readResponse(belongs ResponseCheck) (*http.Response, error) {
	for foreign, interim := 0, 0; ; {
		x.conn.headerLimit.remaining = maxHeaderBytes
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		x.conn.headerLimit.remaining = 1 << 62
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			if interim++; interim > maxInterimResponses {
				return nil, errors.New("no final answer follows the interim ones")
			}
			continue
		}
		if belongs == nil || belongs(response) {
			return response, nil
		}
		if foreign++; foreign > maxForeignResponses || response.ContentLength < 0 || response.ContentLength > maxForeignBodyBytes {
			return nil, errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// release returns the connection to the pool if it can carry another request,
// and closes it otherwise.
func (x *exchange) release(response *http.Response) {
	if !x.stopAbort() {
		return
	}
	keep := false
	select {
	case err := <-x.written:
		keep = err == nil
	default:
		// The target has responded before it read the whole request. It would take
		// the rest of the body for the next request.
	}
	if !keep || response.Close || x.request.Close || x.conn.reader.Buffered() > 0 || response.ContentLength < 0 && !chunked(response) {
		x.conn.Close()
		return
	}
	idle := x.connector.keepAlive(response.Header)
	if idle <= 0 {
		x.conn.Close()
		return
	}
	x.conn.expires = x.connector.clock.Now().Add(idle)
	x.connector.putIdle(x.conn)
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// keepAlive returns how long a connection may be idle: the timeout in the
// Keep-Alive header less idleMargin, or the connector's own.
func (c *Connector) keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return c.idleTimeout
}

// responseBody releases the connection at the end of the body.
type responseBody struct {
	exchange *exchange
	response *http.Response
	body     io.ReadCloser
	done     bool
	// err is the error of all further reads.
	err error
}

// errReset is the error of a body that only the end of its connection could have ended.
var errReset = errors.New("the connection was reset before the end of the answer")

// endsWithConnection reports whether only the end of the connection ends the body.
func (b *responseBody) endsWithConnection() bool {
	r := b.response
	return r.ContentLength < 0 && !chunked(r) && b.body != http.NoBody
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && !b.done && b.endsWithConnection() && b.exchange.conn.wasReset() {
		b.Close()
		b.err = errReset
	}
	if b.err != nil {
		return n, b.err
	}
	if err == io.EOF && !b.done {
		b.done = true
		b.exchange.release(b.response)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the body was not read
// to its end.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.exchange.stopAbort()
		b.exchange.conn.Close()
	}
	return nil
}
