package admitter

import (
	"slices"
	"time"
)

const (
	// levelInterval is how often the level moves. A move shows its effect only
	// after the requests that it admits have passed down the call chain.
	levelInterval = 100 * time.Millisecond
	// raiseStep is the fraction of one rank's requests that the level additionally
	// rejects after an interval of full pressure, lowerStep the fraction that it
	// additionally admits after an interval without pressure.
	raiseStep = 0.03
	lowerStep = 0.015
	// steepAfter is the number of consecutive intervals with rejections after
	// which raiseStep is multiplied by steepFactor. It is longer than the delay
	// of the call chain.
	steepAfter  = 5
	steepFactor = 2
	// idleStep replaces lowerStep if the target had free slots throughout the
	// interval, that is, if less than idleUtilization of the limit was in use.
	idleStep        = 0.08
	idleUtilization = 0.85
	// The wait target is the service time divided by waitTargetDivisor, but at
	// least minWaitTarget. There is pressure if even the shortest wait in an
	// interval exceeds it.
	minWaitTarget     = 5 * time.Millisecond
	waitTargetDivisor = 8
	// fullPressureWait is the wait that counts as full pressure, as a multiple of
	// the wait target.
	fullPressureWait = 4
	// hashCount is the number of hashes within a rank.
	hashCount = 1 << hashBits
)

// level is the admission level: the priority below which the entry node should
// reject requests. It responds to lasting overload: it rises if requests were
// rejected for lack of capacity, or if even the shortest wait in an interval was
// too long, and falls otherwise. It rises through the hashes of one rank after
// the other, skipping ranks of which no request has arrived here.
type level struct {
	// ranks of the requests that have arrived, sorted.
	ranks []uint32
	// position is the number of hashes below the level, counted over those ranks.
	position      float64
	intervalStart time.Time
	// minWait is the shortest wait in this interval, valid if waitSeen.
	minWait  time.Duration
	waitSeen bool
	// rejected says that a request was rejected for lack of capacity in this
	// interval, rejectedIntervals in how many consecutive ones.
	rejected          bool
	rejectedIntervals int
	// peakUtilization is the highest fraction of the limit in use in this interval.
	peakUtilization float64
}

func (l *level) recordArrival(p Priority, utilization float64) {
	l.peakUtilization = max(l.peakUtilization, utilization)
	rank := p.rank()
	index, known := slices.BinarySearch(l.ranks, rank)
	if known {
		return
	}
	if float64(index*hashCount) < l.position {
		// Keeps the level at the same priority: the new rank lies below it.
		l.position += hashCount
	}
	l.ranks = slices.Insert(l.ranks, index, rank)
}

func (l *level) recordWait(wait time.Duration) {
	if !l.waitSeen || wait < l.minWait {
		l.minWait = wait
	}
	l.waitSeen = true
}

// advance moves the level if the interval is over, and begins the next one.
func (l *level) advance(now time.Time, service time.Duration) {
	if l.intervalStart.IsZero() {
		l.intervalStart = now
	}
	elapsed := now.Sub(l.intervalStart)
	if elapsed < levelInterval {
		return
	}
	l.position += hashCount * l.step(service)
	if idle := elapsed - 2*levelInterval; idle > 0 {
		// No request arrived or ended for several intervals: the level falls for
		// each of them.
		l.position -= hashCount * idleStep * float64(idle/levelInterval)
	}
	l.position = min(max(l.position, 0), float64(len(l.ranks)*hashCount))
	l.intervalStart, l.waitSeen, l.rejected, l.peakUtilization = now, false, false, 0
}

// step returns the move after an interval, as a fraction of one rank's requests.
func (l *level) step(service time.Duration) float64 {
	waitTarget := max(minWaitTarget, service/waitTargetDivisor)
	if !l.rejected {
		l.rejectedIntervals = 0
	}
	switch {
	case l.rejected:
		if l.rejectedIntervals++; l.rejectedIntervals > steepAfter {
			return raiseStep * steepFactor
		}
		return raiseStep
	case l.waitSeen && l.minWait > waitTarget:
		return raiseStep * min(1, float64(l.minWait)/float64(fullPressureWait*waitTarget))
	case l.peakUtilization < idleUtilization:
		return -idleStep
	}
	return -lowerStep
}

// threshold returns the level as a priority.
func (l *level) threshold() Priority {
	if l.position < 1 {
		return 0
	}
	index := int(l.position) / hashCount
	if index >= len(l.ranks) {
		return NewPriority(l.ranks[len(l.ranks)-1], true, ^uint32(0))
	}
	return NewPriority(l.ranks[index], false, 0) + Priority(int(l.position)%hashCount)
}
