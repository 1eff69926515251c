package server

import (
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/retrier"
)

// limits implements limiter.Limits by the configuration in force and the
// tolerance in the settings.
type limits struct{ server *Server }

// Reserve implements limiter.Limits.
func (l *limits) Reserve(team string) limiter.Reserve {
	overage := l.server.live.Load().Overage
	t := l.server.config.Current().Declaration().Teams[team]
	return limiter.NewReserve(limiter.Allocation{Rate: t.Rate, Burst: t.Burst}, overage.Window.Duration, overage.Ratio, overage.Slack, l.server.directory.peakNodeCount())
}

// retries bounds the second sends of this node by its part of what the
// settings allow the fleet.
func (s *Server) retryBounds() retrier.Bounds {
	retry := s.live.Load().Retry
	if retry.Window.Duration <= 0 {
		return retrier.DefaultBounds()
	}
	return retrier.NodeBounds(retry.Ratio, retry.Slack, s.directory.peakNodeCount())
}
