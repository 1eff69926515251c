package test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/faulter"
)

const bookingDeclaration = `{
  "centres": {"east": {"witnesses": ["a", "b", "c"]}},
  "teams": {"acme": {"keys": [], "rate": 100000, "burst": 100000}},
  "routes": [{"name": "book", "path": "/book", "service": "book", "important": true, "timeout": 3000}]
}`

// newBookingFleet starts three replicas; the only target is at node b.
func newBookingFleet(t *testing.T, options ...string) (*fleet, string) {
	f := newFleet(t)
	f.add("a", "east", true)
	f.add("b", "east", true, append([]string{"-service", "book"}, options...)...)
	f.add("c", "east", true)
	f.start()
	a := f.nodes["a"]
	a.declare(bookingDeclaration)
	key, _ := a.issueKey("acme")
	for _, n := range f.nodes {
		f.waitForTokens(n, "/book/warm", key)
	}
	return f, key
}

// runs counts the requests with an idempotency key that the target has recorded.
func (n *node) runs(id string) int {
	count := 0
	for _, s := range n.received() {
		if s.Header.Get("Idempotency-Key") == id {
			count++
		}
	}
	return count
}

// sendBooking sends a booking with an idempotency key.
func (n *node) sendBooking(key, id string) reply {
	header := bearerHeader(key)
	header["Idempotency-Key"] = id
	client := &http.Client{Timeout: 10 * time.Second}
	r, err := http.NewRequest("POST", "http://"+n.listen+"/book/truck", strings.NewReader("truck 7"))
	n.fleet.Assert(err, qt.IsNil)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	r.Close = true
	return doRequest(client, r)
}

// TestOnceUnderFaults kills or freezes the entry node, the target's node or a
// replica at each step of a booking, while the caller retries on other nodes
// until it gets a definite answer. The target's record shows whether the booking
// ran more than once.
func TestOnceUnderFaults(t *testing.T) {
	pointsByNode := map[string][]faulter.Point{
		"a": {faulter.EntryClaiming, faulter.EntryClaimed, faulter.EntryAnswered, faulter.EntrySettled},
		"b": {faulter.HopReceived, faulter.HopDelivering, faulter.HopAnswered},
		"c": {faulter.ClaimSyncing, faulter.ClaimSynced, faulter.SettleSynced},
	}
	for name, points := range pointsByNode {
		for _, point := range points {
			for _, fault := range []string{"kill", "freeze"} {
				t.Run(fmt.Sprint(point, "-", fault), func(t *testing.T) {
					t.Parallel()
					checkFault(t, name, point, fault)
				})
			}
		}
	}
}

func checkFault(t *testing.T, name string, point faulter.Point, fault string) {
	f, key := newBookingFleet(t)
	a, b := f.nodes["a"], f.nodes["b"]
	faulty := f.nodes[name]
	f.kill(faulty.daemon)
	faulty.fault = fmt.Sprint(point, "=", fault)
	faulty.startDaemon()
	f.waitUntil("the faulty node and the entry node serve again", func() bool {
		return faulty.send("GET", "/book/warm", nil, bearerHeader(key)).status == 200 && a.send("GET", "/book/warm", nil, bearerHeader(key)).status == 200
	})
	f.armFault()
	id := "booking-1"
	answers := []reply{a.sendBooking(key, id)}
	if fault == "freeze" {
		f.signal(faulty.daemon, syscall.SIGCONT)
	} else if faulty.exited() {
		faulty.startDaemon()
	}
	order := []*node{f.nodes["c"], b, a}
	end := time.Now().Add(waitTimeout)
	for i := 0; time.Now().Before(end); i++ {
		got := order[i%3].sendBooking(key, id)
		answers = append(answers, got)
		if got.status == 200 || strings.Contains(got.body, `"outcome":"unknown"`) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	checkAtMostOnce(t, b, id, answers)
}

// exited reports whether the daemon was killed. It waits up to 0.5 s for the
// process to exit.
func (n *node) exited() bool {
	for range 50 {
		if n.metric("version") < 0 {
			_, _ = n.daemon.Process.Wait()
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// checkAtMostOnce compares the answers that callers received with the target's
// record: the booking ran at most once, it did run if a caller was served, and it
// did not if every answer says so.
func checkAtMostOnce(t *testing.T, target *node, id string, answers []reply) {
	runs := target.runs(id)
	comment := qt.Commentf("runs %d, answers %+v", runs, answers)
	qt.Assert(t, runs <= 1, qt.IsTrue, comment)
	served, unknown := 0, 0
	for _, got := range answers {
		switch {
		case got.status == 200:
			served++
		case got.err != nil || !strings.Contains(got.body, `"outcome":"notrun"`):
			unknown++
		}
	}
	if served > 0 {
		qt.Assert(t, runs, qt.Equals, 1, comment)
	}
	if unknown == 0 && served == 0 {
		qt.Assert(t, runs, qt.Equals, 0, comment)
	}
	qt.Assert(t, served+unknown > 0, qt.IsTrue, comment)
}

// TestOnceOverManySenders sends each booking through all nodes at once.
func TestOnceOverManySenders(t *testing.T) {
	f, key := newBookingFleet(t)
	b := f.nodes["b"]
	for i := range 20 {
		id := fmt.Sprint("race-", i)
		done := make(chan reply, 9)
		for n := range cap(done) {
			s := &sender{node: f.nodes[f.names[n%3]], key: key, id: id, done: done}
			go s.run()
		}
		var answers []reply
		for range cap(done) {
			answers = append(answers, <-done)
		}
		answers = append(answers, f.nodes["c"].sendBooking(key, id))
		checkAtMostOnce(t, b, id, answers)
	}
}

type sender struct {
	node    *node
	key, id string
	done    chan reply
}

func (s *sender) run() { s.done <- s.node.sendBooking(s.key, s.id) }

// TestTransportDoesNotResend uses a target that closes every third connection
// without a response. Go's HTTP transport would resend such requests on its own.
// The target must receive each of them at most once, except that idempotent
// requests may be retried as often as the route allows.
func TestTransportDoesNotResend(t *testing.T) {
	f, key := newBookingFleet(t, "-drop", "3")
	a, b := f.nodes["a"], f.nodes["b"]
	for i := range 30 {
		id := fmt.Sprint("drop-", i)
		header := bearerHeader(key)
		header["Idempotency-Key"] = id
		answers := []reply{a.send("POST", "/book/empty", nil, header)}
		checkAtMostOnce(t, b, id, answers)
		header["X-Idempotency-Key"] = id
		answers = append(answers, a.send("DELETE", "/book/empty", nil, header))
		checkAtMostOnce(t, b, id, answers)
	}
	for i := range 30 {
		a.send("GET", fmt.Sprintf("/book/lookup%d", i), nil, bearerHeader(key))
	}
	received := map[string]int{}
	for _, s := range b.received() {
		if strings.HasPrefix(s.URL, "/book/lookup") {
			received[s.URL]++
		}
	}
	for url, count := range received {
		f.Assert(count <= 1+3, qt.IsTrue, qt.Commentf("%s %d", url, count))
	}
}
