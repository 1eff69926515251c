package gossiper

import "github.com/primrosewall/primrosewall/proto/control"

// serviceIndex lists the members that take new work (the alive ones and the
// suspects), by service, so that the change of one member rebuilds the list of its
// service only. The zero value works.
type serviceIndex struct {
	// members holds the entries by service, then by instance name.
	members map[string]map[string]*control.Entry
	// lists caches the sorted members of a service until one of them changes.
	lists map[string][]*control.Entry
}

// store replaces an older entry by a newer one; either may be nil.
func (s *serviceIndex) store(old, next *member) {
	if s.members == nil {
		s.members, s.lists = map[string]map[string]*control.Entry{}, map[string][]*control.Entry{}
	}
	if old != nil && old.entry.Service != "" {
		delete(s.members[old.entry.Service], old.entry.Instance)
		delete(s.lists, old.entry.Service)
	}
	if next == nil || next.entry.Service == "" {
		return
	}
	e := next.entry
	delete(s.lists, e.Service)
	if e.State != control.State_STATE_ALIVE && e.State != control.State_STATE_SUSPECT || next.announcesLeftLife() {
		return
	}
	if s.members[e.Service] == nil {
		s.members[e.Service] = map[string]*control.Entry{}
	}
	s.members[e.Service][e.Instance] = e
}

// list returns the members of a service, sorted by instance name.
func (s *serviceIndex) list(name string) []*control.Entry {
	if list, ok := s.lists[name]; ok {
		return list
	}
	members := s.members[name]
	if len(members) == 0 {
		return nil
	}
	list := make([]*control.Entry, 0, len(members))
	for _, e := range members {
		list = append(list, e)
	}
	sortEntries(list)
	s.lists[name] = list
	return list
}
