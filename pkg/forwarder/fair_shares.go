package forwarder

import (
	"math"
	"sort"
	"sync"
	"time"
)

// arrivalDecayTime is the time constant with which the counts of arrivals decay.
const arrivalDecayTime = time.Second

// fairShares divides the requests that may pass an entry node among the teams by
// max-min fairness: what a team with few requests leaves unused goes to the others,
// and no team gets less than an equal part because another sends more. The zero
// value works.
type fairShares struct {
	mu       sync.Mutex
	arrivals map[shedKey]*teamArrivals
}

// teamArrivals counts the recent requests of each team, with exponential decay.
type teamArrivals struct {
	teams     map[string]float64
	updatedAt time.Time
	// counts is the scratch list of waterLevel.
	counts []float64
}

// recordArrival counts a request of a team. It returns the fraction of the team's
// requests that may pass when passFraction of all requests may pass.
func (s *fairShares) recordArrival(key shedKey, team string, passFraction float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.arrivals == nil {
		s.arrivals = map[shedKey]*teamArrivals{}
	}
	a, ok := s.arrivals[key]
	if !ok {
		a = &teamArrivals{teams: map[string]float64{}, updatedAt: now}
		s.arrivals[key] = a
	}
	a.decay(now)
	a.teams[team]++
	if passFraction >= 1 {
		return 1
	}
	return math.Min(1, a.waterLevel(passFraction)/a.teams[team])
}

// decay reduces the counts by the time since the last update.
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

// waterLevel returns the count w for which the teams' counts, each limited to w, add
// up to passFraction of all arrivals (water-filling).
func (a *teamArrivals) waterLevel(passFraction float64) float64 {
	counts := a.counts[:0]
	remaining := 0.0
	for _, count := range a.teams {
		counts = append(counts, count)
		remaining += count * passFraction
	}
	a.counts = counts
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
