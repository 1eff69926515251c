package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// reportDelay is how late a status report arrives that the server sent in state ready
	// before it left.
	reportDelay = 2500 * time.Millisecond
	// restartDelay is how long the processes are gone.
	restartDelay = 900 * time.Millisecond
	// touchWindow is the time after the start of the processes from which machines are in
	// touch: twice stability_window, after a final fault that took most of the core.
	touchWindow = 6 * time.Second
	// longService is how long the server serves after its departure was confirmed.
	longService = 10 * time.Second
)

// playForget ends all processes right after the departure of a server was confirmed, and
// checks that it gets no requests later than the drain bound, from machines in touch. One
// of its status reports is late.
func playForget(f *fleet, trouble bool) bool {
	f.build("desk", "desk", "bookings", "bookings")
	quick := func(*http.Request) time.Duration { return 10 * time.Millisecond }
	work := func(*http.Request) time.Duration { return 300 * time.Millisecond }
	f.nodes[0].startServer("i-desk-1", 20, quick)
	f.nodes[1].startServer("i-desk-2", 20, quick)
	f.nodes[2].startServer("i-bookings-1", 20, work)
	leaving := f.nodes[3].startServer("i-bookings-2", 20, work)
	f.declare(map[string]route{
		"r-bookings": {Host: "bookings.example", Path: "/book/", Kind: "non_idempotent", Timeout: "5000ms", Target: "2000ms", Service: "bookings", Attempts: 2, Public: true},
	})
	f.waitReady()
	time.Sleep(3 * time.Second)
	c := &clients{fleet: f}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.send(f.nodes[i%2], "POST", "bookings.example", "/book/one", 5*time.Second)
			}()
		}
	}()
	time.Sleep(5 * time.Second)
	late := leaving.nextReport()
	time.Sleep(100 * time.Millisecond)
	confirmed := leaving.depart()
	restarted := confirmed
	if trouble {
		for _, m := range f.machines() {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines() {
			<-m.exited
		}
		time.Sleep(restartDelay)
		for _, m := range f.machines() {
			m.writeSettings(false)
			m.start()
		}
		restarted = time.Now()
		f.record.add("platform: all processes have started again")
	}
	time.Sleep(time.Until(confirmed.Add(reportDelay)))
	f.record.add("%s: a status report of before its departure arrives, answer %d", leaving.id, leaving.post(names.Heartbeat, late))
	time.Sleep(time.Until(confirmed.Add(longService)))
	leaving.end()
	time.Sleep(time.Second)
	close(stop)
	<-done
	c.group.Wait()
	counted, lost, answered := 0, 0, 0
	inTouch := restarted.Add(touchWindow)
	sent := map[string]time.Time{}
	for _, a := range c.all() {
		sent[a.id] = a.sent
	}
	for _, e := range leaving.executions() {
		if e.arrived.Before(confirmed.Add(drainBound+drainSlack)) || trouble && sent[e.id].Before(inTouch) {
			continue
		}
		counted++
		f.record.add("rule: request %s reached %s %.3f s after the confirmation, all machines in touch", e.id, leaving.id, e.arrived.Sub(confirmed).Seconds())
		if e.end.IsZero() {
			lost++
		}
	}
	for _, a := range c.all() {
		if a.status == http.StatusOK {
			answered++
		}
	}
	f.record.add("%d requests sent, %d answered with 200, %d reached the leaving server too late, %d of these were lost with it", len(c.all()), answered, counted, lost)
	if answered == 0 {
		panic("nothing was served")
	}
	return counted > 0
}
