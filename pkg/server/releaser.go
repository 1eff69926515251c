package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// releaseInterval is the time between two rounds of a releaser, as requests go on being
	// sent during a stop, and lastReleaseInterval that when no request may wait any more.
	releaseInterval     = 500 * time.Millisecond
	lastReleaseInterval = 100 * time.Millisecond
	// releaseTimeout bounds one round.
	releaseTimeout = 400 * time.Millisecond
)

// releaser ends waits during the stop of this node that could not end in an answer before
// its process does: for a slot of the own target, and of requests of this node for slots of
// other targets. Without it they would be cut off, although they have not run.
type releaser struct {
	server *Server
	stop   *forwarder.Stop
}

func (r *releaser) run(ctx context.Context) {
	for {
		left := r.stop.WaitsEnd.Sub(r.server.clock.Now())
		r.server.release(everySender, left)
		r.releaseElsewhere(ctx, left)
		interval := lastReleaseInterval
		if left > 0 {
			interval = min(left, releaseInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.server.clock.After(interval):
		}
	}
}

// releaseElsewhere asks the nodes that have requests of this one to release those that
// wait.
func (r *releaser) releaseElsewhere(ctx context.Context, left time.Duration) {
	s := r.server
	var members []*control.Member
	for _, instance := range s.router.Busy() {
		if e := s.gossip.Member(instance); e != nil && instance != s.settings.Instance {
			members = append(members, &control.Member{Address: e.Address, Instance: instance})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := &control.ReleaseRequest{Sender: s.forwarder.Sender(), Left: left.Microseconds()}
	askAll(ctx, members, func(ctx context.Context, m *control.Member) (*control.ReleaseReply, error) {
		return s.caller.Peer(m.Address).Release(ctx, request)
	})
}

// everySender stands for all senders of requests.
const everySender = 0

// release rejects requests of a sender that wait for a slot of the own target, if a run
// would not end in the time left.
func (s *Server) release(sender uint64, left time.Duration) int {
	released := s.admitter.Release(sender, left)
	if released > 0 {
		s.log.Info("release", "released", released, "left", left, "own", sender == everySender)
	}
	return released
}
