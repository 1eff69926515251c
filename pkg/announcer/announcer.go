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
	// leaseTTL is how long an announcement counts without a renewal.
	leaseTTL = 3 * time.Second
	// LeavePropagationDelay is how long other nodes may go on sending to a leaving target.
	LeavePropagationDelay = 1500 * time.Millisecond
	// drainPollInterval is how often a drain looks whether requests still run.
	drainPollInterval = 20 * time.Millisecond
	// maxDrainTime bounds a drain.
	maxDrainTime = 10 * time.Minute
	// probeTimeout bounds the look whether a target still listens.
	probeTimeout = 200 * time.Millisecond
	// maxAnnouncementBytes bounds the body of an announcement, in bytes.
	maxAnnouncementBytes = 4096
	maxSlots             = 1_000_000
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

	mu        sync.Mutex
	target    *forwarder.Target
	leaving   bool
	expiresAt time.Time
	// crashedLife is the life that is known to have crashed.
	crashedLife string
	// expired is a target whose announcement ended without a word. When another
	// life follows it, it has crashed.
	expired *forwarder.Target
	// lastReport is the newest report that was taken.
	lastReport reportOrder
	// endedLife is the life that has said that it is gone.
	endedLife string
}

// reportOrder tells reports apart by when their target was started, then by their
// sequence within that life.
type reportOrder struct {
	startMillis int64
	sequence    uint64
}

func (o reportOrder) before(other reportOrder) bool {
	if o.startMillis != other.startMillis {
		return o.startMillis < other.startMillis
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
	// StartMillis is when the target was started, in milliseconds since 1970, and
	// Sequence counts its reports since then.
	StartMillis int64
	Sequence    uint64
	// TTL is how long the report counts without another one.
	TTL time.Duration
}

// Report takes a report. One that is older than another that was taken, also
// of a former life, changes nothing.
func (a *Announcer) Report(r Report, drain time.Duration) {
	at := reportOrder{r.StartMillis, r.Sequence}
	a.mu.Lock()
	stale := !a.lastReport.before(at) || r.Life == a.endedLife
	if stale {
		a.mu.Unlock()
		return
	}
	a.lastReport = at
	previous := a.target
	crashed := r.Life == a.crashedLife
	a.mu.Unlock()
	switch {
	case r.Leaving:
		a.Leave(r.Life, drain)
	case crashed:
		p := &targetProbe{announcer: a, target: newTarget(r.Announcement), report: &r}
		go p.run()
	default:
		a.announce(r.Announcement, r.TTL, r.Cold, previous == nil || previous.Life != r.Life)
	}
}

func newTarget(ann Announcement) *forwarder.Target {
	return &forwarder.Target{Service: ann.Service, Address: ann.Address, Slots: ann.Slots, Life: ann.Life}
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
	c := &delayedClose{announcer: a, target: target, delay: drain}
	go c.run()
}

// End takes the word of a life that it is gone: for drain it may still take
// requests that are on their way, unless it was leaving already.
func (a *Announcer) End(life string, drain time.Duration) {
	a.mu.Lock()
	leaving := a.leaving && a.target != nil && a.target.Life == life
	a.endedLife = life
	a.mu.Unlock()
	if leaving {
		a.close(life)
		return
	}
	a.Leave(life, drain)
}

// ReportMisdirected hears that another target answered in place of one.
func (a *Announcer) ReportMisdirected(t *forwarder.Target) { a.removeTarget(t) }

// delayedClose closes a leaving target when its time is over.
type delayedClose struct {
	announcer *Announcer
	target    *forwarder.Target
	delay     time.Duration
}

func (c *delayedClose) run() {
	<-c.announcer.clock.After(c.delay)
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
		case <-a.clock.After(leaseTTL / 4):
			a.expire()
		}
	}
}

func (a *Announcer) expire() {
	a.mu.Lock()
	expired := a.target != nil && !a.leaving && a.clock.Now().After(a.expiresAt)
	if expired {
		a.expired, a.target = a.target, nil
	}
	a.mu.Unlock()
	if expired {
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
	ann := Announcement{}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ann); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := ann.check(); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.Announce(ann)
	w.WriteHeader(http.StatusNoContent)
}

