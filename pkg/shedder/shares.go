package shedder

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// computeShares computes which part of each class passes. The levels say which part of
// the requests that came until recently may pass; times their cost, that is the slot
// time that may be used. It is divided among the requests that come now, so that a burst
// and its end take effect before an answer tells of them. Higher ranks come first, and
// within a rank the routes with the most success per cost. All keep a floor.
func (c *Chains) computeShares(now time.Time) {
	c.prune(now)
	c.judge(now)
	for _, r := range c.routes {
		r.affected = false
	}
	for _, cl := range c.classes {
		cl.held = c.heldPart(cl, now)
		cl.passing = 1 - cl.held
		cl.route.affected = cl.route.affected || cl.held > 0
	}
	c.plan = c.plan[:0]
	var budget, usual, demand float64
	for _, cl := range c.classes {
		if !cl.route.affected || cl.route.hopeless || !cl.weigh(now) {
			continue
		}
		c.plan = append(c.plan, cl)
		budget += cl.usual * (1 - cl.held)
		usual += cl.usual
		demand += cl.demand
	}
	floor := ProbeShare
	if demand > 0 {
		floor = max(floor, FloorFraction*min(1, budget/demand))
		budget += c.floors(FloorFraction * budget / usual)
	}
	c.divide(budget, demand, floor)
	for _, cl := range c.classes {
		cl.passing = max(cl.passing, floor)
	}
}

// floors returns the slot time of the floors of the classes below them, which the levels
// leave room for beside what they let pass.
func (c *Chains) floors(floor float64) float64 {
	sum := 0.0
	for _, cl := range c.plan {
		sum += cl.usual * max(0, floor-(1-cl.held))
	}
	return sum
}

// heldPart returns the part of a class that the services ask to hold back. A class
// without recent answers that is known to use overloaded services follows the others
// of its rank.
func (c *Chains) heldPart(cl *class, now time.Time) float64 {
	if pooled := &c.levels[cl.rank]; !cl.level.fresh(now) && pooled.fresh(now) && cl.route.cost(now) > 0 {
		return pooled.current(now)
	}
	return cl.level.current(now)
}

// weigh computes the slot time that a class asks for, and reports whether there is any.
func (cl *class) weigh(now time.Time) bool {
	cost, age := cl.route.cost(now).Seconds(), now.Sub(cl.arrivedAt)
	cl.usual = cl.arrivals * decay(age, arrivalTime) * cost
	cl.demand = cl.newest * decay(age, cl.newestTime()) * cost
	if cl.demand <= 0 {
		return false
	}
	cl.value = cl.route.success() / cost
	return true
}

// divide divides a budget of slot time among the classes of the plan, which ask for
// demand in all. Routes of one rank with similar value share equally.
func (c *Chains) divide(budget, demand, floor float64) {
	slices.SortFunc(c.plan, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.value, a.value))
	})
	for first := 0; first < len(c.plan); {
		end, group := first, 0.0
		for end < len(c.plan) && c.plan[end].rank == c.plan[first].rank && c.plan[end].value*similarValue >= c.plan[first].value {
			group += c.plan[end].demand
			end++
		}
		demand -= group
		passing := min(1, max(floor, (budget-floor*demand)/group))
		budget -= passing * group
		for _, cl := range c.plan[first:end] {
			cl.passing = passing
		}
		first = end
	}
}

// judge finds the hopeless routes, while another route that meets failures or overloaded
// services does better. If none does, the whole service fails, and refusing would serve
// nobody better. A route is hopeless if hardly any begun request succeeds because calls
// fail, or, sooner, if its last ones have failed so and the success of the calls of all
// routes predicts it for as many calls as it makes.
func (c *Chains) judge(now time.Time) {
	best := 0.0
	for _, r := range c.routes {
		if r.recent(now) && r.outcomes >= minOutcomes/2 && (r.outcomes > r.successes || r.cost(now) > 0) {
			best = max(best, r.successes/r.outcomes)
		}
	}
	for _, r := range c.routes {
		chain := c.chainSuccess(r, now)
		if r.hopeless && r.predicted && chain >= recoveredSuccess {
			r.restart()
		}
		few := r.recent(now) && (r.hopeless || r.outcomes >= minOutcomes) && r.successes < hopelessSuccess*r.outcomes &&
			r.callFailures > (r.outcomes-r.successes)/2
		failing := r.recent(now) && chain < hopelessSuccess && r.failedRow >= failedRow
		r.hopeless = (few || failing || r.hopeless && r.predicted && r.recent(now)) && best >= 2*hopelessSuccess
		r.predicted = r.hopeless && (r.predicted || chain < hopelessSuccess)
	}
}

// chainSuccess predicts the success of a request of a route from that of single calls;
// 1 if it is not known.
func (c *Chains) chainSuccess(r *route, now time.Time) float64 {
	if now.Sub(c.calledAt) > informationTime || c.calls < minCalls {
		return 1
	}
	return math.Pow(1-c.failedCalls/c.calls, r.calls)
}

// recent reports whether a route has an outcome that still counts.
func (r *route) recent(now time.Time) bool { return now.Sub(r.outcomeAt) <= informationTime }

// prune forgets routes and classes without recent requests.
func (c *Chains) prune(now time.Time) {
	if now.Sub(c.prunedAt) < idleTime {
		return
	}
	c.prunedAt = now
	for key, cl := range c.classes {
		if now.Sub(cl.arrivedAt) > idleTime {
			delete(c.classes, key)
		}
	}
	for key, r := range c.routes {
		if now.Sub(r.arrivedAt) > idleTime {
			delete(c.routes, key)
		}
	}
}
