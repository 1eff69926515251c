package forwarder

// edges learns which routes make calls on which others, where calls do not
// name the request that they belong to. Each call is credited to the requests
// in flight at that moment, in proportion to how many calls their routes are
// known to make, so that routes that never call lose what they were credited.
// The zero value works.
type edges struct {
	calls map[edge]float64
	begun map[string]float64
}

// edge is a route of requests with a route of calls.
type edge struct{ from, to string }

const (
	// edgeFirst is the number of calls that an unknown route is taken to make.
	edgeFirst = 0.5
	// edgeLikely is the number of calls a request from which a route counts as
	// making them.
	edgeLikely = 0.2
	// edgeMemory is the number of requests after which older ones count half.
	edgeMemory = 400
)

// begin counts a request of a route.
func (e *edges) begin(from string) {
	if e.calls == nil {
		e.calls, e.begun = map[edge]float64{}, map[string]float64{}
	}
	e.begun[from]++
	if e.begun[from] < edgeMemory {
		return
	}
	e.begun[from] /= 2
	for at := range e.calls {
		if at.from == from {
			e.calls[at] /= 2
		}
	}
}

// share is how many calls a request of a route makes.
func (e *edges) share(from, to string) float64 {
	return (e.calls[edge{from, to}] + edgeFirst) / (e.begun[from] + 1)
}

// observe credits a call to its parent, or to all that may be.
func (e *edges) observe(to string, parent *Flight, inFlight map[string]*Flight) {
	if e.calls == nil {
		return
	}
	if parent != nil {
		e.calls[edge{parent.hop.Arrival, to}]++
		return
	}
	total := 0.0
	for _, fl := range inFlight {
		total += e.share(fl.hop.Arrival, to)
	}
	if total == 0 {
		return
	}
	for _, fl := range inFlight {
		from := fl.hop.Arrival
		e.calls[edge{from, to}] += e.share(from, to) / total
	}
}

// likely tells whether requests of a route make calls on another.
func (e *edges) likely(from, to string) bool { return e.share(from, to) >= edgeLikely }
