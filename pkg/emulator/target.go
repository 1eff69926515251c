// Package emulator is a stand-in target for tests and trials: a server with
// slots, a service time, a cold start, calls to another service, draining, and
// requests that crash it. Production traffic never passes through it.
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
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// Options configures a stand-in target.
type Options struct {
	// Service is the name that the target announces to its node.
	Service string
	// Address is where the target listens.
	Address string
	// Admin is the admin address of the target's own node. If empty, the target
	// runs without a node and announces nothing. NodeEntry is the node's address
	// for calls to Next.
	Admin, NodeEntry string
	// Slots is how many requests run at once; others wait in the target.
	Slots int
	// ServiceTime is how long a request takes in its slot, without its call to
	// Next.
	ServiceTime time.Duration
	// ColdTime is the time after the start in which the service time is four
	// times as long.
	ColdTime time.Duration
	// Next is the path of the next service, which each request calls before it
	// responds. If empty, there is no such call.
	Next string
	// DirectTargets are addresses of targets of the next service. If set, calls
	// go to a random one of them without a node, and a failed call is repeated
	// up to Retries times at once. Trials use this for the baseline.
	DirectTargets []string
	Retries       int
	// RecordFile gets one line, a ReceivedRequest in JSON, for each request on
	// its arrival. If empty, nothing is recorded.
	RecordFile string
	// SpareOneIn is N: a request that would crash the target gets a response of
	// 500 instead with a probability of 1/N. If 0, all such requests crash it.
	SpareOneIn int
	// DropEvery is N: the target closes the connection of every Nth request
	// without a response. If 0, it drops none.
	DropEvery int
	// Limit is the limit that the target names in its answers, a decimal number of
	// requests a second. If empty, it names none.
	Limit string
}

// TimePath is the path of requests that set the service time; the body is a
// number of milliseconds.
const TimePath = "/emulator/time"

const (
	// renewInterval is the time between two announcements to the node.
	renewInterval = time.Second
	// coldFactor multiplies the service time during ColdTime.
	coldFactor = 4
	// crashPath is the end of the paths of requests that crash the target.
	crashPath = "/crash"
)

// Target is a stand-in target, the handler of its own HTTP server.
type Target struct {
	options Options
	// life identifies this run of the target to its node.
	life    string
	started time.Time
	// slots holds one element for each request that runs.
	slots chan struct{}
	// time is the service time in nanoseconds.
	time         atomic.Int64
	requestCount atomic.Int64
	// leaving is set when the target withdraws its announcement.
	leaving    atomic.Bool
	server     *http.Server
	recordFile *os.File
	// recordMu keeps concurrent lines of the record file apart.
	recordMu sync.Mutex
}

// New returns a target that doesn't run yet.
func New(o Options) (*Target, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return nil, err
	}
	if o.Limit != "" {
		if _, err := pacer.ParseLimit(o.Limit); err != nil {
			return nil, err
		}
	}
	t := &Target{options: o, life: hex.EncodeToString(raw[:]), slots: make(chan struct{}, o.Slots)}
	t.time.Store(int64(o.ServiceTime))
	if o.RecordFile != "" {
		file, err := os.OpenFile(o.RecordFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open record: %w", err)
		}
		t.recordFile = file
	}
	return t, nil
}

// Run serves requests and announces the target until ctx is cancelled. It then
// withdraws the announcement, waits for the requests in flight and stops.
// Without a node it closes all connections at once.
func (t *Target) Run(ctx context.Context) error {
	socket, err := net.Listen("tcp", t.options.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.started = time.Now()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second}
	s := &httpServing{server: t.server, socket: socket}
	go s.run()
	if t.options.Admin == "" {
		<-ctx.Done()
		return t.server.Close()
	}
	t.renewAnnouncement(ctx)
	t.leaving.Store(true)
	if err := t.announce(http.MethodDelete); err != nil {
		return err
	}
	return t.server.Shutdown(context.Background())
}

// httpServing runs the HTTP server of a target on its socket.
type httpServing struct {
	server *http.Server
	socket net.Listener
}

func (s *httpServing) run() {
	// Serve returns when Run stops the server, always with an error.
	_ = s.server.Serve(s.socket)
}

