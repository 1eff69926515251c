package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// This file decides which instance holds the lease of a shard. It also covers the
// case that all witnesses start at the same time and compete for every lease.

// Renew requests the leases that this instance holds or may try to obtain.
func (h *Holder) Renew(ctx context.Context) {
	c := h.config.Current()
	witnesses := c.Witnesses(c.LimitDomain(h.centre))
	rank := slices.Index(witnesses, h.instance)
	if rank < 0 {
		return
	}
	var group sync.WaitGroup
	for shard := range shardCount {
		n := &renewal{holder: h, shard: shard, witnesses: witnesses, config: c, rank: rank, group: &group}
		group.Add(1)
		go n.run(ctx)
	}
	group.Wait()
}

// renewal is the renewal of one lease. Leases are renewed concurrently, so that a
// witness that does not answer delays none of them.
type renewal struct {
	holder    *Holder
	shard     int
	witnesses []string
	config    *enforcer.Config
	rank      int
	group     *sync.WaitGroup
}

func (n *renewal) run(ctx context.Context) {
	defer n.group.Done()
	n.holder.renewShard(ctx, n.shard, n.witnesses, n.config, n.rank)
}

// candidateDelay is how much longer each candidate for a lease waits than the
// one ranked before it: long enough for one round of votes, so that candidates
// do not split the votes.
const candidateDelay = renewInterval / 2

// mayTry reports whether this instance may try to obtain a lease now. The
// preferred witness of the shard (distance 0) may always try. Another one may try
// once its own witness has been free to vote for it for candidateDelay times its
// distance from the preferred one.
func (h *Holder) mayTry(ctx context.Context, shard, distance int, request *control.LeaseRequest) bool {
	if distance == 0 {
		return true
	}
	reply, err := h.peerClient.Lease(ctx, h.instance, &control.LeaseRequest{
		Name: request.Name, Instance: request.Instance, Version: request.Version, Session: request.Session, Peek: true,
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || !reply.Granted {
		delete(h.voteFreeSince, shard)
		return false
	}
	now := h.clock.Now()
	since, ok := h.voteFreeSince[shard]
	if !ok {
		since = now
		h.voteFreeSince[shard] = now
	}
	return now.Sub(since) >= time.Duration(distance)*candidateDelay
}

// renewShard renews a lease or tries to obtain it. An instance that failed
// because a witness had voted for a rival pauses until the votes that it got itself
// have expired; the pause differs by rank, so that rivals do not block each other
// again.
func (h *Holder) renewShard(ctx context.Context, shard int, witnesses []string, c *enforcer.Config, rank int) {
	version := c.Version()
	sent := h.clock.Now()
	request := &control.LeaseRequest{Name: LeaseName(c.LimitDomain(h.centre), shard), Instance: h.instance, Version: version, Session: h.session}
	request.Open = h.holdsShard(shard)
	if !request.Open {
		if sent.Before(h.retryAt(shard)) {
			return
		}
		if !h.mayTry(ctx, shard, (rank-shard%len(witnesses)+len(witnesses))%len(witnesses), request) {
			return
		}
	}
	leaseChecks := h.leaseCheckCount()
	votes, former, rival := h.countVotes(ctx, witnesses, request)
	if votes > len(witnesses)/2 && h.leaseCheckCount() == leaseChecks {
		switch {
		case h.recordLease(shard, sent, version, former) && c.LimitDomain(h.centre) == "":
			h.openShard(ctx, shard, witnesses, request)
		case request.Open:
			h.confirm(shard)
			h.dropFormerTokens(ctx, shard)
		}
		return
	}
	if request.Open {
		h.log.Warn("hold_doubted", "shard", shard, "votes", votes, "witnesses", len(witnesses))
	}
	if !rival {
		// Witnesses that still abstain or were unreachable may vote at the next
		// try. All votes given so far are for this instance, so there is no reason
		// to pause.
		return
	}
	h.mu.Lock()
	h.retryAfter[shard] = h.clock.Now().Add(leaseTTL + time.Duration(rank)*renewInterval)
	h.mu.Unlock()
}

func (h *Holder) retryAt(shard int) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retryAfter[shard]
}

// ballot is the request for one witness's vote.
type ballot struct {
	peerClient PeerClient
	witness    string
	request    *control.LeaseRequest
	replies    chan *control.LeaseReply
}

func (b *ballot) run(ctx context.Context) {
	reply, err := b.peerClient.Lease(ctx, b.witness, b.request)
	if err != nil {
		reply = &control.LeaseReply{}
	}
	b.replies <- reply
}

// countVotes requests votes and counts them until there is a majority. former is
// the instance that all counted witnesses recorded as the last one to open
// buckets, or empty if they disagree. No other instance can have opened buckets
// since, because it first has to announce that to a majority. rival means that a
// witness denied its vote and named another instance as the one it voted for last.
func (h *Holder) countVotes(ctx context.Context, witnesses []string, request *control.LeaseRequest) (count int, former string, rival bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	replies := make(chan *control.LeaseReply, len(witnesses))
	for _, w := range witnesses {
		b := &ballot{peerClient: h.peerClient, witness: w, request: request, replies: replies}
		go b.run(ctx)
	}
	for range witnesses {
		reply := <-replies
		if !reply.Granted {
			rival = rival || reply.Holder != "" && reply.Holder != h.instance
			continue
		}
		if count++; count == 1 {
			former = reply.Former
		}
		if reply.Former != former {
			former = ""
		}
		if count > len(witnesses)/2 {
			break
		}
	}
	return count, former, rival
}

// openShard announces to the witnesses that this instance is about to open the
// buckets of a shard. It then tries to open them before opensAt, by making all
// nodes drop the tokens of the former holder.
func (h *Holder) openShard(ctx context.Context, shard int, witnesses []string, r *control.LeaseRequest) {
	if votes, _, _ := h.countVotes(ctx, witnesses, &control.LeaseRequest{Name: r.Name, Instance: r.Instance, Version: r.Version, Session: r.Session, Open: true}); votes > len(witnesses)/2 {
		h.confirm(shard)
	}
	h.dropFormerTokens(ctx, shard)
}

// dropFormerTokens opens the buckets of a shard that are still closed once all
// nodes have dropped the tokens of the former holder. If some nodes do not answer
// yet, as when the whole fleet starts, the next renewal tries again.
func (h *Holder) dropFormerTokens(ctx context.Context, shard int) {
	if !h.isClosed(shard) || !h.peerClient.DropTokens(ctx, shard) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.clock.Now(); now.Before(h.opensAt[shard]) {
		h.opensAt[shard] = now
		h.log.Info("hold_open", "shard", shard)
	}
}

func (h *Holder) isClosed(shard int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now().Before(h.opensAt[shard])
}

// confirm records that a majority of the witnesses knows this instance as the
// one that opens the buckets of the shard.
func (h *Holder) confirm(shard int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed[shard] {
		h.log.Info("hold_confirmed", "shard", shard)
	}
	h.confirmed[shard] = true
}

// closedFor returns how long the buckets of a shard stay closed; 0 when they are
// open. Buckets of a fleet-wide limit also stay closed until a majority of the
// witnesses has confirmed this holder, which the next renewal retries.
func (h *Holder) closedFor(now time.Time, shard int, fleetWide bool) time.Duration {
	if now.Before(h.opensAt[shard]) {
		return h.opensAt[shard].Sub(now)
	}
	if fleetWide && !h.confirmed[shard] {
		return renewInterval
	}
	return 0
}
