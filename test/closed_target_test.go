package test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// closedSlots is how many requests the leaving target runs at once, and closedTime how
	// long each takes.
	closedSlots = 2
	closedTime  = 1500 * time.Millisecond
	// closedRounds is after how many runs of a slot the node lets requests wait for longer
	// than they wait here.
	closedRounds = 5
	// closedWait is how long the slots are taken when further requests come.
	closedWait = 850 * time.Millisecond
	// departAfter is how long these wait when the target reports that it leaves.
	departAfter = 100 * time.Millisecond
)

// slowTarget runs few requests at a time.
type slowTarget struct {
	address string

	mu      sync.Mutex
	arrived []time.Time
}

func newSlowTarget(t *testing.T) *slowTarget {
	target := &slowTarget{address: addresses.Next()}
	serveTarget(t, target.address, target)
	return target
}

// ServeHTTP implements http.Handler.
func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	s.mu.Unlock()
	time.Sleep(closedTime)
	platformDriver{}.answer(w.Header(), r, "", false)
}

// arrivedTimes returns when requests have arrived.
func (s *slowTarget) arrivedTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrived...)
}

// report sends a report of a target with few slots.
func (s *slowTarget) report(t *testing.T, f *interfaceFleet, leaving bool) {
	r := platformDriver{}.announcement(f, leaving)
	body, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	few := strings.Replace(string(body), `"slots":100`, `"slots":2`, 1)
	qt.Assert(t, few, qt.Contains, `"slots":2`)
	r, err = http.NewRequest(http.MethodPost, r.URL.String(), strings.NewReader(few))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
}

// TestClosedTargetGetsWaitingRequests guards against requests that wait for a slot of a
// target when its departure is acknowledged, and reach it after the drain time. They are
// answered at once, as not run.
func TestClosedTargetGetsWaitingRequests(t *testing.T) {
	t.Parallel()
	target := newSlowTarget(t)
	f := newInterfaceFleet(t, platformDriver{}, target.address)
	platformDriver{}.declare(t, f)
	send := func() reply {
		return doRequest(&http.Client{Timeout: waitTimeout}, platformDriver{}.request(f.node, "/open/x", ""))
	}
	f.sendUntil(t, func() *http.Request {
		target.report(t, f, false)
		return platformDriver{}.request(f.node, "/open/x", "")
	}, hasStatus(http.StatusOK))
	var group sync.WaitGroup
	for range closedRounds {
		for range closedSlots {
			group.Go(func() { send() })
		}
		group.Wait()
		target.report(t, f, false)
	}
	for range closedSlots {
		group.Go(func() { qt.Check(t, send().status, qt.Equals, http.StatusOK) })
	}
	time.Sleep(closedWait)
	for range closedSlots {
		group.Go(func() {
			began := time.Now()
			r := send()
			qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%v", r))
			qt.Check(t, time.Since(began) < closedTime-closedWait, qt.IsTrue, qt.Commentf("answered after %v", time.Since(began)))
		})
	}
	time.Sleep(departAfter)
	target.report(t, f, true)
	acknowledged := time.Now()
	group.Wait()
	late := countBetween(target.arrivedTimes(), acknowledged.Add(f.node.Drain.Duration), time.Now())
	qt.Check(t, late, qt.Equals, 0)
}
