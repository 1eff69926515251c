package router

import (
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// RecordPaced records that the target's node rejected a request because of the limit
// that the target names, and for how long others of this node are better sent
// elsewhere.
func (r *Router) RecordPaced(instance string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok {
		s.pausedUntil = r.clock.Now().Add(wait)
	}
}

// isPaused reports whether the target has no room in the limit that it names, or in the
// bound of a cold one, as far as this node knows.
func (r *Router) isPaused(e *control.Entry, now time.Time) bool {
	s := r.targetStats(e)
	return now.Before(s.pausedUntil) || s.coldBoundUsed(now)
}

// HasUntried reports whether a usable target among the members of a service has not
// been tried for a request.
func (r *Router) HasUntried(members []*control.Entry, tried map[string]bool) bool {
	if len(members) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	c := r.candidates(members)
	isUntried := func(e *control.Entry) bool { return !tried[e.Instance] && r.usable(e, now) }
	return slices.ContainsFunc(c.local, isUntried) || slices.ContainsFunc(c.remote, isUntried)
}

// MayHaveRoom reports whether a usable target among the members of a service has not been
// tried for a request, and has not just reported a full queue.
func (r *Router) MayHaveRoom(members []*control.Entry, tried map[string]bool) bool {
	if len(members) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	c := r.candidates(members)
	mayHaveRoom := func(e *control.Entry) bool {
		return !tried[e.Instance] && r.usable(e, now) && !r.targetStats(e).hasFullQueue(now)
	}
	return slices.ContainsFunc(c.local, mayHaveRoom) || slices.ContainsFunc(c.remote, mayHaveRoom)
}

// hasFullQueue reports whether the target's node has just told of a queue without room.
func (s *targetStats) hasFullQueue(now time.Time) bool {
	return s.load >= fullQueueLoad && now.Sub(s.loadReported) < fullQueueTTL
}

// Statement returns what the target of an instance states about itself, as far as this
// node knows, and the life that it is about; without one the life is empty.
func (r *Router) Statement(instance string) (life string, s pacer.Statement) {
	r.mu.Lock()
	stats, ok := r.stats[instance]
	r.mu.Unlock()
	if !ok {
		return "", s
	}
	return stats.statements.InForce()
}

// RecordStatement takes what a life of a target that Choose returned states about
// itself, in an answer to an attempt that began at sentAt. It returns the statement
// in force and whether it changed.
func (r *Router) RecordStatement(e *control.Entry, life string, s pacer.Statement, sentAt time.Time) (inForce pacer.Statement, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.targetStats(e)
	inForce, changed = stats.statements.Record(life, s, sentAt, r.clock.Now())
	if changed && inForce.Leaving() {
		stats.leavingLife = life
	}
	return inForce, changed
}

// isLeaving reports whether this life of the target states that it leaves, whatever
// other nodes tell of it: they may know only its earlier reports.
func (s *targetStats) isLeaving(e *control.Entry) bool {
	return s.leavingLife != "" && s.leavingLife == e.Life
}
