package router

import (
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// coldPenalty is how much longer the wait at a cold target is taken to be: it serves a
// few requests a second, as against some tens in each slot.
const coldPenalty = 8

// coldState is what this node knows of how long a target stays cold.
type coldState struct {
	until time.Time
	// incarnation and stamp are those of the last gossip entry that was read.
	incarnation, stamp uint64
}

// RecordCold records how long the target of an instance stays cold, as its node states
// with an answer or a refusal; 0 if it is not cold.
func (r *Router) RecordCold(instance string, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok {
		s.cold.until = r.clock.Now().Add(left)
	}
}

// UseCold makes the router prefer targets that are not cold according to their gossip
// entries. It must be called before the first choice. Without it entries are not read,
// since nodes without a bound for cold targets never take back what they tell at a start.
func (r *Router) UseCold() { r.readsCold = true }

// UseTargetPace makes the router give a new or returning target its full share at once,
// since the target's own node holds requests back. It must be called before the first
// choice.
func (r *Router) UseTargetPace() { r.targetPace = true }

// readCold reads from new gossip entries of candidates how long their targets stay cold.
func (r *Router) readCold(members []*control.Entry) {
	if !r.readsCold {
		return
	}
	now := r.clock.Now()
	for _, e := range members {
		c := &r.targetStats(e).cold
		if e.Incarnation == c.incarnation && e.Stamp == c.stamp {
			continue
		}
		c.incarnation, c.stamp = e.Incarnation, e.Stamp
		c.until = now.Add(time.Duration(e.Cold) * time.Millisecond)
	}
}

// isCold reports whether the target is cold, as far as this node knows.
func (s *targetStats) isCold(now time.Time) bool { return now.Before(s.cold.until) }

// coldBoundUsed reports whether the target is cold and its node has said lately that its
// bound is used up.
func (s *targetStats) coldBoundUsed(now time.Time) bool {
	return s.isCold(now) && s.load >= 1 && now.Sub(s.loadReported) < loadTTL
}
