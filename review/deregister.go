package main

import (
	"fmt"
	"sync"
	"time"
)

// playDeregister restarts a node whose server leaves without a drain report. The
// server's last report of readiness arrives late, after the restarted node has
// acknowledged that the server is gone.
func playDeregister(p *platform, trouble bool) (result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		p.add("core-"+zone, zone, "")
	}
	leavingNode := p.add("node-a", "a", "bookings")
	other := p.add("node-b", "b", "bookings")
	// The clients' machines: their nodes prefer the server of their own zone.
	entries := []*machine{p.add("node-c", "a", "desk"), p.add("node-d", "a", "desk")}
	collected := &runs{}
	leaving := newServer(leavingNode, collected, "i-1")
	servers := []*server{leaving, newServer(other, collected, "i-2"), newServer(entries[0], collected, "i-3"), newServer(entries[1], collected, "i-4")}
	for _, s := range servers {
		if err := s.start(); err != nil {
			return result{}, err
		}
	}
	if err := p.startAll(manifest(1, []string{"bookings", "desk"}, [4]string{"book", "non_idempotent", "bookings", "5000ms"})); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	sent := &calls{}
	end := time.Now().Add(22 * time.Second)
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			c := &client{via: entries[i%2], calls: sent}
			for time.Now().Before(end) {
				c.sendAndWait("book", "POST", "/book/400/x", "one booking", 5*time.Second)
			}
		})
	}
	time.Sleep(boundStabilityWindow + 2*time.Second)
	// The server sends this report, and the network delays it.
	leaving.state.Store("leaving")
	late := leaving.nextReport("ready")
	sentAt := time.Now()
	if trouble {
		if err := leavingNode.killAndRestart(); err != nil {
			return result{}, err
		}
	}
	acknowledged := time.Time{}
	for stop := time.Now().Add(5 * time.Second); time.Now().Before(stop) && acknowledged.IsZero(); time.Sleep(50 * time.Millisecond) {
		if leaving.deregister() {
			acknowledged = time.Now()
		}
	}
	if acknowledged.IsZero() {
		return result{}, fmt.Errorf("the node did not acknowledge that the server leaves")
	}
	time.Sleep(200 * time.Millisecond)
	leaving.report(late)
	p.record.printf("server i-1: the report delayed by %.3f s has arrived", time.Since(sentAt).Seconds())
	// It goes on serving for drain and some seconds more, then exits.
	time.Sleep(time.Until(acknowledged.Add(boundDrain + 5*time.Second)))
	leaving.exit()
	group.Wait()
	restarted := sentAt
	late2, lost := 0, 0
	for _, x := range collected.list {
		// Machines in touch only: all started at least stability_window ago.
		if x.server != "i-1" || x.reached.Before(acknowledged.Add(boundDrain)) || (trouble && x.reached.Before(restarted.Add(boundStabilityWindow+restartDelay+time.Second))) {
			continue
		}
		late2++
		if !x.answered {
			lost++
		}
	}
	return result{broken: late2 > 0, text: fmt.Sprintf("%d requests reached the server later than %v after it was acknowledged to be gone, sent on by machines in touch; %d of them were lost with it", late2, boundDrain, lost)}, nil
}