// renewAnnouncement announces the target to its node once per renewInterval, until
// ctx is cancelled.
func (t *Target) renewAnnouncement(ctx context.Context) {
	for {
		// If the node doesn't respond, it receives the next renewal.
		_ = t.announce(http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewInterval):
		}
	}
}

// announce sends an announcement with PUT, or withdraws it with DELETE. Withdrawing
// makes the node drain the target.
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

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == TimePath {
		t.handleSetTime(w, r)
		return
	}
	n := t.requestCount.Add(1)
	t.recordRequest(r)
	t.state(w.Header())
	if strings.HasSuffix(r.URL.Path, crashPath) {
		if t.options.SpareOneIn == 0 || mathrand.IntN(t.options.SpareOneIn) > 0 {
			os.Exit(3)
		}
		http.Error(w, "spared", http.StatusInternalServerError)
		return
	}
	if t.options.DropEvery > 0 && n%int64(t.options.DropEvery) == 0 {
		panic(http.ErrAbortHandler)
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	bodySize, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !t.work(r.Context()) {
		return
	}
	t.respond(w, r, bodySize)
}

// state adds to the headers of an answer what the target states about itself.
func (t *Target) state(h http.Header) {
	if t.options.Limit != "" {
		h.Set(forwarder.HeaderLimit, t.options.Limit)
	}
	if t.leaving.Load() {
		h.Set(forwarder.HeaderLeaving, "1")
	}
}

// handleSetTime sets the service time of later requests.
func (t *Target) handleSetTime(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	millis, parseErr := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
	if err != nil || parseErr != nil {
		http.Error(w, "milliseconds would be right", http.StatusBadRequest)
		return
	}
	t.time.Store(int64(millis * float64(time.Millisecond)))
	w.WriteHeader(http.StatusNoContent)
}

// recordRequest appends a request to the record file, where tests read it.
func (t *Target) recordRequest(r *http.Request) {
	if t.recordFile == nil {
		return
	}
	t.recordMu.Lock()
	defer t.recordMu.Unlock()
	line := ReceivedRequest{Method: r.Method, URL: r.URL.String(), Header: r.Header}
	text, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = t.recordFile.Write(append(text, '\n'))
}

// ReceivedRequest is one line of a target's record file.
type ReceivedRequest struct {
	Method string      `json:"method"`
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
}

// work waits for the service time. It returns false if the caller cancels the
// request first.
func (t *Target) work(ctx context.Context) bool {
	d := time.Duration(t.time.Load())
	if time.Since(t.started) < t.options.ColdTime {
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

// respond calls the next service, if there is one, and responds with a line that
// describes the request and, in brackets, the response of the next service.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, bodySize int64) {
	nextAnswer := ""
	if t.options.Next != "" {
		text, status, err := t.callNext(r)
		if err != nil || status != http.StatusOK {
			if status == 0 {
				status = http.StatusBadGateway
			}
			http.Error(w, "next service: "+strings.TrimSpace(text), status)
			return
		}
		nextAnswer = strings.TrimSpace(text)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s %s body=%d team=%s [%s]\n", t.options.Service, r.Method, r.URL.RequestURI(), bodySize, r.Header.Get("Primrose-Team"), nextAnswer)
}

// callNext calls the next service and returns the body, the status code and an
// error of the transport.
func (t *Target) callNext(r *http.Request) (string, int, error) {
	if len(t.options.DirectTargets) == 0 {
		return t.callAddress(r, t.options.NodeEntry)
	}
	for attempt := 0; ; attempt++ {
		text, status, err := t.callAddress(r, t.options.DirectTargets[mathrand.IntN(len(t.options.DirectTargets))])
		if (err == nil && status == http.StatusOK) || attempt == t.options.Retries || r.Context().Err() != nil {
			return text, status, err
		}
	}
}

// callAddress calls the next service at an address. It passes on the caller's
// Primrose-Call header, as tracing would.
func (t *Target) callAddress(r *http.Request, address string) (string, int, error) {
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

// client keeps idle connections for up to 512 concurrent calls to one address.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
