package limiter

import (
	"math"
	"strconv"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// hold is how long a node may admit requests at a granted rate after it
	// asked for it: longer than a failed holder takes to be followed by another.
	hold = 8 * time.Second
	// nodeShare times the even share of a node is the most that one is granted,
	// which bounds what a node may hold that does not say.
	nodeShare = 2.5
	// grantedPart is the part of a node's demand that is granted to it, and the
	// most of a team's rate that is granted to all. What a node is granted it
	// uses up; the rest comes from the bucket, which evens out how arrivals
	// clump on single nodes.
	grantedPart = 0.6
	// grantCap is the time for which a node keeps what it has not used.
	grantCap = 400 * time.Millisecond
	// grantBurst is the most of a team's burst that such savings may take.
	grantBurst = 0.6
)

// grant is the rate that a node may be using, as its holder counts it.
type grant struct {
	// rate is the higher of what the node held and what it was offered.
	rate   float64
	demand float64
	expiry time.Time
}

// savings is the most that a node can have kept of a rate.
func savings(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return math.Max(1, rate*grantCap.Seconds())
}

// grants is what a bucket has granted, by node and life.
type grants map[string]*grant

// drop forgets what has expired.
func (g grants) drop(now time.Time) {
	for name, one := range g {
		if !now.Before(one.expiry) {
			delete(g, name)
		}
	}
}

// sums are the rate that all but one node may be using, what they may have
// saved of it, and what they would like to have.
func (g grants) sums(except string) (rate, saved, demand float64) {
	for name, one := range g {
		if name == except {
			continue
		}
		rate += one.rate
		saved += savings(one.rate)
		demand += one.demand
	}
	return rate, saved, demand
}

// grant divides the granted part of the rate over the nodes in proportion to
// their demand. A node gets more only when others have given back what they
// had.
func (b *bucket) grant(now time.Time, r *control.TokensRequest, nodes int) float64 {
	name := grantName(r.Instance, r.Session)
	b.grants.drop(now)
	others, saved, demand := b.grants.sums(name)
	others += b.unknown(now)
	share := grantedPart
	if total := demand + r.Demand; total > b.part.Rate {
		share *= b.part.Rate / total
	}
	offer := math.Min(r.Demand*share, math.Max(0, b.part.Rate*grantedPart-others))
	offer = math.Min(offer, mostGranted(b.part.Rate, nodes))
	if saved+savings(offer) > b.part.Burst*grantBurst {
		offer = math.Min(offer, r.Held)
	}
	b.grants[name] = &grant{rate: math.Max(r.Held, offer), demand: r.Demand, expiry: now.Add(hold + drift)}
	b.level = math.Max(0, math.Min(b.level, b.room()))
	return offer
}

// mostGranted is the most that one of so many nodes is granted of a rate.
func mostGranted(rate float64, nodes int) float64 {
	return rate * grantedPart * math.Min(1, nodeShare/float64(max(nodes, 1)))
}

// unknown is what nodes that have not said so may hold from a former holder.
func (b *bucket) unknown(now time.Time) float64 {
	if !now.Before(b.silentUntil) {
		return 0
	}
	return math.Min(float64(b.silent)*mostGranted(b.part.Rate, b.nodes), b.part.Rate*grantedPart)
}

// grantedNow is the rate that nodes may be using.
func (b *bucket) grantedNow(now time.Time) float64 {
	rate, _, _ := b.grants.sums("")
	return rate + b.unknown(now)
}

func grantName(instance string, session uint64) string {
	return instance + "/" + strconv.FormatUint(session, 36)
}

// Statement is what a node says that it holds from former holders.
type Statement struct {
	Instance string
	Session  uint64
	Held     []*control.Held
}

// inheritance is what a new holder knows of the grants of former ones.
type inheritance struct {
	statements []Statement
	// silent nodes of all nodes have not said what they hold.
	silent, nodes int
	until         time.Time
}

// apply enters the grants of one team into its new bucket.
func (i *inheritance) apply(b *bucket, team string) {
	b.silent, b.nodes, b.silentUntil = i.silent, i.nodes, i.until
	for _, s := range i.statements {
		for _, h := range s.Held {
			if h.Team == team {
				b.grants[grantName(s.Instance, s.Session)] = &grant{
					rate: h.Rate, demand: h.Rate, expiry: i.until,
				}
			}
		}
	}
}

// allowance is a node's side of a grant: a bucket that fills at the granted
// rate until the grant ends.
type allowance struct {
	rate   float64
	expiry time.Time
	// limit is the team's rate when the grant was made.
	limit float64
	level float64
	at    time.Time
	// surplus is what did not fit the savings; it goes back to the bucket.
	surplus float64
}

// held is the rate that the node may still use.
func (a *allowance) held(now time.Time) float64 {
	if !now.Before(a.expiry) {
		return 0
	}
	return a.rate
}

// set takes a new grant in place of the former one.
func (a *allowance) set(now time.Time, rate float64, expiry time.Time, limit float64) {
	a.fill(now, limit)
	a.rate, a.expiry, a.limit = rate, expiry, limit
	a.level = math.Min(a.level, savings(rate))
}

// fill brings the level up to now. When the team's rate was lowered since the
// grant was made, the grant counts in proportion.
func (a *allowance) fill(now time.Time, limit float64) {
	end := now
	if a.expiry.Before(end) {
		end = a.expiry
	}
	if end.After(a.at) && a.rate > 0 {
		rate := a.rate
		if a.limit > 0 && limit < a.limit {
			rate *= limit / a.limit
		}
		a.level += rate * end.Sub(a.at).Seconds()
		if over := a.level - savings(rate); over > 0 {
			a.level -= over
			a.surplus += over
		}
	}
	a.at = now
	if !now.Before(a.expiry) {
		a.level = 0
	}
}

// giveBack returns the surplus, which the node then no longer has.
func (a *allowance) giveBack(now time.Time, limit float64) float64 {
	a.fill(now, limit)
	surplus := a.surplus
	a.surplus = 0
	return surplus
}

// take spends one request.
func (a *allowance) take(now time.Time, limit float64) bool {
	a.fill(now, limit)
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

// Reserve is what a node may admit of a team on its own while it reaches no
// holder and has no grant left, in requests per second: its part of a tolerance
// of the team's limit over a window.
func Reserve(limit Part, window time.Duration, ratio, slack float64, nodes int) float64 {
	if window <= 0 || nodes < 1 {
		return 0
	}
	whole := (limit.Rate*window.Seconds()+limit.Burst)*ratio + slack
	// Each node may have saved one request when the window begins.
	return math.Max(0, whole/float64(nodes)-1) / window.Seconds()
}
