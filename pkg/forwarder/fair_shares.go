package forwarder

import (
	"math"
	"sort"
	"sync"
	"time"
)

// shareTime is the time over which arrivals of teams are averaged.
const arrivalDecayTime = time.Second

// shares divides what may pass a entry over the teams, by max-min fairness:
// what a small team does not ask for goes to the others, and no team gets
// less than an equal part because another asks for more. The zero value works.
type fairShares struct {
	mu      sync.Mutex
	entries map[shedKey]*teamArrivals
}

// arrivals are the requests that teams sent lately, fading away.
type teamArrivals struct {
	teams     map[string]float64
	updatedAt time.Time
}

// arrive counts a request of a team and returns which part of the team's
// requests may pass, when the part given of all requests may pass.
func (s *fairShares) recordArrival(key shedKey, team string, passFraction float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[shedKey]*teamArrivals{}
	}
	a, ok := s.entries[key]
	if !ok {
		a = &teamArrivals{teams: map[string]float64{}, updatedAt: now}
		s.entries[key] = a
	}
	a.decay(now)
	a.teams[team]++
	if passFraction >= 1 {
		return 1
	}
	return math.Min(1, a.waterLevel(passFraction)/a.teams[team])
}

// fade lets old arrivals lose weight.
func (a *teamArrivals) decay(now time.Time) {
	const minCount = 0.01
	age := now.Sub(a.updatedAt)
	if age < arrivalDecayTime/100 {
		return
	}
	a.updatedAt = now
	factor := math.Exp(-age.Seconds() / arrivalDecayTime.Seconds())
	for team, count := range a.teams {
		if count*factor < minCount {
			delete(a.teams, team)
			continue
		}
		a.teams[team] = count * factor
	}
}

// water is the level w at which the teams' arrivals, each cut off at w, add up
// to the given part of all arrivals.
func (a *teamArrivals) waterLevel(passFraction float64) float64 {
	counts := make([]float64, 0, len(a.teams))
	remaining := 0.0
	for _, count := range a.teams {
		counts = append(counts, count)
		remaining += count * passFraction
	}
	sort.Float64s(counts)
	for i, count := range counts {
		level := remaining / float64(len(counts)-i)
		if count >= level {
			return level
		}
		remaining -= count
	}
	return math.Inf(1)
}
