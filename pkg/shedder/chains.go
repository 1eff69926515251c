package shedder

import (
	"math"
	"sync"
	"time"
)

const (
	// hashCount is the number of hash values of root requests, of which probeHashes
	// always pass, so that answers show when there is capacity again.
	hashCount   = 256
	probeHashes = 2
	// ProbeShare is the smallest share of a route's requests that passes.
	ProbeShare = float64(probeHashes) / hashCount
	// FloorFraction is the fraction of the mean passing share that each route and each
	// team keeps.
	FloorFraction = 0.25
	// probeInterval is the longest time without an answer of a route that is held back
	// before one of its requests passes: an entry node with few requests a second would
	// not meet a probing hash within informationTime.
	probeInterval = 700 * time.Millisecond
	// informationTime is the age from which what an answer said counts no more.
	informationTime = time.Second
	// holdTime is how long a level stays unchanged without answers; it then falls to 0
	// until informationTime.
	holdTime = 200 * time.Millisecond
	// levelTime is the time constant with which a level follows the answers, and
	// minLevelWeight the least weight of an answer.
	levelTime      = 150 * time.Millisecond
	minLevelWeight = 0.3
	// planInterval is how often the passing shares are computed.
	planInterval = 50 * time.Millisecond
	// quietTime is the time after the last sign of overload or of a failed call from
	// which nothing is computed and all requests pass.
	quietTime = 2 * time.Second
	// idleTime is the time without a request after which a route is forgotten.
	idleTime = 30 * time.Second
	// arrivalTime is the time constant of the arrivals to which a level relates: about
	// as old as the requests from which the level was computed, which went through a
	// chain of calls. newestTime is that of the newest arrivals, longer where fewer than
	// newestArrivals come in it.
	arrivalTime    = time.Second
	newestTime     = 200 * time.Millisecond
	newestArrivals = 20
	// outcomeTime is the time constant of the count of recent outcomes, and maxOutcomes
	// bounds that count: a route with many requests a second is judged by the newest.
	outcomeTime = 2 * time.Second
	maxOutcomes = 16
	// costTime is the time constant of the costs and successes by which routes are
	// compared; long, since a route that is held back has few outcomes.
	costTime = 5 * time.Second
	// hopelessSuccess is the share of successes below which a route is refused whose
	// calls fail; minOutcomes is the number of recent outcomes from which it is judged.
	// A route with a true share of 0.45 fails 8 times in a row in 1 of 120 cases.
	hopelessSuccess = 0.1
	minOutcomes     = 8
	// failedRow is the number of requests in a row whose calls failed from which a route
	// is refused at once if the success of single calls predicts less than
	// hopelessSuccess for its chain; it passes again from recoveredSuccess on.
	failedRow        = 3
	recoveredSuccess = 2 * hopelessSuccess
	// minCalls is the number of recent calls, of all routes, from which chains are
	// predicted, and maxCalls bounds the count, so that the newest decide.
	minCalls = 8
	maxCalls = 24
	// callsWeight is the weight of the newest request in the mean number of calls.
	callsWeight = 0.1
	// similarValue is the ratio of success per cost up to which routes are held back in
	// equal parts; smaller differences are within the noise of the counts.
	similarValue = 1.25
	// rankCount is the number of ranks.
	rankCount = 16
)

// Cause says why requests of a route are held back.
type Cause string

// The causes.
const (
	// None stands for a route of which all requests pass.
	None Cause = ""
	// Overload stands for a rank whose demand exceeds the capacity of a service.
	Overload Cause = "overload"
	// Hopeless stands for a route whose begun requests hardly ever succeed.
	Hopeless Cause = "hopeless"
)

// Key identifies the requests about which one decision is made.
type Key struct {
	Service, Route string
	Rank           uint32
}

// Decision is what to do with a request.
type Decision struct {
	// Share is the share of such requests that pass, at least ProbeShare.
	Share float64
	// Probe is set for a request that passes whatever the share.
	Probe bool
	Cause Cause
	// Cost is the mean slot time that a request uses at overloaded services.
	Cost time.Duration
	// Success is the share of the begun requests that succeed.
	Success float64
}

// Outcome is how a request ended that began on a target.
type Outcome struct {
	// Succeeded says that it was answered with success within its objective.
	Succeeded bool
	// CallFailed says that it failed and that one of its calls had failed.
	CallFailed bool
	// Cost is the slot time that it used at overloaded services.
	Cost time.Duration
	// Calls is the number of its calls, and FailedCalls of those that failed by
	// themselves.
	Calls, FailedCalls float64
}

