package router

import (
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// latencyWeight is the weight of the newest request in the mean latency.
	latencyWeight = 0.2
	// baselineWeight is its weight in the baseline while latency rises.
	baselineWeight = 0.002
	// slowFactor and slowMargin define when a target is slow: when its mean latency
	// exceeds slowFactor times the baseline plus slowMargin.
	slowFactor = 3
	slowMargin = 20 * time.Millisecond
	// slowAdvantage is how many times shorter the latency of a target in another
	// data centre must be for it to be used in place of a slow one.
	slowAdvantage = 2
	// slowProbeInterval is the time between two requests to a slow target that
	// others replace, which show when it is fast again.
	slowProbeInterval = 100 * time.Millisecond
)

// latency tracks how long requests to a target take. Load answered: the only target
// of a data centre turns several times slower than usual, while others of its
// service don't. The zero value is ready to use.
type latency struct {
	// mean is the moving average, and baseline follows it down at once and up
	// slowly, both in seconds; 0 without observations.
	mean, baseline float64
}

// recordAnswer adds the duration of a successful request.
func (l *latency) recordAnswer(took time.Duration) {
	l.mean += latencyWeight * (took.Seconds() - l.mean)
	if l.baseline == 0 || l.mean < l.baseline {
		l.baseline = l.mean
		return
	}
	l.baseline += baselineWeight * (l.mean - l.baseline)
}

// recordNoAnswer adds the duration of a request that ended without an answer, which
// would have taken longer still.
func (l *latency) recordNoAnswer(took time.Duration) {
	if took.Seconds() > l.mean {
		l.mean += latencyWeight * (took.Seconds() - l.mean)
	}
}

// isSlow reports whether requests take several times longer than usual.
func (l *latency) isSlow() bool {
	return l.baseline > 0 && l.mean > slowFactor*l.baseline+slowMargin.Seconds()
}

// replaces reports whether a target with this latency is fast enough to be used in
// place of a slow one. Without observations it is worth a try.
func (l *latency) replaces(slow *latency) bool { return slowAdvantage*l.mean < slow.mean }

// isSlow reports whether a target is slow and has been probed recently.
func (r *Router) isSlow(e *control.Entry, now time.Time) bool {
	s := r.targetStats(e)
	return s.latency.isSlow() && now.Sub(s.chosenAt) < slowProbeInterval
}

// replaces reports whether a target in another data centre is to be used in place of
// a full or slow one in the own.
func (r *Router) replaces(remote, local *control.Entry, now time.Time) bool {
	if r.isSlow(local, now) && r.load(remote, now) < fullLoad && r.targetStats(remote).latency.replaces(&r.targetStats(local).latency) {
		return true
	}
	return r.load(local, now) >= fullLoad && r.load(remote, now) <= r.load(local, now)-remoteLoadMargin
}
