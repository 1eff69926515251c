package test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drainBound is the time after the acknowledgement of an order from which it binds all
// nodes.
const drainBound = 5 * time.Second

// newDrainFleet starts three replicas and a target in each of two data centres. The
// node of the target in west, which will be drained, keeps nothing on disk.
func newDrainFleet(t *testing.T) (f *fleet, east, west *node) {
	f = newFleet(t)
	east = f.add("a", "east", true, "-service", "back")
	west = f.add("b", "west", false, "-service", "back")
	f.add("c", "east", true)
	f.add("d", "west", true)
	f.start()
	east.declare(`{"centres": {"east": {"witnesses": ["a"]}}, "teams": {}, "routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]}`)
	return f, east, west
}

// requestsPerNode is how many requests servedBy sends to each node.
const requestsPerNode = 20

// servedBy sends requests to each node, which must all be answered with 200, and returns
// how many of them the targets of nodes got.
func (f *fleet) servedBy(nodes ...*node) []int {
	var counts []int
	for _, n := range nodes {
		counts = append(counts, -len(n.received()))
	}
	for _, name := range f.names {
		for range requestsPerNode {
			f.Assert(f.nodes[name].send("GET", "/open", nil, nil).status, qt.Equals, http.StatusOK)
		}
	}
	for i, n := range nodes {
		counts[i] += len(n.received())
	}
	return counts
}

// waitServed waits until each node has served a request.
func (f *fleet) waitServed() {
	f.waitUntil("each node serves", func() bool {
		for _, name := range f.names {
			if f.nodes[name].send("GET", "/open", nil, nil).status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// order makes an order through a node and checks that it is accepted.
func (n *node) order(verb, centre string) {
	out, code := n.primrose("drain", verb, centre)
	n.fleet.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	out, code = n.primrose("confirm", planID(out))
	n.fleet.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
}

// TestDrainOutlivesPowerLoss guards against an acknowledged order that does not bind a
// node, also one in the drained data centre, and against one that is lost when all
// processes are killed.
func TestDrainOutlivesPowerLoss(t *testing.T) {
	f, east, west := newDrainFleet(t)
	f.waitServed()
	f.waitUntil("the target in west is used", func() bool { return f.servedBy(west)[0] > 0 })
	east.order("begin", "west")
	time.Sleep(drainBound)
	qt.Check(t, f.servedBy(west, east), qt.DeepEquals, []int{0, requestsPerNode * len(f.names)})
	out, _ := west.primrose("status")
	qt.Check(t, strings.Contains(out, "centre west is drained since"), qt.IsTrue, qt.Commentf("%s", out))
	out, _ = west.primrose("audit")
	qt.Check(t, strings.Contains(out, "~ centre west: drained"), qt.IsTrue, qt.Commentf("%s", out))

	before := len(west.received())
	for _, name := range f.names {
		f.kill(f.nodes[name].daemon)
		if f.nodes[name].targetProcess != nil {
			f.kill(f.nodes[name].targetProcess)
		}
	}
	f.start()
	f.waitServed()
	f.servedBy()
	qt.Check(t, len(west.received()), qt.Equals, before)

	west.order("end", "west")
	f.waitUntil("the target in west is used again", func() bool { return f.servedBy(west)[0] > 0 })
}

// orderUntilFinal repeats an order while it is answered with 503, which does not say
// whether it was made, and returns the final status.
func orderUntilFinal(t *testing.T, s interfaceDriver, f *interfaceFleet, centre string, begin bool) int {
	status := http.StatusServiceUnavailable
	for end := time.Now().Add(waitTimeout); status == http.StatusServiceUnavailable && time.Now().Before(end); {
		status = s.drain(t, f.replica, centre, begin)
	}
	return status
}

// TestDrainOrders guards, through both interfaces, against an order that binds only
// other nodes' targets, against callers that wait although no target is left, and
// against orders for unknown data centres.
func TestDrainOrders(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		target := newEchoTarget(t)
		f := newInterfaceFleet(t, s, target.address)
		s.declare(t, f)
		// Without the announcement the target would be forgotten within seconds.
		request := func() *http.Request {
			f.announce(t, s, false)
			return s.request(f.node, "/open/x", "")
		}
		refused := func(got int, body string) bool {
			return got == http.StatusServiceUnavailable && strings.Contains(body, "drained")
		}
		f.sendUntil(t, request, hasStatus(http.StatusOK))
		qt.Check(t, orderUntilFinal(t, s, f, "nowhere", true), qt.Equals, http.StatusUnprocessableEntity)
		for range 2 {
			qt.Assert(t, orderUntilFinal(t, s, f, "here", true), qt.Equals, http.StatusOK)
		}
		f.sendUntil(t, request, refused)
		served := target.requests.Load()
		for range 20 {
			response, err := http.DefaultClient.Do(request())
			qt.Assert(t, err, qt.IsNil)
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			qt.Check(t, refused(response.StatusCode, string(body)), qt.IsTrue, qt.Commentf("%s", body))
			qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		qt.Check(t, target.requests.Load(), qt.Equals, served)
		for range 2 {
			qt.Assert(t, orderUntilFinal(t, s, f, "here", false), qt.Equals, http.StatusOK)
		}
		f.sendUntil(t, request, hasStatus(http.StatusOK))
	})
}
