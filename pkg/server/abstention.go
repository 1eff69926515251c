package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// openPeriod is how often a witness that abstains asks whether it must.
const abstentionCheckInterval = 150 * time.Millisecond

// opener ends the abstention of a witness that has just started as soon as all
// replicas, which alone can hold leases here, say that they hold none.
type abstentionEnder struct{ server *Server }

// Run implements Controller.
func (o *abstentionEnder) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.server.runEvery(ctx, abstentionCheckInterval, func(ctx context.Context) {
		if !o.server.witness.Abstains() || o.step(ctx) {
			cancel()
		}
	})
}

// step returns true once the witness may vote.
func (o *abstentionEnder) step(ctx context.Context) bool {
	s := o.server
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
