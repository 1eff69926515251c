package admitter

import "time"

const (
	// workWindow is the time over which the mean time in the target is taken while
	// requests end often: entry nodes place work by it, so it must follow a target
	// that turns slower within a second, without following single requests.
	workWindow = 200 * time.Millisecond
	// maxWorkWeight is the weight of the newest request where requests end seldom.
	maxWorkWeight = 0.1
	// workTTL is how long the mean is valid after the last request. A target that was
	// idle for longer may have changed its speed.
	workTTL = 5 * time.Second
)

// workTime is the mean time of requests in the target, for entry nodes that place
// work by it. Unlike Admitter.serviceSeconds, its first value is that of the first
// request, and it is unknown before that. The zero value is ready to use.
type workTime struct {
	seconds float64
	count   int
	lastEnd time.Time
}

// record adds a request that ended now. One that failed sooner than others end is left
// out: a target that fails requests at once is not a fast one.
func (w *workTime) record(now time.Time, took time.Duration, failed bool) {
	if failed && took <= w.value(now) {
		return
	}
	if w.value(now) == 0 {
		w.count = 0
	}
	w.count++
	weight := max(1/float64(w.count), min(maxWorkWeight, now.Sub(w.lastEnd).Seconds()/workWindow.Seconds()))
	w.seconds += weight * (took.Seconds() - w.seconds)
	w.lastEnd = now
}

// value returns the mean; 0 if it is not known.
func (w *workTime) value(now time.Time) time.Duration {
	if w.count == 0 || now.Sub(w.lastEnd) > workTTL {
		return 0
	}
	return time.Duration(w.seconds * float64(time.Second))
}

// Work describes what the target has to do for all nodes together.
type Work struct {
	Running, Queued int
	// Limit is the concurrency limit in force now, which is lower during the warm-up.
	Limit int
	// Time is the mean time of a request in the target; 0 if it is not known, since
	// the target is new or was idle.
	Time time.Duration
}

// Work returns what the target has to do.
func (a *Admitter) Work() Work {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	return Work{Running: a.inflight, Queued: a.queue.size, Limit: a.currentLimit(now), Time: a.workTime.value(now)}
}
