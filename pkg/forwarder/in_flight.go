package forwarder

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Flight is a request that the own target is running. Its id dies with it.
type InFlightRequest struct {
	ctx       context.Context
	id        string
	hop       *control.Hop
	budget    *retrier.Budget
	deadline  time.Time
	startedAt time.Time
	// life is that of the target, and end how its work ended.
	life        string
	deliveryEnd deliveryEnd

	mu sync.Mutex
	// calls is the time during which at least one call was running.
	callDuration time.Duration
	runningCalls int
	callsSince   time.Time
	// level is the highest that a call met further down.
	level admitter.Priority
	// refused tells that a call was refused or lost.
	failedCall bool
}

// beginCall notes that the target waits for a call.
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

// noteRefused notes that a call got no answer from its target. What the own
// target then answers is not of its own making.
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

func (r *InFlightRequest) raiseLevel(level admitter.Priority) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.level = max(r.level, level)
}

func (r *InFlightRequest) callLevel() admitter.Priority {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.level
}

// flights are the requests that the own target is running.
type inFlightTable struct {
	mu        sync.Mutex
	byID      map[string]*InFlightRequest
	callGraph callGraph
	// failed lists requests that ended without an answer.
	failed []failedRequest
	// answered is the life that has answered last, and answeredAt when.
	lastAnsweredLife string
	lastAnsweredAt   time.Time
}

// end is how the work of a target on a request ended.
type deliveryEnd int

const (
	// endUnanswered is the end of a request that its deadline or its caller ended,
	// or that nobody has ended yet.
	endUnanswered deliveryEnd = iota
	// endBroken is that of a request whose connection broke.
	endConnectionBroken
	// endAnswered is that of a request that the target has answered.
	endAnswered
	// endNotSent is that of a request of which the target has seen nothing.
	endNotSent
)

// failure is a request that a target has left without an answer.
type failedRequest struct {
	digest      []byte
	life        string
	deliveryEnd deliveryEnd
	startedAt   time.Time
	failedAt    time.Time
}

const (
	// reorderTime is how much earlier than the last answer of a target the
	// failures of its crash may be noted, as each request has its own goroutine.
	maxRecordSkew = time.Second
	// maxFailures bounds the failures that are remembered; the oldest make room.
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

// remove ends a flight. One without an answer is remembered, as its target may
// be found to have crashed later.
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

// sameDeadline is how far apart the deadlines of a call and of the request
// that it belongs to may be seen: the time that both take on one machine.
const maxDeadlineSkew = 4 * time.Millisecond

// infer finds the request in flight that a call without an id belongs to. A
// call ends with its parent, so that their deadlines are equal, unless the
// call has a shorter one of its own.
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

// raise passes on what a call without a known parent met: all requests that
// may have made it come from routes that make such calls.
func (t *inFlightTable) raiseLevels(route string, level admitter.Priority) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID {
		if t.callGraph.makesCalls(r.hop.Arrival, route) {
			r.raiseLevel(level)
		}
	}
}

func (t *inFlightTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// CrashReport are the requests that were running at a crash.
type CrashReport struct {
	// Digests name the requests, each once, likely causes first.
	Digests [][]byte
	// Running counts requests still noted as running, Broken those whose
	// connection had broken, Unanswered those that ended in another way, and
	// Earlier those that ended before the last answer of the target.
	Running, Broken, Unanswered, Earlier int
	// Oldest is the longest time since one of them ended.
	Oldest time.Duration
}

// atCrash returns the requests that a life of the target has left without an
// answer when it crashed. What ended before its last answer did not crash it.
// How much later the crash is found does not matter.
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

// likelier orders causes of a crash: a broken connection says more than a
// passed deadline, and a request that has begun shortly before says more.
func compareLikelihood(a, b failedRequest) int {
	if a.deliveryEnd != b.deliveryEnd {
		return cmp.Compare(b.deliveryEnd, a.deliveryEnd)
	}
	return b.startedAt.Compare(a.startedAt)
}
