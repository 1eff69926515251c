package server

import (
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/retrier"
)

// limits implements limiter.Limits from the configuration in force and the
// overage in the settings.
type limits struct{ server *Server }

// Reserve implements limiter.Limits.
func (l *limits) Reserve(team string) limiter.Reserve {
	overage := l.server.live.Load().Overage
	t := l.server.config.Current().Declaration().Teams[team]
	return limiter.NewReserve(limiter.Allocation{Rate: t.Rate, Burst: t.Burst}, overage.Window.Duration, overage.Ratio, overage.Slack, l.server.directory.peakNodeCount())
}

// retryBounds is this node's part of the fleet's retry budget in the settings, or
// the default where they set none.
func (s *Server) retryBounds() retrier.Bounds {
	retry := s.live.Load().Retry
	if retry.Window.Duration <= 0 {
		return retrier.DefaultBounds()
	}
	return retrier.NodeBounds(retry.Ratio, retry.Slack, s.directory.peakNodeCount())
}
