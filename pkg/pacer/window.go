package pacer

import "time"

const (
	// boundTime is the time over which the requests to a cold target are bounded.
	boundTime = time.Second
	// DeliveryMargin is the difference in delay between two requests, from the decision
	// to their arrival at the target, that the bound tolerates: a process that has used
	// up its share of the processor is suspended for up to a period of 100 ms.
	DeliveryMargin = 100 * time.Millisecond
	// windowTime is the time over which requests are counted.
	windowTime = boundTime + DeliveryMargin
)

// window holds when the requests of the last windowTime began, in order. The zero
// value is empty.
type window struct {
	times []time.Time
	// first is the index of the oldest request.
	first int
}

// prune forgets requests that began windowTime ago or earlier. It moves the others to
// the front of the array when they are less than half of it, so that the array stays
// in proportion to the requests of the last windowTime.
func (w *window) prune(now time.Time) {
	for w.first < len(w.times) && now.Sub(w.times[w.first]) >= windowTime {
		w.first++
	}
	if w.first > len(w.times)/2 {
		w.times = w.times[:copy(w.times, w.times[w.first:])]
		w.first = 0
	}
}

// add counts a request that begins.
func (w *window) add(now time.Time) {
	w.prune(now)
	w.times = append(w.times, now)
}

// remove uncounts a request that began at a time, and reports whether it was counted.
func (w *window) remove(at time.Time) bool {
	for i := len(w.times) - 1; i >= w.first && !w.times[i].Before(at); i-- {
		if w.times[i].Equal(at) {
			w.times = append(w.times[:i], w.times[i+1:]...)
			return true
		}
	}
	return false
}

// count returns the number of requests of the last windowTime.
func (w *window) count(now time.Time) int {
	w.prune(now)
	return len(w.times) - w.first
}

// wait returns the time until fewer than limit requests are counted; limit is above 0.
func (w *window) wait(limit int, now time.Time) time.Duration {
	if w.count(now) < limit {
		return 0
	}
	return w.times[len(w.times)-limit].Add(windowTime).Sub(now)
}
