package main

import (
	"fmt"
	"sync"
	"time"
)

// bookTimeout is the timeout of the route for bookings.
const bookTimeout = 1500 * time.Millisecond

// playStop stops a node in turn (SIGTERM) while its server is at work on a long
// request, and looks for requests of clients that the node reads, passes on and then
// breaks off.
func playStop(p *platform, trouble bool) (result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		p.add("core-"+zone, zone, "")
	}
	tracker := p.add("node-a", "a", "tracker")
	bookings := []*machine{p.add("node-b", "b", "bookings"), p.add("node-c", "c", "bookings")}
	collected := &runs{}
	for i, m := range append([]*machine{tracker}, bookings...) {
		if err := newServer(m, collected, fmt.Sprintf("i-%d", i+1)).start(); err != nil {
			return result{}, err
		}
	}
	err := p.startAll(manifest(1, []string{"tracker", "bookings"},
		[4]string{"status", "idempotent", "tracker", "5000ms"}, [4]string{"book", "non_idempotent", "bookings", "1500ms"}))
	if err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	sent := &calls{}
	stopAt := time.Now().Add(boundStabilityWindow + 2*time.Second)
	end := stopAt.Add(boundGrace + 4*time.Second)
	var group sync.WaitGroup
	// Status requests from the other machines. They take most of their route's timeout.
	for i := range 24 {
		group.Go(func() {
			c := &client{via: bookings[i%2], calls: sent}
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			for time.Now().Before(end) {
				c.sendAndWait("status", "GET", "/status/4900/x", "", 10*time.Second)
			}
		})
	}
	// Bookings from the clients on the machine. Its zone has no other node, so they go
	// on sending when its readiness checks fail.
	for i := range 16 {
		group.Go(func() {
			c := &client{via: tracker, calls: sent}
			time.Sleep(time.Duration(i) * 88 * time.Millisecond)
			for time.Now().Before(end) {
				c.sendAndWait("book", "POST", "/book/1400/x", "one booking", 5*time.Second)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	stopped := time.Now()
	if trouble {
		if err := tracker.stopAndRestart(); err != nil {
			return result{}, err
		}
	}
	group.Wait()
	return judgeStop(p, tracker, sent, collected, stopped), nil
}

// judgeStop counts the requests that count as LOST around a SIGTERM at stopped.
func judgeStop(p *platform, stoppedNode *machine, sent *calls, collected *runs, stopped time.Time) result {
	lost, total := 0, 0
	for _, x := range sent.all() {
		if x.via != stoppedNode || x.written.Before(stopped) || x.written.After(stopped.Add(boundGrace+time.Second)) {
			continue
		}
		total++
		found := collected.byID(x.id)
		if !x.cut || len(found) == 0 || x.ended.Sub(x.written) >= bookTimeout {
			continue
		}
		lastSixth := stopped.Add(boundGrace * 5 / 6)
		r := found[0]
		excused := !x.written.After(stopped.Add(3*time.Second)) && (r.ended.IsZero() || r.ended.After(lastSixth))
		p.record.printf("judge: %s sent %.3f s after SIGTERM, cut %.3f s after it, run by %s, excused %t", x.id, x.written.Sub(stopped).Seconds(), x.ended.Sub(stopped).Seconds(), r.server, excused)
		if !excused {
			lost++
		}
	}
	return result{broken: lost > 0, text: fmt.Sprintf("%d of %d requests sent after SIGTERM were passed on to a server and cut off without an answer", lost, total)}
}
