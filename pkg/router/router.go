// Package router chooses the target of a call. The results of this node's own
// requests count more than reported load: failures eject a target for some time,
// a new or returning target reaches its full share of requests gradually, and
// among the usable targets the router compares two random ones by requests in
// flight and latency.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// subset is the maximum number of targets of a service that one node uses in
	// its own data centre, and likewise in all others together; it bounds the
	// number of connections in a large fleet.
	subset = 20
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 3
	// minEjection and maxEjection bound how long a target is ejected.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// warmupTime is how long a new or returning target takes to reach its full
	// share of requests.
	warmupTime = 3 * time.Second
	// warmupShare is the fraction of its full share that such a target starts
	// with.
	warmupShare = 0.1
	// fullLoad is the fraction of its limit at which a target counts as full:
	// since arrivals are bursty, requests begin to wait there.
	fullLoad = 0.85
	// remoteLoadMargin is how much lower the load of a target in another data
	// centre must be to justify the longer way.
	remoteLoadMargin = 0.1
	// fullQueueLoad is the load from which a target's queue counts as full, and
	// fullQueueTTL how long a report of that counts: a queue is worked off in the time of
	// a few requests.
	fullQueueLoad = 0.95 * admitter.FullLoad
	fullQueueTTL  = 100 * time.Millisecond
	// loadTTL is how long a load reported by a target's node is used, and how long
	// a target counts as full after it shed a request.
	loadTTL = 500 * time.Millisecond
)

// Result is the result of an attempt, as far as it matters for choosing targets.
type Result int

// Results of an attempt.
const (
	// Succeeded means that the target answered, with a status that stands neither
	// for overload nor for a failure.
	Succeeded Result = iota
	// Shed means that the target or its node rejected the request, as a rule for
	// lack of capacity.
	Shed
	// Paced means that the target's node rejected the request because of the limit
	// that the target names.
	Paced
	// Drained means that the target's node rejected the request because its data centre
	// is drained, which says nothing about the target.
	Drained
	// Failed means that the connection broke, or that the answer had a failure
	// status.
	Failed
	// Expired means that the deadline passed without an answer.
	Expired
	// Abandoned means that the caller disconnected before there was an answer.
	Abandoned
	// Unreachable means that the target's node could not be reached.
	Unreachable
)

// targetStats holds what this node has observed of one target.
type targetStats struct {
	// silence is that of the target's data centre; nil for the node's own.
	silence  *silence
	inflight int
	latency  latency
	// chosenAt is when the last request was sent to the target.
	chosenAt time.Time
	// failures counts consecutive failures.
	failures int
	// ejectedUntil is zero unless the target is ejected. It stays set after that
	// time until a request succeeds; see usable.
	ejectedUntil time.Time
	// ejection is the length of the last ejection; 0 after a success.
	ejection time.Duration
	// warmupStart is when the target was first seen or last returned from an
	// ejection.
	warmupStart time.Time
	lastShed    time.Time
	// load is the reported fraction of its limit that the target's running and
	// waiting requests make up.
	load         float64
	loadReported time.Time
	// work is what the target's node last reported, and distance the network latency to
	// its data centre.
	work     work
	distance *distance
	// workBaseline is the usual time in the target as reported, in seconds.
	workBaseline float64
	// answeredAt is when the last successful answer ended.
	answeredAt time.Time
	// statements holds what the target states about itself.
	statements pacer.Tracker
	// leavingLife is the life of the target that states that it leaves, if any.
	leavingLife string
	// pausedUntil is when the target may next have room in the limit that it names.
	pausedUntil time.Time
	cold        coldState
}

// Router chooses targets. The caller passes the members with each choice, so the
// router stores only the statistics of targets and, by service, the candidates
// from the last list of members.
type Router struct {
	clock    timekeeper.Clock
	instance string
	centre   string

	mu     sync.Mutex
	random *rand.Rand
	// stats holds the statistics by instance.
	stats map[string]*targetStats
	// services holds the candidates by service.
	services map[string]*candidates
	// silences holds the silence of the other data centres by name.
	silences map[string]*silence
	// distances holds the distances of data centres by name.
	distances map[string]*distance
	// byFinish selects the choice by the expected time of completion.
	byFinish bool
	// readsCold is set by UseCold.
	readsCold bool
	// targetPace is set by UseTargetPace.
	targetPace bool
}

