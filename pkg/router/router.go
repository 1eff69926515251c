// Package router chooses the target of a call. What this node's own requests
// met counts more than what is reported: errors eject a target for a while, a
// returning or new one gets its share back gradually, and among the rest two
// random ones are compared by the requests in flight and their time.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// subset is how many targets of a service one node uses; it bounds the
	// connections of a large fleet.
	subset = 20
	// ejectAfter is how many failures in a row eject a target.
	ejectAfter = 3
	// ejectFirst and ejectMost bound how long a target is ejected.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	// ramp is how long a new or returning target takes to its full share.
	ramp = 3 * time.Second
	// rampFloor is its share at the beginning.
	rampFloor = 0.1
	// timeWeight is that of the newest request in the average time.
	timeWeight = 0.2
	// fullLoad is the part of its limit from which a target counts as full:
	// requests begin to wait there, as arrivals clump.
	fullLoad = 0.85
	// loadMargin is by how much less another data centre's target must be loaded
	// to be worth the way there.
	loadMargin = 0.1
	// loadAge is how long what a target said of its load counts.
	loadAge = 500 * time.Millisecond
)

// Result is how an attempt went, as far as the choice of targets matters.
type Result int

// The results.
const (
	// Succeeded says that the target answered.
	Succeeded Result = iota
	// Shed says that the target or its node refused for lack of room.
	Shed
	// Failed says that there was no answer.
	Failed
	// Unreachable says that the target's node was out of reach.
	Unreachable
)

// experience is what this node's requests met at one target.
type experience struct {
	inflight int
	time     float64
	failures int
	ejected  time.Time
	spell    time.Duration
	since    time.Time
	shedAt   time.Time
	// load is the part of its limit that a target had in use and waiting.
	load   float64
	loadAt time.Time
}

// Router chooses targets. Members are given with each choice, so the router
// holds nothing but experience, and whom it uses of the last list.
type Router struct {
	clock    timekeeper.Clock
	instance string
	centre   string

	mu     sync.Mutex
	random *rand.Rand
	seen   map[string]*experience
	// services are the candidates by service.
	services map[string]*candidates
}

// New makes a router for a node.
func New(clock timekeeper.Clock, instance, centre string, random *rand.Rand) *Router {
	return &Router{clock: clock, instance: instance, centre: centre, random: random, seen: map[string]*experience{}, services: map[string]*candidates{}}
}

// candidates are the members of a service that this node uses, in the own data
// centre and elsewhere.
type candidates struct {
	// members is the list that they were chosen from.
	members   []*control.Entry
	near, far []*control.Entry
}

// candidates chooses anew only when the list of members is another one, so that
// a request costs the same however many there are.
func (r *Router) candidates(members []*control.Entry) *candidates {
	service := members[0].Service
	c, ok := r.services[service]
	if ok && len(c.members) == len(members) && &c.members[0] == &members[0] {
		return c
	}
	c = &candidates{members: members}
	for _, e := range members {
		if e.Centre == r.centre {
			c.near = append(c.near, e)
		} else {
			c.far = append(c.far, e)
		}
	}
	c.near, c.far = r.subset(c.near), r.subset(c.far)
	r.services[service] = c
	return c
}

// Choose picks a target's entry among the members of a service, preferring
// targets not tried yet for this request and, unless its targets are full, the
// own data centre. It returns nil if there is none. The list must not be changed
// afterwards.
func (r *Router) Choose(members []*control.Entry, tried map[string]bool) *control.Entry {
	if len(members) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	c := r.candidates(members)
	for _, passed := range []map[string]bool{tried, nil} {
		near := r.pick(c.near, passed, now)
		if near != nil && r.load(near, now) < fullLoad {
			return r.begin(near)
		}
		far := r.pick(c.far, passed, now)
		if near != nil && (far == nil || r.load(far, now) > r.load(near, now)-loadMargin) {
			return r.begin(near)
		}
		if far != nil {
			return r.begin(far)
		}
	}
	// All are ejected: any is better than none.
	return r.begin(members[r.random.IntN(len(members))])
}

func (r *Router) begin(e *control.Entry) *control.Entry {
	r.experience(e.Instance).inflight++
	return e
}

// subset keeps the members that rank highest for this node.
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

func (r *Router) usable(e *control.Entry, now time.Time) bool {
	x := r.experience(e.Instance)
	if x.ejected.IsZero() || !now.Before(x.ejected) {
		return x.ejected.IsZero() || x.inflight == 0
	}
	return false
}

// pick compares two random members that are usable and were not tried.
func (r *Router) pick(members []*control.Entry, tried map[string]bool, now time.Time) *control.Entry {
	var usable [subset]*control.Entry
	count := 0
	for _, e := range members {
		if !tried[e.Instance] && r.usable(e, now) {
			usable[count] = e
			count++
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

// score is the expected wait; lower is better.
func (r *Router) score(e *control.Entry, now time.Time) float64 {
	x := r.experience(e.Instance)
	share := rampFloor + (1-rampFloor)*math.Min(1, now.Sub(x.since).Seconds()/ramp.Seconds())
	score := (float64(x.inflight) + 1) * (x.time + 0.001) / share
	if now.Sub(x.shedAt) < ejectFirst/10 {
		score *= 4
	}
	if e.State == control.State_STATE_SUSPECT {
		score *= 8
	}
	return score / math.Max(1, float64(e.Slots))
}

// load is the part of its limit that a target has in use, as far as is known.
func (r *Router) load(e *control.Entry, now time.Time) float64 {
	x := r.experience(e.Instance)
	load := 0.0
	if now.Sub(x.loadAt) < loadAge {
		load = x.load
	}
	if now.Sub(x.shedAt) < loadAge {
		load = max(load, 1)
	}
	return load
}

// RecordLoad takes the load that a target's node reports: the part of its limit that
// is in use and waiting.
func (r *Router) RecordLoad(instance string, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.experience(instance)
	x.load, x.loadAt = load, r.clock.Now()
}

func (r *Router) experience(instance string) *experience {
	x, ok := r.seen[instance]
	if !ok {
		x = &experience{since: r.clock.Now()}
		r.seen[instance] = x
	}
	return x
}

// RecordResult takes how an attempt at a target went.
func (r *Router) RecordResult(instance string, result Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.experience(instance)
	x.inflight--
	now := r.clock.Now()
	switch result {
	case Succeeded:
		x.good(now, took)
	case Shed:
		x.failures = 0
		x.shedAt = now
	case Failed:
		x.fail(now)
	case Unreachable:
		x.failures = max(x.failures, ejectAfter)
		x.fail(now)
	}
}

func (x *experience) good(now time.Time, took time.Duration) {
	x.failures = 0
	x.time += timeWeight * (took.Seconds() - x.time)
	if !x.ejected.IsZero() {
		x.ejected, x.spell, x.since = time.Time{}, 0, now
	}
}

func (x *experience) fail(now time.Time) {
	x.failures++
	if x.failures < ejectAfter && x.ejected.IsZero() {
		return
	}
	x.spell = min(max(2*x.spell, ejectFirst), ejectMost)
	x.ejected = now.Add(x.spell)
}
