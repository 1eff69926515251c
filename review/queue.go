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
	queueSlowness = 12
	// leaveGap is the pause between the servers that leave.
	leaveGap = 2200 * time.Millisecond
)

// playQueue has two servers leave as planned while the servers of its service are slow, so
// that requests wait for their slots on the nodes beside them when they report that they are
// draining.
func playQueue(p *platform, trouble bool) (result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		p.add("core-"+zone, zone, "")
	}
	nodes := []*machine{p.add("node-a", "a", "bookings"), p.add("node-b", "a", "bookings"), p.add("node-f", "b", "bookings"), p.add("node-g", "c", "bookings")}
	entries := []*machine{p.add("node-c", "a", "desk"), p.add("node-d", "a", "desk"), p.add("node-e", "a", "desk")}
	collected := &runs{}
	var servers []*server
	for i, m := range append(nodes, entries...) {
		servers = append(servers, newServer(m, collected, fmt.Sprintf("i-%d", i+1)))
	}
	for _, s := range servers {
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
	end := leaveAt.Add(10 * time.Second)
	var group sync.WaitGroup
	for i := range 16 * queueSlots {
		group.Go(func() {
			c := &client{via: entries[i%len(entries)], calls: sent}
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			for time.Now().Before(end) {
				c.sendAndWait("book", "POST", fmt.Sprintf("/book/%d/x", (queueWork+rand.N(queueWork)).Milliseconds()), "one booking", 10*time.Second)
			}
		})
	}
	leavers := []*leaver{{server: servers[0]}, {server: servers[1]}}
	for i, l := range leavers {
		group.Go(func() {
			time.Sleep(time.Until(leaveAt.Add(time.Duration(i) * leaveGap)))
			l.leave()
		})
	}
	group.Wait()
	late, lost := 0, 0
	for _, l := range leavers {
		if l.acknowledged.IsZero() {
			return result{}, fmt.Errorf("the node did not acknowledge that the server is draining")
		}
		for _, x := range collected.list {
			if x.server != l.server.id || !x.reached.After(l.acknowledged.Add(boundDrain)) {
				continue
			}
			late++
			if !x.answered {
				lost++
			}
			p.record.printf("judge: %s reached %s %.3f s after the drain report was acknowledged, answered %t", x.id, x.server, x.reached.Sub(l.acknowledged).Seconds(), x.answered)
		}
	}
	return result{broken: late > 0, text: fmt.Sprintf("%d requests reached a server later than %v after it was acknowledged to be draining; %d of them were lost with it", late, boundDrain, lost)}, nil
}

// leaver is a server that leaves as planned.
type leaver struct {
	server       *server
	acknowledged time.Time
}

// leave reports that the server is draining. It serves for drain and some seconds more,
// then says that it is gone and exits.
func (l *leaver) leave() {
	l.server.state.Store("draining")
	if !l.server.report(l.server.nextReport("draining")) {
		return
	}
	l.acknowledged = time.Now()
	time.Sleep(boundDrain + 3*time.Second)
	l.server.deregister()
	l.server.exit()
}
