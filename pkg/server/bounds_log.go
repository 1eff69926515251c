package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/bounder"
)

// boundsLogInterval is the time between two log lines: callers outside the limits come in
// crowds.
const boundsLogInterval = time.Second

// boundsLog counts and logs the connections that ended because of the bounds on heads and
// connections.
type boundsLog struct {
	server                           *Server
	lines, memory, connections, slow atomic.Int64
}

func (l *boundsLog) count(cause bounder.Cause) {
	l.server.countEvent("bounded_"+string(cause), 1)
	switch cause {
	case bounder.TooManyLines:
		l.lines.Add(1)
	case bounder.TooMuchMemory:
		l.memory.Add(1)
	case bounder.TooManyConnections:
		l.connections.Add(1)
	case bounder.TooSlow:
		l.slow.Add(1)
	}
}

// Run implements Controller.
func (l *boundsLog) Run(ctx context.Context) {
	if l.server.bounds != nil {
		l.server.runEvery(ctx, boundsLogInterval, func(context.Context) {
			l.server.bounds.EndStalled()
			l.step()
		})
	}
}

func (l *boundsLog) step() {
	lines, memory, connections, slow := l.lines.Swap(0), l.memory.Swap(0), l.connections.Swap(0), l.slow.Swap(0)
	if lines+memory+connections+slow == 0 {
		return
	}
	open, bytes := l.server.bounds.Usage()
	l.server.log.Warn("bounded", "lines", lines, "memory", memory, "connections", connections, "slow", slow, "open", open, "bytes", bytes)
}
