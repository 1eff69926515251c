package forwarder

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/proto/control"
)

// InFlightRequest is a request that this node's target is running. Its id is
// valid only until it ends.
type InFlightRequest struct {
	ctx       context.Context
	id        string
	hop       *control.Hop
	budget    *retrier.Budget
	deadline  time.Time
	startedAt time.Time
	// life is the life of the target (one run of its process).
	life        string
	deliveryEnd deliveryEnd

	mu sync.Mutex
	// callDuration is the time during which at least one call was running. The
	// time since callsSince is not yet included while runningCalls is not 0.
	callDuration time.Duration
	runningCalls int
	callsSince   time.Time
	// level is the highest admission level of the services that it has called.
	level admitter.Priority
	// failedCall is set once a call failed; see markFailedCall.
	failedCall bool
	// calls is what the answers to its calls told; weight is for how many requests it
	// stands.
	calls  chainCost
	weight float64
	// dueAt is when its objective ends; zero if that is not known.
	dueAt time.Time
	// callees are the levels that the called services returned.
	callees []calleeLevel
}

// calleeLevel is the level that a called service returned, as a moving average.
type calleeLevel struct {
	service string
	level   float64
}

// calleeWeight is the weight of the newest level in that average. Each call goes to
// another target of the service, and the highest of their levels would be above the
// one that the service needs.
const calleeWeight = 0.5

// raiseCalleeLevel sets the level to the highest of the called services.
func (r *InFlightRequest) raiseCalleeLevel(service string, level admitter.Priority) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := slices.IndexFunc(r.callees, func(c calleeLevel) bool { return c.service == service })
	if index < 0 {
		if level == 0 {
			return
		}
		r.callees = append(r.callees, calleeLevel{service, float64(level)})
	} else {
		r.callees[index].level += calleeWeight * (float64(level) - r.callees[index].level)
	}
	r.level = 0
	for _, c := range r.callees {
		r.level = max(r.level, admitter.Priority(c.level))
	}
}

// beginCall records that the target waits for a call.
func (r *InFlightRequest) beginCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runningCalls == 0 {
		r.callsSince = now
	}
	r.runningCalls++
}

func (r *InFlightRequest) endCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runningCalls--
	if r.runningCalls == 0 {
		r.callDuration += now.Sub(r.callsSince)
	}
}

// markFailedCall records that a call was rejected, was lost, or was answered with
// an overload or failure status. An overload status in the target's own answer is
// then not taken for overload of this target.
func (r *InFlightRequest) markFailedCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedCall = true
}

func (r *InFlightRequest) hadFailedCall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedCall
}

func (r *InFlightRequest) callTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callDuration
}

func (r *InFlightRequest) callLevel() admitter.Priority {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.level
}

func (r *InFlightRequest) addChainCost(c chainCost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.add(c)
}

func (r *InFlightRequest) chainCost() chainCost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// inFlightTable holds the requests that this node's target is running, and those
// that recently ended without an answer.
type inFlightTable struct {
	mu        sync.Mutex
	byID      map[string]*InFlightRequest
	callGraph callGraph
	// callerList is the scratch list of callers.
	callerList []*InFlightRequest
	// failed lists the requests that ended without an answer, oldest first.
	failed []failedRequest
	// lastAnsweredLife is the life of the target that gave the latest answer, and
	// lastAnsweredAt the time of that answer.
	lastAnsweredLife string
	lastAnsweredAt   time.Time
}

// deliveryEnd is how the delivery of a request to the target ended. The order of
// the values matters to compareLikelihood.
type deliveryEnd int

const (
	// endUnanswered stands for a request that is still running, or that ended
	// without a complete answer for another reason than a broken connection: its
	// deadline passed, or its caller disconnected.
	endUnanswered deliveryEnd = iota
	// endConnectionBroken stands for a request whose connection broke.
	endConnectionBroken
	// endAnswered stands for a request that the target answered.
	endAnswered
	// endNotSent stands for a request that the target did not receive, or that
	// another target received in its place.
	endNotSent
)

// failedRequest is a request that ended without an answer of the target.
type failedRequest struct {
	digest      []byte
	life        string
	deliveryEnd deliveryEnd
	startedAt   time.Time
	failedAt    time.Time
}

const (
	// maxRecordSkew is how much earlier than the target's last answer a request
	// that failed in the target's crash may be recorded: each request has its own
	// goroutine, so that records may be out of order.
	maxRecordSkew = time.Second
	// maxFailedRequests bounds the list of failed requests; when it is full, its
	// older half is dropped.
	maxFailedRequests = 512
)

func (t *inFlightTable) add(r *InFlightRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[string]*InFlightRequest{}
	}
	t.byID[r.id] = r
	t.callGraph.addRequest(r.hop.Arrival)
}

