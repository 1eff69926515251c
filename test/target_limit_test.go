package test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
)

// The stated bound: from limitSettles after a target first names a limit of N a
// second, no limitWindow holds more than 1.5 N limitWindow + 5 requests from nodes
// that passed on such an answer at least limitKnown earlier. A target that states
// that it leaves gets nothing from leavingDrain after a node passed that on.
const (
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitKnown   = 500 * time.Millisecond
	leavingDrain = 2 * time.Second
)

func limitAllows(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// arrival is a request that reached the target, from a caller of an entry node.
type arrival struct {
	at    time.Time
	entry string
	// sentAt is when the caller sent it.
	sentAt time.Time
}

// limitedTarget is a target whose answers state a limit or that it leaves.
type limitedTarget struct {
	driver      interfaceDriver
	address     string
	server      *http.Server
	serviceTime time.Duration

	mu       sync.Mutex
	limit    string
	leaving  bool
	arrivals []arrival
	// passedOn is when an entry node first passed on an answer that states
	// something.
	passedOn map[string]time.Time
}

// newLimitedTarget starts a target that takes so long for a request.
func newLimitedTarget(t *testing.T, s interfaceDriver, serviceTime time.Duration) *limitedTarget {
	l, err := net.Listen("tcp", addresses.Next())
	qt.Assert(t, err, qt.IsNil)
	n := &limitedTarget{driver: s, address: l.Addr().String(), serviceTime: serviceTime, passedOn: map[string]time.Time{}}
	n.server = &http.Server{Handler: n, ReadHeaderTimeout: time.Second}
	go n.server.Serve(l)
	t.Cleanup(func() { n.server.Close() })
	return n
}

// state sets what later answers state: a limit, if not empty, and leaving.
func (n *limitedTarget) state(limit string, leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit, n.leaving = limit, leaving
	n.passedOn = map[string]time.Time{}
}

// ServeHTTP implements http.Handler.
func (n *limitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sent, _ := strconv.ParseInt(r.URL.Query().Get("sent"), 10, 64)
	n.mu.Lock()
	n.arrivals = append(n.arrivals, arrival{time.Now(), r.URL.Query().Get("entry"), time.Unix(0, sent)})
	n.mu.Unlock()
	time.Sleep(n.serviceTime)
	n.mu.Lock()
	n.driver.answer(w.Header(), r, n.limit, n.leaving)
	if n.limit != "" || n.leaving {
		w.Header().Set("X-Stated", "1")
	}
	n.mu.Unlock()
	io.WriteString(w, "GET /")
}

// excuse forgets that an entry node has passed on a statement, as it was frozen or
// started again.
func (n *limitedTarget) excuse(entry string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.passedOn, entry)
	n.arrivals = slices.DeleteFunc(n.arrivals, func(a arrival) bool { return a.entry == entry })
}

// recordPassedOn records that a caller got an answer that states something.
func (n *limitedTarget) recordPassedOn(entry string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.passedOn[entry]; !ok {
		n.passedOn[entry] = time.Now()
	}
}

// counted returns the times of the arrivals from nodes that had passed on a statement
// so long before.
func (n *limitedTarget) counted(age time.Duration, timeOf func(arrival) time.Time) []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []time.Time
	for _, a := range n.arrivals {
		if told, ok := n.passedOn[a.entry]; ok && timeOf(a).Sub(told) >= age {
			list = append(list, a.at)
		}
	}
	return list
}

// arrivedTimes returns the times of all arrivals.
func (n *limitedTarget) arrivedTimes() []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []time.Time
	for _, a := range n.arrivals {
		list = append(list, a.at)
	}
	return list
}

// countBetween returns the number of times in a half-open interval.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			count++
		}
	}
	return count
}

// mostInWindow returns the highest number of arrivals in a window that begins at or
// after a time. The arrivals are in order.
func mostInWindow(times []time.Time, from time.Time, window time.Duration) int {
	most := 0
	for _, start := range times {
		if !start.Before(from) {
			most = max(most, countBetween(times, start, start.Add(window)))
		}
	}
	return most
}

// callersSeed seeds the times between requests.
const callersSeed = 20261205