// New returns a router for the node of an instance in a data centre.
func New(clock timekeeper.Clock, instance, centre string, random *rand.Rand) *Router {
	return &Router{clock: clock, instance: instance, centre: centre, random: random, stats: map[string]*targetStats{}, services: map[string]*candidates{}, silences: map[string]*silence{}, distances: map[string]*distance{}}
}

// candidates are the members of a service that this node uses, in its own data
// centre (local) and in others (remote).
type candidates struct {
	// members is the list from which the candidates were selected.
	members       []*control.Entry
	local, remote []*control.Entry
	// finish is the state of the choice by the expected time of completion.
	finish finishState
}

// candidates returns the candidates among the members. It selects them anew
// only when it gets a different list of members, so that a choice costs no more
// in a large fleet.
func (r *Router) candidates(members []*control.Entry) *candidates {
	service := members[0].Service
	c, ok := r.services[service]
	if ok && len(c.members) == len(members) && &c.members[0] == &members[0] {
		return c
	}
	c = &candidates{members: members}
	for _, e := range members {
		if e.Centre == r.centre {
			c.local = append(c.local, e)
		} else {
			c.remote = append(c.remote, e)
		}
	}
	c.local, c.remote = r.subset(c.local), r.subset(c.remote)
	r.services[service] = c
	r.readCold(c.local)
	r.readCold(c.remote)
	return c
}

// Choose returns the entry of a target among the members of a service, or nil if
// there are none, or only such as leave. It prefers targets that were not tried for
// this request and, unless the targets there are full or slow, the node's own data
// centre. The caller must not change the list afterwards, as the router recognizes a
// new list by its address and length.
func (r *Router) Choose(members []*control.Entry, tried map[string]bool) *control.Entry {
	e, _ := r.Place(members, tried)
	return e
}

// Place is Choose that also returns what decided.
func (r *Router) Place(members []*control.Entry, tried map[string]bool) (*control.Entry, Cause) {
	if len(members) == 0 {
		return nil, ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	c := r.candidates(members)
	if r.byFinish {
		return r.placeByFinish(c, tried, now)
	}
	for _, excluded := range []map[string]bool{tried, nil} {
		local := r.pick(c.local, excluded, now)
		if local != nil && r.load(local, now) < fullLoad && !r.isSlow(local, now) {
			return r.begin(local, now), ""
		}
		remote := r.pick(c.remote, excluded, now)
		if local != nil && (remote == nil || !r.replaces(remote, local, now)) {
			return r.begin(local, now), ""
		}
		if remote != nil {
			return r.begin(remote, now), ""
		}
	}
	// No candidate is usable. Trying any member that stays is better than failing.
	if e := r.fallback(members, now); e != nil {
		return r.begin(e, now), ""
	}
	return nil, ""
}

// begin counts a request in flight to the target and returns the target's entry.
func (r *Router) begin(e *control.Entry, now time.Time) *control.Entry {
	s := r.targetStats(e)
	s.inflight++
	s.work.sent++
	s.chosenAt = now
	if s.silence != nil {
		s.silence.recordSend(now)
	}
	return e
}

// subset selects members by rendezvous hashing: it keeps those with the highest
// hash of this node's instance and theirs.
func (r *Router) subset(members []*control.Entry) []*control.Entry {
	if len(members) <= subset {
		return members
	}
	ranks := make(map[*control.Entry]uint64, len(members))
	for _, e := range members {
		ranks[e] = xxhash.Sum64String(r.instance + "/" + e.Instance)
	}
	slices.SortFunc(members, func(a, b *control.Entry) int { return cmp.Compare(ranks[b], ranks[a]) })
	return members[:subset]
}

// usable reports whether requests may go to the target. After an ejection ends,
// only one request at a time may go there until one succeeds. To a silent data
// centre only probes may go, and to a target that leaves nothing.
func (r *Router) usable(e *control.Entry, now time.Time) bool { return r.targetStats(e).usable(e, now) }

func (s *targetStats) usable(e *control.Entry, now time.Time) bool {
	if s.isLeaving(e) || !s.allowedBySilence(now) {
		return false
	}
	if s.ejectedUntil.IsZero() || !now.Before(s.ejectedUntil) {
		return s.ejectedUntil.IsZero() || s.inflight == 0
	}
	return false
}

// pick returns the better of two random members that are usable and were not
// tried, or nil if there is none. It takes a paused one only if all of them are.
func (r *Router) pick(members []*control.Entry, tried map[string]bool, now time.Time) *control.Entry {
	var usable [subset]*control.Entry
	count := 0
	for _, takePaused := range []bool{false, true} {
		for _, e := range members {
			if !tried[e.Instance] && r.usable(e, now) && r.isPaused(e, now) == takePaused {
				usable[count] = e
				count++
			}
		}
		if count > 0 {
			break
		}
	}
	if count == 0 {
		return nil
	}
	a := usable[r.random.IntN(count)]
	b := usable[r.random.IntN(count)]
	if r.score(b, now) < r.score(a, now) {
		return b
	}
	return a
}

// score estimates the wait at a target; lower is better. A target is penalized
// for a short time after it shed a request, during its warm-up, and while it is
// suspected to be down.
func (r *Router) score(e *control.Entry, now time.Time) float64 {
	s := r.targetStats(e)
	share := 1.0
	if !r.targetPace {
		share = warmupShare + (1-warmupShare)*math.Min(1, now.Sub(s.warmupStart).Seconds()/warmupTime.Seconds())
	}
	score := (float64(s.inflight) + 1) * (s.latency.mean + 0.001) / share
	if now.Sub(s.lastShed) < minEjection/10 {
		score *= 4
	}
	if s.isCold(now) {
		score *= coldPenalty
	}
	if e.State == control.State_STATE_SUSPECT {
		score *= 8
	}
	return score / math.Max(1, float64(e.Slots))
}

// load returns the last known load of a target: its running and waiting requests
// as a fraction of its limit. A target that recently shed a request counts as
// fully loaded, one without a recent report as idle.
func (r *Router) load(e *control.Entry, now time.Time) float64 {
	s := r.targetStats(e)
	load := 0.0
	if now.Sub(s.loadReported) < loadTTL {
		load = s.load
	}
	if now.Sub(s.lastShed) < loadTTL || r.isPaused(e, now) {
		load = max(load, 1)
	}
	return load
}

// RecordLoad records the load that a target's node reports: the running and
// waiting requests as a fraction of the target's limit.
func (r *Router) RecordLoad(instance string, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok {
		s.load, s.loadReported = load, r.clock.Now()
	}
}

func (r *Router) targetStats(e *control.Entry) *targetStats {
	s, ok := r.stats[e.Instance]
	if !ok {
		s = &targetStats{warmupStart: r.clock.Now(), silence: r.silence(e.Centre), distance: r.distance(e.Centre)}
		r.stats[e.Instance] = s
	}
	return s
}

// Busy returns the instances whose targets have requests of this node in flight.
func (r *Router) Busy() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var busy []string
	for instance, s := range r.stats {
		if s.inflight > 0 {
			busy = append(busy, instance)
		}
	}
	return busy
}

