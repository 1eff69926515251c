package server

import (
	"context"
	"time"
)

// silenceLogInterval is how often the node checks which data centres are silent.
const silenceLogInterval = 200 * time.Millisecond

// silenceLog logs when another data centre falls silent, that is, when this node
// stops sending requests there except for probes, and when it is heard again.
type silenceLog struct {
	server *Server
	// since is, by silent data centre, when this node last heard nothing from it.
	since map[string]time.Time
}

// Run implements Controller.
func (l *silenceLog) Run(ctx context.Context) {
	l.server.runEvery(ctx, silenceLogInterval, func(context.Context) { l.step() })
}

func (l *silenceLog) step() {
	now := l.server.clock.Now()
	silent := l.server.router.SilentCentres()
	for centre, since := range silent {
		if _, known := l.since[centre]; !known {
			l.server.log.Warn("silent", "centre", centre, "unheard", now.Sub(since))
			l.server.countEvent("silent", 1)
		}
	}
	for centre, since := range l.since {
		if _, still := silent[centre]; !still {
			l.server.log.Info("heard_again", "centre", centre, "silent", now.Sub(since))
		}
	}
	l.since = silent
}
