// Package announcer tracks the node's own target, the service process beside the
// node. No list of targets is configured: the target announces itself. An
// announcement is a lease that the target renews. When a target leaves, the
// other nodes learn of it first, and then the target is drained.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// leaseTTL is how long an announcement stays valid without a renewal.
	leaseTTL = 3 * time.Second
	// LeavePropagationDelay is how long other nodes may keep sending requests to
	// a leaving target.
	LeavePropagationDelay = 1500 * time.Millisecond
	// drainPollInterval is how often a drain checks for running requests.
	drainPollInterval = 20 * time.Millisecond
	// maxDrainTime bounds how long a drain waits for running requests.
	maxDrainTime = 10 * time.Minute
	// probeTimeout bounds the connection attempt that checks whether a target
	// still listens.
	probeTimeout = 200 * time.Millisecond
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4096
	// maxSlots bounds the concurrent requests that a target may announce.
	maxSlots = 1_000_000
)

// Announcement is what a target says about itself.
type Announcement struct {
	// Service is the name of the service that the target runs.
	Service string `json:"service"`
	// Address is where the target listens.
	Address string `json:"address"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Life identifies one run of the target process.
	Life string `json:"life"`
}

// Listener is notified of changes of the own target.
type Listener interface {
	// TargetChanged is called with the target, or with nil when no target takes
	// new work. Cold is the target's warm-up time after a start; it is negative
	// when the target has not just started.
	TargetChanged(target *forwarder.Target, cold time.Duration)
	// TargetLeft is called when no target takes new work since this life has said
	// that it leaves. It never takes new work again.
	TargetLeft(life string)
	// TargetClosed is called when a leaving target receives no more requests, those that
	// wait for a slot included.
	TargetClosed()
	// AnnouncementIgnored is called when an announcement or a report has no effect.
	AnnouncementIgnored(err *IgnoredError)
	// TargetCrashed is called when a life of the target has crashed, but not again
	// while that life is the last one reported as crashed.
	TargetCrashed(target *forwarder.Target)
}

// ColdObserver is told for how long the own target stays cold. Its methods are called
// with the announcer locked, before requests can reach what they are about; they must
// not call the announcer.
type ColdObserver interface {
	// TargetReported is called with each report that is taken, and with the first
	// announcement of a life. stated says that the report itself states for how long the
	// target stays cold, as all reports of such a target do.
	TargetReported(service string, cold time.Duration, stated bool)
	// TargetLost is called when the target no longer runs, or no longer reports.
	TargetLost()
}

// Recorder keeps departures where they outlive the processes of all nodes.
type Recorder interface {
	// Record returns nil once the departure of a life is kept.
	Record(ctx context.Context, life string) error
}

// Announcer tracks the own target through its lives.
type Announcer struct {
	clock    timekeeper.Clock
	listener Listener
	inflight func() int

	mu        sync.Mutex
	target    *forwarder.Target
	leaving   bool
	expiresAt time.Time
	// crashedLife is the last life that was reported as crashed.
	crashedLife string
	// expired is a target that stopped renewing its announcement without having
	// left. If another life follows, the expired one counts as crashed.
	expired *forwarder.Target
	// arbiter decides which reports are taken.
	arbiter arbiter
	// place returns what is known of the own target without its reports; nil if
	// nothing is.
	place func() Place
	// endedLife is the last life that reported its own end.
	endedLife string
	// departures are the lives that have left for good.
	departures departures
	// cold is told how long the target stays cold; it may be nil.
	cold ColdObserver
	// recorder keeps departures; nil if they are kept in memory only.
	recorder Recorder
}

// Report is an announcement in a fleet whose targets report at a fixed interval
// and state when they leave.
type Report struct {
	Announcement
	// Target names the target; all its lives have this name.
	Target string
	// Cold is the rest of the target's warm-up time.
	Cold time.Duration
	// Leaving is set when the target is about to stop taking new work.
	Leaving bool
	// StartMillis is the target's start time in milliseconds since the Unix
	// epoch, and Sequence numbers its reports since then.
	StartMillis int64
	Sequence    uint64
	// TTL is how long the report stays valid if no other follows.
	TTL time.Duration
	// announced marks an announcement, which does not state for how long the target
	// stays cold: Cold is that of its start.
	announced bool
}

// Report accepts a report of the target. A report that states that the target leaves
// holds however late it is; drain is how long the target may still receive requests.
// Reports that are not about the own target, of a life that has left, or that the arbiter
// does not take are ignored, with an *IgnoredError. A life that counts as crashed is
// accepted again only if its target listens.
func (a *Announcer) Report(r Report, drain time.Duration) error {
	if reason := a.checkPlace(r.Announcement); reason != "" {
		return a.ignore(r.Announcement, reason)
	}
	if r.Leaving {
		a.mu.Lock()
		taken := a.arbiter.take(r, a.clock.Now())
		if taken && a.target != nil && a.target.Life == r.Life {
			a.observeCold(&r)
		}
		a.mu.Unlock()
		a.Leave(r.Life, drain)
		return nil
	}
	return a.accept(r)
}

// ignore tells the listener that an announcement has no effect, and returns the error.
func (a *Announcer) ignore(ann Announcement, reason IgnoredReason) error {
	err := &IgnoredError{Announcement: ann, Reason: reason}
	a.listener.AnnouncementIgnored(err)
	return err
}

// accept makes a report of readiness take effect.
func (a *Announcer) accept(r Report) error {
	a.mu.Lock()
	now := a.clock.Now()
	left := a.departures.contain(r.Life, r.Target, now)
	late := !left && !a.arbiter.take(r, now)
	rejoin := a.target == nil || a.target.Life != r.Life
	crashed := r.Life == a.crashedLife
	a.mu.Unlock()
	if left {
		return a.ignore(r.Announcement, ReasonLeft)
	}
	if late {
		return a.ignore(r.Announcement, ReasonLate)
	}
	if crashed {
		a.probeCrashed(&r)
		return nil
	}
	a.announce(&r, rejoin)
	return nil
}

// checkPlace returns why an announcement is not about the own target; empty if it is.
func (a *Announcer) checkPlace(ann Announcement) IgnoredReason {
	if a.place == nil {
		return ""
	}
	place := a.place()
	switch {
	case place.Service != "" && place.Service != ann.Service:
		return ReasonService
	case place.Address != "" && place.Address != ann.Address:
		return ReasonAddress
	}
	return ""
}

func newTarget(ann Announcement) *forwarder.Target {
	return &forwarder.Target{Service: ann.Service, Address: ann.Address, Slots: ann.Slots, Life: ann.Life}
}

// Leave stops new work for a life of the target for good, also if this node does not
// know that life: the listener is notified at once, and after the drain time this node
// delivers no more requests to it.
func (a *Announcer) Leave(life string, drain time.Duration) {
	target, notify := a.depart(life)
	if notify {
		a.listener.TargetLeft(life)
	}
	if target != nil {
		c := &delayedClose{announcer: a, target: target, delay: drain}
		go c.run()
	}
}

// depart records that a life has left. It returns the target if that is this life and
// was not leaving, and whether the listener must be notified: of what others do not know,
// unless another life is in use. The target may be leaving since the node stops.
func (a *Announcer) depart(life string) (target *forwarder.Target, notify bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.departures.add(life)
	if a.target == nil {
		return nil, !known
	}
	if a.target.Life != life {
		return nil, false
	}
	if a.leaving {
		return nil, !known
	}
	a.leaving = true
	return a.target, true
}

// LearnLeft records that, as other nodes know, a life had left before this node
// started: the drain time began then.
func (a *Announcer) LearnLeft(life string) {
	a.Leave(life, 0)
}

// End records that a life has reported its own end. The target may still receive
// requests on their way for the drain time, unless it was already leaving.
func (a *Announcer) End(life string, drain time.Duration) {
	a.mu.Lock()
	leaving := a.leaving && a.target != nil && a.target.Life == life
	a.endedLife = life
	a.mu.Unlock()
	a.Leave(life, drain)
	if leaving {
		a.close(life)
	}
}

// EndTarget records that the lives of a target that started before now have ended. The
// node does not know which ones there were.
func (a *Announcer) EndTarget(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.departures.addTarget(name, a.clock.Now())
}

// SetRecorder names who keeps departures. It must be called before the first
// announcement.
func (a *Announcer) SetRecorder(r Recorder) { a.recorder = r }

// Record returns nil once the departure of a life outlives all processes. Before that it
// must not be acknowledged to the target, although it has taken effect: a report of the same
// life may still be under way.
func (a *Announcer) Record(ctx context.Context, life string) error {
	if a.recorder == nil || life == "" {
		return nil
	}
	return a.recorder.Record(ctx, life)
}

// ReportMisdirected removes a target in whose place another one has answered.
func (a *Announcer) ReportMisdirected(t *forwarder.Target) {
	a.mu.Lock()
	a.arbiter.refute(t.Life)
	a.mu.Unlock()
	a.removeTarget(t)
}

// delayedClose closes a leaving target after a delay.
type delayedClose struct {
	announcer *Announcer
	target    *forwarder.Target
	delay     time.Duration
}

func (c *delayedClose) run() {
	<-c.announcer.clock.After(c.delay)
	c.announcer.close(c.target.Life)
}

// close marks a leaving target as closed, so that it receives no more requests.
func (a *Announcer) close(life string) {
	a.mu.Lock()
	closes := a.leaving && a.target != nil && a.target.Life == life && !a.target.Closed
	if closes {
		closed := *a.target
		closed.Closed = true
		a.target = &closed
	}
	a.mu.Unlock()
	if closes {
		a.listener.TargetClosed()
	}
}

// Place is what the settings of a node say about its own target. Empty fields are not
// known.
type Place struct {
	// Service is the service that runs there, and Address where it listens.
	Service, Address string
}

// SetColdObserver names who is told how long the target stays cold. It must be called
// before the first announcement.
func (a *Announcer) SetColdObserver(o ColdObserver) { a.cold = o }

// observeLoss tells the observer that no target is left. The caller holds a.mu.
func (a *Announcer) observeLoss() {
	if a.cold != nil {
		a.cold.TargetLost()
	}
}

// observeCold tells the observer what a report states. The caller holds a.mu.
func (a *Announcer) observeCold(r *Report) {
	if a.cold != nil {
		a.cold.TargetReported(r.Service, r.Cold, !r.announced)
	}
}

// SetPlace makes the announcer ignore announcements of other targets than the one that
// place returns.
func (a *Announcer) SetPlace(place func() Place) { a.place = place }

// New returns an Announcer; inflight returns how many requests the target runs.
func New(clock timekeeper.Clock, listener Listener, inflight func() int) *Announcer {
	return &Announcer{clock: clock, listener: listener, inflight: inflight}
}

// Target returns the own target, or nil when there is none.
func (a *Announcer) Target() *forwarder.Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target
}

// Run expires announcements that are not renewed, until ctx ends.
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

// expire removes a target whose announcement is no longer valid, unless it is
// leaving.
func (a *Announcer) expire() {
	a.mu.Lock()
	overdue := a.target != nil && !a.leaving && a.clock.Now().After(a.expiresAt)
	if overdue {
		a.expired, a.target = a.target, nil
		a.observeLoss()
	}
	a.mu.Unlock()
	if overdue {
		a.listener.TargetChanged(nil, 0)
	}
}

// ServeHTTP accepts PUT, which announces the target, and DELETE, which drains it
// and responds when the target has no more requests.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		a.withdraw(w, r)
	default:
		http.Error(w, "PUT announces a target, DELETE drains it", http.StatusMethodNotAllowed)
	}
}

func (a *Announcer) put(w http.ResponseWriter, r *http.Request) {
	ann := Announcement{}
	if err := ann.read(w, r); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := ann.check(); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Announce(ann); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// withdraw drains the target for good. A body names the life that leaves; without one
// it is the current one.
func (a *Announcer) withdraw(w http.ResponseWriter, r *http.Request) {
	ann := Announcement{}
	if err := ann.read(w, r); err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if target := a.Target(); ann.Life == "" && target != nil {
		ann.Life = target.Life
	}
	if _, notify := a.depart(ann.Life); notify {
		a.listener.TargetLeft(ann.Life)
	}
	if target := a.Target(); target != nil && target.Life == ann.Life {
		if err := a.drain(r.Context(), target); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	if err := a.Record(r.Context(), ann.Life); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Announcement) read(w http.ResponseWriter, r *http.Request) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(a)
}

func (a *Announcement) check() error {
	if a.Service == "" || a.Life == "" {
		return fmt.Errorf("service and life must not be empty")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("slots is %d; 1 to %d would be right", a.Slots, maxSlots)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("address is %q; an IP number and a port would be right", a.Address)
	}
	return nil
}

// defaultColdTime is the warm-up time of targets whose announcements can't state
// one.
const defaultColdTime = 3 * time.Second

// Announce accepts a first announcement or a renewal. It returns an *IgnoredError if
// the announcement is not about the own target or the life has left.
func (a *Announcer) Announce(ann Announcement) error {
	if reason := a.checkPlace(ann); reason != "" {
		return a.ignore(ann, reason)
	}
	a.mu.Lock()
	now := a.clock.Now()
	crashed := ann.Life == a.crashedLife
	left := a.departures.contain(ann.Life, "", now)
	late := crashed && a.target != nil && !a.arbiter.goesOn(ann.Life, now)
	if !crashed {
		a.arbiter.claimant = ""
	}
	a.mu.Unlock()
	switch {
	case left:
		return a.ignore(ann, ReasonLeft)
	case late:
		return a.ignore(ann, ReasonLate)
	case crashed:
		a.probeCrashed(newAnnouncementReport(ann))
		return nil
	}
	a.announce(newAnnouncementReport(ann), false)
	return nil
}

// newAnnouncementReport returns the report that stands for an announcement.
func newAnnouncementReport(ann Announcement) *Report {
	return &Report{Announcement: ann, Cold: defaultColdTime, TTL: leaseTTL, announced: true}
}

// probeCrashed takes a report of a life that counts as crashed if its target listens.
func (a *Announcer) probeCrashed(r *Report) {
	p := &targetProbe{announcer: a, target: newTarget(r.Announcement), report: r}
	go p.run()
}

// announce sets or renews the target. If another life without a planned end
// precedes it, that one has crashed. A life that is leaving keeps leaving unless
// rejoin is set.
func (a *Announcer) announce(r *Report, rejoin bool) {
	ann, cold := r.Announcement, r.Cold
	a.mu.Lock()
	if a.departures.lives[ann.Life] {
		// It left while the announcement was checked.
		a.mu.Unlock()
		return
	}
	old := a.target
	next := newTarget(ann)
	started := old == nil || old.Life != ann.Life
	a.expiresAt = a.clock.Now().Add(r.TTL)
	if started || !r.announced {
		a.observeCold(r)
	}
	if old != nil && old.Life == ann.Life && a.leaving && !rejoin {
		a.mu.Unlock()
		return
	}
	if old != nil && *old == *next {
		a.mu.Unlock()
		return
	}
	predecessor := old
	if old == nil {
		predecessor = a.expired
	}
	if predecessor != nil && (predecessor.Life == ann.Life || a.leftAsPlanned(predecessor)) {
		predecessor = nil
	}
	a.target, a.leaving, a.expired = next, false, nil
	a.mu.Unlock()
	if predecessor != nil {
		a.reportCrash(predecessor)
	}
	if !started {
		cold = -1
	}
	a.listener.TargetChanged(next, cold)
}

// CheckTarget checks, after a broken connection, whether the target still
// listens. It returns at once.
func (a *Announcer) CheckTarget(t *forwarder.Target) {
	p := &targetProbe{announcer: a, target: t}
	go p.run()
}

// targetProbe checks once whether a target listens.
type targetProbe struct {
	announcer *Announcer
	target    *forwarder.Target
	// report is accepted, and the crash of its life undone, if the target listens.
	// If report is nil, the target is removed if it refuses the connection.
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

// undoCrash accepts a report of a life that was wrongly taken for crashed.
func (a *Announcer) undoCrash(r *Report) {
	a.mu.Lock()
	if a.crashedLife == r.Life {
		a.crashedLife = ""
	}
	a.mu.Unlock()
	a.announce(r, true)
}

// removeTarget removes a target that no longer runs. Without a planned end it
// has crashed.
func (a *Announcer) removeTarget(t *forwarder.Target) {
	a.mu.Lock()
	current := a.target != nil && a.target.Life == t.Life
	crashed := current && !a.leftAsPlanned(a.target)
	notify := current && !a.leaving
	if current {
		a.target = nil
		a.observeLoss()
	}
	a.mu.Unlock()
	if crashed {
		a.reportCrash(t)
	}
	if notify {
		a.listener.TargetChanged(nil, 0)
	}
}

// leftAsPlanned reports whether a target's end was planned: it reported its own
// end, or it was leaving and is closed. The caller holds a.mu.
func (a *Announcer) leftAsPlanned(t *forwarder.Target) bool {
	return a.endedLife == t.Life || t.Closed
}

// reportCrash notifies the listener of a life's crash, unless this crash is the
// last one reported.
func (a *Announcer) reportCrash(t *forwarder.Target) {
	a.mu.Lock()
	reported := a.crashedLife == t.Life
	a.crashedLife = t.Life
	a.mu.Unlock()
	if !reported {
		a.listener.TargetCrashed(t)
	}
}

// Drain stops new work for the target since the node stops, and returns when no request
// is left, or after maxDrainTime. Requests that other nodes send before they learn of
// the drain are still served.
func (a *Announcer) Drain(ctx context.Context) error {
	a.mu.Lock()
	target := a.target
	a.leaving = true
	a.mu.Unlock()
	if target == nil {
		return nil
	}
	a.listener.TargetChanged(nil, 0)
	return a.drain(ctx, target)
}

// drain waits until a target that takes no new work has no request left, and closes it.
func (a *Announcer) drain(ctx context.Context, target *forwarder.Target) error {
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
