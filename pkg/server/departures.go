package server

import (
	"context"
	"time"
)

// releaseInterval is how often a starting node checks whether it has learned from
// another node which life of its target has left.
const releaseInterval = 20 * time.Millisecond

// announcementReleaser lets the announcements of the own target take effect once this
// node has compared its state with another node, or after readyTimeout.
type announcementReleaser struct{ server *Server }

// Run implements Controller.
func (c *announcementReleaser) Run(ctx context.Context) { c.loop(ctx) }

func (c *announcementReleaser) loop(ctx context.Context) {
	s := c.server
	for !s.gossip.Synced() && s.clock.Now().Sub(s.started) < readyTimeout {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(releaseInterval):
		}
	}
	s.announcer.Release()
}
