package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// abstentionCheckInterval is how often a witness that abstains checks whether it
// still must.
const abstentionCheckInterval = 150 * time.Millisecond

// abstentionEnder ends the abstention of a witness early. A witness keeps its votes
// in memory only, so after a start it abstains, that is, does not vote, until a
// lease that it may have granted before has expired. It may vote earlier once all
// replicas report that they hold no lease. Only in a fleet without declared data
// centres are the replicas the only possible holders, so elsewhere it does nothing.
type abstentionEnder struct{ server *Server }

// Run implements Controller.
func (a *abstentionEnder) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.server.runEvery(ctx, abstentionCheckInterval, func(ctx context.Context) {
		if !a.server.witness.Abstains() || a.step(ctx) {
			cancel()
		}
	})
}

// step asks all replicas. It returns true once the witness may vote.
func (a *abstentionEnder) step(ctx context.Context) bool {
	s := a.server
	c := s.config.Current()
	replicas := c.Value().GetReplicas()
	if c.Version() == 0 || c.LimitDomain(s.settings.Centre) != "" || len(replicas) == 0 {
		return false
	}
	for _, m := range replicas {
		reply, err := s.caller.Peer(m.Address).Probe(ctx, &control.ProbeRequest{Leases: true})
		if err != nil || reply.Holding || reply.Version > c.Version() {
			return false
		}
	}
	s.witness.EndAbstention()
	s.log.Info("witness_open", "version", c.Version(), "replicas", len(replicas))
	return true
}
