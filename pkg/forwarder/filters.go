package forwarder

// Filter is one step in handling a request. Serve calls next to continue, or ends
// the exchange with a response.
type Filter interface {
	Serve(x *Exchange, next func(*Exchange))
}

// entryFilters returns the filters of the entry node, to which a caller or a
// target connects, in their order. A new filter needs a file of its own and a line
// here or in hopFilters.
func (f *Forwarder) entryFilters() []Filter {
	return []Filter{
		&scrubFilter{f},
		&readyFilter{f},
		&versionFilter{f},
		&routeFilter{f},
		&stopFilter{f},
		&keyFilter{f},
		&drainFilter{f},
		&quarantineFilter{f},
		&shedFilter{f},
		&rateFilter{f},
		&claimFilter{f},
		&sendFilter{f},
	}
}

// hopFilters returns the filters of the chosen target's node, in their order.
func (f *Forwarder) hopFilters() []Filter {
	return []Filter{
		&stopFilter{f},
		&quarantineFilter{f},
		&admitFilter{f},
		&deliverFilter{f},
	}
}

// chain combines filters into one function.
func chain(filters []Filter) func(*Exchange) {
	run := func(x *Exchange) {}
	for i := len(filters) - 1; i >= 0; i-- {
		filter, next := filters[i], run
		run = func(x *Exchange) { filter.Serve(x, next) }
	}
	return run
}
