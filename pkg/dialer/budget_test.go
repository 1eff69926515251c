package dialer_test

import (
	"context"
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/dialer"
)

// TestBudgetIsExceeded guards against more open connections than a budget has: a pool's idle
// connection makes room, and without one the connection is refused.
func TestBudgetIsExceeded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	b := dialer.NewBudget(2)
	var idle []net.Conn
	b.AddPool(func() bool {
		if len(idle) == 0 {
			return false
		}
		idle[0].Close()
		idle = idle[1:]
		b.Release()
		return true
	})
	dial := func() (net.Conn, error) { return b.Dial(context.Background(), "tcp", l.Addr().String()) }
	for range 2 {
		c, err := dial()
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		idle = append(idle, c)
	}
	idle = idle[:1]
	third, err := dial()
	qt.Assert(t, err, qt.IsNil)
	defer third.Close()
	_, err = dial()
	var full *dialer.FullError
	qt.Assert(t, errors.As(err, &full), qt.IsTrue)
	qt.Assert(t, b.Open(), qt.Equals, 2)
}

// TestFailedDialsUseUpBudget guards against places that connections take which were never made.
func TestFailedDialsUseUpBudget(t *testing.T) {
	b := dialer.NewBudget(1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 {
		_, err := b.Dial(ctx, "tcp", "127.0.0.1:1")
		var full *dialer.FullError
		qt.Assert(t, err != nil && !errors.As(err, &full), qt.IsTrue, qt.Commentf("%v", err))
	}
	qt.Assert(t, b.Open(), qt.Equals, 0)
	var none *dialer.Budget
	_, err := none.Dial(ctx, "tcp", "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNotNil)
}