// callers sends requests at a constant mean rate to one entry node.
type callers struct {
	driver interfaceDriver
	target *limitedTarget
	entry  *configurer.Settings
	rate   float64
	ended  chan struct{}
	client *http.Client
	done   sync.WaitGroup
}

func newCallers(s interfaceDriver, target *limitedTarget, entry *configurer.Settings, rate float64, ended chan struct{}) *callers {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return &callers{driver: s, target: target, entry: entry, rate: rate, ended: ended, client: client}
}

// run sends requests until ended is closed, and waits for their answers.
func (c *callers) run() {
	random := rand.New(rand.NewPCG(callersSeed, xxhash.Sum64String(c.entry.Instance)))
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second))):
			c.done.Add(1)
			go c.runOne()
		}
	}
}

// runOne sends one request.
func (c *callers) runOne() {
	defer c.done.Done()
	r := c.driver.request(c.entry, fmt.Sprintf("/open/x?entry=%s&sent=%d", c.entry.Instance, time.Now().UnixNano()), "")
	response, err := c.client.Do(r)
	if err != nil {
		return
	}
	if response.Header.Get("X-Stated") != "" {
		c.target.recordPassedOn(c.entry.Instance)
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// announcer renews the announcement of the target, also while its node is down.
type targetAnnouncer struct {
	fleet  *interfaceFleet
	driver interfaceDriver
	ended  chan struct{}
}

func (a *targetAnnouncer) run() {
	for {
		if response, err := http.DefaultClient.Do(a.driver.announcement(a.fleet, false)); err == nil {
			response.Body.Close()
		}
		select {
		case <-a.ended:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// entryCount is the number of entry nodes.
const entryCount = 4

// limitedFleet is a replica, the node beside a limited target, and entry nodes.
type limitedFleet struct {
	*interfaceFleet
	driver  interfaceDriver
	target  *limitedTarget
	entries []*configurer.Settings
	callers []*callers
}

// newLimitedFleet starts the fleet and waits until every entry node serves. Half of the
// entry nodes are in another data centre.
func newLimitedFleet(t *testing.T, s interfaceDriver, serviceTime time.Duration) *limitedFleet {
	target := newLimitedTarget(t, s, serviceTime)
	f := &limitedFleet{interfaceFleet: newInterfaceFleet(t, s, target.address), driver: s, target: target}
	for i := range entryCount {
		e, cancel := f.startEntry(t, i)
		f.entries = append(f.entries, e)
		// Cleanups run in reverse order: all entry nodes begin to stop before the
		// first of them is waited for.
		defer t.Cleanup(cancel)
	}
	s.declare(t, f.interfaceFleet)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go (&targetAnnouncer{f.interfaceFleet, s, ended}).run()
	for _, e := range f.entries {
		f.sendUntil(t, func() *http.Request { return s.request(e, "/open/x", "") }, hasStatus(http.StatusOK))
	}
	return f
}

// load starts callers that together send so many requests a second. The function that
// it returns ends them.
func (f *limitedFleet) load(rate float64) (end func()) {
	ended := make(chan struct{})
	f.callers = nil
	for _, e := range f.entries {
		c := newCallers(f.driver, f.target, e, rate/float64(len(f.entries)), ended)
		f.callers = append(f.callers, c)
		go c.run()
	}
	return func() {
		close(ended)
		for _, c := range f.callers {
			c.done.Wait()
		}
	}
}

func forBothInterfaces(t *testing.T, test func(t *testing.T, s interfaceDriver)) {
	for name, s := range map[string]interfaceDriver{"native": nativeDriver{}, "platform": platformDriver{}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, s)
		})
	}
}

// TestTargetGetsMoreThanItsLimit guards against a target that gets more requests than
// the limit that it names, from several entry nodes together. At least 0.8 of the limit
// must be used, and when it has ended, the target gets what is sent.
func TestTargetGetsMoreThanItsLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		limit string
		rate  float64
		load  float64
	}{{"0", 0, 40}, {"0.5", 0.5, 40}, {"10", 10, 100}, {"100", 100, 300}} {
		t.Run(c.limit, func(t *testing.T) {
			t.Parallel()
			forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
				f := newLimitedFleet(t, s, 10*time.Millisecond)
				end := f.load(c.load)
				f.target.state(c.limit, false)
				named := time.Now()
				time.Sleep(limitSettles + 2*limitWindow)
				got := mostInWindow(f.target.counted(limitKnown, arrivedAt), named.Add(limitSettles), limitWindow)
				qt.Check(t, got <= limitAllows(c.rate), qt.IsTrue, qt.Commentf("got %d in %v, allowed %d", got, limitWindow, limitAllows(c.rate)))
				used := countBetween(f.target.arrivedTimes(), named.Add(limitSettles), time.Now())
				qt.Check(t, float64(used) >= 0.8*c.rate*(2*limitWindow).Seconds(), qt.IsTrue, qt.Commentf("%d in %v", used, 2*limitWindow))
				f.target.state("", false)
				// A limit of 0 ends only with the answer to a trial.
				time.Sleep(limitWindow + limitSettles)
				ended := time.Now()
				time.Sleep(time.Second)
				end()
				after := countBetween(f.target.arrivedTimes(), ended, ended.Add(time.Second))
				qt.Check(t, float64(after) >= 0.6*c.load, qt.IsTrue, qt.Commentf("%d in the second after the limit, %v were sent", after, c.load))
			})
		})
	}
}

