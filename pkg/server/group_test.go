package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// stuck is a controller that ignores its context, as one that waits for a disk
// does.
type stuck struct{ free chan struct{} }

// Run implements Controller.
func (s *stuck) Run(context.Context) { <-s.free }

// prompt is a controller that ends with its context.
type prompt struct{}

// Run implements Controller.
func (prompt) Run(ctx context.Context) { <-ctx.Done() }

// TestStopDoesNotWaitForStuckController guards against a stop that hangs because
// one controller does not end: wait must return at its timeout and name it.
func TestStopDoesNotWaitForStuckController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		ctx, cancel := context.WithCancel(t.Context())
		s := &stuck{free: make(chan struct{})}
		g.start(ctx, s)
		g.start(ctx, prompt{})
		cancel()
		started := time.Now()
		qt.Check(t, g.wait(time.After(controllersTimeout)), qt.DeepEquals, []string{"server.stuck"})
		qt.Check(t, time.Since(started), qt.Equals, controllersTimeout)
		close(s.free)
		qt.Check(t, g.wait(time.After(controllersTimeout)), qt.HasLen, 0)
	})
}
