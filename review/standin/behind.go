package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// answerBytes is the length of the answers.
	answerBytes = 30_000
	// receiveBuffer is that of the clients' sockets, for a small window.
	receiveBuffer = 8 << 10
	// uploadBytes is the length of the uploads.
	uploadBytes = 60_000
	// behindDelay is how long after an upload the lookups behind it are sent.
	behindDelay = 30 * time.Millisecond
	// connections is how many each machine has.
	connections = 12
)

// playBehind stops a machine whose clients send lookups behind uploads that have not been
// answered yet, and checks that each upload that was passed on to a server is answered.
func playBehind(f *fleet, trouble bool) bool {
	f.build("desk", "desk", "intake", "intake")
	quick := func(*http.Request) time.Duration { return 10 * time.Millisecond }
	work := func(*http.Request) time.Duration { return 200 * time.Millisecond }
	f.nodes[0].startServer("i-desk-1", 20, quick)
	f.nodes[1].startServer("i-desk-2", 20, quick)
	servers := []*server{f.nodes[2].startServer("i-intake-1", 60, work), f.nodes[3].startServer("i-intake-2", 60, work)}
	for _, s := range servers {
		s.setAnswerBytes(answerBytes)
	}
	f.declare(map[string]route{
		"r-photo":  {Host: "intake.example", Path: "/photo/", Kind: "upload", Timeout: "5000ms", Target: "2000ms", Service: "intake", Attempts: 2, Public: true},
		"r-lookup": {Host: "intake.example", Path: "/lookup/", Kind: "idempotent", Timeout: "5000ms", Target: "2000ms", Priority: 2, Service: "intake", Attempts: 2, Public: true},
	})
	f.waitReady()
	for _, m := range f.nodes {
		go m.probe()
	}
	time.Sleep(3 * time.Second)
	c := &clients{fleet: f}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 2 * connections {
		group.Add(1)
		go func() {
			defer group.Done()
			c.keep(f.nodes[i%2], stop)
		}()
	}
	time.Sleep(8 * time.Second)
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
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	runs := map[string][]execution{}
	for _, s := range servers {
		for _, e := range s.executions() {
			runs[e.id] = append(runs[e.id], e)
		}
	}
	lost, answered := 0, 0
	for _, a := range c.all() {
		if a.status == http.StatusOK && a.complete {
			answered++
		}
		planned := a.machine == m.name && a.ended.After(stopped) && a.ended.Before(stopped.Add(graceBound+time.Second))
		if !planned || a.complete || a.behind || len(runs[a.id]) == 0 || a.ended.Sub(a.sent) >= a.limit-100*time.Millisecond {
			continue
		}
		if a.sent.Before(stopped.Add(3*time.Second)) && atWork(runs[a.id], stopped.Add(graceBound*5/6)) {
			f.record.add("not counted: a server was at work on %s in the last sixth of grace", a.id)
			continue
		}
		lost++
		f.record.add("rule: upload %s at %s was sent %.3f s after the SIGTERM and ran at %s; its connection ended without a complete answer %.3f s after it was sent", a.id, a.machine, a.sent.Sub(stopped).Seconds(), runs[a.id][0].server, a.ended.Sub(a.sent).Seconds())
	}
	f.record.add("%d requests sent, %d answered with 200, %d uploads ran and were not answered", len(c.all()), answered, lost)
	if answered == 0 {
		panic("nothing was served")
	}
	return lost > 0
}

// keep sends uploads on a kept connection, each with two lookups behind it, and makes a new
// connection where an answer closes one.
func (c *clients) keep(m *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if !m.usable() {
			continue
		}
		dialer := net.Dialer{Timeout: time.Second, Control: setReceiveBuffer}
		conn, err := dialer.Dial("tcp", m.address(portOutbound))
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for c.exchangeAhead(m, conn, reader) && m.usable() {
			select {
			case <-stop:
				conn.Close()
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		conn.Close()
	}
}

// exchangeAhead sends an upload, and two lookups before it is answered. It reports whether
// the connection can be used again.
func (c *clients) exchangeAhead(m *machine, conn net.Conn, reader *bufio.Reader) bool {
	upload := c.attempt(m, false)
	if !c.write(upload, conn, "POST", "/photo/one", strings.Repeat("p", uploadBytes)) {
		return false
	}
	time.Sleep(behindDelay)
	behind := []*attempt{c.attempt(m, true), c.attempt(m, true)}
	for _, a := range behind {
		c.write(a, conn, "GET", "/lookup/one", "")
	}
	for _, a := range append([]*attempt{upload}, behind...) {
		check(conn.SetReadDeadline(a.sent.Add(a.limit)))
		err := c.read(a, reader, "GET")
		a.ended = time.Now()
		if err != nil {
			a.errorText = err.Error()
			c.fleet.record.add("client at %s: %s ends without a complete answer: %v", a.machine, a.id, err)
			return false
		}
		c.fleet.record.add("client at %s: %s gets %d, %d bytes, close %t", a.machine, a.id, a.status, len(a.body), a.closed)
		if a.closed {
			return false
		}
	}
	return true
}

func (c *clients) attempt(m *machine, behind bool) *attempt {
	a := &attempt{id: fmt.Sprintf("r%04d", c.next.Add(1)), machine: m.name, limit: 5 * time.Second, behind: behind}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, a)
	return a
}

func (c *clients) write(a *attempt, conn net.Conn, method, path, body string) bool {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: intake.example\r\nRequest-Id: %s\r\n%s: %d\r\n%s\r\n%s", method, path, a.id, names.Deadline, a.limit.Milliseconds(), length, body)
	a.sent = time.Now()
	a.ended = a.sent
	c.fleet.record.add("client at %s: sends %s %s as %s", a.machine, method, path, a.id)
	return err == nil
}

// setReceiveBuffer bounds the window of a connection that is about to be made.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, optionErr)
}
