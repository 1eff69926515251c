package forwarder

import (
	"sync"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// splits divides the requests of split routes over their services by smooth
// weighted round robin, so that any run of requests keeps close to the
// weights. The zero value works.
type splits struct {
	mu    sync.Mutex
	turns map[string][]turn
}

// turn is one part of a route with its claim on the next request.
type turn struct {
	part  declarer.WeightedService
	claim int
}

// next picks the service of the next request on a route.
func (s *splits) next(r *declarer.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	turns := s.turnsOf(r)
	total, best := 0, 0
	for i := range turns {
		turns[i].claim += turns[i].part.Weight
		total += turns[i].part.Weight
		if turns[i].claim > turns[best].claim {
			best = i
		}
	}
	turns[best].claim -= total
	return turns[best].part.Service
}

// turnsOf keeps the claims of a route until its parts change.
func (s *splits) turnsOf(r *declarer.Route) []turn {
	if s.turns == nil {
		s.turns = map[string][]turn{}
	}
	turns, ok := s.turns[r.Name]
	if ok && sameParts(turns, r.Split) {
		return turns
	}
	turns = make([]turn, len(r.Split))
	for i, p := range r.Split {
		turns[i].part = p
	}
	s.turns[r.Name] = turns
	return turns
}

func sameParts(turns []turn, parts []declarer.WeightedService) bool {
	if len(turns) != len(parts) {
		return false
	}
	for i, p := range parts {
		if turns[i].part != p {
			return false
		}
	}
	return true
}
