package forwarder

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/shedder"
)

// shedFilter rejects root requests at the entry that a service further down the
// call chain would reject later, so that no work is spent on them. The nodes return
// their admission levels with their answers. The requests that may pass are divided
// fairly among the teams.
type shedFilter struct{ forwarder *Forwarder }

// shedRetryDelay is the retry delay for a request that this filter rejected.
const shedRetryDelay = 500 * time.Millisecond

// Serve implements Filter.
func (s *shedFilter) Serve(x *Exchange, next func(*Exchange)) {
	f := s.forwarder
	f.setDueAt(x)
	if x.hop.Call {
		x.inheritWeight()
		next(x)
		return
	}
	now := f.deps.Clock.Now()
	if f.deps.Chains != nil {
		s.serveChains(x, next, now)
		return
	}
	key := shedKeyOf(x)
	passFraction := 1 - min(f.shedLevels.get(key, now), rootHashCount-probeHashes)/rootHashCount
	passFraction = f.fairShares.recordArrival(key, x.hop.Team, passFraction, now)
	passFraction = f.shedLevels.raiseToFloor(passFraction, now)
	// The highest hash values pass, as in the admission at the services further
	// down.
	hash := float64(admitter.NewPriority(0, false, x.hop.Root))
	if hash >= rootHashCount*(1-passFraction) {
		x.weight = 1 / passFraction
		next(x)
		return
	}
	if !f.shedLevels.takeProbe(key, now) {
		f.count("refused_shed")
		x.refuse(f.capWait(x, refuse(http.StatusServiceUnavailable, ReasonLoad, shedRetryDelay, "service %s, or one that it calls, is overloaded", x.hop.Service), now))
		return
	}
	next(x)
}

const (
	// minShedWait and maxShedWait bound the retry delay for a request that Chains holds
	// back. Jitter doubles it at most.
	minShedWait = 200 * time.Millisecond
	maxShedWait = time.Second
)

// serveChains lets Chains decide on a root request.
func (s *shedFilter) serveChains(x *Exchange, next func(*Exchange), now time.Time) {
	f := s.forwarder
	d := f.deps.Chains.Decide(chainKeyOf(x), now)
	share := f.fairShares.recordArrival(shedKeyOf(x), x.hop.Team, d.Share, now)
	if d.Cause == shedder.Hopeless {
		// What a team gets of the probes does not matter.
		share = d.Share
	}
	share = max(share, d.Share*shedder.FloorFraction, shedder.ProbeShare)
	x.decision = d
	x.decision.Share = share
	hash := float64(admitter.NewPriority(0, false, x.hop.Root))
	if hash >= rootHashCount*(1-share) || d.Probe {
		if d.Cause == shedder.Overload && !d.Probe {
			x.weight = 1 / share
		}
		next(x)
		return
	}
	f.count("refused_shed")
	if d.Cause == shedder.Hopeless {
		f.count("refused_hopeless")
		x.refuse(f.capWait(x, refuse(http.StatusServiceUnavailable, ReasonLoad, maxShedWait, "calls that requests of this route make hardly ever succeed now"), now))
		return
	}
	x.refuse(f.capWait(x, refuse(http.StatusServiceUnavailable, ReasonLoad, shedWait(share), "service %s, or one that it calls, is overloaded", x.hop.Service), now))
}

// shedWait returns the retry delay while a share of the requests passes: the time in
// which what arrives in minShedWait gets through. A longer delay would leave capacity
// unused once the excess ends.
func shedWait(share float64) time.Duration {
	return min(time.Duration(float64(minShedWait)/share), maxShedWait)
}

// shedKey identifies a shed level. Besides the service, the level depends on the
// rank, and on the route of the root request, which decides which other services
// take part.
type shedKey struct {
	service, route string
	rank           uint32
}

func shedKeyOf(x *Exchange) shedKey {
	return shedKey{x.hop.Service, x.hop.Route, x.hop.Rank}
}

const (
	// probeHashes is how many of the rootHashCount hash values always pass, so that
	// answers show the entry when the services further down have capacity again.
	probeHashes = 2
	// shedLevelTime is the time constant with which a shed level follows the reports, and
	// minShedLevelWeight the least weight of a report: an old level counts no more when a
	// new one comes.
	shedLevelTime      = 150 * time.Millisecond
	minShedLevelWeight = 0.3
	// shedLevelHoldTime is how long a shed level stays unchanged without new
	// reports. They come with answers, which an overload delays by the time of a chain
	// of calls, or keeps from coming until the timeout of the route.
	shedLevelHoldTime = 1500 * time.Millisecond
	// shedProbeInterval is the time without a report after which one request passes, whose
	// answer brings one: what is held back brings none.
	shedProbeInterval = 500 * time.Millisecond
	// shedLevelDecayTime is how long it then takes to fall to 0, linearly.
	shedLevelDecayTime = time.Second
	// meanPassTime is the time constant of the counts of requests and of what passes.
	meanPassTime = time.Second
)

// shedLevels holds the levels that the nodes of services returned, as a moving
// average of the number of hash values, out of rootHashCount, that they reject.
// The zero value works.
type shedLevels struct {
	mu     sync.Mutex
	values map[shedKey]*shedLevel
	// arrived and passing count recent root requests and the fractions of them that pass,
	// with exponential decay until countedAt.
	arrived, passing float64
	countedAt        time.Time
}

type shedLevel struct {
	value      float64
	reportedAt time.Time
	// probedAt is when a request last passed as a probe.
	probedAt time.Time
}

// raiseToFloor returns the fraction that passes of requests of one kind: at least a part of
// the mean of all, for which the admission level leaves room. Otherwise lasting overload
// would leave nothing to the lower ranks.
func (l *shedLevels) raiseToFloor(passFraction float64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := math.Exp(-float64(now.Sub(l.countedAt)) / float64(meanPassTime))
	l.arrived, l.passing = l.arrived*kept, l.passing*kept
	l.countedAt = now
	passFraction = max(passFraction, probeHashes/float64(rootHashCount))
	if l.arrived > 0 {
		passFraction = max(passFraction, shedder.FloorFraction*l.passing/l.arrived)
	}
	l.arrived++
	l.passing += passFraction
	return passFraction
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
	weight := 1 - math.Exp(-float64(now.Sub(r.reportedAt))/float64(shedLevelTime))
	r.value += max(weight, minShedLevelWeight) * (float64(value) - r.value)
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

// takeProbe reports whether a request that is held back passes all the same, since no answer
// has brought a level for shedProbeInterval.
func (l *shedLevels) takeProbe(key shedKey, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.values[key]
	if !ok || now.Sub(r.reportedAt) < shedProbeInterval || now.Sub(r.probedAt) < shedProbeInterval {
		return false
	}
	r.probedAt = now
	return true
}
