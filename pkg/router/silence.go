package router

import "time"

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
