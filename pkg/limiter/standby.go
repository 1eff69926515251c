package limiter

import (
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// inheritDeputies returns the records of the deputies of a new lease on a
// fleet-wide limit. Until this holder has received their requests, any of them may
// be granting tokens in place of the former holder, except the former holder
// itself.
func (h *Holder) inheritDeputies(now time.Time, former string) map[string]*deputyRecord {
	deputies := map[string]*deputyRecord{}
	c := h.config.Current()
	if !isFleetWitness(c, h.centre, h.instance) {
		return deputies
	}
	for _, w := range c.Witnesses("") {
		switch w {
		case h.instance:
		case former:
			deputies[w] = newDeputyRecord()
		default:
			deputies[w] = inheritDeputyRecord(now.Add(standbyGrantTTL+maxDrift), deputyShare(c))
		}
	}
	return deputies
}

// deputyShare is the share of a team's rate that each deputy may grant: that of one
// of all witnesses. Load answered: a witness freezes or is cut off while teams send
// close to their rates. The other holders withhold the share of this deputy for
// standbyGrantTTL, so a larger one would cost more there than it serves while a
// holder is lost, which is until another witness gets the lease.
func deputyShare(c *enforcer.Config) float64 {
	return 1 / float64(max(1, len(c.Witnesses(""))))
}

// Standby answers the request of a deputy.
func (h *Holder) Standby(r *control.StandbyRequest) *control.StandbyReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	c := h.config.Current()
	reply := &control.StandbyReply{Session: h.session}
	if !isFleetWitness(c, h.centre, h.instance) {
		return reply
	}
	// A deputy applies the limits of its own version. One with a newer version
	// than this holder's gets no permission.
	grants := slices.Contains(c.Witnesses(""), r.Instance) && r.Version <= c.Version()
	if grants {
		reply.Hold, reply.Part = uint32(standbyGrantTTL.Milliseconds()), deputyShare(c)
	}
	for shard, until := range h.leases {
		if !now.Before(until) || h.closedFor(now, shard, true) > 0 {
			continue
		}
		if h.receiveDeputy(now, c, shard, r, grants) {
			reply.Shards = append(reply.Shards, uint32(shard))
		}
	}
	return reply
}

// receiveDeputy records a deputy's request for one shard. It returns false if the
// request comes from an earlier run of the deputy's process.
func (h *Holder) receiveDeputy(now time.Time, c *enforcer.Config, shard int, r *control.StandbyRequest, grants bool) bool {
	d, ok := h.deputies[shard][r.Instance]
	if !ok {
		d = inheritDeputyRecord(now.Add(standbyGrantTTL+maxDrift), deputyShare(c))
		h.deputies[shard][r.Instance] = d
	}
	if d.endedSessions[r.Session] {
		return false
	}
	if d.session != r.Session {
		// The new process doesn't know how many tokens the earlier one granted.
		h.settleDeputy(now, c, shard, r.Instance, now, false)
		d.startSession(now, r.Session)
	}
	if confirmedAt, ok := d.receive(now, r, h.session); ok {
		h.settleDeputy(now, c, shard, r.Instance, confirmedAt, !d.inherited)
		d.confirm(now, confirmedAt)
	}
	if grants {
		d.grant(now, deputyShare(c))
	}
	return true
}

// settleDeputy replaces the tokens that the buckets of a shard withhold for a
// deputy by the number that it reported. If reported is false, all of them are
// taken as granted.
func (h *Holder) settleDeputy(now time.Time, c *enforcer.Config, shard int, instance string, confirmedAt time.Time, reported bool) {
	d := h.deputies[shard][instance]
	for team, b := range h.buckets {
		if ShardOf(team) == shard {
			b.replenish(now, h.allocation(c, team))
			b.settleDeputy(instance, d.totals[team]-d.settled[team], reported, confirmedAt.Add(standbyDelay-maxDrift))
		}
	}
}
