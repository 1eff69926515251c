package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/shedder"
)

const (
	// costFailed follows the cost in headerCost if a call of the request failed.
	costFailed = ",failed"
	// weightUnknown is the value of headerWeight for a call without a known parent.
	weightUnknown = "unknown"
	// weightCounted follows the weight if another node has counted the request.
	weightCounted = ",counted"
	// maxCost bounds the cost that a node takes from another; it is above every
	// timeout in use.
	maxCost = time.Hour
)

// chainCost is what the calls of a request told: the slot time that they used at
// overloaded services, and whether one of them failed.
type chainCost struct {
	cost   time.Duration
	failed bool
}

func (c *chainCost) add(other chainCost) {
	c.cost = min(c.cost+other.cost, maxCost)
	c.failed = c.failed || other.failed
}

// setCostHeader tells the sender of a request what it and its calls used of overloaded
// services, and whether a call failed.
func (f *Forwarder) setCostHeader(x *Exchange, r *InFlightRequest) {
	if f.deps.Chains == nil {
		return
	}
	c := r.chainCost()
	c.add(chainCost{cost: x.ticket.Cost()})
	if c == (chainCost{}) {
		return
	}
	text := strconv.FormatInt(c.cost.Microseconds(), 10)
	if c.failed {
		text += costFailed
	}
	x.writer.Header().Set(headerCost, text)
}

// readCost reads what setCostHeader wrote; a value that cannot be read counts as none.
func readCost(h http.Header) chainCost {
	number, failed := strings.CutSuffix(h.Get(headerCost), costFailed)
	micros, err := strconv.ParseInt(number, 10, 64)
	if err != nil || micros < 0 || micros > maxCost.Microseconds() {
		return chainCost{}
	}
	return chainCost{cost: time.Duration(micros) * time.Microsecond, failed: failed}
}

// setWeightHeader tells the target's node for how many requests this one stands, and
// whether another node has rejected it, which has counted it.
func setWeightHeader(h http.Header, x *Exchange) {
	text := ""
	switch {
	case x.weight == admitter.UnknownWeight:
		text = weightUnknown
	case x.weight > 1:
		text = strconv.FormatFloat(x.weight, 'f', 2, 64)
	case x.rejections > 0:
		text = "1"
	default:
		return
	}
	if x.rejections > 0 {
		text += weightCounted
	}
	h.Set(headerWeight, text)
}

// readWeight reads what setWeightHeader wrote; the weight is 1 if there is nothing.
func readWeight(h http.Header) (weight float64, counted bool) {
	text, counted := strings.CutSuffix(h.Get(headerWeight), weightCounted)
	if text == weightUnknown {
		return admitter.UnknownWeight, counted
	}
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || !(weight >= 1) {
		return 1, counted
	}
	return weight, counted
}

// admissionWeight returns the weight with which the target's node counts a request.
func (x *Exchange) admissionWeight() float64 {
	if x.counted {
		return 0
	}
	return x.weight
}

// inheritWeight gives a call the weight of the request that made it.
func (x *Exchange) inheritWeight() {
	switch {
	case x.parent != nil:
		x.weight = x.parent.weight
	case x.inferredParent != nil:
		x.weight = x.inferredParent.weight
	default:
		x.weight = admitter.UnknownWeight
	}
}

// recordCost takes what an answer told of its request: for a call, it goes to the
// request that made the call.
func (f *Forwarder) recordCost(x *Exchange, h http.Header) {
	if f.deps.Chains == nil {
		return
	}
	c := readCost(h)
	switch {
	case x.hop.Call && c.cost > 0:
		f.addToParent(x, chainCost{cost: c.cost})
	case !x.hop.Call:
		// Whether the request fails for its calls, its last attempt says.
		x.chainCost = chainCost{cost: min(x.chainCost.cost+c.cost, maxCost), failed: c.failed}
	}
}

// addToParent adds to what the calls of a request told, for the request that made this
// call. Without a known parent, each request in flight whose route makes such calls
// gets an equal part.
func (f *Forwarder) addToParent(x *Exchange, c chainCost) {
	switch {
	case x.parent != nil:
		x.parent.addChainCost(c)
	case x.inferredParent != nil:
		x.inferredParent.addChainCost(c)
	default:
		f.inFlightTable.addChainCost(x.route.Name, c)
	}
}

// recordChainOutcome records how a request ended: a failed call for the request that
// made it, a root request for the decisions of this entry node. A root request that no
// target received has cost nothing and says nothing about its chain.
func (f *Forwarder) recordChainOutcome(x *Exchange, final result, now time.Time) {
	if f.deps.Chains == nil {
		return
	}
	if x.hop.Call {
		if callFailed(final) {
			f.addToParent(x, chainCost{failed: true})
		}
		return
	}
	succeeded := false
	switch r := final.(type) {
	case *notRunResult:
		return
	case *unknownResult:
		if r.refusal.Reason == ReasonGone {
			return
		}
	case *answeredResult:
		objective := time.Duration(x.hop.Objective) * time.Microsecond
		succeeded = routerResultOf(r.answer.status) == router.Succeeded && (objective == 0 || now.Sub(x.startedAt) <= objective)
	}
	f.deps.Chains.RecordOutcome(chainKeyOf(x), shedder.Outcome{
		Succeeded: succeeded, CallFailed: !succeeded && x.chainCost.failed, Cost: x.chainCost.cost,
	}, now)
}

func chainKeyOf(x *Exchange) shedder.Key {
	return shedder.Key{Service: x.hop.Service, Route: x.hop.Route, Rank: x.hop.Rank}
}
