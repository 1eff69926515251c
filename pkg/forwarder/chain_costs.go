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
	// weightUnknown is the value of headerWeight for a call without a known parent.
	weightUnknown = "unknown"
	// weightCounted follows the weight if another node has counted the request.
	weightCounted = ",counted"
	// maxCost and maxCalls bound what a node takes from another; they are above every
	// timeout and number of calls in use.
	maxCost  = time.Hour
	maxCalls = 10000
)

// chainCost is what the calls of a request told: the slot time that they used at
// overloaded services, their number, and of how many the own failure, not that of a
// further call, made them fail. The numbers are fractions for calls that may belong to
// several requests.
type chainCost struct {
	cost          time.Duration
	calls, failed float64
}

func (c *chainCost) add(other chainCost) {
	c.cost = min(c.cost+other.cost, maxCost)
	c.calls, c.failed = min(c.calls+other.calls, maxCalls), min(c.failed+other.failed, maxCalls)
}

// divide returns an equal part for each of n requests.
func (c chainCost) divide(n int) chainCost {
	return chainCost{cost: c.cost / time.Duration(n), calls: c.calls / float64(n), failed: c.failed / float64(n)}
}

// setCostHeader tells the sender of a request what it and its calls used of overloaded
// services, and how its calls ended.
func (f *Forwarder) setCostHeader(x *Exchange, r *InFlightRequest) {
	if f.deps.Chains == nil {
		return
	}
	c := r.chainCost()
	c.add(chainCost{cost: x.ticket.Cost()})
	if c != (chainCost{}) {
		x.writer.Header().Set(headerCost, c.String())
	}
}

// String returns the value of headerCost: microseconds, calls, failed calls.
func (c chainCost) String() string {
	text := strconv.AppendInt(nil, c.cost.Microseconds(), 10)
	if c.calls > 0 {
		text = strconv.AppendFloat(append(text, ','), c.calls, 'g', 4, 64)
		text = strconv.AppendFloat(append(text, ','), c.failed, 'g', 4, 64)
	}
	return string(text)
}

// readCost reads what setCostHeader wrote; a value that cannot be read counts as none.
func readCost(h http.Header) chainCost {
	text, counts, counted := strings.Cut(h.Get(headerCost), ",")
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil || micros < 0 || micros > maxCost.Microseconds() {
		return chainCost{}
	}
	c := chainCost{cost: time.Duration(micros) * time.Microsecond}
	if !counted {
		return c
	}
	text, failedText, _ := strings.Cut(counts, ",")
	calls, err := strconv.ParseFloat(text, 64)
	failed, errFailed := strconv.ParseFloat(failedText, 64)
	if err != nil || errFailed != nil || !(calls >= 0 && calls <= maxCalls && failed >= 0 && failed <= calls) {
		return chainCost{}
	}
	c.calls, c.failed = calls, failed
	return c
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
	case x.likelyParent != nil:
		x.weight = x.likelyParent.weight
	default:
		x.weight = admitter.UnknownWeight
	}
}

// recordCost takes what the answer to an attempt told. The cost of all attempts counts;
// how the calls ended, the last one says.
func (f *Forwarder) recordCost(x *Exchange, h http.Header) {
	if f.deps.Chains == nil {
		return
	}
	c := readCost(h)
	c.cost = min(c.cost+x.chainCost.cost, maxCost)
	x.chainCost = c
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

// recordChainOutcome records how a request ended: a call for the request that made it, a
// root request for the decisions of this entry node. A root request that no
// target received has cost nothing and says nothing about its chain.
func (f *Forwarder) recordChainOutcome(x *Exchange, final result, now time.Time) {
	if f.deps.Chains == nil {
		return
	}
	if x.hop.Call {
		c := x.chainCost
		c.calls++
		if callFailed(final) && c.failed == 0 {
			c.failed++
		}
		f.addToParent(x, c)
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
		Succeeded: succeeded, CallFailed: !succeeded && x.chainCost.failed > 0,
		Cost: x.chainCost.cost, Calls: x.chainCost.calls, FailedCalls: x.chainCost.failed,
	}, now)
}

func chainKeyOf(x *Exchange) shedder.Key {
	return shedder.Key{Service: x.hop.Service, Route: x.hop.Route, Rank: x.hop.Rank}
}
