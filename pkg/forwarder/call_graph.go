package forwarder

// callGraph estimates how many calls to each route a request of each route
// makes, for calls that don't carry the id of the request they belong to. Each
// such call, unless its parent could be inferred, is distributed over the requests
// in flight at that moment, in proportion to the estimated call rates of their
// routes; so the estimate of a route that makes no calls falls. The zero value
// works.
type callGraph struct {
	calls    map[routeCall]float64
	requests map[string]float64
}

// routeCall is the route of a request and the route of a call made for it.
type routeCall struct{ caller, callee string }

const (
	// initialCallRate is the assumed number of calls per request for a route
	// without observations.
	initialCallRate = 0.5
	// minCallRate is the number of calls per request from which a route counts as
	// making calls.
	minCallRate = 0.2
	// maxRequestCount is the count of requests at which a route's counts are
	// halved, so that older requests weigh less.
	maxRequestCount = 400
)

// addRequest counts a request that arrived by a route.
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

// callRate estimates the number of calls to callee per request of caller.
func (g *callGraph) callRate(caller, callee string) float64 {
	return (g.calls[routeCall{caller, callee}] + initialCallRate) / (g.requests[caller] + 1)
}

// addCall counts a call to callee for its parent, or, without a known parent, in
// fractions for all requests in flight.
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

// makesCalls reports whether requests of caller are estimated to call callee.
func (g *callGraph) makesCalls(caller, callee string) bool {
	return g.callRate(caller, callee) >= minCallRate
}
