package server

import (
	"time"
)

// ready reports whether the node may serve: it has a declared configuration, and it
// has been in contact with enough nodes to learn of a newer one, or has waited
// readyTimeout for that. A node that is ready once stays so.
func (s *Server) ready() bool {
	if s.isReady.Load() {
		return true
	}
	if !s.config.Current().IsDeclared() {
		return false
	}
	if !s.hasContacts() {
		return false
	}
	s.isReady.Store(true)
	return true
}

// hasContacts reports whether the node has been in contact with enough nodes to know
// the fleet, or has waited readyTimeout for that.
func (s *Server) hasContacts() bool {
	return s.gossip.ContactCount() >= min(minReadyContacts, len(s.seeds())) || s.clock.Now().Sub(s.started) >= readyTimeout
}

// inContact reports whether this node has had contact with a replica within the
// time that the settings allow. Replicas, and nodes without a bound, always are.
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
