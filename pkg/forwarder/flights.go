package forwarder

import (
	"context"
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
	// failed lists the digests of requests whose connection broke lately.
	failed []failure
}

type failure struct {
	digest []byte
	at     time.Time
}

// failureMemory is how long a broken connection counts as part of a crash.
const failureMemory = time.Second

func (f *flights) add(fl *Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = map[string]*Flight{}
	}
	f.byID[fl.id] = fl
	f.edges.begin(fl.hop.Arrival)
}

func (f *flights) remove(fl *Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, fl.id)
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

// broke notes that the connection of a request broke.
func (f *flights) broke(digest []byte, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = append(f.failed, failure{digest, now})
}

// Casualties are the requests that were running at a crash.
type Casualties struct {
	// Digests name the requests, each once.
	Digests [][]byte
	// Running counts requests still noted as running, Broken those whose
	// connection had broken, and Forgotten those that broke too long ago.
	Running, Broken, Forgotten int
	// Oldest is the longest time since a connection broke.
	Oldest time.Duration
}

// atCrash returns the requests that were running at a crash: those whose
// connections have just broken and those still noted as running.
func (f *flights) atCrash(now time.Time) Casualties {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Casualties{Running: len(f.byID)}
	seen := map[string]bool{}
	for _, failed := range f.failed {
		age := now.Sub(failed.at)
		c.Oldest = max(c.Oldest, age)
		if age > failureMemory {
			c.Forgotten++
			continue
		}
		c.Broken++
		seen[string(failed.digest)] = true
	}
	for _, fl := range f.byID {
		seen[string(fl.hop.Digest)] = true
	}
	f.failed = nil
	for d := range seen {
		c.Digests = append(c.Digests, []byte(d))
	}
	return c
}
