// Package announcer takes the announcements of the own target: there is no
// list of targets. An announcement is a lease that the target renews; a
// target that leaves is first announced as leaving, then drained.
package announcer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// leaseTerm is how long an announcement counts without a renewal.
	leaseTerm = 3 * time.Second
	// Spread is how long other nodes may go on sending to a leaving target.
	Spread = 1500 * time.Millisecond
	// drainPoll is how often a drain looks whether requests still run.
	drainPoll = 20 * time.Millisecond
	// drainMost bounds a drain.
	drainMost = 10 * time.Minute
	// crashDial bounds the look whether a target still listens.
	crashDial = 200 * time.Millisecond
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 4096
	maxSlots        = 1_000_000
)

// Announcement is what a target says about itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the target listens.
	Address string `json:"address"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// Life names one start of the target.
	Life string `json:"life"`
}

// Listener hears of changes of the own target.
type Listener interface {
	// Changed is called with the target, or nil when there is none that
	// takes new work; cold tells that it has just started.
	Changed(target *forwarder.Target, cold bool)
	// Crashed is called once for each crash of the target.
	Crashed(crash string)
}

// Announcer knows the own target.
type Announcer struct {
	clock    timekeeper.Clock
	listener Listener
	inflight func() int

	mu      sync.Mutex
	target  *forwarder.Target
	leaving bool
	expiry  time.Time
	// crashed is the life that is known to have crashed.
	crashed string
}

// New makes an announcer; inflight tells how many requests the target runs.
func New(clock timekeeper.Clock, listener Listener, inflight func() int) *Announcer {
	return &Announcer{clock: clock, listener: listener, inflight: inflight}
}

// Target is the own target, or nil.
func (a *Announcer) Target() *forwarder.Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target
}

// Run ends announcements that are not renewed.
func (a *Announcer) Run(ctx context.Context) { a.loop(ctx) }

func (a *Announcer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.clock.After(leaseTerm / 4):
			a.expire()
		}
	}
}

func (a *Announcer) expire() {
	a.mu.Lock()
	over := a.target != nil && !a.leaving && a.clock.Now().After(a.expiry)
	if over {
		a.target = nil
	}
	a.mu.Unlock()
	if over {
		a.listener.Changed(nil, false)
	}
}

// ServeHTTP takes PUT and DELETE. DELETE returns when the target has no more
// requests.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		if err := a.Drain(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "PUT announces a target, DELETE drains it", http.StatusMethodNotAllowed)
	}
}

func (a *Announcer) put(w http.ResponseWriter, r *http.Request) {
	said := Announcement{}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&said); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := said.check(); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.Announce(said)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Announcement) check() error {
	if s.Service == "" || s.Life == "" {
		return fmt.Errorf("service and life must not be empty")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return fmt.Errorf("slots is %d; 1 to %d would be right", s.Slots, maxSlots)
	}
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("address is %q; an IP number and a port would be right", s.Address)
	}
	return nil
}

// Announce takes or renews an announcement.
func (a *Announcer) Announce(said Announcement) {
	a.mu.Lock()
	old := a.target
	next := &forwarder.Target{Service: said.Service, Address: said.Address, Slots: said.Slots, Life: said.Life}
	a.expiry = a.clock.Now().Add(leaseTerm)
	if said.Life == a.crashed || (old != nil && old.Life == said.Life && a.leaving) {
		// A late renewal of a target that has crashed or is leaving.
		a.mu.Unlock()
		return
	}
	if old != nil && *old == *next {
		a.mu.Unlock()
		return
	}
	cold := old == nil || old.Life != said.Life
	replaced := old != nil && cold && !a.leaving
	a.target, a.leaving = next, false
	a.mu.Unlock()
	if replaced {
		a.crash(old)
	}
	a.listener.Changed(next, cold)
}

// Suspect looks whether the target still listens, after a broken connection.
func (a *Announcer) Suspect(t *forwarder.Target) {
	c := &check{announcer: a, target: t}
	go c.run()
}

// check is one look at a target.
type check struct {
	announcer *Announcer
	target    *forwarder.Target
}

func (c *check) run() {
	conn, err := net.DialTimeout("tcp", c.target.Address, crashDial)
	if err == nil {
		conn.Close()
		return
	}
	a := c.announcer
	a.mu.Lock()
	gone := a.target == c.target && !a.leaving
	if gone {
		a.target = nil
	}
	a.mu.Unlock()
	if gone {
		a.crash(c.target)
		a.listener.Changed(nil, false)
	}
}

// crash reports the crash of one life once.
func (a *Announcer) crash(t *forwarder.Target) {
	a.mu.Lock()
	known := a.crashed == t.Life
	a.crashed = t.Life
	a.mu.Unlock()
	if !known {
		a.listener.Crashed(t.Service + "/" + t.Life)
	}
}

// Drain stops new work for the target and returns when none is left. Requests
// that other nodes send before they have heard of it are still served.
func (a *Announcer) Drain(ctx context.Context) error {
	a.mu.Lock()
	target := a.target
	a.leaving = true
	a.mu.Unlock()
	if target == nil {
		return nil
	}
	a.listener.Changed(nil, false)
	if err := a.pause(ctx, Spread); err != nil {
		return err
	}
	end := a.clock.Now().Add(drainMost)
	for a.inflight() > 0 && a.clock.Now().Before(end) {
		if err := a.pause(ctx, drainPoll); err != nil {
			return err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target == target {
		closed := *target
		closed.Closed = true
		a.target = &closed
	}
	return nil
}

func (a *Announcer) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	case <-a.clock.After(d):
		return nil
	}
}
