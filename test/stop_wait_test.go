package test

import (
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
	// shortGrace is the grace time of the stopping node.
	shortGrace = 4 * time.Second
	waitSlots  = 8
	// fullRounds is after how many runs of a slot the nodes know how long requests take, and
	// the queues are full.
	fullRounds = 4
	// waitDeadline is the timeout of the route, and answerSlack how much later the answer
	// may arrive.
	waitDeadline = 30 * time.Second
	answerSlack  = 2 * time.Second
)

// newFullFleet starts an entry node, two targets of a slow service, and a node whose callers
// keep these busy. Requests may last longer than the grace time.
func newFullFleet(t *testing.T, serviceTime time.Duration) *fleet {
	f := newFleet(t)
	f.add("entry", "east", true)
	f.add("other", "east", true)
	slow := []string{"-service", "slow", "-time", serviceTime.String(), "-slots", fmt.Sprint(waitSlots)}
	f.add("target1", "east", true, slow...)
	f.add("target2", "west", false, slow...)
	for _, n := range f.nodes {
		n.extraSettings = map[string]any{"grace": shortGrace.String(), "rule": "static", "ready": addresses.Next()}
	}
	f.start()
	f.nodes["entry"].declare(fmt.Sprintf(`{"routes": [{"name": "slow", "path": "/slow", "service": "slow", "open": true, "timeout": %d}]}`, waitDeadline.Milliseconds()))
	for _, name := range []string{"entry", "other"} {
		f.waitUntil("node "+name+" has routed a request", func() bool { return f.nodes[name].send("GET", "/slow/first", nil, nil).status == 200 })
	}
	return f
}

// steadyCallers send requests at a steady pace to some nodes in turn, until stop is closed.
type steadyCallers struct {
	fleet *fleet
	names []string
	pause time.Duration
	stop  chan struct{}

	mu    sync.Mutex
	calls map[string]reply
	group sync.WaitGroup
}

func (s *steadyCallers) run() {
	defer s.group.Done()
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(s.pause):
		}
		s.group.Add(1)
		go s.call(s.names[i%len(s.names)], i)
	}
}

func (s *steadyCallers) call(name string, i int) {
	defer s.group.Done()
	id := fmt.Sprintf("/slow/%s-%d", name, i)
	r, err := http.NewRequest(http.MethodPost, "http://"+s.fleet.nodes[name].listen+id, nil)
	if err != nil {
		panic(err)
	}
	r.Close = true
	got := doRequest(&http.Client{Timeout: waitDeadline + answerSlack}, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[id] = got
}

// ran returns the paths of the requests that a target has received.
func (f *fleet) ran() map[string]bool {
	paths := map[string]bool{}
	for _, name := range f.names {
		for _, r := range f.nodes[name].received() {
			paths[r.URL] = true
		}
	}
	return paths
}

// stopUnderLoad stops a node while half as many requests again are sent as the targets can
// serve, and returns the replies to all callers.
func (f *fleet) stopUnderLoad(serviceTime time.Duration, stopping string, names ...string) map[string]reply {
	pause := serviceTime / (3 * waitSlots)
	callers := &steadyCallers{fleet: f, names: names, pause: pause, stop: make(chan struct{}), calls: map[string]reply{}}
	callers.group.Add(1)
	go callers.run()
	time.Sleep(fullRounds * serviceTime)
	n := f.nodes[stopping]
	f.signal(n.daemon, syscall.SIGTERM)
	_, err := n.daemon.Process.Wait()
	f.Assert(err, qt.IsNil)
	close(callers.stop)
	callers.group.Wait()
	return callers.calls
}

// TestStopCutsRequestsThatWaitForSlots guards against requests that wait for a slot at the
// node of a target when the process of their entry node ends: they have not run, and must
// be answered.
func TestStopCutsRequestsThatWaitForSlots(t *testing.T) {
	t.Parallel()
	const serviceTime = shortGrace / 2
	f := newFullFleet(t, serviceTime)
	calls := f.stopUnderLoad(serviceTime, "entry", "entry", "entry", "other")
	ran := f.ran()
	stopped := 0
	for path, r := range calls {
		switch {
		case r.err != nil && strings.Contains(r.err.Error(), "refused"):
			// Sent when the process had ended.
		case r.err != nil:
			f.Check(ran[path], qt.IsTrue, qt.Commentf("%s was cut off without a run: %v", path, r.err))
		case r.header.Get("Primrose-Reason") == "stop":
			stopped++
			f.Check(r.header.Get("Primrose-Outcome"), qt.Equals, "notrun")
			f.Check(ran[path], qt.IsFalse, qt.Commentf("%s has run", path))
		}
	}
	f.Check(stopped > 0, qt.IsTrue, qt.Commentf("no request was released"))
}

// TestStopOfTargetNodeLosesWaitingRequests guards against requests that wait for a slot of
// the stopping node's own target when its process ends: their entry nodes cannot know that
// they have not run.
func TestStopOfTargetNodeLosesWaitingRequests(t *testing.T) {
	t.Parallel()
	const serviceTime = shortGrace + time.Second
	f := newFullFleet(t, serviceTime)
	calls := f.stopUnderLoad(serviceTime, "target2", "entry", "other")
	ran := f.ran()
	for path, r := range calls {
		f.Check(r.err, qt.IsNil, qt.Commentf("%s", path))
		if r.header.Get("Primrose-Outcome") == "unknown" {
			f.Check(ran[path], qt.IsTrue, qt.Commentf("%s is lost without a run: %d %s", path, r.status, r.body))
		}
	}
}
