package forwarder

// Filter handles one step of a request and calls next to go on, or ends the
// exchange with an answer.
type Filter interface {
	Serve(x *Exchange, next func(*Exchange))
}

// entryFilters are the steps on the node that a caller or a target connects
// to. Adding a filter is a file and a line here.
func (f *Forwarder) entryFilters() []Filter {
	return []Filter{
		&scrubFilter{f},
		&versionFilter{f},
		&routeFilter{f},
		&keyFilter{f},
		&quarantineFilter{f},
		&shedFilter{f},
		&rateFilter{f},
		&claimFilter{f},
		&sendFilter{f},
	}
}

// hopFilters are the steps on the node of the chosen target.
func (f *Forwarder) hopFilters() []Filter {
	return []Filter{
		&quarantineFilter{f},
		&admitFilter{f},
		&deliverFilter{f},
	}
}

// chain makes one function of a list of filters.
func chain(filters []Filter) func(*Exchange) {
	run := func(x *Exchange) {}
	for i := len(filters) - 1; i >= 0; i-- {
		filter, next := filters[i], run
		run = func(x *Exchange) { filter.Serve(x, next) }
	}
	return run
}
