package forwarder

import (
	"sync"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// trafficSplits distributes the requests of routes with a traffic split over their
// services by smooth weighted round robin, so that any series of consecutive
// requests is distributed nearly by the weights. The zero value works.
type trafficSplits struct {
	mu    sync.Mutex
	parts map[string][]splitPart
}

// splitPart is one service of a split route, with its current weight in the round
// robin.
type splitPart struct {
	service       declarer.WeightedService
	currentWeight int
}

// next returns the service for the next request on a route.
func (s *trafficSplits) next(r *declarer.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := s.partsOf(r)
	total, best := 0, 0
	for i := range parts {
		parts[i].currentWeight += parts[i].service.Weight
		total += parts[i].service.Weight
		if parts[i].currentWeight > parts[best].currentWeight {
			best = i
		}
	}
	parts[best].currentWeight -= total
	return parts[best].service.Service
}

// partsOf returns the parts of a route. Their current weights are kept until the
// declared split changes.
func (s *trafficSplits) partsOf(r *declarer.Route) []splitPart {
	if s.parts == nil {
		s.parts = map[string][]splitPart{}
	}
	parts, ok := s.parts[r.Name]
	if ok && sameParts(parts, r.Split) {
		return parts
	}
	parts = make([]splitPart, len(r.Split))
	for i, p := range r.Split {
		parts[i].service = p
	}
	s.parts[r.Name] = parts
	return parts
}

func sameParts(parts []splitPart, declared []declarer.WeightedService) bool {
	if len(parts) != len(declared) {
		return false
	}
	for i, p := range declared {
		if parts[i].service != p {
			return false
		}
	}
	return true
}
