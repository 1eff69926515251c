package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// holdingTimeout bounds the question to one node for what it holds.
	holdingTimeout = 300 * time.Millisecond
	// holdingWorkers is how many nodes are asked at a time.
	holdingWorkers = 64
)

// Nodes implements limiter.Voters.
func (d *directory) Nodes() int { return d.size() }

// Holdings implements limiter.Voters.
func (d *directory) Holdings(ctx context.Context, shard int) ([]limiter.Statement, int) {
	var asked []*control.Entry
	for _, e := range d.gossip.Members() {
		if !e.Replica {
			asked = append(asked, e)
		}
	}
	c := &census{directory: d, shard: uint32(shard), work: make(chan *control.Entry, len(asked)), done: make(chan *limiter.Statement, len(asked))}
	for _, e := range asked {
		c.work <- e
	}
	close(c.work)
	for range min(holdingWorkers, len(asked)) {
		go c.run(ctx)
	}
	var statements []limiter.Statement
	silent := 0
	for range asked {
		if s := <-c.done; s != nil {
			statements = append(statements, *s)
			continue
		}
		silent++
	}
	return statements, silent
}

// census asks nodes what they hold.
type census struct {
	directory *directory
	shard     uint32
	work      chan *control.Entry
	done      chan *limiter.Statement
}

func (c *census) run(ctx context.Context) {
	for e := range c.work {
		c.done <- c.ask(ctx, e)
	}
}

func (c *census) ask(ctx context.Context, e *control.Entry) *limiter.Statement {
	ctx, cancel := context.WithTimeout(ctx, holdingTimeout)
	defer cancel()
	reply, err := c.directory.caller.Peer(e.Address).Holding(ctx, &control.HoldingRequest{Shard: c.shard})
	if err != nil {
		return nil
	}
	return &limiter.Statement{Instance: e.Instance, Session: reply.Session, Held: reply.Held}
}
