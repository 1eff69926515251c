package main

import (
	"net/http"
	"time"
)

const (
	// fullSlots is how many uploads the server runs at once, fullQueue how many wait there.
	fullSlots = 40
	fullQueue = 6
	// newConnectionHold is how long a new connection holds a slot.
	newConnectionHold = 20 * time.Millisecond
	// photoTimeout is that of the route, photoLimit the time limit of the clients.
	photoTimeout = 3 * time.Second
	photoLimit   = 8 * time.Second
	// answerSlack is how much later than the timeout an answer may come.
	answerSlack = 500 * time.Millisecond
	// minUnanswered is how many requests without an answer break the rule.
	minUnanswered = 8
)

// playFull sends uploads to a server of a service that never answers what it cannot queue,
// on a route that states no objective, and checks that each gets a final answer soon after
// the timeout of its route.
func playFull(f *fleet, trouble bool) bool {
	f.build("desk", "intake")
	f.nodes[0].startServer("i-desk-1", 20, func(*http.Request) time.Duration { return 10 * time.Millisecond })
	s := f.nodes[1].startServer("i-intake-1", fullSlots, func(*http.Request) time.Duration { return 260 * time.Millisecond })
	s.queue, s.hold = fullQueue, newConnectionHold
	f.declare(map[string]route{
		"r-photo": {Host: "intake.example", Path: "/photo/", Kind: "upload", Timeout: "3000ms", Service: "intake", Attempts: 2, Public: true},
	})
	f.waitReady()
	time.Sleep(3 * time.Second)
	c := &clients{fleet: f}
	upload := func() {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			c.send(f.nodes[0], "POST", "intake.example", "/photo/one", photoLimit)
		}()
	}
	for range 20 {
		upload()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	if trouble {
		for range fullSlots {
			upload()
		}
	}
	c.group.Wait()
	longer, unanswered, answered := 0, 0, 0
	for _, a := range c.all() {
		if a.status == http.StatusOK {
			answered++
		}
		if a.ended.Sub(a.sent) <= photoTimeout {
			continue
		}
		longer++
		if a.ended.Sub(a.sent) > photoTimeout+answerSlack {
			unanswered++
			f.record.add("rule: %s has no final answer %.3f s after it was sent, its route's timeout is %v", a.id, a.ended.Sub(a.sent).Seconds(), photoTimeout)
		}
	}
	f.record.add("%d requests sent, %d answered with 200; %d lasted longer than their route's timeout, %d of these had no final answer 0.5 s after it", len(c.all()), answered, longer, unanswered)
	if answered == 0 {
		panic("nothing was served")
	}
	return unanswered >= minUnanswered && 4*unanswered > longer
}
