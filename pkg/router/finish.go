package router

import (
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// Cause says what decided the choice of a target by the expected time of completion.
type Cause string

// The causes; the empty one stands for the choice by load.
const (
	// CauseHome means that the request stays in the node's own data centre.
	CauseHome Cause = "home"
	// CauseFull means that it leaves since the targets there are full.
	CauseFull Cause = "full"
	// CauseGain means that it leaves since it ends sooner elsewhere.
	CauseGain Cause = "gain"
	// CauseAbsent means that it leaves since no target there is usable.
	CauseAbsent Cause = "absent"
	// CauseProbe means that it leaves to show how fast a target is of which nothing was
	// heard for some time.
	CauseProbe Cause = "probe"
)

// Leaves reports whether the request leaves the node's own data centre.
func (c Cause) Leaves() bool { return c != "" && c != CauseHome }

const (
	// leaveMargin is the part of the expected time in the own data centre that a
	// request must gain elsewhere to be worth its bytes between data centres, and
	// returnMargin the part below which requests return.
	leaveMargin  = 0.3
	returnMargin = 0.15
	// leaveGain is what it must gain at least: short requests gain nothing that a
	// caller notices.
	leaveGain = 2 * time.Millisecond
	// remoteFull is the part of its limit at which a target of another data centre counts
	// as full: the rest is left to the callers beside it, which would have to leave in
	// their turn.
	remoteFull = 0.95
	// lostRejectionTTL replaces loadTTL for rejections while reports are lost. Nothing
	// else shows then that a target is full, so that for loadTTL all requests of all
	// nodes would leave it and fill another.
	lostRejectionTTL = 100 * time.Millisecond
	// unknownTime is the time in the target that is assumed for all if none is known,
	// so that queues and the network still count.
	unknownTime = 10 * time.Millisecond
	// probeInterval is the time between two requests to a target that others replace,
	// which show when it is fast again.
	probeInterval = 500 * time.Millisecond
	// probeShare is the share of requests, 1 in so many, that may show how fast targets in
	// other data centres are. Level and shares keep as many probes. firstProbeShare is the
	// same for targets that have not answered this node yet, and eagerProbeShare for all of
	// them while the own data centre is slow or reports are lost.
	probeShare      = 128
	firstProbeShare = 32
	eagerProbeShare = 8
	// slowerFactor is how many times longer than usual requests to the target in the own
	// data centre take when it counts as slow here.
	slowerFactor = 2
	// suspectFactor is how much more a target that is suspected to be down must gain for
	// a request to leave for it.
	suspectFactor = 8
	// maxDraws is how often a random target is drawn before all are looked at for a
	// usable one.
	maxDraws = 6
	// maxScan bounds the targets of one group that are looked at for one with room when
	// the random ones are full. It is less than subset, so that a choice in a large fleet
	// does not take much longer than in a small one.
	maxScan = 16
)

// PlaceByFinish makes the router choose targets by the expected time of completion. It
// is called before the first choice.
func (r *Router) PlaceByFinish() { r.byFinish = true }

// option is a target as one choice sees it.
type option struct {
	entry *control.Entry
	stats *targetStats
	// full is set if the target has no free slot, as far as this node knows.
	full bool
	// rejects is set if it has rejected requests, or says that it will.
	rejects bool
	// seconds is the mean time of a request in the target, 0 if it is not known.
	seconds float64
	// blind is set if nothing was reported lately, so that only this node's own requests
	// show how loaded the target is.
	blind bool
	// load is the part of its limit that is in use with this request, 1 at least: the
	// requests beyond it wait so many times longer.
	load float64
}

// finish returns the expected time until completion, in seconds. A target whose time is
// not known is taken to be as fast as another.
func (o option) finish(other option) float64 {
	seconds := o.seconds
	if seconds == 0 {
		seconds = other.seconds
	}
	if seconds == 0 {
		seconds = unknownTime.Seconds()
	}
	finish := o.stats.distance.seconds + seconds*o.load
	if o.isSuspect() && o.stats.silence != nil {
		finish *= suspectFactor
	}
	return finish
}

// workLoad returns the requests that run and wait at a target, and their limit, as far as
// this node knows. What the target's node reported gives way, with its age, to what this
// node has sent there itself.
func (s *targetStats) workLoad(e *control.Entry, weight float64) (requests, limit float64) {
	if weight == 0 {
		return float64(s.inflight), max(float64(e.Slots), 1)
	}
	// No more of what was sent since the report can be left than is in flight.
	reported := float64(s.work.Running + s.work.Queued + min(s.work.sent, s.inflight))
	return weight*reported + (1-weight)*float64(s.inflight), max(float64(s.work.Limit), 1)
}

// reportsLost reports whether answers come from the target without reports.
func (s *targetStats) reportsLost() bool { return s.answeredAt.Sub(s.work.reportedAt) > workTTL }

// seconds returns the mean time of a request in a target, 0 if it is not known. Unless
// reports are lost, the last one, however old, says more than the few requests that this
// node has sent there.
func (s *targetStats) seconds(weight float64) float64 {
	reported, observed := s.work.Time.Seconds(), max(s.latency.mean-s.distance.seconds, 0)
	switch {
	case reported == 0:
		return observed
	case observed > 0 && s.reportsLost():
		return weight*reported + (1-weight)*observed
	}
	return reported
}

// rejects reports whether the target has rejected requests lately, or says that it will.
func (s *targetStats) rejects(now time.Time) bool {
	ttl := loadTTL
	if s.reportsLost() {
		ttl = lostRejectionTTL
	}
	return !s.lastShed.IsZero() && now.Sub(s.lastShed) < ttl || !s.pausedUntil.IsZero() && now.Before(s.pausedUntil) || s.coldBoundUsed(now)
}

// isFull reports whether the target has no free slot, or none for callers of other data
// centres.
func (s *targetStats) isFull(e *control.Entry, now time.Time) bool {
	if s.rejects(now) {
		return true
	}
	requests, limit := s.workLoad(e, s.work.weight(now))
	if s.silence != nil {
		limit *= remoteFull
	}
	return requests >= limit
}

// finishState is what the choice by the expected time of completion keeps of the
// candidates of a service. The zero value is ready to use.
type finishState struct {
	local, remote []*targetStats
	// remoteTarget is the target of another data centre to which a request went last because
	// of the gain; nil once there is none any more.
	remoteTarget *targetStats
	// count counts choices.
	count uint32
}

// prepare finds the statistics of new candidates, so that a choice need not look them
// up by name.
func (r *Router) prepare(c *candidates) {
	f := &c.finish
	if len(f.local) == len(c.local) && len(f.remote) == len(c.remote) {
		return
	}
	f.local, f.remote = nil, nil
	for _, e := range c.local {
		f.local = append(f.local, r.targetStats(e))
	}
	for _, e := range c.remote {
		f.remote = append(f.remote, r.targetStats(e))
	}
}

// placeByFinish chooses among two random candidates of the own data centre and two of
// the others.
func (r *Router) placeByFinish(c *candidates, tried map[string]bool, now time.Time) (*control.Entry, Cause) {
	r.prepare(c)
	f := &c.finish
	f.count++
	for _, excluded := range []map[string]bool{tried, nil} {
		local := r.best(c.local, f.local, excluded, now)
		remote := r.best(c.remote, f.remote, excluded, now)
		if local.full {
			local = r.withRoom(local, c.local, f.local, excluded, now)
		}
		if remote.full && (local.entry == nil || local.full) {
			remote = r.withRoom(remote, c.remote, f.remote, excluded, now)
		}
		if local.entry == nil && remote.entry == nil {
			continue
		}
		chosen, cause := f.decide(local, remote)
		switch {
		case probesLocal(local, cause, now):
			chosen, cause = local, CauseHome
		case f.probesRemote(local, remote, cause, now):
			chosen, cause = remote, CauseProbe
		}
		return r.begin(chosen.entry, now), cause
	}
	// No candidate is usable. Trying any member that stays is better than failing.
	e := r.fallback(c.members, now)
	switch {
	case e == nil:
		return nil, ""
	case e.Centre == r.centre:
		return r.begin(e, now), CauseHome
	}
	return r.begin(e, now), CauseAbsent
}

// best returns the better of two random usable targets that were not tried, the zero
// option if there are none.
func (r *Router) best(entries []*control.Entry, stats []*targetStats, tried map[string]bool, now time.Time) option {
	first := r.draw(entries, stats, tried, now, -1)
	if first < 0 {
		return option{}
	}
	a := r.option(entries[first], stats[first], now)
	second := -1
	if len(entries) > 1 {
		second = r.draw(entries, stats, tried, now, first)
	}
	if second >= 0 {
		if b := r.option(entries[second], stats[second], now); b.before(a) {
			a = b
		}
	}
	return a
}

// withRoom returns a target with room, from a random one on, to replace a full option;
// the option itself if there is none.
func (r *Router) withRoom(o option, entries []*control.Entry, stats []*targetStats, tried map[string]bool, now time.Time) option {
	start := r.random.IntN(len(entries))
	for k := range min(len(entries), maxScan) {
		i := start + k
		if i >= len(entries) {
			i -= len(entries)
		}
		if s := stats[i]; !s.isFull(entries[i], now) && r.available(entries[i], s, tried, now) {
			return r.option(entries[i], s, now)
		}
	}
	return o
}

// draw returns the index of a random usable target that was not tried, except other;
// -1 if there is none.
func (r *Router) draw(entries []*control.Entry, stats []*targetStats, tried map[string]bool, now time.Time, other int) int {
	if len(entries) == 0 {
		return -1
	}
	for range maxDraws {
		if i := r.random.IntN(len(entries)); i != other && r.available(entries[i], stats[i], tried, now) {
			return i
		}
	}
	start := r.random.IntN(len(entries))
	for k := range entries {
		if i := (start + k) % len(entries); i != other && r.available(entries[i], stats[i], tried, now) {
			return i
		}
	}
	return -1
}

// available reports whether a target is usable and was not tried.
func (r *Router) available(e *control.Entry, s *targetStats, tried map[string]bool, now time.Time) bool {
	return (len(tried) == 0 || !tried[e.Instance]) && s.usable(e, now)
}

// option returns a target as this choice sees it.
func (r *Router) option(e *control.Entry, s *targetStats, now time.Time) option {
	weight := s.work.weight(now)
	requests, limit := s.workLoad(e, weight)
	load := max(1, (requests+1)/limit)
	if s.isCold(now) {
		load *= coldPenalty
	}
	return option{
		entry: e, stats: s, full: s.isFull(e, now), rejects: s.rejects(now),
		seconds: s.seconds(weight), blind: weight == 0, load: load,
	}
}

// isSuspect reports whether the target's node is suspected to be down.
func (o option) isSuspect() bool { return o.entry.State == control.State_STATE_SUSPECT }

// before reports whether a target is better than another in the same data centre or
// also far from it.
func (o option) before(p option) bool {
	if o.full != p.full {
		return p.full
	}
	if suspect := p.isSuspect(); suspect != o.isSuspect() {
		return suspect
	}
	if o.blind && p.blind {
		return o.finish(p)*o.ownLoad() < p.finish(o)*p.ownLoad()
	}
	return o.finish(p) < p.finish(o)
}

// ownLoad is what this node's own requests say of the load of a target.
func (o option) ownLoad() float64 {
	return float64(o.stats.inflight+1) / max(float64(o.entry.Slots), 1)
}

// decide chooses between the best target of the own data centre and the best of the
// others.
func (f *finishState) decide(local, remote option) (option, Cause) {
	switch {
	case remote.entry == nil:
		return local, CauseHome
	case local.entry == nil:
		return remote, CauseAbsent
	}
	stay, leave := local.finish(remote), remote.finish(local)
	switch {
	case remote.full && !local.full:
		return local, CauseHome
	case local.full && !remote.full && (local.rejects || leave < stay):
		return remote, CauseFull
	}
	margin := max(leaveMargin*stay, leaveGain.Seconds())
	if f.remoteTarget != nil {
		margin = returnMargin * stay
	}
	if stay-leave > margin {
		f.remoteTarget = remote.stats
		return remote, CauseGain
	}
	// Another target, which was drawn this time, says nothing about the one in use.
	if f.remoteTarget == remote.stats {
		f.remoteTarget = nil
	}
	return local, CauseHome
}

// probesLocal reports whether a request that would leave for a gain stays to show whether
// the target in the own data centre is fast again.
func probesLocal(local option, cause Cause, now time.Time) bool {
	return cause == CauseGain && !local.full && now.Sub(local.stats.chosenAt) >= probeInterval
}

// probesRemote reports whether a request that would stay leaves to show how fast a target
// is of which nothing was heard lately: sooner if the own data centre has become slow, or
// while there are no reports to go by.
func (f *finishState) probesRemote(local, remote option, cause Cause, now time.Time) bool {
	if cause != CauseHome || remote.entry == nil || remote.full || remote.stats.work.weight(now) == 1 {
		return false
	}
	slower := local.stats.workBaseline > 0 && local.seconds > slowerFactor*local.stats.workBaseline
	switch {
	case slower || local.stats.reportsLost():
		return f.count%eagerProbeShare == 0 && now.Sub(remote.stats.chosenAt) >= probeInterval
	case remote.seconds == 0:
		return f.count%firstProbeShare == 0
	}
	return f.count%probeShare == 0
}
