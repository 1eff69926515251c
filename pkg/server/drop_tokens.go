package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// dropTimeout bounds the request to one node to drop its tokens.
	dropTimeout = 300 * time.Millisecond
	// maxDropWorkers bounds how many nodes are asked at a time.
	maxDropWorkers = 64
)

// DropTokens implements limiter.PeerClient. Without any known node it returns
// false.
func (d *directory) DropTokens(ctx context.Context, shard int) bool {
	var nodes []*control.Entry
	for _, e := range d.gossip.Members() {
		if !e.Replica {
			nodes = append(nodes, e)
		}
	}
	drop := &tokenDrop{directory: d, shard: uint32(shard), work: make(chan *control.Entry, len(nodes)), replies: make(chan bool, len(nodes))}
	for _, e := range nodes {
		drop.work <- e
	}
	close(drop.work)
	for range min(maxDropWorkers, len(nodes)) {
		go drop.run(ctx)
	}
	confirmed := len(nodes) > 0
	for range nodes {
		confirmed = <-drop.replies && confirmed
	}
	return confirmed
}

// Standby implements limiter.PeerClient.
func (d *directory) Standby(ctx context.Context, instance string, r *control.StandbyRequest) (*control.StandbyReply, error) {
	e := d.gossip.Member(instance)
	if e == nil {
		return nil, errUnknownInstance
	}
	return d.caller.Peer(e.Address).Standby(ctx, r)
}

// tokenDrop makes all nodes drop their cached tokens of one shard.
type tokenDrop struct {
	directory *directory
	shard     uint32
	work      chan *control.Entry
	replies   chan bool
}

func (t *tokenDrop) run(ctx context.Context) {
	for e := range t.work {
		t.replies <- t.ask(ctx, e)
	}
}

func (t *tokenDrop) ask(ctx context.Context, e *control.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, dropTimeout)
	defer cancel()
	_, err := t.directory.caller.Peer(e.Address).Forget(ctx, &control.ForgetRequest{Shard: t.shard})
	return err == nil
}
