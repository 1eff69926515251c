package limiter

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// mostAsked is how many unanswered requests of a deputy are kept in mind.
const mostAsked = 32

// contact is a deputy as the holder of a shard sees it. In the time between
// from and until it may be handing out its part of every team's rate.
type contact struct {
	// session names its life; 0 while it has not been in touch.
	session uint64
	// former are lives that have ended; what still comes of them is late.
	former map[uint64]bool
	// asked is when its requests arrived, by sequence.
	asked map[uint64]time.Time
	// base is when the newest one arrived of which it got the reply.
	base        time.Time
	from, until time.Time
	part        float64
	// inherited deputies may have handed out for a former holder what they did
	// not report to this one.
	inherited bool
	// totals are the tokens that it has said to have handed out, settled those
	// of them that the buckets know of.
	totals, settled map[string]uint64
	// ended is when it last was counted on to hand out tokens, and is known to
	// have stopped.
	ended time.Time
}

// newContact makes the contact of a deputy that has been granted nothing.
func newContact() *contact {
	return &contact{former: map[uint64]bool{}, asked: map[uint64]time.Time{}, totals: map[string]uint64{}, settled: map[string]uint64{}}
}

// inheritContact makes the contact of a deputy that may be handing out tokens
// for a former holder.
func inheritContact(until time.Time, part float64) *contact {
	k := newContact()
	k.until, k.part, k.inherited = until, part, true
	return k
}

// overlap is how much of a span the deputy may have been handing out in.
func (k *contact) overlap(from, to time.Time) time.Duration {
	if k.from.After(from) {
		from = k.from
	}
	if k.until.Before(to) {
		to = k.until
	}
	return max(0, to.Sub(from))
}

// spending tells whether tokens of the deputy may be in use.
func (k *contact) spending(now time.Time) bool {
	counted := now.After(k.from) && now.Before(k.until.Add(standbyTerm+drift))
	return counted || now.Before(k.ended.Add(standbyTerm+drift))
}

// restart takes note of another life of the deputy.
func (k *contact) restart(now time.Time, session uint64) {
	if k.session != 0 {
		k.former[k.session] = true
		clear(k.asked)
		clear(k.totals)
		clear(k.settled)
		k.ended = now
	}
	k.session = session
	if !k.inherited {
		// It has been granted nothing yet.
		k.base, k.from, k.until = now, now.Add(standbyDelay-drift), time.Time{}
	}
}

// receive notes a request, and returns the time from which on the deputy is
// known to have been in touch, if that is news.
func (k *contact) receive(now time.Time, r *control.StandbyRequest, peer uint64) (time.Time, bool) {
	if _, ok := k.asked[r.Sequence]; !ok {
		k.asked[r.Sequence] = now
	}
	if len(k.asked) > mostAsked {
		delete(k.asked, slices.Min(slices.Collect(maps.Keys(k.asked))))
	}
	for _, u := range r.Used {
		k.totals[u.Team] = max(k.totals[u.Team], u.Total)
	}
	base, ok := k.asked[r.Answered]
	if !ok || r.Peer != peer || !base.After(k.base) {
		return time.Time{}, false
	}
	for sequence := range k.asked {
		if sequence < r.Answered {
			delete(k.asked, sequence)
		}
	}
	return base, true
}

// advance moves the contact to a later base, after all buckets were settled.
func (k *contact) advance(now, base time.Time) {
	if now.After(k.from) {
		k.ended = now
	}
	k.base, k.from, k.inherited = base, base.Add(standbyDelay-drift), false
	maps.Copy(k.settled, k.totals)
}

// grant lets the deputy hand out its part for standbyHold.
func (k *contact) grant(now time.Time, part float64) {
	k.part = max(k.part, part)
	if until := now.Add(standbyHold + drift); until.After(k.until) {
		k.until = until
	}
}
