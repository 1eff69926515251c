package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// replicaRequestTimeout bounds the request to one replica, so that within
// stepTimeout time is left for the others when it does not answer.
const replicaRequestTimeout = 800 * time.Millisecond

// replicaRequest is one request to one replica.
type replicaRequest[R any] struct {
	member *control.Member
	send   func(context.Context, *control.Member) (R, error)
	reply  R
	err    error
	done   chan struct{}
	// result, if not nil, receives err too.
	result chan<- error
}

func (r *replicaRequest[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, replicaRequestTimeout)
	defer cancel()
	r.reply, r.err = r.send(ctx, r.member)
	close(r.done)
	if r.result != nil {
		r.result <- r.err
	}
}

// askAll sends a request to all replicas concurrently. It returns the replies of
// those that answer, in the order of the replicas.
func askAll[R any](ctx context.Context, members []*control.Member, send func(context.Context, *control.Member) (R, error)) []R {
	requests := make([]*replicaRequest[R], len(members))
	for i, m := range members {
		requests[i] = &replicaRequest[R]{member: m, send: send, done: make(chan struct{})}
		go requests[i].run(ctx)
	}
	var replies []R
	for _, r := range requests {
		<-r.done
		if r.err == nil {
			replies = append(replies, r.reply)
		}
	}
	return replies
}

// countReplies sends a request to all replicas concurrently. It returns how many have
// replied, once enough have or no other can.
func countReplies[R any](ctx context.Context, members []*control.Member, enough int, send func(context.Context, *control.Member) (R, error)) (replied int) {
	results := make(chan error, len(members))
	for _, m := range members {
		r := &replicaRequest[R]{member: m, send: send, done: make(chan struct{}), result: results}
		go r.run(context.WithoutCancel(ctx))
	}
	for range members {
		select {
		case err := <-results:
			if err == nil {
				replied++
			}
		case <-ctx.Done():
			return replied
		}
		if replied >= enough {
			break
		}
	}
	return replied
}

// askInTurn sends a request to one replica after the other until one replies. It
// returns that reply, or the last error.
func askInTurn[R any](ctx context.Context, members []*control.Member, send func(context.Context, *control.Member) (R, error)) (reply R, err error) {
	for _, m := range members {
		r := &replicaRequest[R]{member: m, send: send, done: make(chan struct{})}
		if r.run(ctx); r.err == nil {
			return r.reply, nil
		}
		err = r.err
	}
	return reply, err
}