// RecordResult records the result of an attempt at a target that Choose returned,
// once the attempt is over. RecordAnswer or RecordNoAnswer precedes it.
func (r *Router) RecordResult(instance string, result Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.stats[instance]
	if !ok {
		return
	}
	s.inflight--
	now := r.clock.Now()
	switch result {
	case Succeeded:
		s.recordSuccess(now, took)
	case Shed:
		s.failures = 0
		s.lastShed = now
	case Paced:
		s.failures = 0
	case Drained:
	case Failed:
		s.recordFailure(now, took)
	case Expired:
		s.latency.recordNoAnswer(took)
		if !s.inSilentCentre(now) {
			s.recordFailure(now, took)
		}
	case Abandoned:
		s.latency.recordNoAnswer(took)
	case Unreachable:
		if !s.inSilentCentre(now) {
			s.failures = max(s.failures, ejectAfter)
			s.recordFailure(now, took)
		}
	}
}

// recordSuccess ends an ejection and starts the warm-up after it.
func (s *targetStats) recordSuccess(now time.Time, took time.Duration) {
	s.failures = 0
	s.latency.recordAnswer(took)
	s.answeredAt = now
	if !s.ejectedUntil.IsZero() {
		s.ejectedUntil, s.ejection, s.warmupStart = time.Time{}, 0, now
	}
}

// recordFailure ejects the target after enough failures, and after any failure
// that follows an ejection. Each further ejection before a success is twice as long
// as the one before, at most maxEjection. Requests that were already in flight when
// the target was ejected don't prolong the ejection.
func (s *targetStats) recordFailure(now time.Time, took time.Duration) {
	s.failures++
	if s.failures < ejectAfter && s.ejectedUntil.IsZero() {
		return
	}
	if !s.ejectedUntil.IsZero() && now.Add(-took).Before(s.ejectedUntil.Add(-s.ejection)) {
		return
	}
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
}
