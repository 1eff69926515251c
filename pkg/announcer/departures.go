package announcer

import (
	"fmt"
	"time"
)

const (
	// maxDepartures bounds how many lives are remembered as left; the oldest are
	// forgotten first.
	maxDepartures = 64
	// lateReportBound is how late a report may arrive. A target whose lives are not
	// known is remembered for that long, so that its next start is not kept out.
	lateReportBound = 8 * time.Second
)

// IgnoredReason is one word for why an announcement has no effect.
type IgnoredReason string

// The reasons.
const (
	// ReasonLeft stands for a life that has said that it leaves.
	ReasonLeft IgnoredReason = "left"
	// ReasonLate stands for a report that is not newer than the last accepted one.
	ReasonLate IgnoredReason = "late"
	// ReasonService and ReasonAddress stand for announcements that name another
	// service, or another address, than the settings of the node.
	ReasonService IgnoredReason = "service"
	ReasonAddress IgnoredReason = "address"
)

// IgnoredError reports that an announcement has no effect.
type IgnoredError struct {
	Announcement Announcement
	Reason       IgnoredReason
}

// Error implements error.
func (e *IgnoredError) Error() string {
	return fmt.Sprintf("the announcement of %s is not taken: %s", e.Announcement.Life, e.Reason)
}

// departures remembers the lives that have left: what a node has acknowledged binds
// whatever arrives later. A life never returns, so its record does not expire. The zero
// value works.
type departures struct {
	lives   map[string]bool
	order   []string
	targets map[string]time.Time
}

// add records a life, and reports whether it was known.
func (d *departures) add(life string) bool {
	if life == "" || d.lives[life] {
		return true
	}
	if d.lives == nil {
		d.lives = map[string]bool{}
	}
	if len(d.order) >= maxDepartures {
		delete(d.lives, d.order[0])
		d.order = d.order[1:]
	}
	d.lives[life] = true
	d.order = append(d.order, life)
	return false
}

// addTarget records that all lives of a target up to now have left.
func (d *departures) addTarget(name string, now time.Time) {
	if d.targets == nil {
		d.targets = map[string]time.Time{}
	}
	for other, at := range d.targets {
		if now.Sub(at) >= lateReportBound {
			delete(d.targets, other)
		}
	}
	d.targets[name] = now
}

// contain reports whether a life of a target has left.
func (d *departures) contain(life, target string, now time.Time) bool {
	at, ok := d.targets[target]
	return d.lives[life] || ok && now.Sub(at) < lateReportBound
}
