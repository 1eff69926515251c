package server

import (
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/retrier"
)

// limits implements limiter.Limits by the configuration in force and the
// tolerance in the settings.
type limits struct{ server *Server }

// Limit implements limiter.Limits.
func (l *limits) Limit(team string) limiter.Part {
	t := l.server.config.Current().Declaration().Teams[team]
	return limiter.Part{Rate: t.Rate, Burst: t.Burst}
}

// Reserve implements limiter.Limits.
func (l *limits) Reserve(team string) float64 {
	overage := l.server.live.Load().Overage
	return limiter.Reserve(l.Limit(team), overage.Window.Duration, overage.Ratio, overage.Slack, l.server.directory.size())
}

// retries bounds the second sends of this node by its part of what the
// settings allow the fleet.
func (s *Server) retries() retrier.Bounds {
	retry := s.live.Load().Retry
	if retry.Window.Duration <= 0 {
		return retrier.DefaultBounds()
	}
	return retrier.Share(retry.Ratio, retry.Slack, s.directory.size())
}
