// Package emulator is a small stand-in for a target: slots, service times, a
// cold start, calls to other services, draining, and requests that crash it.
// It serves tests and trials; it is no part of the product's path.
package emulator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/announcer"
)

// Options describe a stand-in target.
type Options struct {
	// Service that the target announces.
	Service string
	// Address to listen on.
	Address string
	// Admin and Entry are the own node's addresses.
	Admin, Entry string
	// Slots is how many requests run at once; more wait in the target.
	Slots int
	// Time is how long a request takes in its slot.
	Time time.Duration
	// Cold is for how long after the start requests take four times as long.
	Cold time.Duration
	// Next is the path of the service to call, if any.
	Next string
	// Direct are addresses to call without any node, for the baseline; each
	// call is tried up to Retries times more.
	Direct  []string
	Retries int
	// Record is a file that gets one line for each request that was run.
	Record string
	// Spare answers every so many crashing requests with 500 in place of a crash.
	Spare int
	// Drop closes the connection of every so many requests unanswered.
	Drop int
}

// TimePath changes the service time: POST with milliseconds.
const TimePath = "/emulator/time"

const (
	renewPeriod = time.Second
	coldFactor  = 4
	// poisonPath crashes the target.
	poisonPath = "/crash"
)

// Target is a stand-in target.
type Target struct {
	options Options
	life    string
	started time.Time
	slots   chan struct{}
	time    atomic.Int64
	count   atomic.Int64
	server  *http.Server
	record  *os.File
	mu      sync.Mutex
}

// New makes a target.
func New(o Options) (*Target, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return nil, err
	}
	t := &Target{options: o, life: hex.EncodeToString(raw[:]), slots: make(chan struct{}, o.Slots)}
	t.time.Store(int64(o.Time))
	if o.Record != "" {
		file, err := os.OpenFile(o.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open record: %w", err)
		}
		t.record = file
	}
	return t, nil
}

// Run serves and announces until the context ends, then drains and stops.
func (t *Target) Run(ctx context.Context) error {
	socket, err := net.Listen("tcp", t.options.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.started = time.Now()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second}
	l := &serving{server: t.server, socket: socket}
	go l.run()
	if t.options.Admin == "" {
		<-ctx.Done()
		return t.server.Close()
	}
	t.loop(ctx)
	if err := t.announce(http.MethodDelete); err != nil {
		return err
	}
	return t.server.Shutdown(context.Background())
}

type serving struct {
	server *http.Server
	socket net.Listener
}

func (s *serving) run() {
	// The error is always that of a planned stop.
	_ = s.server.Serve(s.socket)
}

// loop renews the announcement.
func (t *Target) loop(ctx context.Context) {
	for {
		// A node that does not answer will hear the next renewal.
		_ = t.announce(http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewPeriod):
		}
	}
}

func (t *Target) announce(method string) error {
	text, err := json.Marshal(announcer.Announcement{
		Service: t.options.Service, Address: t.options.Address, Slots: t.options.Slots, Life: t.life,
	})
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	r, err := http.NewRequest(method, "http://"+t.options.Admin+"/announce", bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("announce: %s: %s", response.Status, text)
	}
	return nil
}

// ServeHTTP runs one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == TimePath {
		t.setTime(w, r)
		return
	}
	n := t.count.Add(1)
	t.note(r)
	if strings.HasSuffix(r.URL.Path, poisonPath) {
		if t.options.Spare == 0 || mathrand.IntN(t.options.Spare) > 0 {
			os.Exit(3)
		}
		http.Error(w, "spared", http.StatusInternalServerError)
		return
	}
	if t.options.Drop > 0 && n%int64(t.options.Drop) == 0 {
		panic(http.ErrAbortHandler)
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !t.work(r.Context()) {
		return
	}
	t.answer(w, r, size)
}

// setTime changes the service time while the target runs.
func (t *Target) setTime(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	ms, perr := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
	if err != nil || perr != nil {
		http.Error(w, "milliseconds would be right", http.StatusBadRequest)
		return
	}
	t.time.Store(int64(ms * float64(time.Millisecond)))
	w.WriteHeader(http.StatusNoContent)
}

// note writes what the target saw of a request, for a test to judge.
func (t *Target) note(r *http.Request) {
	if t.record == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	line := ReceivedRequest{Method: r.Method, URL: r.URL.String(), Header: r.Header}
	text, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = t.record.Write(append(text, '\n'))
}

// ReceivedRequest is one line of a target's record.
type ReceivedRequest struct {
	Method string      `json:"method"`
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
}

// work holds the slot for the service time.
func (t *Target) work(ctx context.Context) bool {
	d := time.Duration(t.time.Load())
	if time.Since(t.started) < t.options.Cold {
		d *= coldFactor
	}
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// answer calls the next service, if there is one, and says what it did.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, size int64) {
	below := ""
	if t.options.Next != "" {
		text, status, err := t.call(r)
		if err != nil || status != http.StatusOK {
			if status == 0 {
				status = http.StatusBadGateway
			}
			http.Error(w, "next service: "+strings.TrimSpace(text), status)
			return
		}
		below = strings.TrimSpace(text)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s %s body=%d team=%s [%s]\n", t.options.Service, r.Method, r.URL.RequestURI(), size, r.Header.Get("Primrose-Team"), below)
}

// call calls the next service.
func (t *Target) call(r *http.Request) (string, int, error) {
	if len(t.options.Direct) == 0 {
		return t.callAt(r, t.options.Entry)
	}
	for try := 0; ; try++ {
		text, status, err := t.callAt(r, t.options.Direct[mathrand.IntN(len(t.options.Direct))])
		if (err == nil && status == http.StatusOK) || try == t.options.Retries || r.Context().Err() != nil {
			return text, status, err
		}
	}
}

// callAt sends the call id along, as with tracing.
func (t *Target) callAt(r *http.Request, address string) (string, int, error) {
	next, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+address+t.options.Next+"?for="+r.URL.Query().Get("id"), nil)
	if err != nil {
		return "", 0, err
	}
	next.Header.Set("Primrose-Call", r.Header.Get("Primrose-Call"))
	response, err := client.Do(next)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), response.StatusCode, err
}

// client keeps enough connections for all slots.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