func arrivedAt(a arrival) time.Time { return a.at }
func sentAt(a arrival) time.Time    { return a.sentAt }

// TestRestartedNodeForgetsLimit guards against a target that gets more than its limit
// after the node beside it has started again and has forgotten the limit: many requests
// may begin before the first answer names it again.
func TestRestartedNodeForgetsLimit(t *testing.T) {
	t.Parallel()
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		f := newLimitedFleet(t, s, 400*time.Millisecond)
		end := f.load(200)
		f.target.state("1", false)
		named := time.Now()
		time.Sleep(limitSettles)
		f.restartNode(t)
		time.Sleep(2 * limitWindow)
		end()
		got := mostInWindow(f.target.counted(limitKnown, arrivedAt), named.Add(limitSettles), limitWindow)
		qt.Check(t, got <= limitAllows(1), qt.IsTrue, qt.Commentf("got %d in %v, allowed %d", got, limitWindow, limitAllows(1)))
		qt.Check(t, got > 0, qt.IsTrue)
	})
}

// TestLateReportEndsLimit guards against a target that gets more than its limit when the
// report of its newer life arrives late: its answers have named the limit all the time,
// and many requests may begin before the first answer under the new life's name.
func TestLateReportEndsLimit(t *testing.T) {
	t.Parallel()
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		f := newLimitedFleet(t, s, 400*time.Millisecond)
		end := f.load(200)
		f.target.state("1", false)
		named := time.Now()
		time.Sleep(limitSettles + time.Second)
		f.starts.Add(1)
		time.Sleep(limitWindow)
		end()
		got := mostInWindow(f.target.counted(limitKnown, arrivedAt), named.Add(limitSettles), limitWindow)
		qt.Check(t, got <= limitAllows(1), qt.IsTrue, qt.Commentf("got %d in %v, allowed %d", got, limitWindow, limitAllows(1)))
		qt.Check(t, got > 0, qt.IsTrue)
	})
}

// TestLeavingTargetGetsRequests guards against requests to a target whose answers
// state that it leaves, while its reports still say that it is ready, also when the
// node beside it starts again. The next life of the target is used again.
func TestLeavingTargetGetsRequests(t *testing.T) {
	t.Parallel()
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		f := newLimitedFleet(t, s, 10*time.Millisecond)
		end := f.load(100)
		f.target.state("", true)
		time.Sleep(leavingDrain)
		f.restartNode(t)
		time.Sleep(leavingDrain + time.Second)
		got := len(f.target.counted(leavingDrain, sentAt))
		end()
		qt.Check(t, got, qt.Equals, 0)
		f.target.state("", false)
		f.starts.Add(1)
		for _, e := range f.entries {
			f.sendUntil(t, func() *http.Request { return s.request(e, "/open/x", "") }, hasStatus(http.StatusOK))
		}
	})
}
