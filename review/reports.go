package main

import (
	"fmt"
	"sync"
	"time"
)

// playForged lets a status report of another writer arrive at the node beside the only
// server of a service. It names a service that does not exist.
func playForged(p *platform, trouble bool) (result, error) {
	return playReports(p, func(s *server) (*server, error) {
		if trouble {
			s.call(names.Heartbeat+"i-other", []byte(fmt.Sprintf(
				`{"address":%q,"born":%d,"info":{"service":"not-a-service","version":"v1","zone":%q,"slots":98},"status":{"state":"ready","sequence":1,%q:"0ms"}}`,
				s.machine.at("app"), time.Now().UnixMilli(), s.machine.zone, names.Cold)))
		}
		return s, nil
	})
}

// playOldCall restarts the only server of a service under its id. A Deregister call of
// the boot before arrives after the new boot has reported.
func playOldCall(p *platform, trouble bool) (result, error) {
	return playReports(p, func(s *server) (*server, error) {
		old := s.born
		s.exit()
		time.Sleep(500 * time.Millisecond)
		next := newServer(s.machine, s.runs, s.id)
		if err := next.start(); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		if trouble {
			s.call(names.Deregister+s.id, []byte(fmt.Sprintf(`{"born":%d}`, old)))
		}
		return next, nil
	})
}

// playReports sends requests to two services, has something happen to the server of
// bookings, and compares how often the two kinds are served over the whole play.
func playReports(p *platform, happen func(*server) (*server, error)) (result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		p.add("core-"+zone, zone, "")
	}
	bookingNode := p.add("node-a", "a", "bookings")
	entry := p.add("node-b", "b", "locator")
	collected := &runs{}
	booking := newServer(bookingNode, collected, "i-1")
	for _, s := range []*server{booking, newServer(entry, collected, "i-2")} {
		if err := s.start(); err != nil {
			return result{}, err
		}
	}
	err := p.startAll(manifest(1, []string{"bookings", "locator"},
		[4]string{"book", "non_idempotent", "bookings", "2000ms"}, [4]string{"look", "idempotent", "locator", "2000ms"}))
	if err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	sent := &calls{}
	end := time.Now().Add(65 * time.Second)
	var group sync.WaitGroup
	for _, kind := range [][3]string{{"book", "POST", "/book/20/x"}, {"look", "GET", "/look/20/x"}} {
		group.Go(func() {
			c := &client{via: entry, calls: sent}
			for time.Now().Before(end) {
				c.send(kind[0], kind[1], kind[2], "", 3*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if booking, err = happen(booking); err != nil {
		return result{}, err
	}
	happened := time.Now()
	group.Wait()
	return judgeStarved(sent, happened), nil
}

// judgeStarved breaks the rule if bookings are served less than a quarter as often as
// all requests.
func judgeStarved(sent *calls, happened time.Time) result {
	var books, served, all, allServed, late, lateServed int
	for _, x := range sent.all() {
		all++
		ok := x.status/100 == 2
		if ok {
			allServed++
		}
		if x.kind != "book" {
			continue
		}
		books++
		if ok {
			served++
		}
		if x.written.After(happened.Add(10 * time.Second)) {
			late++
			if ok {
				lateServed++
			}
		}
	}
	share, allShare := float64(served)/float64(max(books, 1)), float64(allServed)/float64(max(all, 1))
	return result{broken: share < allShare/4, text: fmt.Sprintf(
		"%d of %d bookings and %d of %d requests in all were served; of the bookings sent later than 10 s after the report, %d of %d", served, books, allServed, all, lateServed, late)}
}
