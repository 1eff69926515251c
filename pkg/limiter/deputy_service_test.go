package limiter

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
)

// fleetHolders connects a node's TokenClient to the witnesses that are not
// frozen.
type fleetHolders struct{ fleet *deputyFleet }

// RequestTokens implements Holders.
func (h *fleetHolders) RequestTokens(_ context.Context, _ string, r *control.TokensRequest) (*control.TokensReply, error) {
	last := &control.TokensReply{Absent: true}
	for _, w := range h.fleet.witnesses {
		if w.frozen {
			continue
		}
		reply := w.holder.Tokens(r)
		if IsFinal(reply) {
			return reply, nil
		}
		if !reply.Absent {
			last = reply
		}
	}
	return last, nil
}

// OtherCentres implements Holders.
func (h *fleetHolders) OtherCentres(string) []string { return nil }

// Reserve implements Limits, with a tolerance of a tenth of the limit plus 20
// requests in 5 s.
func (h *fleetHolders) Reserve(string) Reserve {
	return NewReserve(h.fleet.limit, 5*time.Second, 0.1, 20, 6)
}

// serviceInterval is the time between two requests of each node of a tokenService.
const serviceInterval = 100 * time.Millisecond

// tokenService is a fleet whose nodes request tokens of one team steadily.
type tokenService struct {
	fleet *deputyFleet
	nodes []*TokenClient
}

func newTokenService(limit Allocation, witnesses, nodes int) *tokenService {
	s := &tokenService{fleet: newDeputyFleet(1, limit, witnesses, 0)}
	network := &fleetHolders{s.fleet}
	for i := range nodes {
		s.nodes = append(s.nodes, NewTokenClient(s.fleet.clock, network, ByDemand{}, fmt.Sprint("node", i), "", func() uint64 { return 1 }, network))
	}
	return s
}

// serve lets each node request a token once per serviceInterval. It returns how many
// requests were admitted.
func (s *tokenService) serve(rounds int) int {
	admitted := 0
	for range rounds {
		s.fleet.advance(serviceInterval)
		for _, n := range s.nodes {
			if n.Acquire(context.Background(), sharedTeam) == nil {
				admitted++
			}
		}
	}
	return admitted
}

// freeze freezes the holder of the team, or a witness that is not the holder.
func (s *tokenService) freeze(holder bool) {
	i := slices.IndexFunc(s.fleet.witnesses, func(w *fleetWitness) bool { return w.holder.holdsShard(ShardOf(sharedTeam)) == holder })
	s.fleet.witnesses[i].frozen = true
}

// TestDeputiesServeWhileHolderIsLost freezes the holder while nodes have a steady
// demand. Until another instance gets the lease, deputies must serve the demand;
// at most six requests may fail.
func TestDeputiesServeWhileHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, rounds = 6, 45
		s := newTokenService(Allocation{Rate: 100, Burst: 100}, 4, nodes)
		s.serve(30)
		s.freeze(true)
		admitted := s.serve(rounds)
		qt.Assert(t, admitted >= nodes*(rounds-1), qt.IsTrue, qt.Commentf("%d of %d", admitted, nodes*rounds))
	})
}

// TestFrozenDeputyCostsItsShareOnly freezes a witness that is not the holder while a
// team sends 60 requests per second at a rate of 100. The holder withholds the share
// of one of three witnesses, a third of the rate, so that it serves all of them.
func TestFrozenDeputyCostsItsShareOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, rounds = 6, 70
		s := newTokenService(Allocation{Rate: 100, Burst: 40}, 3, nodes)
		qt.Assert(t, s.serve(30), qt.Equals, nodes*30)
		s.freeze(false)
		qt.Assert(t, s.serve(rounds), qt.Equals, nodes*rounds)
	})
}