func (ann *Announcement) check() error {
	if ann.Service == "" || ann.Life == "" {
		return fmt.Errorf("service and life must not be empty")
	}
	if ann.Slots < 1 || ann.Slots > maxSlots {
		return fmt.Errorf("slots is %d; 1 to %d would be right", ann.Slots, maxSlots)
	}
	host, _, err := net.SplitHostPort(ann.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("address is %q; an IP number and a port would be right", ann.Address)
	}
	return nil
}

// defaultColdTime is how long a target counts as cold that does not say.
const defaultColdTime = 3 * time.Second

// Announce takes or renews an announcement.
func (a *Announcer) Announce(ann Announcement) {
	a.mu.Lock()
	crashed := ann.Life == a.crashedLife
	a.mu.Unlock()
	if crashed {
		// A late renewal of a target that has crashed.
		return
	}
	a.announce(ann, leaseTTL, defaultColdTime, false)
}

func (a *Announcer) announce(ann Announcement, ttl, cold time.Duration, rejoin bool) {
	a.mu.Lock()
	old := a.target
	next := newTarget(ann)
	a.expiresAt = a.clock.Now().Add(ttl)
	if old != nil && old.Life == ann.Life && a.leaving && !rejoin {
		a.mu.Unlock()
		return
	}
	if old != nil && *old == *next {
		a.mu.Unlock()
		return
	}
	started := old == nil || old.Life != ann.Life
	crashed := old
	if old == nil {
		crashed = a.expired
	}
	if crashed != nil && (crashed.Life == ann.Life || a.leftAsPlanned(crashed)) {
		crashed = nil
	}
	a.target, a.leaving, a.expired = next, false, nil
	a.mu.Unlock()
	if crashed != nil {
		a.reportCrash(crashed)
	}
	if !started {
		cold = -1
	}
	a.listener.TargetChanged(next, cold)
}

// CheckTarget looks whether the target still listens, after a broken connection.
func (a *Announcer) CheckTarget(t *forwarder.Target) {
	p := &targetProbe{announcer: a, target: t}
	go p.run()
}

// targetProbe is one look at a target.
type targetProbe struct {
	announcer *Announcer
	target    *forwarder.Target
	// report is taken when the target listens; nil for none.
	report *Report
}

func (p *targetProbe) run() {
	conn, err := net.DialTimeout("tcp", p.target.Address, probeTimeout)
	if err == nil {
		conn.Close()
		if p.report != nil {
			p.announcer.undoCrash(p.report)
		}
		return
	}
	if p.report == nil && errors.Is(err, syscall.ECONNREFUSED) {
		p.announcer.removeTarget(p.target)
	}
}

// undoCrash takes back a life that was taken for crashed.
func (a *Announcer) undoCrash(r *Report) {
	a.mu.Lock()
	if a.crashedLife == r.Life {
		a.crashedLife = ""
	}
	a.mu.Unlock()
	a.announce(r.Announcement, r.TTL, r.Cold, true)
}

// removeTarget forgets a target that is not there any more.
func (a *Announcer) removeTarget(t *forwarder.Target) {
	a.mu.Lock()
	current := a.target != nil && a.target.Life == t.Life
	crashed := current && !a.leftAsPlanned(a.target)
	notify := current && !a.leaving
	if current {
		a.target = nil
	}
	a.mu.Unlock()
	if crashed {
		a.reportCrash(t)
	}
	if notify {
		a.listener.TargetChanged(nil, 0)
	}
}

// leftAsPlanned tells whether a target that is gone has said so: it has left for
// good, or it was leaving and its time is over. a.mu is held.
func (a *Announcer) leftAsPlanned(t *forwarder.Target) bool {
	return a.endedLife == t.Life || t.Closed
}

// reportCrash reports the crash of one life once.
func (a *Announcer) reportCrash(t *forwarder.Target) {
	a.mu.Lock()
	reported := a.crashedLife == t.Life
	a.crashedLife = t.Life
	a.mu.Unlock()
	if !reported {
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
	if err := a.wait(ctx, LeavePropagationDelay); err != nil {
		return err
	}
	deadline := a.clock.Now().Add(maxDrainTime)
	for a.inflight() > 0 && a.clock.Now().Before(deadline) {
		if err := a.wait(ctx, drainPollInterval); err != nil {
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

func (a *Announcer) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	case <-a.clock.After(d):
		return nil
	}
}