// Chains holds back root requests at an entry node. The zero value works.
type Chains struct {
	mu      sync.Mutex
	routes  map[routeKey]*route
	classes map[Key]*class
	// levels are the latest levels of each rank, over the routes that use overloaded
	// services.
	levels [rankCount]level
	// calls and failedCalls count the recent calls of all routes, with decay; calledAt is
	// when the last was counted.
	calls, failedCalls float64
	calledAt           time.Time
	// plan is the scratch list of computeShares.
	plan                           []*class
	plannedAt, troubleAt, prunedAt time.Time
}

type routeKey struct{ service, route string }

// route holds what is known of a route, over all ranks.
type route struct {
	// outcomes, successes and callFailures count recent outcomes, with decay.
	outcomes, successes, callFailures float64
	// costOutcomes, costSuccesses and costSeconds count the outcomes of the times in
	// which the route used overloaded services. costAt is when it last did.
	costOutcomes, costSuccesses, costSeconds float64
	countedAt, costAt                        time.Time
	// outcomeAt is when the last outcome came, probedAt when a request last passed as
	// a probe, arrivedAt when the last request came.
	outcomeAt, probedAt, arrivedAt time.Time
	hopeless                       bool
	// calls is the mean number of calls of a request that succeeds. failedRow counts the
	// requests in a row whose calls failed. predicted is set while the route is hopeless
	// and its chain is predicted to fail.
	calls     float64
	failedRow int
	predicted bool
	// affected is set while a class of the route is to be held back.
	affected bool
}

// class holds the requests of one rank of a route.
type class struct {
	route *route
	rank  uint32
	// arrivals and newest are the rates of arrivals, in requests a second, over
	// arrivalTime and over newestTime.
	arrivals, newest float64
	arrivedAt        time.Time
	level            level
	// held is the part that the level asks to hold back, passing the part that passes.
	held, passing float64
	// usual and demand are the slot time that its recent and its newest arrivals ask
	// for, per second, and value the successes per second of cost.
	usual, demand, value float64
}

// level is a moving average of the part of the requests that a service asks to hold
// back.
type level struct {
	held       float64
	reportedAt time.Time
}

func (l *level) record(held float64, now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(l.reportedAt))/float64(levelTime))
	l.held += max(weight, minLevelWeight) * (held - l.held)
	l.reportedAt = now
}

// fresh reports whether the level stands for the present.
func (l *level) fresh(now time.Time) bool { return now.Sub(l.reportedAt) <= holdTime }

// current returns the level, which falls to 0 without reports.
func (l *level) current(now time.Time) float64 {
	age := now.Sub(l.reportedAt) - holdTime
	return l.held * min(1, max(0, 1-float64(age)/float64(informationTime-holdTime)))
}

// countArrival counts a request in both rates.
func (cl *class) countArrival(now time.Time) {
	age, short := now.Sub(cl.arrivedAt), cl.newestTime()
	cl.arrivals = cl.arrivals*decay(age, arrivalTime) + 1/arrivalTime.Seconds()
	cl.newest = cl.newest*decay(age, short) + 1/short.Seconds()
	cl.arrivedAt, cl.route.arrivedAt = now, now
}

// newestTime returns the time constant of the newest arrivals.
func (cl *class) newestTime() time.Duration {
	if cl.arrivals <= newestArrivals/arrivalTime.Seconds() {
		return arrivalTime
	}
	return max(newestTime, time.Duration(newestArrivals/cl.arrivals*float64(time.Second)))
}

// Decide counts a request and returns what to do with requests like it.
func (c *Chains) Decide(key Key, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := c.class(key)
	quiet := now.Sub(c.troubleAt) > quietTime
	if !quiet && now.Sub(c.plannedAt) >= planInterval {
		// Before this request is counted: just after an arrival a rate is above its mean.
		c.plannedAt = now
		c.computeShares(now)
	}
	cl.countArrival(now)
	if quiet {
		return Decision{Share: 1}
	}
	r := cl.route
	d := Decision{Share: cl.passing, Cost: r.cost(now), Success: r.success()}
	switch {
	case r.hopeless:
		d.Share, d.Cause = ProbeShare, Hopeless
		d.Success = r.successes / r.outcomes
	case d.Share < 1:
		d.Cause = Overload
	default:
		return d
	}
	if now.Sub(r.probedAt) > probeInterval && now.Sub(r.outcomeAt) > probeInterval {
		r.probedAt, d.Probe = now, true
	}
	return d
}

