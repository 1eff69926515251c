package router

import (
	"time"

	"github.com/primrosewall/primrosewall/pkg/pacer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// RecordStatement takes what a life of a target that Choose returned states about
// itself, in an answer to an attempt that began at sentAt. It returns the statement
// in force and whether it changed.
func (r *Router) RecordStatement(e *control.Entry, life string, s pacer.Statement, sentAt time.Time) (inForce pacer.Statement, changed bool) {
	r.mu.Lock()
	stats := r.targetStats(e)
	r.mu.Unlock()
	return stats.statements.Record(life, s, sentAt, r.clock.Now())
}
