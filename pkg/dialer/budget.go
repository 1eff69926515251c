package dialer

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// FullError is the error for a connection that would exceed a budget.
type FullError struct {
	// Limit is the number of connections that may be open.
	Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("all %d connections to targets and other nodes are in use", e.Limit)
}

// Budget bounds the connections that a process has open to targets and other nodes, over
// several pools. A nil Budget is none.
type Budget struct {
	limit int

	mu    sync.Mutex
	open  int
	pools []func() bool
}

// NewBudget returns a budget of so many connections, or nil for 0.
func NewBudget(limit int) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// AddPool adds a pool of idle connections. closeIdle closes one or more of them and reports
// whether it did. Pools that were added first are asked first.
func (b *Budget) AddPool(closeIdle func() bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pools = append(b.pools, closeIdle)
}

// Open returns the number of connections that are open.
func (b *Budget) Open() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Dial connects to an address, as the function Dial does. Idle connections are closed to make
// room; if there are none left, it returns a *FullError. Release must follow once the
// connection is closed.
func (b *Budget) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !b.acquire() {
		return nil, &FullError{Limit: b.limit}
	}
	c, err := Dial(ctx, network, address)
	if err != nil {
		b.Release()
	}
	return c, err
}

// Release returns the place of a closed connection.
func (b *Budget) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

func (b *Budget) acquire() bool {
	if b == nil || b.take() {
		return true
	}
	b.mu.Lock()
	pools := b.pools
	b.mu.Unlock()
	for _, closeIdle := range pools {
		for closeIdle() {
			if b.take() {
				return true
			}
		}
	}
	return false
}

func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.limit {
		return false
	}
	b.open++
	return true
}
