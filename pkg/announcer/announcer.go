// Package announcer takes the announcements of the own target: there is no
// list of targets. An announcement is a lease that the target renews; a
// target that leaves is first announced as leaving, then drained.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// leaseTerm is how long an announcement counts without a renewal.
	leaseTerm = 3 * time.Second
	// LeavePropagationDelay is how long other nodes may go on sending to a leaving target.
	LeavePropagationDelay = 1500 * time.Millisecond
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
	// TargetChanged is called with the target, or nil when there is none that
	// takes new work; cold is for how long it is slow after a start, and below
	// 0 when it has not just started.
	TargetChanged(target *forwarder.Target, cold time.Duration)
	// TargetCrashed is called once for each life of the target that has crashed.
	TargetCrashed(target *forwarder.Target)
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
	// lapsed is a target whose announcement ended without a word. When another
	// life follows it, it has crashed.
	lapsed *forwarder.Target
	// last is the newest report that was taken.
	last order
	// ended is the life that has said that it is gone.
	ended string
}

// order tells reports apart by when their target was started, then by their
// sequence within that life.
type order struct {
	born     int64
	sequence uint64
}

func (o order) before(other order) bool {
	if o.born != other.born {
		return o.born < other.born
	}
	return o.sequence < other.sequence
}

// Report is what a target says about itself in a fleet whose targets report in
// a steady rhythm and leave by saying so.
type Report struct {
	Announcement
	// Cold is for how much longer the target is slow.
	Cold time.Duration
	// Leaving says that the target takes no new work soon.
	Leaving bool
	// Born is when the target was started, in milliseconds since 1970, and
	// Sequence counts its reports since then.
	Born     int64
	Sequence uint64
	// Term is how long the report counts without another one.
	Term time.Duration
}

// Report takes a report. One that is older than another that was taken, also
// of a former life, changes nothing.
func (a *Announcer) Report(r Report, drain time.Duration) {
	at := order{r.Born, r.Sequence}
	a.mu.Lock()
	stale := !a.last.before(at) || r.Life == a.ended
	if stale {
		a.mu.Unlock()
		return
	}
	a.last = at
	known := a.target
	suspect := r.Life == a.crashed
	a.mu.Unlock()
	switch {
	case r.Leaving:
		a.Leave(r.Life, drain)
	case suspect:
		c := &check{announcer: a, target: targetOf(r.Announcement), report: &r}
		go c.run()
	default:
		a.announce(r.Announcement, r.Term, r.Cold, known == nil || known.Life != r.Life)
	}
}

func targetOf(said Announcement) *forwarder.Target {
	return &forwarder.Target{Service: said.Service, Address: said.Address, Slots: said.Slots, Life: said.Life}
}

// Leave stops new work for a life of the target: other nodes are told at once,
// and after drain this node hands it nothing more.
func (a *Announcer) Leave(life string, drain time.Duration) {
	a.mu.Lock()
	target := a.target
	if target == nil || target.Life != life || a.leaving {
		a.mu.Unlock()
		return
	}
	a.leaving = true
	a.mu.Unlock()
	a.listener.TargetChanged(nil, 0)
	l := &closing{announcer: a, target: target, after: drain}
	go l.run()
}

// End takes the word of a life that it is gone: for drain it may still take
// requests that are on their way, unless it was leaving already.
func (a *Announcer) End(life string, drain time.Duration) {
	a.mu.Lock()
	leaving := a.leaving && a.target != nil && a.target.Life == life
	a.ended = life
	a.mu.Unlock()
	if leaving {
		a.close(life)
		return
	}
	a.Leave(life, drain)
}

// ReportMisdirected hears that another target answered in place of one.
func (a *Announcer) ReportMisdirected(t *forwarder.Target) { a.drop(t) }

// closing closes a leaving target when its time is over.
type closing struct {
	announcer *Announcer
	target    *forwarder.Target
	after     time.Duration
}

