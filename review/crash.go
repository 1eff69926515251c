package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of all uploads, as of the parts of a large file.
	uploadBytes = 60_000
	// crashTime is how long a server that has crashed is away.
	crashTime = 2 * time.Second
	// crashMark begins the body that crashes each server that begins to run it.
	crashMark = "this body crashes the server"
	// allowedRetries is how often a request may still reach servers later than
	// stability_window after it has crashed the third.
	allowedRetries = 3
)

// crashable is one server that crashes and comes back, with all its lives.
type crashable struct {
	machine *machine
	service *crashService
	id      string
}

// crashService keeps the times at which the crashing request reached servers.
type crashService struct {
	mu      sync.Mutex
	reached []time.Time
	runs    *runs
	record  *recorder
}

func (c *crashable) start() error {
	s := newServer(c.machine, c.service.runs, c.id)
	s.crash = func(id string, body []byte) bool {
		if !strings.HasPrefix(string(body), crashMark) {
			return false
		}
		c.service.mu.Lock()
		c.service.reached = append(c.service.reached, time.Now())
		c.service.mu.Unlock()
		c.service.record.printf("server %s crashes on %s", c.id, id)
		s.stop()
		go func() {
			s.http.Close()
			time.Sleep(crashTime)
			if err := c.start(); err != nil {
				c.service.record.printf("server %s does not start: %v", c.id, err)
			}
		}()
		return true
	}
	return s.start()
}

// playCrash sends uploads of one length to one path. With trouble, one client sends an
// upload that crashes each server that begins to run it, again and again.
func playCrash(p *platform, trouble bool) (result, error) {
	for _, zone := range []string{"a", "b", "c"} {
		p.add("core-"+zone, zone, "")
	}
	var nodes []*machine
	service := &crashService{runs: &runs{}, record: p.record}
	for i := range 6 {
		m := p.add(fmt.Sprintf("node-%d", i), []string{"a", "b", "c"}[i%3], "intake")
		nodes = append(nodes, m)
		if err := (&crashable{machine: m, service: service, id: fmt.Sprintf("i-%d", i)}).start(); err != nil {
			return result{}, err
		}
	}
	if err := p.startAll(manifest(1, []string{"intake"}, [4]string{"photo", "upload", "intake", "3000ms"})); err != nil {
		return result{}, err
	}
	time.Sleep(4 * time.Second)
	sent := &calls{}
	end := time.Now().Add(50 * time.Second)
	var group sync.WaitGroup
	upload := func(c *client, kind, mark string) {
		body := mark + strings.Repeat(string(rune('A'+rand.IntN(26))), uploadBytes-len(mark))
		c.sendAndWait(kind, "POST", "/photo/260/x", body, 3*time.Second)
	}
	for i := range 12 {
		group.Go(func() {
			c := &client{via: nodes[i%len(nodes)], calls: sent}
			for time.Now().Before(end) {
				upload(c, "photo", "")
			}
		})
	}
	if trouble {
		group.Go(func() {
			time.Sleep(5 * time.Second)
			for i := 0; time.Now().Before(end); i++ {
				c := &client{via: nodes[i%len(nodes)], calls: sent}
				c.send("crash", "POST", "/photo/260/x", crashMark+strings.Repeat("Z", uploadBytes-len(crashMark)), 3*time.Second)
				c.close()
				time.Sleep(time.Second)
			}
		})
	}
	group.Wait()
	late, crashes := 0, service.reached
	for i, at := range crashes {
		if i >= 3 && at.After(crashes[2].Add(boundStabilityWindow)) {
			late++
		}
	}
	photos, lost := 0, 0
	for _, x := range sent.all() {
		if x.kind != "photo" {
			continue
		}
		photos++
		if len(service.runs.byID(x.id)) > 0 && x.status/100 != 2 {
			lost++
		}
	}
	return result{broken: late > allowedRetries, text: fmt.Sprintf(
		"the request crashed %d servers, %d of them later than %v after the third; %d of %d other uploads were lost while they ran", len(crashes), late, boundStabilityWindow, lost, photos)}, nil
}
