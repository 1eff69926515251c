package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// This file decides which instance holds a lease, and answers the load of all
// witnesses starting at once.

// Renew asks for the leases that this instance holds or should try to hold.
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

// renewal is the renewal of one lease. Leases are renewed side by side, so that
// a witness that does not answer holds up none of them.
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

// candidateGap is by how much longer than the one before it a candidate for a
// lease waits: a round of votes, so that candidates do not split them.
const candidateDelay = renewInterval / 2

// mayTry tells whether it is this instance's turn to try for a lease. The
// preferred witness may at once, the others when their own vote has been free
// for longer by their distance from it.
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

// renewShard tries for a lease. A witness that is not preferred tries only
// when its own vote is free, and one that failed because of a rival pauses until
// its votes have run out, each rank for a different time, so that rivals do not
// block each other.
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
	denials := h.denialCount()
	votes, former, rival := h.countVotes(ctx, witnesses, request)
	if votes > len(witnesses)/2 && h.denialCount() == denials {
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
		// Witnesses that abstain yet, or were not reached, may vote at the next
		// try; the votes that were given are for this holder.
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

// ballot is one vote being asked for.
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

// countVotes counts until there is a majority. former is the instance that all
// of these know as the last one that opened buckets, if they agree: no other can
// have done so since, as it would have told a majority before. rival tells that a
// vote was refused in favour of another instance.
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

// open lets the buckets of a shard fill at once, when no node has tokens of a
// former holder any more.
func (h *Holder) openShard(ctx context.Context, shard int, witnesses []string, r *control.LeaseRequest) {
	if votes, _, _ := h.countVotes(ctx, witnesses, &control.LeaseRequest{Name: r.Name, Instance: r.Instance, Version: r.Version, Session: r.Session, Open: true}); votes > len(witnesses)/2 {
		h.confirm(shard)
	}
	h.dropFormerTokens(ctx, shard)
}

// forget opens the buckets of a shard that are still closed if all nodes drop the
// tokens of a former holder. Nodes that do not answer yet, as after a start of
// all, are asked again with the next renewal.
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

// confirm notes that a majority of the witnesses knows that this instance opens
// its buckets.
func (h *Holder) confirm(shard int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed[shard] {
		h.log.Info("hold_confirmed", "shard", shard)
	}
	h.confirmed[shard] = true
}

// closed is how long the buckets of a shard stay closed; 0 when they are open.
func (h *Holder) closedFor(now time.Time, shard int, fleetWide bool) time.Duration {
	if now.Before(h.opensAt[shard]) {
		return h.opensAt[shard].Sub(now)
	}
	if fleetWide && !h.confirmed[shard] {
		return renewInterval
	}
	return 0
}
