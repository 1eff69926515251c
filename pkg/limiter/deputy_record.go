package limiter

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// maxPendingRequests bounds the requests of a deputy whose arrival time is kept
// because the deputy has not confirmed the reply yet.
const maxPendingRequests = 32

// deputyRecord is what the holder of a shard knows of one deputy. Between from
// and until the deputy may be granting its share of every team's rate.
type deputyRecord struct {
	// session identifies the run of the deputy's process; 0 before its first
	// request.
	session uint64
	// endedSessions are earlier runs; their requests are late and ignored.
	endedSessions map[uint64]bool
	// receivedAt is when its requests arrived, by sequence number.
	receivedAt map[uint64]time.Time
	// confirmedAt is when the newest request arrived whose reply the deputy is
	// known to have received.
	confirmedAt time.Time
	from, until time.Time
	share       float64
	// inherited means that the deputy may have granted tokens in place of a
	// former holder that it has not reported to this one.
	inherited bool
	// totals counts by team the tokens that the deputy reported as granted in
	// this session; settled, those that the buckets have accounted for.
	totals, settled map[string]uint64
	// stoppedAt is the end of the last interval in which the deputy was assumed
	// to grant tokens and which is known to be over.
	stoppedAt time.Time
}

// newDeputyRecord returns the record of a deputy that may not grant tokens yet.
func newDeputyRecord() *deputyRecord {
	return &deputyRecord{endedSessions: map[uint64]bool{}, receivedAt: map[uint64]time.Time{}, totals: map[string]uint64{}, settled: map[string]uint64{}}
}

// inheritDeputyRecord returns the record of a deputy that may be granting tokens
// in place of a former holder.
func inheritDeputyRecord(until time.Time, share float64) *deputyRecord {
	d := newDeputyRecord()
	d.until, d.share, d.inherited = until, share, true
	return d
}

// grantingTime is how long within an interval the deputy may have been granting
// tokens.
func (d *deputyRecord) grantingTime(from, to time.Time) time.Duration {
	if d.from.After(from) {
		from = d.from
	}
	if d.until.Before(to) {
		to = d.until
	}
	return max(0, to.Sub(from))
}

// mayHaveTokens reports whether the deputy may be granting tokens, or nodes may
// still spend tokens that it granted.
func (d *deputyRecord) mayHaveTokens(now time.Time) bool {
	granting := now.After(d.from) && now.Before(d.until.Add(standbyTokenTTL+maxDrift))
	return granting || now.Before(d.stoppedAt.Add(standbyTokenTTL+maxDrift))
}

// startSession records that the deputy's process has restarted, or sent its first
// request.
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
		// The new process has no permission to grant tokens yet.
		d.confirmedAt, d.from, d.until = now, now.Add(standbyDelay-maxDrift), time.Time{}
	}
}

// receive records a request. If the request confirms a later reply than before,
// it returns the time at which the request answered by that reply arrived; peer
// is the session of the holder, which the confirmation must name.
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

// confirm records a later confirmed request, after all buckets were settled. The
// deputy can grant tokens again standbyDelay after that request at the earliest.
func (d *deputyRecord) confirm(now, confirmedAt time.Time) {
	if now.After(d.from) {
		d.stoppedAt = now
	}
	d.confirmedAt, d.from, d.inherited = confirmedAt, confirmedAt.Add(standbyDelay-maxDrift), false
	maps.Copy(d.settled, d.totals)
}

// grant permits the deputy to grant its share for standbyGrantTTL.
func (d *deputyRecord) grant(now time.Time, share float64) {
	d.share = max(d.share, share)
	if until := now.Add(standbyGrantTTL + maxDrift); until.After(d.until) {
		d.until = until
	}
}
