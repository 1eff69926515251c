package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// queueSlots are the slots of each server. It works on a request for queueWork, or
	// up to twice as long, and queueSlowness times as long while it is slow.
	queueSlots    = 12
	queueWork     = 250 * time.Millisecond
	queueSlowness = 10
)

// playQueue has a server leave as planned while the servers of its service are slow, so
// that requests wait for its slots on the node beside it when it reports that it is
// draining.
func playQueue(p *platform, trouble bool) (result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		p.add("core-"+zone, zone, "")
	}
	leavingNode := p.add("node-a", "a", "bookings")
	other := p.add("node-b", "b", "bookings")
	entry := p.add("node-c", "a", "desk")
	collected := &runs{}
	leaving := newServer(leavingNode, collected, "i-1")
	for _, s := range []*server{leaving, newServer(other, collected, "i-2"), newServer(entry, collected, "i-3")} {
		s.slots = make(chan struct{}, queueSlots)
		if trouble {
			s.slowness = queueSlowness
		}
		if err := s.start(); err != nil {
			return result{}, err
		}
	}
	if err := p.startAll(manifest(1, []string{"bookings", "desk"}, [4]string{"book", "non_idempotent", "bookings", "10000ms"})); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	sent := &calls{}
	leaveAt := time.Now().Add(22 * time.Second)
	end := leaveAt.Add(8 * time.Second)
	var group sync.WaitGroup
	for i := range 8 * queueSlots {
		group.Go(func() {
			c := &client{via: entry, calls: sent}
			time.Sleep(time.Duration(i) * 80 * time.Millisecond)
			for time.Now().Before(end) {
				c.sendAndWait("book", "POST", fmt.Sprintf("/book/%d/x", (queueWork+rand.N(queueWork)).Milliseconds()), "one booking", 10*time.Second)
			}
		})
	}
	time.Sleep(time.Until(leaveAt))
	leaving.state.Store("draining")
	if !leaving.report(leaving.nextReport("draining")) {
		return result{}, fmt.Errorf("the node did not acknowledge that the server is draining")
	}
	acknowledged := time.Now()
	// It serves for drain and some seconds more, then says that it is gone and exits.
	time.Sleep(boundDrain + 3*time.Second)
	leaving.deregister()
	leaving.exit()
	group.Wait()
	late, lost := 0, 0
	for _, x := range collected.list {
		if x.server != "i-1" || !x.began.After(acknowledged.Add(boundDrain)) {
			continue
		}
		late++
		if !x.answered {
			lost++
		}
		p.record.printf("judge: %s reached i-1 %.3f s after the drain report was acknowledged, answered %t", x.id, x.began.Sub(acknowledged).Seconds(), x.answered)
	}
	return result{broken: late > 0, text: fmt.Sprintf("%d requests reached the server later than %v after it was acknowledged to be draining; %d of them were lost with it", late, boundDrain, lost)}, nil
}
