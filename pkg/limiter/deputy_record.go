package limiter

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// mostAsked is how many unanswered requests of a deputy are kept in mind.
const maxPendingRequests = 32

// contact is a deputy as the holder of a shard sees it. In the time between
// from and until it may be handing out its part of every team's rate.
type deputyRecord struct {
	// session names its life; 0 while it has not been in touch.
	session uint64
	// former are lives that have ended; what still comes of them is late.
	endedSessions map[uint64]bool
	// asked is when its requests arrived, by sequence.
	receivedAt map[uint64]time.Time
	// base is when the newest one arrived of which it got the reply.
	confirmedAt time.Time
	from, until time.Time
	share       float64
	// inherited deputies may have handed out for a former holder what they did
	// not report to this one.
	inherited bool
	// totals are the tokens that it has said to have handed out, settled those
	// of them that the buckets know of.
	totals, settled map[string]uint64
	// ended is when it last was counted on to hand out tokens, and is known to
	// have stopped.
	stoppedAt time.Time
}

// newContact makes the contact of a deputy that has been granted nothing.
func newDeputyRecord() *deputyRecord {
	return &deputyRecord{endedSessions: map[uint64]bool{}, receivedAt: map[uint64]time.Time{}, totals: map[string]uint64{}, settled: map[string]uint64{}}
}

// inheritContact makes the contact of a deputy that may be handing out tokens
// for a former holder.
func inheritDeputyRecord(until time.Time, share float64) *deputyRecord {
	d := newDeputyRecord()
	d.until, d.share, d.inherited = until, share, true
	return d
}

// overlap is how much of a span the deputy may have been handing out in.
func (d *deputyRecord) grantingTime(from, to time.Time) time.Duration {
	if d.from.After(from) {
		from = d.from
	}
	if d.until.Before(to) {
		to = d.until
	}
	return max(0, to.Sub(from))
}

// spending tells whether tokens of the deputy may be in use.
func (d *deputyRecord) mayHaveTokens(now time.Time) bool {
	granting := now.After(d.from) && now.Before(d.until.Add(standbyTokenTTL+maxDrift))
	return granting || now.Before(d.stoppedAt.Add(standbyTokenTTL+maxDrift))
}

// restart takes note of another life of the deputy.
func (d *deputyRecord) startSession(now time.Time, session uint64) {
	if d.session != 0 {
		d.endedSessions[d.session] = true
		clear(d.receivedAt)
		clear(d.totals)
		clear(d.settled)
		d.stoppedAt = now
	}
	d.session = session
	if !d.inherited {
		// It has been granted nothing yet.
		d.confirmedAt, d.from, d.until = now, now.Add(standbyDelay-maxDrift), time.Time{}
	}
}

// receive notes a request, and returns the time from which on the deputy is
// known to have been in touch, if that is news.
func (d *deputyRecord) receive(now time.Time, r *control.StandbyRequest, peer uint64) (time.Time, bool) {
	if _, ok := d.receivedAt[r.Sequence]; !ok {
		d.receivedAt[r.Sequence] = now
	}
	if len(d.receivedAt) > maxPendingRequests {
		delete(d.receivedAt, slices.Min(slices.Collect(maps.Keys(d.receivedAt))))
	}
	for _, u := range r.Used {
		d.totals[u.Team] = max(d.totals[u.Team], u.Total)
	}
	confirmedAt, ok := d.receivedAt[r.Answered]
	if !ok || r.Peer != peer || !confirmedAt.After(d.confirmedAt) {
		return time.Time{}, false
	}
	for sequence := range d.receivedAt {
		if sequence < r.Answered {
			delete(d.receivedAt, sequence)
		}
	}
	return confirmedAt, true
}

// advance moves the contact to a later base, after all buckets were settled.
func (d *deputyRecord) confirm(now, confirmedAt time.Time) {
	if now.After(d.from) {
		d.stoppedAt = now
	}
	d.confirmedAt, d.from, d.inherited = confirmedAt, confirmedAt.Add(standbyDelay-maxDrift), false
	maps.Copy(d.settled, d.totals)
}

// grant lets the deputy hand out its part for standbyHold.
func (d *deputyRecord) grant(now time.Time, share float64) {
	d.share = max(d.share, share)
	if until := now.Add(standbyGrantTTL + maxDrift); until.After(d.until) {
		d.until = until
	}
}
