package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/shedder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestWeightHeader checks that the target's node reads the weight that the entry node
// writes, counts a request that another node has rejected as no demand but hands its
// weight on, and takes values that cannot be read as 1.
func TestWeightHeader(t *testing.T) {
	for _, test := range []struct {
		weight                float64
		rejections            int
		wantRead, wantCounted float64
	}{
		{0, 0, 1, 1}, {1, 0, 1, 1}, {2.5, 0, 2.5, 2.5}, {2.5, 1, 2.5, 0}, {0, 1, 1, 0},
		{admitter.UnknownWeight, 0, admitter.UnknownWeight, admitter.UnknownWeight}, {admitter.UnknownWeight, 2, admitter.UnknownWeight, 0},
	} {
		h := http.Header{}
		setWeightHeader(h, &Exchange{weight: test.weight, rejections: test.rejections})
		at := &Exchange{}
		at.weight, at.counted = readWeight(h)
		qt.Check(t, at.weight, qt.Equals, test.wantRead, qt.Commentf("%+v", test))
		qt.Check(t, at.admissionWeight(), qt.Equals, test.wantCounted, qt.Commentf("%+v", test))
	}
	for _, text := range []string{"", "x", "NaN", "-3", "0", "0.5"} {
		weight, counted := readWeight(http.Header{headerWeight: {text}})
		qt.Check(t, weight, qt.Equals, 1.0, qt.Commentf("%q", text))
		qt.Check(t, counted, qt.IsFalse)
	}
	for _, text := range []string{"", "x", "-3", "99999999999999", ",1,1", "5,x,1", "5,1", "5,1,2", "5,-1,0", "5,NaN,0", "5,99999,0"} {
		qt.Check(t, readCost(http.Header{headerCost: {text}}), qt.Equals, chainCost{}, qt.Commentf("%q", text))
	}
}

// TestCostsAddUpAtTheParent checks that the costs and numbers of calls reach the
// request that made them: with a call id, with a parent inferred by its deadline, and,
// without any, in equal parts the requests whose route makes such calls.
func TestCostsAddUpAtTheParent(t *testing.T) {
	f := &Forwarder{deps: Deps{Clock: timekeeper.RuntimeClock{}, Chains: &shedder.Chains{}}}
	now := time.Unix(1000, 0)
	first := addInFlight(&f.inFlightTable, "1", "lookup", now)
	second := addInFlight(&f.inFlightTable, "2", "lookup", now)
	call := func() *Exchange {
		return &Exchange{route: &declarer.Route{Name: "read"}, hop: &control.Hop{Call: true, Service: "store"}}
	}
	known, inferred, unknown := call(), call(), call()
	known.parent, inferred.inferredParent = first, first
	answered := &answeredResult{answer: &Answer{status: http.StatusOK}}
	header := http.Header{headerCost: {chainCost{cost: 40 * time.Millisecond, calls: 2}.String()}}
	f.recordCost(known, header)
	f.recordChainOutcome(known, answered, now)
	f.recordCost(inferred, header)
	f.recordChainOutcome(inferred, answered, now)
	qt.Assert(t, first.chainCost(), qt.Equals, chainCost{cost: 80 * time.Millisecond, calls: 6})
	f.inFlightTable.inferParent("read", now.Add(-time.Second))
	f.recordCost(unknown, header)
	f.recordChainOutcome(unknown, answered, now)
	qt.Assert(t, first.chainCost(), qt.Equals, chainCost{cost: 100 * time.Millisecond, calls: 7.5})
	qt.Assert(t, second.chainCost(), qt.Equals, chainCost{cost: 20 * time.Millisecond, calls: 1.5})
	// Of a failed call whose own call failed, only the latter counts as failed.
	refused := &notRunResult{refusal: Refuse(http.StatusServiceUnavailable, ReasonLoad, "")}
	outer, inner := call(), call()
	outer.parent, inner.parent = second, second
	f.recordCost(outer, http.Header{headerCost: {"0,1,1"}})
	f.recordChainOutcome(outer, refused, now)
	f.recordChainOutcome(inner, refused, now)
	qt.Assert(t, second.chainCost(), qt.Equals, chainCost{cost: 20 * time.Millisecond, calls: 4.5, failed: 2})
	qt.Assert(t, first.chainCost().failed, qt.Equals, 0.0)
}

