package limiter

import (
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// inherit lists the deputies of a limit that is held whole. Until they have been
// in touch, all of them may be handing out tokens for the former holder, but for
// that one itself.
func (h *Holder) inherit(now time.Time, former string) map[string]*contact {
	deputies := map[string]*contact{}
	c := h.config.Current()
	if !deputized(c, h.centre, h.instance) {
		return deputies
	}
	for _, w := range c.Witnesses("") {
		switch w {
		case h.instance:
		case former:
			deputies[w] = newContact()
		default:
			deputies[w] = inheritContact(now.Add(standbyHold+drift), deputyPart(c))
		}
	}
	return deputies
}

// deputyPart is the part of a team's rate that each deputy stands by with.
func deputyPart(c *enforcer.Config) float64 {
	return 1 / float64(max(1, len(c.Witnesses(""))-1))
}

// Standby answers a deputy.
func (h *Holder) Standby(r *control.StandbyRequest) *control.StandbyReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	c := h.config.Current()
	reply := &control.StandbyReply{Session: h.session}
	if !deputized(c, h.centre, h.instance) {
		return reply
	}
	// A deputy goes by its own version of the limits.
	grants := slices.Contains(c.Witnesses(""), r.Instance) && r.Version <= c.Version()
	if grants {
		reply.Hold, reply.Part = uint32(standbyHold.Milliseconds()), deputyPart(c)
	}
	for shard, until := range h.leases {
		if !now.Before(until) || h.closed(now, shard, true) > 0 {
			continue
		}
		if h.contact(now, c, shard, r, grants) {
			reply.Shards = append(reply.Shards, uint32(shard))
		}
	}
	return reply
}

// contact notes that a deputy of a shard was in touch.
func (h *Holder) contact(now time.Time, c *enforcer.Config, shard int, r *control.StandbyRequest, grants bool) bool {
	k, ok := h.deputies[shard][r.Instance]
	if !ok {
		k = inheritContact(now.Add(standbyHold+drift), deputyPart(c))
		h.deputies[shard][r.Instance] = k
	}
	if k.former[r.Session] {
		return false
	}
	if k.session != r.Session {
		// What its former life used it can no longer say.
		h.settle(now, c, shard, r.Instance, now, false)
		k.restart(now, r.Session)
	}
	if base, ok := k.receive(now, r, h.session); ok {
		h.settle(now, c, shard, r.Instance, base, !k.inherited)
		k.advance(now, base)
	}
	if grants {
		k.grant(now, deputyPart(c))
	}
	return true
}

// settle corrects the buckets of a shard by what a deputy said that it used.
func (h *Holder) settle(now time.Time, c *enforcer.Config, shard int, instance string, base time.Time, said bool) {
	k := h.deputies[shard][instance]
	for team, b := range h.buckets {
		if ShardOf(team) == shard {
			b.refill(now, h.part(c, team))
			b.settle(instance, k.totals[team]-k.settled[team], said, base.Add(standbyDelay-drift))
		}
	}
}
