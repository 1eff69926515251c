package router

import (
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// minSilence is the shortest time without an answer after which a data centre
	// counts as silent: several round trips, and a retransmission.
	minSilence = 200 * time.Millisecond
	// silenceFactor is the same as a multiple of the mean latency of requests to
	// the data centre.
	silenceFactor = 4
	// minAnswers is the number of answers from which the mean latency is known well
	// enough to judge by it.
	minAnswers = 10
	// centreLatencyWeight is the weight of the newest answer in that mean.
	centreLatencyWeight = 0.05
	// silenceProbeInterval is the time between two requests that are sent to a
	// silent data centre to find out whether it answers again.
	silenceProbeInterval = time.Second
)

// silence tracks whether another data centre answers this node. Load answered: a
// data centre is cut off without resets while targets elsewhere leave, so that
// requests placed there would wait for their whole deadline. The zero value is
// ready to use.
type silence struct {
	inflight int
	// unheardSince is when the first request was sent of those to which nothing
	// was heard; zero if there are none.
	unheardSince time.Time
	// latency is the mean latency of answered requests, answers their number.
	latency  time.Duration
	answers  int
	probedAt time.Time
}

// recordSend counts a request to the data centre.
func (s *silence) recordSend(now time.Time) {
	s.inflight++
	if s.unheardSince.IsZero() {
		s.unheardSince = now
	}
	if s.isSilent(now) {
		s.probedAt = now
	}
}

// recordAnswer ends a request to which the data centre answered in any way.
func (s *silence) recordAnswer(now time.Time, took time.Duration) {
	s.inflight--
	s.answers++
	weight := max(centreLatencyWeight, 1/float64(s.answers))
	s.latency += time.Duration(weight * float64(took-s.latency))
	s.unheardSince = time.Time{}
	if s.inflight > 0 {
		s.unheardSince = now
	}
}

// recordNoAnswer ends a request without an answer. A broken or quickly refused
// connection shows that the data centre is not silent.
func (s *silence) recordNoAnswer(now time.Time, result Result, took time.Duration) {
	if result == Failed || result == Unreachable && took < minSilence {
		s.recordAnswer(now, took)
		return
	}
	s.inflight--
	if s.inflight == 0 && took < minSilence {
		s.unheardSince = time.Time{}
	}
}

// isSilent reports whether the data centre has not answered for too long.
func (s *silence) isSilent(now time.Time) bool {
	return s.answers >= minAnswers && !s.unheardSince.IsZero() && now.Sub(s.unheardSince) >= max(minSilence, silenceFactor*s.latency)
}

// allows reports whether a request may go to the data centre now: always unless it
// is silent, and then as a probe.
func (s *silence) allows(now time.Time) bool {
	return !s.isSilent(now) || now.Sub(s.probedAt) >= silenceProbeInterval
}

// silence returns the silence of a data centre; nil for the node's own.
func (r *Router) silence(centre string) *silence {
	if centre == r.centre {
		return nil
	}
	s, ok := r.silences[centre]
	if !ok {
		s = &silence{}
		r.silences[centre] = s
	}
	return s
}

// allowedBySilence reports whether the silence of its data centre allows a request
// to the target.
func (s *targetStats) allowedBySilence(now time.Time) bool {
	return s.silence == nil || s.silence.allows(now)
}

// inSilentCentre reports whether the whole data centre of the target is silent, so
// that a missing answer says nothing about the target.
func (s *targetStats) inSilentCentre(now time.Time) bool {
	return s.silence != nil && s.silence.isSilent(now)
}

// RecordAnswer records that the answer to an attempt at a target that Choose returned
// has begun. The result is known only at the end of the answer, which may be long.
func (r *Router) RecordAnswer(instance string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok && s.silence != nil {
		s.silence.recordAnswer(r.clock.Now(), took)
	}
}

// RecordNoAnswer records that an attempt at a target that Choose returned ended
// without an answer, and how.
func (r *Router) RecordNoAnswer(instance string, result Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.stats[instance]; ok && s.silence != nil {
		s.silence.recordNoAnswer(r.clock.Now(), result, took)
	}
}

// SilentCentres returns the silent data centres, with the time since which this node
// has heard nothing from each.
func (r *Router) SilentCentres() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	silent := map[string]time.Time{}
	for centre, s := range r.silences {
		if s.isSilent(now) {
			silent[centre] = s.unheardSince
		}
	}
	return silent
}

// fallback returns a random member that stays, if possible one outside silent data
// centres; nil if all leave.
func (r *Router) fallback(members []*control.Entry, now time.Time) *control.Entry {
	first := r.random.IntN(len(members))
	var silent *control.Entry
	for i := range members {
		e := members[(first+i)%len(members)]
		s := r.targetStats(e)
		switch {
		case s.isLeaving(e):
		case s.allowedBySilence(now):
			return e
		case silent == nil:
			silent = e
		}
	}
	return silent
}
