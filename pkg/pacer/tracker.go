package pacer

import (
	"sync"
	"time"
)

// Tracker keeps the statement in force of one target. Answers may overtake one
// another, so a statement replaces another only if its request was sent after the
// other one had arrived, or if it is stricter. The zero value is ready to use.
type Tracker struct {
	mu        sync.Mutex
	life      string
	statement Statement
	// since is when the limit in force was learned.
	since time.Time
	// answered is set once an answer of this life has arrived.
	answered bool
}

// Record takes the statement in an answer of a life of the target. sentAt is when
// the request was sent, now when the answer arrived. Record returns the statement
// in force and whether it changed.
func (t *Tracker) Record(life string, s Statement, sentAt, now time.Time) (inForce Statement, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newer := !sentAt.Before(t.since)
	if life != t.life {
		if !newer {
			return t.statement, false
		}
		t.begin(life, now)
	}
	before := t.statement
	t.statement.leaving = before.leaving || s.leaving
	t.answered = t.answered || !s.partial
	limitDiffers := !s.partial && (s.limited != before.limited || s.rate != before.rate)
	if limitDiffers && (newer || s.stricterThan(before)) {
		t.statement.rate, t.statement.limited, t.since = s.rate, s.limited, now
	}
	return t.statement, t.statement != before
}

// Adopt takes a limit that another node has learned from an answer of a life of the
// target. It counts until the first answer of that life arrives here: a node that
// has started again has forgotten the limit, while others still know it.
func (t *Tracker) Adopt(life string, s Statement, now time.Time) (inForce Statement, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life != t.life {
		t.begin(life, now)
	}
	if t.answered || !s.stricterThan(t.statement) {
		return t.statement, false
	}
	t.statement.rate, t.statement.limited, t.since = s.rate, true, now
	return t.statement, true
}

// begin begins a life. It leaves no more, but the limit of the life before holds until
// the first answer: the new life may have named it already, in answers that arrived
// before the report of its start.
func (t *Tracker) begin(life string, now time.Time) {
	t.life, t.statement, t.since, t.answered = life, t.statement.limitOnly(), now, false
}

// InForce returns the statement in force and the life that it is about; before the
// first one the life is empty.
func (t *Tracker) InForce() (life string, s Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life, t.statement
}

// Current returns the statement in force of a life. For another life than the one that
// stated last it is the limit of that one.
func (t *Tracker) Current(life string) Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if life != t.life {
		return t.statement.limitOnly()
	}
	return t.statement
}
