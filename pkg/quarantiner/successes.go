package quarantiner

import "time"

const (
	// successTerm is how long a success is remembered, at least.
	successTerm = 10 * time.Second
	// maxSuccesses bounds the requests that are remembered in one term.
	maxSuccesses = 8192
)

// successes remembers which requests have succeeded lately on this node, in two
// generations. The zero value is empty.
type successes struct {
	current, former map[name]bool
	since           time.Time
}

func (s *successes) add(n name, now time.Time) {
	if s.current == nil || now.Sub(s.since) >= successTerm || len(s.current) >= maxSuccesses {
		s.former, s.current, s.since = s.current, map[name]bool{}, now
	}
	s.current[n] = true
}

func (s *successes) has(n name) bool { return s.current[n] || s.former[n] }
