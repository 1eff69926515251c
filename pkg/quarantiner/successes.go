package quarantiner

import "time"

const (
	// successTTL is the minimum time for which a success is remembered, unless
	// more than maxSuccesses requests succeed in that time.
	successTTL = 10 * time.Second
	// maxSuccesses bounds the requests in one generation.
	maxSuccesses = 8192
)

// successes holds the requests that recently succeeded on this node, in two
// generations. The zero value is empty.
type successes struct {
	current, previous map[requestKey]bool
	// currentSince is when the current generation began.
	currentSince time.Time
}

func (s *successes) add(key requestKey, now time.Time) {
	if s.current == nil || now.Sub(s.currentSince) >= successTTL || len(s.current) >= maxSuccesses {
		s.previous, s.current, s.currentSince = s.current, map[requestKey]bool{}, now
	}
	s.current[key] = true
}

func (s *successes) has(key requestKey) bool { return s.current[key] || s.previous[key] }
