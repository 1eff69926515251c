package closer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTime is how long a peer has to read what was written and to close.
	lingerTime = 30 * time.Second
	// maxLingerBytes bounds what is read and discarded meanwhile, as some peers go on
	// sending and never read.
	maxLingerBytes = 1 << 20
	// lingerBuffer is the size of one such read, in bytes.
	lingerBuffer = 4 << 10
)

// Closer counts the connections that linger: they are closed for writing, and are read
// until their peers close them. The zero value is ready for use.
type Closer struct {
	mu        sync.Mutex
	lingering int
	// none is closed when no connection lingers any more; nil while nobody waits.
	none chan struct{}
	cut  atomic.Int64
}

// Lingering returns the number of connections that linger.
func (c *Closer) Lingering() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// Cut returns how many connections were closed before their peers had closed them, as they
// sent too much or took too long.
func (c *Closer) Cut() int64 { return c.cut.Load() }

// Wait waits until no connection lingers. It returns the error of ctx if that ends first.
func (c *Closer) Wait(ctx context.Context) error {
	c.mu.Lock()
	if c.lingering == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.none == nil {
		c.none = make(chan struct{})
	}
	none := c.none
	c.mu.Unlock()
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Closer) add(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering += delta
	if c.lingering == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

// Listen returns a listener whose connections are of type *Conn.
func (c *Closer) Listen(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	closer *Closer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, closer: l.closer}, nil
}

// Conn is a connection that lingers when it is closed with an answer on its way.
type Conn struct {
	net.Conn
	closer *Closer
	// answered is set from a write until the connection is idle, ended once the peer has
	// closed, reset if the peer is to see a reset, and closed by the first Close.
	answered, ended, reset, closed atomic.Bool
	// done is called when the descriptor is free.
	done func()
}

// Read implements net.Conn. Once the connection is closed it returns no bytes: a request
// that arrives then must not run.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(p)
}

// Idle records that the last answer was written whole and that no request has followed.
func (c *Conn) Idle() { c.answered.Store(false) }

// SetLinger sets what becomes of unsent data when the connection is closed; 0 resets it.
func (c *Conn) SetLinger(seconds int) error {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	c.reset.Store(seconds == 0)
	return t.SetLinger(seconds)
}

// CloseWrite closes the connection for writing. net/http uses it before it closes one on
// which it has not read a whole request.
func (c *Conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}

// Close implements net.Conn. It doesn't wait for the peer.
func (c *Conn) Close() error { return c.CloseThen(nil) }

// CloseThen is Close with a function that is called when the descriptor is free.
func (c *Conn) CloseThen(done func()) error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.done = done
	if !c.answered.Load() || c.ended.Load() || c.reset.Load() || c.CloseWrite() != nil {
		return c.finish()
	}
	c.closer.add(1)
	go c.run()
	return nil
}

// CloseNow closes the connection without regard to its peer, also while it lingers.
func (c *Conn) CloseNow() error { return c.Conn.Close() }

// run reads until the peer closes, so that it gets what was written before.
func (c *Conn) run() {
	defer c.closer.add(-1)
	if !c.discard() {
		c.closer.cut.Add(1)
	}
	// The peer has closed already, or gets a reset.
	_ = c.finish()
}

// discard reads until the peer closes, and reports whether it did.
func (c *Conn) discard() bool {
	// An error means that the connection is closed; the reads below fail then.
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, lingerBuffer)
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return err == io.EOF
		}
		left -= n
	}
	return false
}

func (c *Conn) finish() error {
	err := c.Conn.Close()
	if c.done != nil {
		c.done()
	}
	return err
}
