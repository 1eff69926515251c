package forwarder

// edges learns which routes make calls on which others, where calls do not
// name the request that they belong to. Each call is credited to the requests
// in flight at that moment, in proportion to how many calls their routes are
// known to make, so that routes that never call lose what they were credited.
// The zero value works.
type callGraph struct {
	calls    map[routeCall]float64
	requests map[string]float64
}

// edge is a route of requests with a route of calls.
type routeCall struct{ caller, callee string }

const (
	// edgeFirst is the number of calls that an unknown route is taken to make.
	initialCallRate = 0.5
	// edgeLikely is the number of calls a request from which a route counts as
	// making them.
	minCallRate = 0.2
	// edgeMemory is the number of requests after which older ones count half.
	maxRequestCount = 400
)

// begin counts a request of a route.
func (g *callGraph) addRequest(caller string) {
	if g.calls == nil {
		g.calls, g.requests = map[routeCall]float64{}, map[string]float64{}
	}
	g.requests[caller]++
	if g.requests[caller] < maxRequestCount {
		return
	}
	g.requests[caller] /= 2
	for call := range g.calls {
		if call.caller == caller {
			g.calls[call] /= 2
		}
	}
}

// share is how many calls a request of a route makes.
func (g *callGraph) callRate(caller, callee string) float64 {
	return (g.calls[routeCall{caller, callee}] + initialCallRate) / (g.requests[caller] + 1)
}

// observe credits a call to its parent, or to all that may be.
func (g *callGraph) addCall(callee string, parent *InFlightRequest, inFlight map[string]*InFlightRequest) {
	if g.calls == nil {
		return
	}
	if parent != nil {
		g.calls[routeCall{parent.hop.Arrival, callee}]++
		return
	}
	total := 0.0
	for _, r := range inFlight {
		total += g.callRate(r.hop.Arrival, callee)
	}
	if total == 0 {
		return
	}
	for _, r := range inFlight {
		caller := r.hop.Arrival
		g.calls[routeCall{caller, callee}] += g.callRate(caller, callee) / total
	}
}

// likely tells whether requests of a route make calls on another.
func (g *callGraph) makesCalls(caller, callee string) bool {
	return g.callRate(caller, callee) >= minCallRate
}
