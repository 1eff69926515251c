package shedder

import (
	"cmp"
	"slices"
	"time"
)

// computeShares computes which part of each class passes.
func (c *Chains) computeShares(now time.Time) {
	c.prune(now)
	c.judge(now)
	c.plan = c.plan[:0]
	var demand, admitted float64
	for _, cl := range c.classes {
		cl.held = c.heldPart(cl, now)
		cl.passing = 1 - cl.held
		if w := cl.weight(now); w > 0 && !cl.route.hopeless {
			demand += w
			admitted += w * cl.passing
			if cl.held > 0 {
				c.plan = append(c.plan, cl)
			}
		}
	}
	floor := ProbeShare
	if demand > 0 {
		floor = max(floor, FloorFraction*admitted/demand)
	}
	slices.SortFunc(c.plan, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.value(), b.value()))
	})
	for first := 0; first < len(c.plan); {
		end := first
		for end < len(c.plan) && c.plan[end].rank == c.plan[first].rank {
			end++
		}
		holdLeastValue(c.plan[first:end], floor, now)
		first = end
	}
	for _, cl := range c.classes {
		cl.passing = max(cl.passing, floor)
	}
}

// heldPart returns the part of a class that the services ask to hold back. A class
// without recent answers that is known to use overloaded services follows the others
// of its rank.
func (c *Chains) heldPart(cl *class, now time.Time) float64 {
	if pooled := &c.levels[cl.rank]; !cl.level.fresh(now) && pooled.fresh(now) && cl.route.cost() > 0 {
		return pooled.current(now)
	}
	return cl.level.current(now)
}

// holdLeastValue divides what one rank must hold back in cost: the routes with the
// least success per cost are held back first, down to the floor. Routes of similar
// value share equally.
func holdLeastValue(classes []*class, floor float64, now time.Time) {
	total := 0.0
	for _, cl := range classes {
		total += cl.weight(now) * cl.held
	}
	for first := 0; first < len(classes); {
		end, demand := first, 0.0
		for end < len(classes) && classes[end].value() <= similarValue*classes[first].value() {
			demand += classes[end].weight(now)
			end++
		}
		held := min(total, demand*(1-floor))
		for _, cl := range classes[first:end] {
			cl.passing = 1 - held/demand
		}
		total -= held
		first = end
	}
}

// weight returns the demand of a class in seconds of cost.
func (cl *class) weight(now time.Time) float64 {
	return cl.arrivals * decay(now.Sub(cl.arrivedAt), arrivalTime) * cl.route.cost().Seconds()
}

// value returns the successes per second of cost. It is called for classes with a cost
// only.
func (cl *class) value() float64 { return cl.route.success() / cl.route.cost().Seconds() }

// judge finds the hopeless routes: those of which hardly any begun request succeeds
// because their calls fail, while another route that meets failures or overloaded
// services does better. If none does, the whole service fails, and refusing would
// serve nobody better.
func (c *Chains) judge(now time.Time) {
	best := 0.0
	for _, r := range c.routes {
		if r.judged(now) && (r.outcomes > r.successes || r.costSeconds > 0) {
			best = max(best, r.successes/r.outcomes)
		}
	}
	for _, r := range c.routes {
		r.hopeless = r.judged(now) && r.successes < hopelessSuccess*r.outcomes &&
			r.callFailures > (r.outcomes-r.successes)/2 && best >= 2*hopelessSuccess
	}
}

// judged reports whether there are enough recent outcomes to judge a route. One that is
// hopeless gets few, so that a single recent one keeps it so.
func (r *route) judged(now time.Time) bool {
	return now.Sub(r.outcomeAt) <= informationTime && (r.hopeless || r.outcomes >= minOutcomes)
}

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
