package server

import (
	"context"
	"slices"
	"sync"
	"time"
)

// trafficLogInterval is the time between two log lines with the totals since the
// start.
const trafficLogInterval = 10 * time.Second

// traffic counts the bytes of this node's messages and requests to other nodes,
// including the replies.
type traffic struct {
	server *Server

	mu sync.Mutex
	// far is the bytes to and from other data centres by kind of message, near the
	// bytes within this data centre. Where this node has a data centre, an address
	// whose data centre is unknown counts as far.
	far  map[string]int64
	near int64
}

// countMessage implements caller.Meter.
func (t *traffic) countMessage(address, kind string, bytes int64) {
	t.add(kind, t.server.gossip.CentreOf(address), bytes)
}

// countRequest counts a forwarded request and its response.
func (t *traffic) countRequest(centre string, bytes int64) { t.add("request", centre, bytes) }

func (t *traffic) add(kind, centre string, bytes int64) {
	far := centre != t.server.settings.Centre
	t.server.measurer.Traffic(kind, far, bytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !far {
		t.near += bytes
		return
	}
	if t.far == nil {
		t.far = map[string]int64{}
	}
	t.far[kind] += bytes
}

// Run implements Controller.
func (t *traffic) Run(ctx context.Context) {
	t.server.runEvery(ctx, trafficLogInterval, func(context.Context) { t.logTotals() })
}

// logTotals logs the totals since the start.
func (t *traffic) logTotals() {
	t.mu.Lock()
	defer t.mu.Unlock()
	fields := []any{"near", t.near}
	kinds := make([]string, 0, len(t.far))
	for kind := range t.far {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		fields = append(fields, "far_"+kind, t.far[kind])
	}
	t.server.log.Info("traffic", fields...)
}
