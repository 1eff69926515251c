package announcer

import "time"

const (
	// minClaimInterval is the time between two reports of a life that count as two:
	// reports that were delayed together arrive at once.
	minClaimInterval = time.Second
	// maxHeard bounds how many lives are remembered as reporting.
	maxHeard = 16
)

// arbiter decides which reports are taken. Sequences order the reports of one life. A
// start time is a number of the target's own clock: it decides which of two lives comes
// first only until the other one is seen to go on, since the clock may have been wrong,
// or the report another writer's. The zero value works.
type arbiter struct {
	// life, startMillis and sequence are those of the last report that was taken.
	life        string
	startMillis int64
	sequence    uint64
	// claimant is a life whose report was not taken, first at claimedAt. A later one
	// shows that it goes on, unless the last life has reported in between.
	claimant  string
	claimedAt time.Time
	// refuted is the last life in whose place another one answered a request.
	refuted string
	// heard is when each life last reported.
	heard map[string]time.Time
}

// take reports whether a report takes effect.
func (a *arbiter) take(r Report, now time.Time) bool {
	a.hear(r.Life, now)
	switch {
	case r.Life == a.life:
		if r.Sequence <= a.sequence {
			return false
		}
	case r.Life == a.refuted && a.heardOther(r.Life):
		if !a.goesOn(r.Life, now) {
			return false
		}
	case a.life != "" && r.StartMillis <= a.startMillis:
		if !a.goesOn(r.Life, now) {
			return false
		}
	}
	a.life, a.startMillis, a.sequence = r.Life, r.StartMillis, r.Sequence
	a.claimant = ""
	return true
}

// goesOn reports whether a life has reported before, since the last report that was
// taken.
func (a *arbiter) goesOn(life string, now time.Time) bool {
	if a.claimant != life {
		a.claimant, a.claimedAt = life, now
		return false
	}
	return now.Sub(a.claimedAt) >= minClaimInterval
}

// refute records that another life has answered in place of this one. Its start time
// decides nothing any more.
func (a *arbiter) refute(life string) {
	a.refuted = life
	if a.life == life {
		a.life, a.startMillis, a.sequence = "", 0, 0
	}
}

// hear records a report, and forgets lives that have not reported for as long as reports
// may be late.
func (a *arbiter) hear(life string, now time.Time) {
	for other, at := range a.heard {
		if now.Sub(at) >= lateReportBound {
			delete(a.heard, other)
		}
	}
	if a.heard == nil {
		a.heard = map[string]time.Time{}
	}
	if _, known := a.heard[life]; known || len(a.heard) < maxHeard {
		a.heard[life] = now
	}
}

// heardOther reports whether another life has reported lately.
func (a *arbiter) heardOther(life string) bool {
	for other := range a.heard {
		if other != life {
			return true
		}
	}
	return false
}