// RecordLevel takes the part of such requests that the answer of a service asks to hold
// back, from 0 to 1.
func (c *Chains) RecordLevel(key Key, held float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held <= 0 && now.Sub(c.troubleAt) > quietTime {
		return
	}
	cl := c.class(key)
	cl.level.record(held, now)
	if held > 0 {
		c.troubleAt = now
	}
	if held > 0 || cl.route.cost(now) > 0 {
		c.levels[min(key.Rank, rankCount-1)].record(held, now)
	}
}

// RecordOutcome takes how a request ended that began on a target.
func (c *Chains) RecordOutcome(key Key, o Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.CallFailed || o.Cost > 0 {
		c.troubleAt = now
	}
	r := c.class(key).route
	r.count(o, now)
	c.countCalls(o, now)
	if o.Succeeded && r.hopeless {
		r.restart()
	}
}

// countCalls counts the calls of a request among those of all routes.
func (c *Chains) countCalls(o Outcome, now time.Time) {
	if o.Calls <= 0 {
		return
	}
	kept := min(decay(now.Sub(c.calledAt), informationTime), max(0, 1-o.Calls/maxCalls))
	c.calls, c.failedCalls = c.calls*kept+o.Calls, c.failedCalls*kept+min(o.FailedCalls, o.Calls)
	c.calledAt = now
}

// restart has the route judged anew, from outcomes after this.
func (r *route) restart() {
	r.hopeless, r.predicted, r.failedRow = false, false, 0
	r.outcomes, r.successes, r.callFailures = 0, 0, 0
}

// Least returns the least share of any route's requests that passes.
func (c *Chains) Least(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := 1.0
	if now.Sub(c.troubleAt) > quietTime {
		return least
	}
	for _, cl := range c.classes {
		switch {
		case now.Sub(cl.arrivedAt) > informationTime:
		case cl.route.hopeless:
			least = min(least, ProbeShare)
		default:
			least = min(least, cl.passing)
		}
	}
	return least
}

func (c *Chains) class(key Key) *class {
	if cl, ok := c.classes[key]; ok {
		return cl
	}
	if c.classes == nil {
		c.classes, c.routes = map[Key]*class{}, map[routeKey]*route{}
	}
	rk := routeKey{key.Service, key.Route}
	r, ok := c.routes[rk]
	if !ok {
		r = &route{}
		c.routes[rk] = r
	}
	cl := &class{route: r, rank: min(key.Rank, rankCount-1), passing: 1}
	c.classes[key] = cl
	return cl
}

// count adds an outcome.
func (r *route) count(o Outcome, now time.Time) {
	recent := min(decay(now.Sub(r.countedAt), outcomeTime), 1-1.0/maxOutcomes)
	r.outcomes, r.successes, r.callFailures = r.outcomes*recent+1, r.successes*recent, r.callFailures*recent
	switch {
	case o.Succeeded:
		r.successes++
		r.failedRow = 0
		if r.calls == 0 {
			r.calls = o.Calls
		}
		r.calls += callsWeight * (o.Calls - r.calls)
	case o.CallFailed:
		r.callFailures++
		r.failedRow++
	}
	r.countCost(o, now)
	r.countedAt, r.outcomeAt = now, now
}

// countCost adds an outcome to those by which routes are compared. Those without a cost
// count only while others of the route have one: before, no service was overloaded.
func (r *route) countCost(o Outcome, now time.Time) {
	if o.Cost > 0 {
		r.costAt = now
	}
	if now.Sub(r.costAt) > informationTime {
		return
	}
	long := decay(now.Sub(r.countedAt), costTime)
	r.costOutcomes, r.costSuccesses, r.costSeconds = r.costOutcomes*long+1, r.costSuccesses*long, r.costSeconds*long+o.Cost.Seconds()
	if o.Succeeded {
		r.costSuccesses++
	}
}

// cost returns the mean cost of a request, 0 if it uses no overloaded service.
func (r *route) cost(now time.Time) time.Duration {
	if now.Sub(r.costAt) > costTime || r.costOutcomes < 0.01 {
		return 0
	}
	return time.Duration(r.costSeconds / r.costOutcomes * float64(time.Second))
}

// success returns the share of begun requests that succeed. One outcome of each kind,
// half weighted, is added, so that a route without outcomes counts as neither.
func (r *route) success() float64 { return (r.costSuccesses + 0.5) / (r.costOutcomes + 1) }

// decay returns the factor by which a count falls in a time.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}
