package test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// stopGrace is the grace time of the nodes that these tests stop.
	stopGrace = 6 * time.Second
	// callersGone is when callers have left a stopping node: two failed readiness
	// checks, a second apart, and the spread of their times.
	callersGone = 3 * time.Second
	// quickTimeout is the timeout of the route that callers use during the stop, and
	// quickTime what its target needs.
	quickTimeout = 1500 * time.Millisecond
	quickTime    = 1200 * time.Millisecond
	// slowTime keeps the own target of the stopping node at work past the end of the
	// grace time.
	slowTime = stopGrace
	// stopWorkers is how many requests to the stopping node run at a time.
	stopWorkers = 24
)

// stopCall is a request sent to a stopping node.
type stopCall struct {
	id string
	// sent and ended are times since the signal.
	sent, ended time.Duration
	reply       reply
}

// stopCallers send requests to one node, each worker on one kept connection.
type stopCallers struct {
	node *node
	stop chan struct{}

	mu    sync.Mutex
	calls []stopCall
	begun []time.Time
	group sync.WaitGroup
}

func (s *stopCallers) run(worker int) {
	defer s.group.Done()
	time.Sleep(time.Duration(worker) * quickTime / stopWorkers)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("w%d-%d", worker, i)
		r, err := http.NewRequest("POST", "http://"+s.node.listen+"/quick/"+id, strings.NewReader("once"))
		if err != nil {
			panic(err)
		}
		began := time.Now()
		got := doRequest(client, r)
		s.mu.Lock()
		s.calls = append(s.calls, stopCall{id: id, ended: time.Since(began), reply: got})
		s.begun = append(s.begun, began)
		s.mu.Unlock()
	}
}

// finished returns the calls with times since the signal.
func (s *stopCallers) finished(signalled time.Time) []stopCall {
	s.group.Wait()
	for i := range s.calls {
		s.calls[i].sent = s.begun[i].Sub(signalled)
		s.calls[i].ended += s.calls[i].sent
	}
	return s.calls
}

// newStopFleet returns three nodes: the own target of the first one is slow, that of
// the second quick.
func newStopFleet(t *testing.T) (f *fleet, stopping, other *node) {
	f = newFleet(t)
	stopping = f.add("a", "east", true, "-service", "slow", "-time", (slowTime + 2*quickTime).String(), "-slots", "100")
	other = f.add("b", "east", true, "-service", "quick", "-time", quickTime.String(), "-slots", "100")
	f.add("c", "west", true)
	for _, n := range f.nodes {
		n.extraSettings = map[string]any{"grace": stopGrace.String(), "ready": addresses.Next(), "rule": "static"}
	}
	f.start()
	stopping.declare(fmt.Sprintf(`{"routes": [
  {"name": "slow", "path": "/slow", "service": "slow", "open": true, "idempotent": true, "timeout": %d},
  {"name": "quick", "path": "/quick", "service": "quick", "open": true, "timeout": %d}
]}`, (2 * slowTime).Milliseconds(), quickTimeout.Milliseconds()))
	f.waitUntil("the node has routed a request to the quick target", func() bool {
		return stopping.send("POST", "/quick/first", nil, nil).status == http.StatusOK
	})
	return f, stopping, other
}

// TestStoppingNodeTakesWhatItCannotAnswer guards against a stopping node that passes
// on requests as long as its own target is at work, and breaks them off at its end.
func TestStoppingNodeTakesWhatItCannotAnswer(t *testing.T) {
	f, stopping, other := newStopFleet(t)
	callers := &stopCallers{node: stopping, stop: make(chan struct{})}
	for i := range stopWorkers {
		callers.group.Add(1)
		go callers.run(i)
	}
	var slow sync.WaitGroup
	slow.Go(func() { other.send("GET", "/slow/x", nil, nil) })
	time.Sleep(2 * quickTime)
	signalled := time.Now()
	f.signal(stopping.daemon, syscall.SIGTERM)
	_, err := stopping.daemon.Process.Wait()
	f.Assert(err, qt.IsNil)
	f.Assert(time.Since(signalled) < stopGrace, qt.IsTrue)
	close(callers.stop)
	slow.Wait()
	reached := map[string]bool{}
	for _, r := range other.received() {
		reached[strings.TrimPrefix(r.URL, "/quick/")] = true
	}
	served, refused := 0, 0
	for _, c := range callers.finished(signalled) {
		switch {
		case c.sent < callersGone:
			// Sent before callers had to know: answered whole.
			f.Check(c.reply.status, qt.Equals, http.StatusOK, qt.Commentf("sent %v after the signal: %+v", c.sent, c.reply))
		case c.reply.err == nil && c.reply.status == http.StatusOK:
			served++
		case c.reply.err == nil:
			refused++
			f.Check(c.reply.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("sent %v after the signal: %+v", c.sent, c.reply))
			f.Check(c.reply.header.Get("Primrose-Outcome"), qt.Equals, "notrun")
			f.Check(c.reply.header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("sent %v after the signal: %+v", c.sent, c.reply))
			f.Check(reached[c.id], qt.IsFalse, qt.Commentf("refused as not run, %v after the signal", c.sent))
		default:
			f.Check(reached[c.id], qt.IsFalse, qt.Commentf("sent %v after the signal, cut off %v after it: %v", c.sent, c.ended, c.reply.err))
		}
	}
	f.Check(served > 0, qt.IsTrue, qt.Commentf("no request that could be answered in time was served after %v", callersGone))
	f.Check(refused > 0, qt.IsTrue, qt.Commentf("no caller was told to come back"))
}

// TestStoppingNodeEndsEarlyWhenIdle guards against a stop that lasts the whole grace
// time although nothing is left to answer.
func TestStoppingNodeEndsEarlyWhenIdle(t *testing.T) {
	f, stopping, _ := newStopFleet(t)
	signalled := time.Now()
	f.signal(stopping.daemon, syscall.SIGTERM)
	_, err := stopping.daemon.Process.Wait()
	f.Assert(err, qt.IsNil)
	f.Assert(time.Since(signalled) < stopGrace-time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(signalled)))
	_, err = http.Get("http://" + stopping.listen + "/quick/late")
	f.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
}
