package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// questionTimeout bounds a question to one replica where several are asked, so
// that a silent one leaves time for the others within stepTimeout.
const questionTimeout = 800 * time.Millisecond

// question is one question to one replica.
type question[R any] struct {
	member *control.Member
	ask    func(context.Context, *control.Member) (R, error)
	reply  R
	err    error
	done   chan struct{}
}

func (q *question[R]) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	q.reply, q.err = q.ask(ctx, q.member)
	close(q.done)
}

// askAll asks replicas at the same time and returns the replies of those that
// answer, in the order of the replicas.
func askAll[R any](ctx context.Context, members []*control.Member, ask func(context.Context, *control.Member) (R, error)) []R {
	questions := make([]*question[R], len(members))
	for i, m := range members {
		questions[i] = &question[R]{member: m, ask: ask, done: make(chan struct{})}
		go questions[i].run(ctx)
	}
	var replies []R
	for _, q := range questions {
		<-q.done
		if q.err == nil {
			replies = append(replies, q.reply)
		}
	}
	return replies
}

// askEach asks replicas one after the other and returns the first reply, or the
// last error.
func askEach[R any](ctx context.Context, members []*control.Member, ask func(context.Context, *control.Member) (R, error)) (reply R, err error) {
	for _, m := range members {
		q := &question[R]{member: m, ask: ask, done: make(chan struct{})}
		if q.run(ctx); q.err == nil {
			return q.reply, nil
		}
		err = q.err
	}
	return reply, err
}