// remove takes out a request that ended. One without an answer goes to the list
// of failed requests, as a crash of the target may be detected later.
func (t *inFlightTable) remove(r *InFlightRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, r.id)
	switch r.deliveryEnd {
	case endNotSent:
		return
	case endAnswered:
		t.lastAnsweredLife, t.lastAnsweredAt = r.life, now
		return
	}
	if len(t.failed) >= maxFailedRequests {
		t.failed = slices.Delete(t.failed, 0, len(t.failed)/2)
	}
	t.failed = append(t.failed, failedRequest{digest: r.hop.Digest, life: r.life, deliveryEnd: r.deliveryEnd, startedAt: r.startedAt, failedAt: now})
}

func (t *inFlightTable) find(id string) *InFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// maxDeadlineSkew is the largest difference that this node sees between the equal
// deadlines of a call and of its parent. It covers the time that both requests
// take between processes on this machine.
const maxDeadlineSkew = 4 * time.Millisecond

// inferParent finds the request in flight to which a call without a call id
// belongs, and counts the call in the call graph. A call has the deadline of its
// parent unless it sets a shorter one, in which case no parent is found.
func (t *inFlightTable) inferParent(route string, deadline time.Time) *InFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closest *InFlightRequest
	smallest := maxDeadlineSkew
	for _, r := range t.byID {
		if difference := r.deadline.Sub(deadline).Abs(); difference < smallest {
			closest, smallest = r, difference
		}
	}
	t.callGraph.addCall(route, closest, t.byID)
	return closest
}

// raiseCalleeLevels applies the admission level that came back for a call without a
// known parent. It counts for every request in flight whose route makes calls to the
// call's route, since any of them may have made the call.
func (t *inFlightTable) raiseCalleeLevels(route, service string, level admitter.Priority) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.callers(route) {
		r.raiseCalleeLevel(service, level)
	}
}

// addChainCost divides what the answer to a call without a known parent told among the
// requests in flight whose route makes calls to the call's route.
func (t *inFlightTable) addChainCost(route string, c chainCost) {
	t.mu.Lock()
	defer t.mu.Unlock()
	callers := t.callers(route)
	for _, r := range callers {
		r.addChainCost(c.divide(len(callers)))
	}
}

// callers returns the requests in flight whose route makes calls to a route, until the
// next call. The caller holds the lock.
func (t *inFlightTable) callers(route string) []*InFlightRequest {
	t.callerList = t.callerList[:0]
	for _, r := range t.byID {
		if t.callGraph.makesCalls(r.hop.Arrival, route) {
			t.callerList = append(t.callerList, r)
		}
	}
	return t.callerList
}

// drawCaller returns one of the requests in flight whose route makes calls to a route, or
// nil if there is none.
func (t *inFlightTable) drawCaller(route string) *InFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	callers := t.callers(route)
	if len(callers) == 0 {
		return nil
	}
	return callers[rand.IntN(len(callers))]
}

func (t *inFlightTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// CrashReport lists the requests that may have caused a crash of the target.
type CrashReport struct {
	// Digests are the digests of the requests without repetition, likeliest
	// causes first.
	Digests [][]byte
	// Running counts the requests still in flight, Broken those whose connection
	// broke, Unanswered those that ended otherwise without an answer. Earlier
	// counts the requests left out because they ended more than maxRecordSkew before
	// the target's last answer.
	Running, Broken, Unanswered, Earlier int
	// Oldest is the time since the first of the Broken and Unanswered requests
	// ended.
	Oldest time.Duration
}

// requestsAtCrash returns the requests that a life of the target left without an
// answer, and removes them from the list of failed requests. It leaves out those
// that ended before the last answer of that life, since the target survived them.
// The result does not depend on how late the crash is detected.
func (t *inFlightTable) requestsAtCrash(life string, now time.Time) CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report CrashReport
	var candidates []failedRequest
	for _, r := range t.byID {
		if r.life == life {
			report.Running++
			candidates = append(candidates, failedRequest{digest: r.hop.Digest, deliveryEnd: endConnectionBroken, startedAt: r.startedAt})
		}
	}
	for _, failed := range t.failed {
		switch {
		case failed.life != life:
			continue
		case t.lastAnsweredLife == life && t.lastAnsweredAt.Sub(failed.failedAt) > maxRecordSkew:
			report.Earlier++
			continue
		case failed.deliveryEnd == endConnectionBroken:
			report.Broken++
		default:
			report.Unanswered++
		}
		report.Oldest = max(report.Oldest, now.Sub(failed.failedAt))
		candidates = append(candidates, failed)
	}
	t.failed = slices.DeleteFunc(t.failed, func(failed failedRequest) bool { return failed.life == life })
	slices.SortStableFunc(candidates, compareLikelihood)
	listed := map[string]bool{}
	for _, c := range candidates {
		if !listed[string(c.digest)] {
			listed[string(c.digest)] = true
			report.Digests = append(report.Digests, c.digest)
		}
	}
	return report
}

// compareLikelihood sorts the likelier cause of a crash first: a broken connection
// before a passed deadline or a caller that disconnected, and a later start before
// an earlier one.
func compareLikelihood(a, b failedRequest) int {
	if a.deliveryEnd != b.deliveryEnd {
		return cmp.Compare(b.deliveryEnd, a.deliveryEnd)
	}
	return b.startedAt.Compare(a.startedAt)
}
