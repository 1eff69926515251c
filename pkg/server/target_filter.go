package server

import (
	"slices"
	"sync"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// targetFilter leaves the targets in drained data centres out of the lists of a
// service's targets. The zero value is ready to use. The same input gives the same
// list, at the same address and without an allocation, since a list is needed for each
// request and the router recognizes it by its address.
type targetFilter struct {
	mu sync.Mutex
	// lists holds the last result by service.
	lists map[string]filteredTargets
}

// filteredTargets is the result for a list of targets and a version.
type filteredTargets struct {
	all    []*control.Entry
	config *enforcer.Config
	kept   []*control.Entry
}

// filter returns the targets of a service that are not in a drained data centre. A
// caller must not change the list.
func (f *targetFilter) filter(service string, all []*control.Entry, c *enforcer.Config) []*control.Entry {
	if len(c.Drains()) == 0 || len(all) == 0 {
		return all
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.lists[service]
	if last.config == c && len(last.all) == len(all) && &last.all[0] == &all[0] {
		return last.kept
	}
	kept := keepUndrained(all, c)
	if slices.Equal(kept, last.kept) {
		// Another version with the same drains, or a change of a target that is left out.
		kept = last.kept
	}
	if f.lists == nil {
		f.lists = map[string]filteredTargets{}
	}
	f.lists[service] = filteredTargets{all: all, config: c, kept: kept}
	return kept
}

// keepUndrained returns the targets outside drained data centres: the same list if
// those are all.
func keepUndrained(all []*control.Entry, c *enforcer.Config) []*control.Entry {
	isDrained := func(e *control.Entry) bool { return c.Drained(e.Centre) }
	if !slices.ContainsFunc(all, isDrained) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), isDrained)
}
