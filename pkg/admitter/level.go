package admitter

import (
	"slices"
	"time"
)

const (
	// levelPeriod is how often the level moves. What a step changes shows only
	// after the requests that it lets through have come down the chain.
	levelPeriod = 100 * time.Millisecond
	// raiseStep is the part of one rank's requests that a step up refuses more
	// at full pressure, lowerStep the part that a step down admits more.
	raiseStep = 0.03
	lowerStep = 0.015
	// steepAfter is the number of periods with refusals in a row after which a
	// step up is steepFactor times as large: more than the delay of the chain.
	steepAfter  = 5
	steepFactor = 2
	// idleStep is that part when the target had slots to spare all the time.
	idleStep = 0.08
	// idlePart is the part of the limit in use below which slots are to spare.
	idlePart = 0.85
	// waitTarget is the shortest wait within a period that counts as pressure,
	// or a part of the service time where that is more.
	waitTarget = 5 * time.Millisecond
	waitPart   = 8
	// waitFull is the wait, in targets, that counts as full pressure.
	waitFull = 4
	// hashCount is the number of hashes within a rank.
	hashCount = 1 << hashBits
)

// level is the priority below which requests are better refused at the entry.
// It answers lasting overload: it rises while even the request that had to wait
// least in a period waited too long, or while requests were refused, and sinks
// otherwise. It climbs over the hashes of one rank after the other, and only
// over ranks that arrive here.
type level struct {
	// ranks that have arrived, in order.
	ranks []uint32
	// position counts hashes over those ranks.
	position float64
	started  time.Time
	// least wait seen in this period, and whether anything was seen.
	least time.Duration
	seen  bool
	// refused tells that a request was refused for lack of room, streak for how
	// many periods in a row.
	refused bool
	streak  int
	// busiest is the highest part of the limit in use.
	busiest float64
}

func (l *level) arrive(p Priority, inUse float64) {
	l.busiest = max(l.busiest, inUse)
	rank := p.rank()
	at, known := slices.BinarySearch(l.ranks, rank)
	if known {
		return
	}
	if float64(at*hashCount) < l.position {
		// The level stays where it was among the ranks that were known.
		l.position += hashCount
	}
	l.ranks = slices.Insert(l.ranks, at, rank)
}

func (l *level) waited(d time.Duration) {
	if !l.seen || d < l.least {
		l.least = d
	}
	l.seen = true
}

// step moves the level when a period is over.
func (l *level) step(now time.Time, service time.Duration) {
	if l.started.IsZero() {
		l.started = now
	}
	passed := now.Sub(l.started)
	if passed < levelPeriod {
		return
	}
	l.position += hashCount * l.move(service)
	if idle := passed - 2*levelPeriod; idle > 0 {
		// Nothing arrived for some periods.
		l.position -= hashCount * idleStep * float64(idle/levelPeriod)
	}
	l.position = min(max(l.position, 0), float64(len(l.ranks)*hashCount))
	l.started, l.seen, l.refused, l.busiest = now, false, false, 0
}

// move is the step of a period, as a part of one rank's requests.
func (l *level) move(service time.Duration) float64 {
	target := max(waitTarget, service/waitPart)
	if !l.refused {
		l.streak = 0
	}
	switch {
	case l.refused:
		if l.streak++; l.streak > steepAfter {
			return raiseStep * steepFactor
		}
		return raiseStep
	case l.seen && l.least > target:
		return raiseStep * min(1, float64(l.least)/float64(waitFull*target))
	case l.busiest < idlePart:
		return -idleStep
	}
	return -lowerStep
}

// value is the level as a priority.
func (l *level) value() Priority {
	if l.position < 1 {
		return 0
	}
	at := int(l.position) / hashCount
	if at >= len(l.ranks) {
		return NewPriority(l.ranks[len(l.ranks)-1], true, ^uint32(0))
	}
	return NewPriority(l.ranks[at], false, 0) + Priority(int(l.position)%hashCount)
}
