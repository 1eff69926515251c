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
type Flight struct {
	ctx      context.Context
	id       string
	hop      *control.Hop
	budget   *retrier.Budget
	deadline time.Time
	began    time.Time
	// life is that of the target, and end how its work ended.
	life string
	end  end

	mu sync.Mutex
	// calls is the time during which at least one call was running.
	calls   time.Duration
	running int
	since   time.Time
	// level is the highest that a call met further down.
	level admitter.Priority
	// refused tells that a call was refused or lost.
	refused bool
}

// beginCall notes that the target waits for a call.
func (f *Flight) beginCall(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == 0 {
		f.since = now
	}
	f.running++
}

func (f *Flight) endCall(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if f.running == 0 {
		f.calls += now.Sub(f.since)
	}
}

// noteRefused notes that a call got no answer from its target. What the own
// target then answers is not of its own making.
func (f *Flight) noteRefused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = true
}

func (f *Flight) hadRefusal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

func (f *Flight) callTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *Flight) raiseLevel(level admitter.Priority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.level = max(f.level, level)
}

func (f *Flight) heardLevel() admitter.Priority {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.level
}

// flights are the requests that the own target is running.
type flights struct {
	mu    sync.Mutex
	byID  map[string]*Flight
	edges edges
	// failed lists requests that ended without an answer.
	failed []failure
	// answered is the life that has answered last, and answeredAt when.
	answered   string
	answeredAt time.Time
}

// end is how the work of a target on a request ended.
type end int

const (
	// endUnanswered is the end of a request that its deadline or its caller ended,
	// or that nobody has ended yet.
	endUnanswered end = iota
	// endBroken is that of a request whose connection broke.
	endBroken
	// endAnswered is that of a request that the target has answered.
	endAnswered
	// endNotSent is that of a request of which the target has seen nothing.
	endNotSent
)

// failure is a request that a target has left without an answer.
type failure struct {
	digest []byte
	life   string
	end    end
	began  time.Time
	at     time.Time
}

const (
	// reorderTime is how much earlier than the last answer of a target the
	// failures of its crash may be noted, as each request has its own goroutine.
	reorderTime = time.Second
	// maxFailures bounds the failures that are remembered; the oldest make room.
	maxFailures = 512
)

func (f *flights) add(fl *Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = map[string]*Flight{}
	}
	f.byID[fl.id] = fl
	f.edges.begin(fl.hop.Arrival)
}

// remove ends a flight. One without an answer is remembered, as its target may
// be found to have crashed later.
func (f *flights) remove(fl *Flight, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, fl.id)
	switch fl.end {
	case endNotSent:
		return
	case endAnswered:
		f.answered, f.answeredAt = fl.life, now
		return
	}
	if len(f.failed) >= maxFailures {
		f.failed = slices.Delete(f.failed, 0, len(f.failed)/2)
	}
	f.failed = append(f.failed, failure{digest: fl.hop.Digest, life: fl.life, end: fl.end, began: fl.began, at: now})
}

func (f *flights) find(id string) *Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[id]
}

// sameDeadline is how far apart the deadlines of a call and of the request
// that it belongs to may be seen: the time that both take on one machine.
const sameDeadline = 4 * time.Millisecond

// infer finds the request in flight that a call without an id belongs to. A
// call ends with its parent, so that their deadlines are equal, unless the
// call has a shorter one of its own.
func (f *flights) infer(route string, deadline time.Time) *Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *Flight
	near := sameDeadline
	for _, fl := range f.byID {
		if apart := fl.deadline.Sub(deadline).Abs(); apart < near {
			best, near = fl, apart
		}
	}
	f.edges.observe(route, best, f.byID)
	return best
}

// raise passes on what a call without a known parent met: all requests that
// may have made it come from routes that make such calls.
func (f *flights) raise(route string, level admitter.Priority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fl := range f.byID {
		if f.edges.likely(fl.hop.Arrival, route) {
			fl.raiseLevel(level)
		}
	}
}

func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
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
func (f *flights) atCrash(life string, now time.Time) CrashReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c CrashReport
	var lost []failure
	for _, fl := range f.byID {
		if fl.life == life {
			c.Running++
			lost = append(lost, failure{digest: fl.hop.Digest, end: endBroken, began: fl.began})
		}
	}
	for _, failed := range f.failed {
		switch {
		case failed.life != life:
			continue
		case f.answered == life && f.answeredAt.Sub(failed.at) > reorderTime:
			c.Earlier++
			continue
		case failed.end == endBroken:
			c.Broken++
		default:
			c.Unanswered++
		}
		c.Oldest = max(c.Oldest, now.Sub(failed.at))
		lost = append(lost, failed)
	}
	f.failed = slices.DeleteFunc(f.failed, func(failed failure) bool { return failed.life == life })
	slices.SortStableFunc(lost, likelier)
	seen := map[string]bool{}
	for _, l := range lost {
		if !seen[string(l.digest)] {
			seen[string(l.digest)] = true
			c.Digests = append(c.Digests, l.digest)
		}
	}
	return c
}

// likelier orders causes of a crash: a broken connection says more than a
// passed deadline, and a request that has begun shortly before says more.
func likelier(a, b failure) int {
	if a.end != b.end {
		return cmp.Compare(b.end, a.end)
	}
	return b.began.Compare(a.began)
}
