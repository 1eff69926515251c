package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
)

// shedFilter refuses at the entry what a service further down would refuse
// later, before any work is spent on it. What the services would refuse comes
// back with their answers. What may pass is divided fairly over the teams.
type shedFilter struct{ forwarder *Forwarder }

// shedWait is when a caller refused at the entry may come back.
const shedRetryDelay = 500 * time.Millisecond

// Serve implements Filter.
func (s *shedFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.hop.Call {
		next(x)
		return
	}
	f := s.forwarder
	now := f.deps.Clock.Now()
	key := shedKeyOf(x)
	passFraction := 1 - min(f.shedLevels.get(key, now), rootHashCount-probeHashes)/rootHashCount
	passFraction = f.fairShares.recordArrival(key, x.hop.Team, passFraction, now)
	// Hashes are kept from the top, as at the services further down.
	hash := float64(admitter.NewPriority(0, false, x.hop.Root))
	if hash < rootHashCount*(1-passFraction) {
		f.count("refused_shed")
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonLoad, shedRetryDelay, "service %s, or one that it calls, is overloaded", x.hop.Service))
		return
	}
	next(x)
}

// levelKey tells levels apart: what a service refuses depends on the route of
// the root request, since that decides which other services take part, and on
// the rank.
type shedKey struct {
	service, route string
	rank           uint32
}

func shedKeyOf(x *Exchange) shedKey {
	return shedKey{x.hop.Service, x.hop.Route, x.hop.Rank}
}

const (
	// probes is how many hashes out of 256 always pass, so that the entry hears
	// when the services further down have room again.
	probeHashes = 2
	// levelWeight is that of the newest report.
	shedLevelWeight = 0.3
	// levelHold is how long a level stands without a report.
	shedLevelHoldTime = 200 * time.Millisecond
	// levelFade is how long it then takes to fade away.
	shedLevelDecayTime = time.Second
)

// levels is what this node has heard of the levels of services, as the number
// of hashes out of 256 that are refused. The zero value works.
type shedLevels struct {
	mu     sync.Mutex
	values map[shedKey]*shedLevel
}

type shedLevel struct {
	value      float64
	reportedAt time.Time
}

func (l *shedLevels) record(key shedKey, value int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values == nil {
		l.values = map[shedKey]*shedLevel{}
	}
	r, ok := l.values[key]
	if !ok {
		r = &shedLevel{}
		l.values[key] = r
	}
	r.value += shedLevelWeight * (float64(value) - r.value)
	r.reportedAt = now
}

func (l *shedLevels) get(key shedKey, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.values[key]
	if !ok {
		return 0
	}
	age := now.Sub(r.reportedAt) - shedLevelHoldTime
	if age <= 0 {
		return r.value
	}
	return r.value * max(0, 1-age.Seconds()/shedLevelDecayTime.Seconds())
}
