package server

import (
	"time"
)

// ready tells whether the configuration is known well enough to serve: one was
// declared, and some others were heard, or there was time to hear them.
func (s *Server) ready() bool {
	if s.isReady.Load() {
		return true
	}
	if !s.config.Current().IsDeclared() {
		return false
	}
	enough := s.gossip.ContactCount() >= min(minReadyContacts, len(s.seeds()))
	if !enough && s.clock.Now().Sub(s.started) < readyTimeout {
		return false
	}
	s.isReady.Store(true)
	return true
}

// inContact tells whether a replica was heard of within the set bound.
func (s *Server) inContact() bool {
	contact := s.live.Load().Contact
	if contact == 0 || s.folder != nil {
		return true
	}
	limit := time.Duration(contact) * time.Second
	last := s.gossip.LastReplicaContact()
	if last.IsZero() {
		last = s.started
	}
	return s.clock.Now().Sub(last) < limit
}
