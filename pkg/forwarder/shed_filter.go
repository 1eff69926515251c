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
const shedWait = 500 * time.Millisecond

// Serve implements Filter.
func (d *shedFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.hop.Call {
		next(x)
		return
	}
	f := d.forwarder
	now := f.deps.Clock.Now()
	key := levelKeyOf(x)
	pass := 1 - min(f.levels.get(key, now), hashes-probes)/hashes
	pass = f.shares.arrive(key, x.hop.Team, pass, now)
	// Hashes are kept from the top, as at the services further down.
	hash := float64(admitter.NewPriority(0, false, x.hop.Root))
	if hash < hashes*(1-pass) {
		f.count("refused_shed")
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonLoad, shedWait, "service %s, or one that it calls, is overloaded", x.hop.Service))
		return
	}
	next(x)
}

// levelKey tells levels apart: what a service refuses depends on the route of
// the root request, since that decides which other services take part, and on
// the rank.
type levelKey struct {
	service, route string
	rank           uint32
}

func levelKeyOf(x *Exchange) levelKey {
	return levelKey{x.hop.Service, x.hop.Route, x.hop.Rank}
}

const (
	// probes is how many hashes out of 256 always pass, so that the entry hears
	// when the services further down have room again.
	probes = 2
	// levelWeight is that of the newest report.
	levelWeight = 0.3
	// levelHold is how long a level stands without a report.
	levelHold = 200 * time.Millisecond
	// levelFade is how long it then takes to fade away.
	levelFade = time.Second
)

// levels is what this node has heard of the levels of services, as the number
// of hashes out of 256 that are refused. The zero value works.
type levels struct {
	mu     sync.Mutex
	values map[levelKey]*reported
}

type reported struct {
	value float64
	at    time.Time
}

func (l *levels) report(key levelKey, value int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values == nil {
		l.values = map[levelKey]*reported{}
	}
	r, ok := l.values[key]
	if !ok {
		r = &reported{}
		l.values[key] = r
	}
	r.value += levelWeight * (float64(value) - r.value)
	r.at = now
}

func (l *levels) get(key levelKey, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.values[key]
	if !ok {
		return 0
	}
	age := now.Sub(r.at) - levelHold
	if age <= 0 {
		return r.value
	}
	return r.value * max(0, 1-age.Seconds()/levelFade.Seconds())
}
