package gossiper

import "github.com/primrosewall/primrosewall/proto/control"

// services is the index of members by service. A change of one member costs its
// service, not the table. The zero value works.
type services struct {
	members map[string]map[string]*control.Entry
	// lists are kept until one of their members changes.
	lists map[string][]*control.Entry
}

// put takes a changed entry in place of an older one; either may be missing.
func (s *services) put(old *member, next *control.Entry) {
	if s.members == nil {
		s.members, s.lists = map[string]map[string]*control.Entry{}, map[string][]*control.Entry{}
	}
	if old != nil && old.entry.Service != "" {
		delete(s.members[old.entry.Service], old.entry.Instance)
		delete(s.lists, old.entry.Service)
	}
	if next == nil || next.Service == "" {
		return
	}
	delete(s.lists, next.Service)
	if next.State != control.State_STATE_ALIVE && next.State != control.State_STATE_SUSPECT {
		return
	}
	if s.members[next.Service] == nil {
		s.members[next.Service] = map[string]*control.Entry{}
	}
	s.members[next.Service][next.Instance] = next
}

// list returns the members of a service in order of their names.
func (s *services) list(name string) []*control.Entry {
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
