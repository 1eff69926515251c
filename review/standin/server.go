package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server stands in for the application server of a machine. It serves one request at a time
// on a connection, runs at most slots requests and queues a few more.
type server struct {
	machine *machine
	id      string
	slots   int
	born    int64
	work    func(r *http.Request) time.Duration
	// afterRead is called with each request once it is read, before it runs; it may be nil.
	afterRead func(c net.Conn, r *http.Request, count int)

	listener net.Listener
	running  chan struct{}
	stop     chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	runs     []*execution
	conns    map[net.Conn]bool
	// answerBytes is the length of its answers, at least.
	answerBytes int
	// silent is set once the server reports nothing more, ended once it serves no more.
	silent, ended bool
}

// execution is a request that has reached the server.
type execution struct {
	id                  string
	arrived, began, end time.Time
	server              string
}

// startServer starts the server of a machine, and its status reports.
func (m *machine) startServer(id string, slots int, work func(r *http.Request) time.Duration) *server {
	s := &server{machine: m, id: id, slots: slots, born: time.Now().UnixMilli(), work: work, running: make(chan struct{}, slots), stop: make(chan struct{}), state: "ready", conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", m.address(portApp))
	check(err)
	s.listener = l
	go s.accept()
	go s.report()
	m.fleet.onClose(func() { close(s.stop); l.Close() })
	return s
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for count := 1; ; count++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		status, body, header := s.answer(c, r, count)
		if status == 0 {
			return
		}
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n%s\r\n%s",
			status, http.StatusText(status), r.Header.Get("Request-Id"), len(body), header, body)
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
	}
}

// answer runs a request and returns its answer; a status of 0 closes the connection.
func (s *server) answer(c net.Conn, r *http.Request, count int) (status int, body, header string) {
	f := s.machine.fleet
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		return http.StatusOK, "", "Instance-Id: " + s.id + "\r\n"
	}
	if expected := r.Header.Get(names.Expected); expected != "" && expected != s.id {
		f.record.add("%s: request %s is for %s, 421", s.id, id, expected)
		return http.StatusMisdirectedRequest, "", names.NotRun + ": 1\r\n"
	}
	e := &execution{id: id, arrived: time.Now(), server: s.id}
	f.record.add("%s: request %s arrives", s.id, id)
	s.mu.Lock()
	s.runs = append(s.runs, e)
	s.mu.Unlock()
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get(names.Deadline)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if s.hasEnded() {
		return 0, "", ""
	}
	select {
	case s.running <- struct{}{}:
	case <-time.After(limit):
		f.record.add("%s: request %s has not run, its time limit passed in the queue", s.id, id)
		return http.StatusServiceUnavailable, "", names.NotRun + ": 1\r\n"
	}
	defer func() { <-s.running }()
	s.mu.Lock()
	e.began = time.Now()
	s.mu.Unlock()
	f.record.add("%s: request %s runs", s.id, id)
	if s.afterRead != nil {
		s.afterRead(c, r, count)
	}
	left := limit - time.Since(e.arrived)
	work := s.work(r)
	time.Sleep(min(work, left))
	if s.hasEnded() {
		return 0, "", ""
	}
	s.mu.Lock()
	e.end = time.Now()
	s.mu.Unlock()
	if work > left {
		f.record.add("%s: request %s ends at its time limit, 504", s.id, id)
		return http.StatusGatewayTimeout, "", names.Signature + ": " + signature(s.id, id) + "\r\n"
	}
	f.record.add("%s: request %s has run, 200", s.id, id)
	return http.StatusOK, s.body(id), names.Signature + ": " + signature(s.id, id) + "\r\n"
}

// setAnswerBytes sets the length of the answers.
func (s *server) setAnswerBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerBytes = n
}

// body returns the body of an answer.
func (s *server) body(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := "done " + id
	return text + strings.Repeat(".", max(s.answerBytes-len(text), 0))
}

func signature(server, id string) string { return "sig." + server + "." + id }

// executions returns copies of the requests that have reached the server.
func (s *server) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []execution
	for _, e := range s.runs {
		list = append(list, *e)
	}
	return list
}

// report sends status reports until the case ends.
func (s *server) report() {
	for s.reports() {
		s.sendReport()
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// sendReport sends one status report to the node of the machine, and reports whether it
// was acknowledged.
func (s *server) sendReport() bool {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	status := s.post(names.Heartbeat, s.nextReport())
	if state != "ready" {
		s.machine.fleet.record.add("%s: status report %q, answer %d", s.id, state, status)
	}
	return status/100 == 2
}

// nextReport returns the next status report.
func (s *server) nextReport() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"address": s.machine.address(portApp), "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, names.Cold: "0ms"},
	})
	check(err)
	return body
}

// post sends a call of the server to the node of its machine, and returns the status of the
// answer; 0 if there is none.
func (s *server) post(call string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.machine.address(portControl)+call+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// depart deregisters a server that serves on for some time and reports nothing more, and
// returns when that was acknowledged.
func (s *server) depart() time.Time {
	body, err := json.Marshal(map[string]any{"born": s.born})
	check(err)
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	for {
		if status := s.post(names.Deregister, body); status/100 == 2 {
			s.machine.fleet.record.add("%s: deregisters and serves on, answer %d", s.id, status)
			return time.Now()
		}
	}
}

// end ends the server: its connections are closed.
func (s *server) end() {
	f := s.machine.fleet
	f.record.add("%s: ends", s.id)
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, e := range s.runs {
		if !e.began.IsZero() && e.end.IsZero() {
			f.record.add("%s: request %s is cut by its end", s.id, e.id)
		}
	}
	for c := range s.conns {
		c.Close()
	}
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// reports tells whether the server still sends status reports.
func (s *server) reports() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended && !s.silent
}
