package forwarder

import (
	"math"
	"sort"
	"sync"
	"time"
)

// shareTime is the time over which arrivals of teams are averaged.
const shareTime = time.Second

// shares divides what may pass a entry over the teams, by max-min fairness:
// what a small team does not ask for goes to the others, and no team gets
// less than an equal part because another asks for more. The zero value works.
type shares struct {
	mu      sync.Mutex
	entries map[levelKey]*arrivals
}

// arrivals are the requests that teams sent lately, fading away.
type arrivals struct {
	teams map[string]float64
	at    time.Time
}

// arrive counts a request of a team and returns which part of the team's
// requests may pass, when the part given of all requests may pass.
func (s *shares) arrive(key levelKey, team string, part float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[levelKey]*arrivals{}
	}
	a, ok := s.entries[key]
	if !ok {
		a = &arrivals{teams: map[string]float64{}, at: now}
		s.entries[key] = a
	}
	a.fade(now)
	a.teams[team]++
	if part >= 1 {
		return 1
	}
	return math.Min(1, a.water(part)/a.teams[team])
}

// fade lets old arrivals lose weight.
func (a *arrivals) fade(now time.Time) {
	const least = 0.01
	age := now.Sub(a.at)
	if age < shareTime/100 {
		return
	}
	a.at = now
	keep := math.Exp(-age.Seconds() / shareTime.Seconds())
	for team, count := range a.teams {
		if count*keep < least {
			delete(a.teams, team)
			continue
		}
		a.teams[team] = count * keep
	}
}

// water is the level w at which the teams' arrivals, each cut off at w, add up
// to the given part of all arrivals.
func (a *arrivals) water(part float64) float64 {
	counts := make([]float64, 0, len(a.teams))
	left := 0.0
	for _, count := range a.teams {
		counts = append(counts, count)
		left += count * part
	}
	sort.Float64s(counts)
	for i, count := range counts {
		level := left / float64(len(counts)-i)
		if count >= level {
			return level
		}
		left -= count
	}
	return math.Inf(1)
}