// TestCalleeLevelsAreAveraged checks that the level of a request is the mean over the
// answers of one service, whose targets report different levels, and the highest over
// several services.
func TestCalleeLevelsAreAveraged(t *testing.T) {
	var r InFlightRequest
	for range 10 {
		r.raiseCalleeLevel("store", 4000)
		r.raiseCalleeLevel("store", 4200)
	}
	qt.Check(t, r.callLevel() > 4050 && r.callLevel() < 4150, qt.IsTrue, qt.Commentf("%d", r.callLevel()))
	for range 10 {
		r.raiseCalleeLevel("index", 5000)
		r.raiseCalleeLevel("store", 0)
	}
	qt.Check(t, r.callLevel() > 4900, qt.IsTrue, qt.Commentf("%d", r.callLevel()))
}

// TestLevelsOfUnknownParentsAreKept checks that a level that came for a call without a
// known parent is not lost when a call with one is answered.
func TestLevelsOfUnknownParentsAreKept(t *testing.T) {
	f := &Forwarder{deps: Deps{Clock: timekeeper.RuntimeClock{}, Chains: &shedder.Chains{}}}
	now := time.Unix(1000, 0)
	r := addInFlight(&f.inFlightTable, "1", "lookup", now)
	unknown := &Exchange{route: &declarer.Route{Name: "read"}, hop: &control.Hop{Call: true, Service: "store"}}
	f.recordLevel(unknown, 4000, now)
	f.recordLevel(&Exchange{parent: r, hop: &control.Hop{Call: true, Service: "index"}}, 2000, now)
	qt.Assert(t, r.callLevel(), qt.Equals, admitter.Priority(4000))
}

// newShedExchange returns a root request at its entry node.
func newShedExchange(dialect Dialect, root uint32) *Exchange {
	return &Exchange{
		writer: httptest.NewRecorder(), dialect: dialect,
		hop: &control.Hop{Service: "store", Route: "lookup", Arrival: "lookup", Rank: 8, Root: root, Team: "a"},
	}
}

// TestShedFilterWithChains checks that under overload an admitted request stands for
// those that were held back, that the refusal names when to return, and that admitting a
// request allocates nothing.
func TestShedFilterWithChains(t *testing.T) {
	chains, clock := &shedder.Chains{}, &timekeeper.Manual{}
	clock.Advance(time.Hour)
	f := &Forwarder{deps: Deps{Clock: clock, Chains: chains}}
	filter := &shedFilter{f}
	for i := range 200 {
		x := newShedExchange(&replayRefusal{}, uint32(i)<<24)
		filter.Serve(x, func(*Exchange) {})
		chains.RecordLevel(chainKeyOf(x), 0.5, clock.Now())
		chains.RecordOutcome(chainKeyOf(x), shedder.Outcome{Succeeded: true, Cost: 50 * time.Millisecond}, clock.Now())
		clock.Advance(time.Millisecond)
	}
	admitted := newShedExchange(&replayRefusal{}, 250<<24)
	filter.Serve(admitted, func(*Exchange) {})
	qt.Assert(t, admitted.decision.Cause, qt.Equals, shedder.Overload)
	qt.Assert(t, admitted.weight, qt.Equals, 1/admitted.decision.Share)
	dialect := &replayRefusal{}
	refused := newShedExchange(dialect, 0)
	filter.Serve(refused, func(*Exchange) { t.Error("passed") })
	qt.Assert(t, dialect.refusal.Reason, qt.Equals, ReasonLoad)
	qt.Assert(t, dialect.refusal.Wait >= minShedWait && dialect.refusal.Wait <= maxShedWait, qt.IsTrue, qt.Commentf("%v", dialect.refusal.Wait))
	qt.Assert(t, decisionAttrs(refused, dialect.refusal), qt.HasLen, 8)
	next := func(*Exchange) {}
	qt.Assert(t, testing.AllocsPerRun(1000, func() { filter.Serve(admitted, next) }), qt.Equals, 0.0)
}

// TestShedWaitFollowsShare checks the retry delay at both bounds and between.
func TestShedWaitFollowsShare(t *testing.T) {
	qt.Check(t, shedWait(1), qt.Equals, minShedWait)
	qt.Check(t, shedWait(0.5), qt.Equals, 400*time.Millisecond)
	qt.Check(t, shedWait(shedder.ProbeShare), qt.Equals, maxShedWait)
}
