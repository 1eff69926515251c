package test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/announcer"
)

const (
	// lateReports is for how long reports of the life that has left go on arriving after
	// the restart.
	lateReports = 4 * time.Second
	// inTouch is when nodes have been in touch again after the end of all processes.
	inTouch = 2 * time.Second
	// departureAnswer bounds the answer to a report of a departure.
	departureAnswer = time.Second
)

// leavingTarget is a target that announces itself as one life after another.
type leavingTarget struct {
	node *node

	mu      sync.Mutex
	arrived []time.Time
}

func newLeavingTarget(t *testing.T, n *node) *leavingTarget {
	target := &leavingTarget{node: n}
	serveTarget(t, n.target, target)
	return target
}

// ServeHTTP implements http.Handler.
func (l *leavingTarget) ServeHTTP(http.ResponseWriter, *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, time.Now())
}

// arrivedSince returns how many requests have arrived after a time.
func (l *leavingTarget) arrivedSince(since time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.arrived {
		if t.After(since) {
			count++
		}
	}
	return count
}

// report announces a life with PUT, or its departure with DELETE, and returns the status.
func (l *leavingTarget) report(method, life string) int {
	body := fmt.Sprintf(`{"service": "back", "address": %q, "slots": 20, "life": %q}`, l.node.target, life)
	r, err := http.NewRequest(method, "http://"+l.node.admin+"/announce", strings.NewReader(body))
	l.node.fleet.Assert(err, qt.IsNil)
	return doRequest(&http.Client{Timeout: waitTimeout}, r).status
}

// serve announces a life until a request to node n has been served by it.
func (l *leavingTarget) serve(n *node, life string) {
	l.node.fleet.waitUntil("life "+life+" serves", func() bool {
		l.report(http.MethodPut, life)
		return n.send("GET", "/open", nil, nil).status == http.StatusOK
	})
}

// newDepartureFleet starts three replicas and a node without a disk, which has a target.
func newDepartureFleet(t *testing.T) (f *fleet, entry *node, target *leavingTarget) {
	f = newThreeReplicaFleet(t)
	entry = f.nodes["a"]
	entry.declare(`{"routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]}`)
	target = newLeavingTarget(t, f.nodes["d"])
	target.serve(entry, "first")
	return f, entry, target
}

// TestEndOfAllProcessesForgetsDeparture guards against a departure that was acknowledged and
// is forgotten when the processes of all nodes end, and one disk is lost with them: a late
// report of that life brings the target back. The next life is used.
func TestEndOfAllProcessesForgetsDeparture(t *testing.T) {
	t.Parallel()
	f, entry, target := newDepartureFleet(t)
	f.Assert(target.report(http.MethodDelete, "first"), qt.Equals, http.StatusNoContent)
	for _, n := range f.nodes {
		f.kill(n.daemon)
	}
	f.Assert(os.RemoveAll(f.path("b.data")), qt.IsNil)
	for _, name := range f.names {
		f.nodes[name].startDaemon()
	}
	f.waitUntil("the node has a configuration again", func() bool { return f.nodes["d"].metric("version") > 1 && entry.metric("version") > 1 })
	restarted := time.Now()
	for end := restarted.Add(lateReports); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		target.report(http.MethodPut, "first")
		entry.send("GET", "/open", nil, nil)
	}
	f.Check(target.arrivedSince(restarted.Add(inTouch)), qt.Equals, 0)
	f.Check(target.report(http.MethodPut, "first"), qt.Equals, http.StatusConflict)
	target.serve(entry, "second")
}

// TestUnrecordedDepartureIsAcknowledged guards against a departure that is acknowledged
// although too few disks hold it. It takes effect all the same, and is acknowledged once the
// replicas are back.
func TestUnrecordedDepartureIsAcknowledged(t *testing.T) {
	t.Parallel()
	f, entry, target := newDepartureFleet(t)
	for _, name := range []string{"b", "c"} {
		f.signal(f.nodes[name].daemon, syscall.SIGSTOP)
	}
	began := time.Now()
	f.Check(target.report(http.MethodDelete, "first"), qt.Equals, http.StatusServiceUnavailable)
	took := time.Since(began)
	for _, name := range []string{"b", "c"} {
		f.signal(f.nodes[name].daemon, syscall.SIGCONT)
	}
	f.Check(entry.send("GET", "/open", nil, nil).status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(took < announcer.LeavePropagationDelay+departureAnswer, qt.IsTrue, qt.Commentf("%v", took))
	f.waitUntil("the departure is acknowledged", func() bool {
		return target.report(http.MethodDelete, "first") == http.StatusNoContent
	})
}
