package test

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChainsShedAtTheEntry overloads a service that is reached by calls only, on nodes
// with the settings shedding and waiting. Its levels and costs must reach the entry node through the
// node of the calling target: the entry node refuses root requests, names the measured
// cost, and two seconds after the overload serves all.
func TestChainsShedAtTheEntry(t *testing.T) {
	f := newFleet(t)
	front := f.add("front", "east", true, "-service", "front", "-slots", "100", "-time", "1ms", "-next", "/back")
	back := f.add("back", "east", false, "-service", "back", "-slots", "4", "-time", "50ms")
	for _, n := range []*node{front, back} {
		n.extraSettings = map[string]any{"shedding": "chains", "waiting": "objective"}
	}
	f.start()
	front.declare(`{
  "centres": {"east": {"witnesses": ["front"]}},
  "teams": {},
  "routes": [
    {"name": "front", "path": "/front", "service": "front", "open": true, "objective": 1000},
    {"name": "back", "path": "/back", "service": "back", "open": true}
  ]
}`)
	served := func() bool { return front.send("GET", "/front", nil, nil).status == http.StatusOK }
	f.waitUntil("the front is served", served)
	var callers sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for range 24 {
		callers.Go(func() {
			for time.Now().Before(end) {
				if !served() {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	log, err := os.ReadFile(f.path("front.log"))
	f.Assert(err, qt.IsNil)
	refused, withCost := 0, 0
	for _, line := range strings.Split(string(log), "\n") {
		if strings.Contains(line, "msg=refuse") && strings.Contains(line, "cause=overload") {
			refused++
			if !strings.Contains(line, " cost=0s") {
				withCost++
			}
		}
	}
	f.Assert(refused > 0, qt.IsTrue)
	// A level may come with the answer to a request whose call was rejected, which has
	// cost nothing, before the first cost is known.
	f.Assert(withCost > refused/2, qt.IsTrue, qt.Commentf("%d of %d", withCost, refused))
	f.Assert(front.metric("refused_shed") >= float64(refused), qt.IsTrue)
	time.Sleep(2 * time.Second)
	for range 20 {
		f.Assert(served(), qt.IsTrue)
	}
}
