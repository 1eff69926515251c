package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id             string
	machine        string
	sent, ended    time.Time
	status         int
	signature      string
	body           string
	complete       bool
	closed         bool
	limit          time.Duration
	errorText      string
	neverConnected bool
	// behind is set for a request that was sent behind another one.
	behind bool
}

// clients sends requests and keeps what became of them.
type clients struct {
	fleet *fleet
	next  atomic.Int64
	group sync.WaitGroup

	mu   sync.Mutex
	list []*attempt
}

// send sends one request on a new connection and waits for its answer.
func (c *clients) send(m *machine, method, host, path string, limit time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("r%04d", c.next.Add(1)), machine: m.name, limit: limit}
	c.mu.Lock()
	c.list = append(c.list, a)
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		a.neverConnected, a.ended, a.errorText = true, time.Now(), err.Error()
		return a
	}
	defer conn.Close()
	c.exchange(a, conn, bufio.NewReader(conn), method, host, path)
	return a
}

// exchange sends one request on a connection and reads its answer.
func (c *clients) exchange(a *attempt, conn net.Conn, reader *bufio.Reader, method, host, path string) {
	f := c.fleet
	length := ""
	body := ""
	if method == "POST" {
		body = "book " + a.id
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\n%s\r\n%s", method, path, host, a.id, names.Deadline, a.limit.Milliseconds(), length, body)
	_, err := conn.Write([]byte(text))
	a.sent = time.Now()
	f.record.add("client at %s: sends %s %s as %s", a.machine, method, path, a.id)
	if err == nil {
		check(conn.SetReadDeadline(a.sent.Add(a.limit + time.Second)))
		err = c.read(a, reader, method)
	}
	a.ended = time.Now()
	if err != nil {
		a.errorText = err.Error()
		f.record.add("client at %s: %s ends without a complete answer: %v", a.machine, a.id, err)
		return
	}
	f.record.add("client at %s: %s gets %d, signature %q", a.machine, a.id, a.status, a.signature)
}

func (c *clients) read(a *attempt, reader *bufio.Reader, method string) error {
	r := &http.Request{Method: method}
	response, err := http.ReadResponse(reader, r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.status, a.signature, a.body, a.complete = response.StatusCode, response.Header.Get(names.Signature), string(body), true
	a.closed = response.Close
	return nil
}

// all returns all attempts; call it after the group has ended.
func (c *clients) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}
