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

	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// TargetIdleTimeout is how long a connection to a target is kept that names no time:
	// the shortest that servers commonly keep theirs.
	TargetIdleTimeout = 5 * time.Second
	// idleMargin is kept from the time that the target names, for what is on
	// its way when the target closes the connection.
	idleMargin = time.Second
	// maxForeignResponses bounds how many answers to other requests are passed over, and
	// maxForeignBodyBytes the body of each, in bytes.
	maxForeignResponses = 2
	maxForeignBodyBytes = 64 << 10
	// maxInterimResponses bounds how many answers of status 1xx go before the final one,
	// as net/http does.
	maxInterimResponses = 5
	// readBufferBytes and writeBufferBytes are sizes in bytes.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxHeaderBytes bounds the head of an answer, in bytes: common servers send up to
	// 16 KB, and decoded it may take 40 times as much.
	maxHeaderBytes = 32 << 10
)

// Error says that no answer came. Sent tells whether a byte of the request may
// have reached the target.
type Error struct {
	Sent bool
	// Reused tells that the connection had carried a request before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("no answer (sent %t): %v", e.Sent, e.Err) }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// ResponseCheck tells whether an answer belongs to the request that was sent.
type ResponseCheck func(*http.Response) bool

// Connector keeps the idle connections to other ends by address.
type Connector struct {
	clock timekeeper.Clock
	// idleTimeout time of connections whose other end names none.
	idleTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
	// dialed counts connections made.
	dialed int64
}

// New makes a connector; idle is how long it keeps a connection when the other
// end names no time.
func New(clock timekeeper.Clock, idleTimeout time.Duration) *Connector {
	return &Connector{clock: clock, idleTimeout: idleTimeout, idle: map[string][]*conn{}}
}

// Dialed is how many connections were made.
func (c *Connector) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	address     string
	reader      *bufio.Reader
	headerLimit *headerLimitReader
	writer      *bufio.Writer
	used        bool
	expires     time.Time
}

// headerLimitReader ends a connection whose answers have heads without end.
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

// Do sends a request to an address and returns the answer that judge takes
// for its own. The context ends the exchange, the reading of the answer's
// body included. Errors are of type *Error.
func (c *Connector) Do(ctx context.Context, address string, r *http.Request, belongs ResponseCheck) (*http.Response, error) {
	cn, err := c.acquire(ctx, address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	x := &exchange{connector: c, conn: cn, request: r, reused: cn.used, written: make(chan error, 1)}
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
		// Nothing goes out after this, so what was sent is final.
		cn.Close()
		return nil, &Error{Sent: x.sent.Load(), Reused: x.reused, Err: err}
	}
	response.Body = &responseBody{exchange: x, body: response.Body, response: response}
	return response, nil
}

// acquire returns an idle connection that is still open and has nothing to read,
// or a new one.
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
	raw, err := dialer.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	headerLimit := &headerLimitReader{reader: raw, remaining: maxHeaderBytes}
	return &conn{
		Conn: raw, address: address, headerLimit: headerLimit,
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

// putIdle keeps a connection and closes those that have been idle for too long.
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

// reusable tells that the target has neither closed the connection nor sent
// anything that nobody has asked for.
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

// notifyingWriter notes when the first byte of a request goes out.
type notifyingWriter struct {
	conn        net.Conn
	beforeWrite func()
}

// Write implements io.Writer.
func (w *notifyingWriter) Write(p []byte) (int, error) {
	w.beforeWrite()
	return w.conn.Write(p)
}

// exchange is one request on a connection.
type exchange struct {
	connector *Connector
	conn      *conn
	request   *http.Request
	reused    bool
	sent      atomic.Bool
	stopAbort func() bool
	// written receives the writer's error once the whole request is out.
	written chan error
}

func (x *exchange) abort() { x.conn.Close() }

// writeRequest writes the request while its answer may already be read.
func (x *exchange) writeRequest() {
	cn := x.conn
	cn.writer.Reset(&notifyingWriter{conn: cn.Conn, beforeWrite: func() { x.sent.Store(true) }})
	err := x.request.Write(cn.writer)
	if err == nil {
		err = cn.writer.Flush()
	}
	if err != nil {
		// A request that is cut short must not look whole.
		cn.Close()
	}
	x.written <- err
}

// readResponse returns the first final answer that belongs to the request.
func (x *exchange) readResponse(belongs ResponseCheck) (*http.Response, error) {
	for foreign, interim := 0, 0; ; {
		x.conn.headerLimit.remaining = maxHeaderBytes
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		x.conn.headerLimit.remaining = 1 << 62
		if response.StatusCode >= 100 && response.StatusCode < 200 {
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

// release gives the connection back if it can serve another request.
func (x *exchange) release(response *http.Response) {
	if !x.stopAbort() {
		return
	}
	keep := false
	select {
	case err := <-x.written:
		keep = err == nil
	default:
		// The target has answered before it took the whole request; the rest of
		// the body would be taken for the next request.
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

// keepAlive is how long a connection may be idle, by what the other end says.
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

// responseBody gives the connection back at the end of the body.
type responseBody struct {
	exchange *exchange
	response *http.Response
	body     io.ReadCloser
	done     bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		b.exchange.release(b.response)
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end takes the
// connection with it.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.exchange.stopAbort()
		b.exchange.conn.Close()
	}
	return nil
}
