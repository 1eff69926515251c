package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// forgetTimeout bounds the request to one node to drop its tokens.
	forgetTimeout = 300 * time.Millisecond
	// forgetWorkers is how many nodes are asked at a time.
	forgetWorkers = 64
)

// DropTokens implements limiter.PeerClient.
func (d *directory) DropTokens(ctx context.Context, shard int) bool {
	var asked []*control.Entry
	for _, e := range d.gossip.Members() {
		if !e.Replica {
			asked = append(asked, e)
		}
	}
	f := &forgetting{directory: d, shard: uint32(shard), work: make(chan *control.Entry, len(asked)), done: make(chan bool, len(asked))}
	for _, e := range asked {
		f.work <- e
	}
	close(f.work)
	for range min(forgetWorkers, len(asked)) {
		go f.run(ctx)
	}
	all := len(asked) > 0
	for range asked {
		all = <-f.done && all
	}
	return all
}

// Standby implements limiter.PeerClient.
func (d *directory) Standby(ctx context.Context, instance string, r *control.StandbyRequest) (*control.StandbyReply, error) {
	e := d.gossip.Member(instance)
	if e == nil {
		return nil, errUnknown
	}
	return d.caller.Peer(e.Address).Standby(ctx, r)
}

// forgetting makes all nodes drop what they have of a shard's tokens.
type forgetting struct {
	directory *directory
	shard     uint32
	work      chan *control.Entry
	done      chan bool
}

func (f *forgetting) run(ctx context.Context) {
	for e := range f.work {
		f.done <- f.ask(ctx, e)
	}
}

func (f *forgetting) ask(ctx context.Context, e *control.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	_, err := f.directory.caller.Peer(e.Address).Forget(ctx, &control.ForgetRequest{Shard: f.shard})
	return err == nil
}
