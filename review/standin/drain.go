package main

import (
	"net/http"
	"time"
)

const (
	// slowWork is how long a request takes at the servers of the service "records".
	slowWork = 4 * time.Second
	// slowSlots is how many they run at once.
	slowSlots = 8
	// calmWaves is how many waves of requests come before the one that is larger.
	calmWaves = 6
	// longerThanDrain is how much longer than the drain bound the leaving server serves. All
	// that it ran when it left has ended by then.
	longerThanDrain = 2500 * time.Millisecond
	// drainSlack is allowed beyond the bound of the rule, for the way of a request.
	drainSlack = 250 * time.Millisecond
)

// recordsRoutes returns a manifest's only route, to the service "records".
func recordsRoutes(kind string) map[string]route {
	return map[string]route{
		"r-records": {Host: "records.example", Path: "/records/", Kind: kind, Timeout: "10000ms", Target: "8000ms", Priority: 1, Service: "records", Attempts: 2, Public: true},
	}
}

// buildRecords makes a deployment of two machines with clients and two servers of a slow
// service, whose clients send more than the servers can run, two thirds of it at the first
// machine.
func buildRecords(f *fleet) (c *clients, servers []*server, end func()) {
	f.build("desk", "desk", "records", "records")
	work := func(*http.Request) time.Duration { return slowWork }
	quick := func(*http.Request) time.Duration { return 10 * time.Millisecond }
	f.nodes[0].startServer("i-desk-1", 20, quick)
	f.nodes[1].startServer("i-desk-2", 20, quick)
	servers = append(servers, f.nodes[2].startServer("i-records-1", slowSlots, work), f.nodes[3].startServer("i-records-2", slowSlots, work))
	f.declare(recordsRoutes("non_idempotent"))
	f.waitReady()
	for _, m := range f.nodes {
		go m.probe()
	}
	time.Sleep(3 * time.Second)
	c = &clients{fleet: f}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(170 * time.Millisecond):
			}
			m := f.nodes[i%3/2]
			if !m.usable() {
				continue
			}
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.send(m, "POST", "records.example", "/records/new", timeLimit)
			}()
		}
	}()
	return c, servers, func() { close(stop); <-done; c.group.Wait() }
}

// playDrain replaces the only server of a slow service while a few requests wait for it,
// and checks that none reaches it later than the drain bound after its node has confirmed
// that it leaves. The server ends some time after that bound.
func playDrain(f *fleet, trouble bool) bool {
	f.build("desk", "records", "records")
	work := func(*http.Request) time.Duration { return slowWork }
	f.nodes[0].startServer("i-desk-1", 20, func(*http.Request) time.Duration { return 10 * time.Millisecond })
	leaving := f.nodes[1].startServer("i-records-1", slowSlots, work)
	f.declare(recordsRoutes("non_idempotent"))
	f.waitReady()
	time.Sleep(3 * time.Second)
	c := &clients{fleet: f}
	wave := func(count int) {
		for range count {
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.send(f.nodes[0], "POST", "records.example", "/records/new", timeLimit)
			}()
		}
	}
	for range calmWaves {
		wave(slowSlots)
		time.Sleep(slowWork + 200*time.Millisecond)
	}
	// The next wave is 1.75 times as large: some of its requests wait for a slot.
	wave(slowSlots)
	time.Sleep(500 * time.Millisecond)
	wave(slowSlots * 3 / 4)
	time.Sleep(500 * time.Millisecond)
	var confirmed time.Time
	if trouble {
		f.nodes[2].startServer("i-records-2", slowSlots, work)
		confirmed = leaving.drain()
		f.record.add("%s: leaves, confirmed at %s", leaving.id, f.record.at(confirmed))
		time.Sleep(time.Until(confirmed.Add(drainBound + longerThanDrain)))
		leaving.deregister()
	}
	c.group.Wait()
	late, cut, answered := 0, 0, 0
	for _, e := range leaving.executions() {
		if trouble && e.arrived.After(confirmed.Add(drainBound+drainSlack)) {
			late++
			f.record.add("rule: request %s reached %s %.3f s after the confirmation", e.id, leaving.id, e.arrived.Sub(confirmed).Seconds())
			if e.end.IsZero() {
				cut++
			}
		}
	}
	for _, a := range c.all() {
		if a.status == http.StatusOK {
			answered++
		}
	}
	f.record.add("%d requests sent, %d answered with 200, %d reached the leaving server too late, %d of these were lost with it", len(c.all()), answered, late, cut)
	if answered == 0 {
		panic("nothing was served")
	}
	return late > 0
}
