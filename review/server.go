package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id     string
	server string
	// reached is when the whole request had arrived, ended when the work ended; ended is
	// zero while it runs.
	reached, ended time.Time
	answered       bool
}

// runs collects the runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) byID(id string) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*run
	for _, x := range r.list {
		if x.id == id {
			found = append(found, x)
		}
	}
	return found
}

// server is a stand-in application server beside a node. A request for
// /KIND/MILLISECONDS/... works that long.
type server struct {
	machine *machine
	runs    *runs
	id      string
	born    int64
	slots   chan struct{}
	// slowness multiplies the time of its work; 0 counts as 1.
	slowness int
	sequence atomic.Int64
	state    atomic.Value
	http     *http.Server
	stop     context.CancelFunc
	// crash, if set, is called with the body of each request that begins to run. If it
	// returns true the server has crashed.
	crash func(id string, body []byte) bool
}

func newServer(m *machine, runs *runs, id string) *server {
	s := &server{machine: m, runs: runs, id: id, born: time.Now().UnixMilli(), slots: make(chan struct{}, 98)}
	s.state.Store("ready")
	return s
}

// start listens and begins to send status reports.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.machine.at("app"))
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.beat(ctx)
	s.machine.platform.record.printf("server %s starts at %s", s.id, s.machine.at("app"))
	return nil
}

// exit ends the server at once, as a process that exits: its connections break.
func (s *server) exit() {
	s.machine.platform.record.printf("server %s exits", s.id)
	s.stop()
	s.http.Close()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get(names.Expected); expected != "" && expected != s.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	limit, _ := strconv.Atoi(r.Header.Get(names.Deadline))
	if limit == 0 {
		limit = 60000
	}
	reached := time.Now()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	x := &run{id: id, server: s.id, reached: reached}
	s.runs.add(x)
	s.machine.platform.record.printf("server %s runs %s %s %s (%d bytes)", s.id, id, r.Method, r.URL.Path, len(body))
	if s.crash != nil && s.crash(id, body) {
		panic(http.ErrAbortHandler)
	}
	work, _ := strconv.Atoi(strings.Split(r.URL.Path+"//", "/")[2])
	work *= max(s.slowness, 1)
	timedOut := work > limit
	select {
	case <-time.After(time.Duration(min(work, limit)) * time.Millisecond):
	case <-r.Context().Done():
		x.ended = time.Now()
		s.machine.platform.record.printf("server %s drops %s: its connection has closed", s.id, id)
		return
	}
	x.ended, x.answered = time.Now(), true
	w.Header().Set(names.Signature, "sig."+id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if timedOut {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := []byte("done " + id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
	s.machine.platform.record.printf("server %s has answered %s", s.id, id)
}

func (s *server) beat(ctx context.Context) {
	for {
		if s.state.Load() == "ready" {
			s.report(s.nextReport("ready"))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// nextReport makes a status report with the next sequence number.
func (s *server) nextReport(state string) []byte {
	m := s.machine
	text, _ := json.Marshal(map[string]any{
		"address": m.at("app"), "born": s.born,
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": state, "sequence": s.sequence.Add(1), names.Cold: "0ms"},
	})
	return text
}

// report sends a status report to the control address and reports whether it was
// acknowledged.
func (s *server) report(text []byte) bool { return s.call(names.Heartbeat+s.id, text) }

// deregister says that the server leaves.
func (s *server) deregister() bool {
	text, _ := json.Marshal(map[string]any{"born": s.born})
	return s.call(names.Deregister+s.id, text)
}

func (s *server) call(path string, text []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+s.machine.at("control")+path, "application/json", bytes.NewReader(text))
	outcome := fmt.Sprint(err)
	ok := false
	if err == nil {
		r.Body.Close()
		ok = r.StatusCode/100 == 2
		outcome = r.Status
	}
	s.machine.platform.record.printf("server %s sends %s %s: %s", s.id, path, text, outcome)
	return ok
}
