package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// extraOneIn is after how many answers of a faulty server additional bytes follow: one
	// in forty, 2.5 in a hundred.
	extraOneIn = 40
	// spoilFrom is when the server begins to be faulty, spoilFor how long it is.
	spoilFrom = 5 * time.Second
	spoilFor  = 5 * time.Second
	// bookingCount is how many bookings are sent, one every bookingInterval.
	bookingCount    = 800
	bookingInterval = 17 * time.Millisecond
	// bookingWork is how long a booking takes at the servers of "bookings".
	bookingWork = 300 * time.Millisecond
)

// extraBytes are the additional bytes. They begin like an answer and name no request.
var extraBytes = "HTTP/1.1 503 Service Unavailable\r\n" + names.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// playExtra sends bookings to two servers of which one is faulty: after some of its complete
// answers it sends additional bytes, at the point where the next answer is expected. It
// checks that no booking runs twice.
func playExtra(f *fleet, trouble bool) bool {
	f.build("desk", "bookings", "bookings")
	quick := func(*http.Request) time.Duration { return 10 * time.Millisecond }
	work := func(*http.Request) time.Duration { return bookingWork }
	f.nodes[0].startServer("i-desk-1", 20, quick)
	faulty := f.nodes[1].startServer("i-bookings-1", 20, work)
	sound := f.nodes[2].startServer("i-bookings-2", 20, work)
	var answers, spoilt atomic.Int64
	var began time.Time
	faulty.afterRead = func(c net.Conn, r *http.Request, count int) {
		now := time.Since(began)
		if !trouble || now < spoilFrom || now > spoilFrom+spoilFor || count == 1 || answers.Add(1)%extraOneIn != 0 {
			return
		}
		spoilt.Add(1)
		f.record.add("%s: sends additional bytes after the last answer on this connection, while %s runs", faulty.id, r.Header.Get("Request-Id"))
		// A write error means that the node has closed the connection.
		_, _ = c.Write([]byte(extraBytes))
	}
	f.declare(map[string]route{
		"r-bookings": {Host: "bookings.example", Path: "/book/", Kind: "non_idempotent", Timeout: "5000ms", Target: "2000ms", Service: "bookings", Attempts: 2, Public: true},
	})
	f.waitReady()
	time.Sleep(3 * time.Second)
	c := &clients{fleet: f}
	began = time.Now()
	for range bookingCount {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			c.send(f.nodes[0], "POST", "bookings.example", "/book/one", 5*time.Second)
		}()
		time.Sleep(bookingInterval)
	}
	c.group.Wait()
	time.Sleep(time.Second)
	runs := map[string][]execution{}
	for _, s := range []*server{faulty, sound} {
		for _, e := range s.executions() {
			if !e.began.IsZero() {
				runs[e.id] = append(runs[e.id], e)
			}
		}
	}
	twice, denied, answered := 0, 0, 0
	for _, a := range c.all() {
		if len(runs[a.id]) > 1 {
			twice++
			f.record.add("rule: %s, which is not idempotent, ran %d times: at %s and at %s; its client got %d", a.id, len(runs[a.id]), runs[a.id][0].server, runs[a.id][1].server, a.status)
		}
		if len(runs[a.id]) > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			denied++
			f.record.add("also: %s ran, and its client got %d", a.id, a.status)
		}
		if a.status == http.StatusOK {
			answered++
		}
	}
	f.record.add("%d requests sent, %d answered with 200, additional bytes %d times, %d ran twice, %d ran and were answered as not run", len(c.all()), answered, spoilt.Load(), twice, denied)
	if answered == 0 {
		panic("nothing was served")
	}
	return twice > 0
}
