package router

import "time"

const (
	// workTTL is how long what a target's node reported counts in full, and workFade how
	// long after that it gives way to what this node itself has observed.
	workTTL  = 500 * time.Millisecond
	workFade = 500 * time.Millisecond
	// distanceWeight is the weight of the newest answer in the network latency to a
	// data centre.
	distanceWeight = 0.05
)

// Work is what a target's node reports of its target with an answer or a refusal.
type Work struct {
	// Running and Queued count the requests of all nodes, Limit is how many may run.
	Running, Queued, Limit int
	// Time is the mean time of a request in the target; 0 if it is not known.
	Time time.Duration
	// Spent is the time that the answered request spent at the target's node.
	Spent time.Duration
}

// work is the last Work of a target, with what this node has sent there since.
type work struct {
	Work
	reportedAt time.Time
	sent       int
}

// weight returns how much the work counts against this node's own observations, from
// 0 to 1.
func (w *work) weight(now time.Time) float64 {
	if w.reportedAt.IsZero() {
		return 0
	}
	over := now.Sub(w.reportedAt) - workTTL
	switch {
	case over <= 0:
		return 1
	case over >= workFade:
		return 0
	}
	return 1 - over.Seconds()/workFade.Seconds()
}

// distance is the mean network latency of requests to a data centre, there and back.
// The zero value is ready to use.
type distance struct {
	seconds float64
	answers int
}

// record adds an answer that took the given time beside the time at the target's node.
func (d *distance) record(latency time.Duration) {
	d.answers++
	weight := max(distanceWeight, 1/float64(d.answers))
	d.seconds += weight * (max(latency, 0).Seconds() - d.seconds)
}

// distance returns the distance of a data centre.
func (r *Router) distance(centre string) *distance {
	d, ok := r.distances[centre]
	if !ok {
		d = &distance{}
		r.distances[centre] = d
	}
	return d
}

// recordBaseline takes a reported time in the target into its baseline, which follows
// the time down at once and up slowly.
func (s *targetStats) recordBaseline(seconds float64) {
	if s.workBaseline == 0 || seconds > 0 && seconds < s.workBaseline {
		s.workBaseline = seconds
		return
	}
	s.workBaseline += baselineWeight * max(seconds-s.workBaseline, 0)
}

// RecordWork records what a target's node reports with its response to an attempt, which
// took the given time.
func (r *Router) RecordWork(instance string, w Work, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok {
		s.work = work{Work: w, reportedAt: r.clock.Now()}
		s.recordBaseline(w.Time.Seconds())
		s.distance.record(took - w.Spent)
	}
}
