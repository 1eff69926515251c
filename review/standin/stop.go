package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	lossSlack = 200 * time.Millisecond
	// timeLimit is that of the clients, and of the route.
	timeLimit = 10 * time.Second
)

// playStop stops a machine while requests that it took wait for a slot of a server, and
// checks that each of them is answered.
func playStop(f *fleet, trouble bool) bool {
	c, servers, end := buildRecords(f)
	time.Sleep(25 * time.Second)
	m := f.nodes[0]
	stopped := time.Now()
	if trouble {
		m.signal(syscall.SIGTERM)
		select {
		case <-m.exited:
		case <-time.After(graceBound):
			f.record.add("%s: SIGKILL after grace", m.name)
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	time.Sleep(3 * time.Second)
	end()
	atServer := map[string][]execution{}
	for _, s := range servers {
		for _, e := range s.executions() {
			atServer[e.id] = append(atServer[e.id], e)
		}
	}
	lost, answered := 0, 0
	for _, a := range c.all() {
		if a.status == http.StatusOK {
			answered++
		}
		planned := a.machine == m.name && a.ended.After(stopped) && a.ended.Before(stopped.Add(graceBound+time.Second))
		if !planned || a.complete || a.neverConnected {
			continue
		}
		if a.ended.Sub(a.sent) >= timeLimit-100*time.Millisecond {
			f.record.add("not counted: %s, its time limit was reached", a.id)
			continue
		}
		if a.ended.Sub(a.sent) <= lossSlack && len(atServer[a.id]) == 0 {
			f.record.add("not counted: %s ended within loss_slack", a.id)
			continue
		}
		if a.sent.Before(stopped.Add(3*time.Second)) && atWork(atServer[a.id], stopped.Add(graceBound*5/6)) {
			f.record.add("not counted: a server was at work on %s in the last sixth of grace", a.id)
			continue
		}
		lost++
		f.record.add("rule: %s, sent %.3f s after the SIGTERM, ended without an answer %.3f s after it; it reached %d servers", a.id, a.sent.Sub(stopped).Seconds(), a.ended.Sub(stopped).Seconds(), len(atServer[a.id]))
	}
	f.record.add("%d requests sent, %d answered with 200, %d lost", len(c.all()), answered, lost)
	if answered == 0 {
		panic("nothing was served")
	}
	return lost > 0
}

// atWork reports whether a server was at work on one of the runs at or after a time.
func atWork(runs []execution, t time.Time) bool {
	for _, e := range runs {
		if !e.began.IsZero() && (e.end.IsZero() || !e.end.Before(t)) {
			return true
		}
	}
	return false
}
