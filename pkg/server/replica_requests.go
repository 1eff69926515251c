package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// questionTimeout bounds a question to one replica where several are asked, so
// that a silent one leaves time for the others within stepTimeout.
const replicaRequestTimeout = 800 * time.Millisecond

// question is one question to one replica.
type replicaRequest[R any] struct {
	member *control.Member
	send   func(context.Context, *control.Member) (R, error)
	reply  R
	err    error
	done   chan struct{}
}

func (q *replicaRequest[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, replicaRequestTimeout)
	defer cancel()
	q.reply, q.err = q.send(ctx, q.member)
	close(q.done)
}

// askAll asks replicas at the same time and returns the replies of those that
// answer, in the order of the replicas.
func askAll[R any](ctx context.Context, members []*control.Member, send func(context.Context, *control.Member) (R, error)) []R {
	requests := make([]*replicaRequest[R], len(members))
	for i, m := range members {
		requests[i] = &replicaRequest[R]{member: m, send: send, done: make(chan struct{})}
		go requests[i].run(ctx)
	}
	var replies []R
	for _, q := range requests {
		<-q.done
		if q.err == nil {
			replies = append(replies, q.reply)
		}
	}
	return replies
}

// askEach asks replicas one after the other and returns the first reply, or the
// last error.
func askInTurn[R any](ctx context.Context, members []*control.Member, send func(context.Context, *control.Member) (R, error)) (reply R, err error) {
	for _, m := range members {
		q := &replicaRequest[R]{member: m, send: send, done: make(chan struct{})}
		if q.run(ctx); q.err == nil {
			return q.reply, nil
		}
		err = q.err
	}
	return reply, err
}
