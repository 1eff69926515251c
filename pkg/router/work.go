package router

import "time"

const (
	// workTTL is how long what a target's node told counts in full, and workFade how
	// long after that it gives way to what this node itself has seen.
	workTTL  = 500 * time.Millisecond
	workFade = 500 * time.Millisecond
	// distanceWeight is the weight of the newest answer in the network latency to a
	// data centre.
	distanceWeight = 0.05
)

// Work is what a target's node tells of its target with an answer or a refusal.
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
	told time.Time
	sent int
}

// weight returns how much the work counts against this node's own observations, from
// 0 to 1.
func (w *work) weight(now time.Time) float64 {
	if w.told.IsZero() {
		return 0
	}
	over := now.Sub(w.told) - workTTL
	return min(1, max(0, 1-over.Seconds()/workFade.Seconds()))
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

// RecordWork records what a target's node tells with its response to an attempt, which
// took the given time.
func (r *Router) RecordWork(instance string, w Work, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok {
		s.work = work{Work: w, told: r.clock.Now()}
		s.distance.record(took - w.Spent)
	}
}