func (c *closing) run() {
	<-c.announcer.clock.After(c.after)
	c.announcer.close(c.target.Life)
}

// close lets a leaving target take no more requests.
func (a *Announcer) close(life string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving && a.target != nil && a.target.Life == life {
		closed := *a.target
		closed.Closed = true
		a.target = &closed
	}
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
		a.lapsed, a.target = a.target, nil
	}
	a.mu.Unlock()
	if over {
		a.listener.TargetChanged(nil, 0)
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

// coldTime is how long a target counts as cold that does not say.
const coldTime = 3 * time.Second

// Announce takes or renews an announcement.
func (a *Announcer) Announce(said Announcement) {
	a.mu.Lock()
	late := said.Life == a.crashed
	a.mu.Unlock()
	if late {
		// A late renewal of a target that has crashed.
		return
	}
	a.announce(said, leaseTerm, coldTime, false)
}

func (a *Announcer) announce(said Announcement, term, cold time.Duration, back bool) {
	a.mu.Lock()
	old := a.target
	next := targetOf(said)
	a.expiry = a.clock.Now().Add(term)
	if old != nil && old.Life == said.Life && a.leaving && !back {
		a.mu.Unlock()
		return
	}
	if old != nil && *old == *next {
		a.mu.Unlock()
		return
	}
	fresh := old == nil || old.Life != said.Life
	crashed := old
	if old == nil {
		crashed = a.lapsed
	}
	if crashed != nil && (crashed.Life == said.Life || a.isPlannedEnd(crashed)) {
		crashed = nil
	}
	a.target, a.leaving, a.lapsed = next, false, nil
	a.mu.Unlock()
	if crashed != nil {
		a.crash(crashed)
	}
	if !fresh {
		cold = -1
	}
	a.listener.TargetChanged(next, cold)
}

// CheckTarget looks whether the target still listens, after a broken connection.
func (a *Announcer) CheckTarget(t *forwarder.Target) {
	c := &check{announcer: a, target: t}
	go c.run()
}

// check is one look at a target.
type check struct {
	announcer *Announcer
	target    *forwarder.Target
	// report is taken when the target listens; nil for none.
	report *Report
}

func (c *check) run() {
	conn, err := net.DialTimeout("tcp", c.target.Address, crashDial)
	if err == nil {
		conn.Close()
		if c.report != nil {
			c.announcer.revive(c.report)
		}
		return
	}
	if c.report == nil && errors.Is(err, syscall.ECONNREFUSED) {
		c.announcer.drop(c.target)
	}
}

// revive takes back a life that was taken for crashed.
func (a *Announcer) revive(r *Report) {
	a.mu.Lock()
	if a.crashed == r.Life {
		a.crashed = ""
	}
	a.mu.Unlock()
	a.announce(r.Announcement, r.Term, r.Cold, true)
}

// drop forgets a target that is not there any more.
func (a *Announcer) drop(t *forwarder.Target) {
	a.mu.Lock()
	gone := a.target != nil && a.target.Life == t.Life
	crashed := gone && !a.isPlannedEnd(a.target)
	told := gone && !a.leaving
	if gone {
		a.target = nil
	}
	a.mu.Unlock()
	if crashed {
		a.crash(t)
	}
	if told {
		a.listener.TargetChanged(nil, 0)
	}
}

// isPlannedEnd tells whether a target that is gone has said so: it has left for
// good, or it was leaving and its time is over. a.mu is held.
func (a *Announcer) isPlannedEnd(t *forwarder.Target) bool {
	return a.ended == t.Life || t.Closed
}

// crash reports the crash of one life once.
func (a *Announcer) crash(t *forwarder.Target) {
	a.mu.Lock()
	known := a.crashed == t.Life
	a.crashed = t.Life
	a.mu.Unlock()
	if !known {
		a.listener.TargetCrashed(t)
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
	a.listener.TargetChanged(nil, 0)
	if err := a.pause(ctx, LeavePropagationDelay); err != nil {
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
