package forwarder

import (
	"sync"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// splits divides the requests of split routes over their services by smooth
// weighted round robin, so that any run of requests keeps close to the
// weights. The zero value works.
type trafficSplits struct {
	mu    sync.Mutex
	parts map[string][]splitPart
}

// turn is one part of a route with its claim on the next request.
type splitPart struct {
	service       declarer.WeightedService
	currentWeight int
}

// next picks the service of the next request on a route.
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

// turnsOf keeps the claims of a route until its parts change.
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
