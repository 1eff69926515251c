package server

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/primrosewall/primrosewall/pkg/deduplicator"
	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/registrar"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/proto/control"
)

// replicaService handles the messages to a replica of the register.
type replicaService struct {
	acceptor *replicator.Acceptor
	store    *deduplicator.Store
	// departures are those of the targets of all instances.
	departures *registrar.Registrar
	// handover excludes claims while Records reads the records. Claims check the
	// epoch under it, so no claim of the former epoch is granted after a new
	// member has copied the records.
	handover sync.RWMutex
}

// Identify implements control.Replica. It omits the accepted value, which the
// askers do not need.
func (s *replicaService) Identify(context.Context, *control.IdentifyRequest) (*control.IdentifyReply, error) {
	own := s.acceptor.Identify()
	return &control.IdentifyReply{Identity: own.Identity, Instance: own.Instance, Epoch: own.Epoch, Records: s.store.Epoch()}, nil
}

// Prepare implements control.Replica.
func (s *replicaService) Prepare(_ context.Context, r *control.PrepareRequest) (*control.PrepareReply, error) {
	reply, err := s.acceptor.Prepare(r)
	return reply, twirpError(err)
}

// Accept implements control.Replica.
func (s *replicaService) Accept(_ context.Context, r *control.AcceptRequest) (*control.AcceptReply, error) {
	reply, err := s.acceptor.Accept(r)
	return reply, twirpError(err)
}

// Install implements control.Replica.
func (s *replicaService) Install(_ context.Context, r *control.InstallRequest) (*control.InstallReply, error) {
	reply, err := s.acceptor.Install(r)
	return reply, twirpError(err)
}

// Claim implements control.Replica.
func (s *replicaService) Claim(_ context.Context, r *control.ClaimRequest) (*control.ClaimReply, error) {
	s.handover.RLock()
	defer s.handover.RUnlock()
	own := s.acceptor.Identify()
	if own.Identity != r.Replica || own.Epoch != r.Epoch || s.store.Epoch() != r.Epoch {
		return &control.ClaimReply{Abstained: true}, nil
	}
	reply, err := s.store.Claim(r.Record)
	return reply, twirpError(err)
}

// Settle implements control.Replica.
func (s *replicaService) Settle(_ context.Context, r *control.SettleRequest) (*control.SettleReply, error) {
	return &control.SettleReply{}, twirpError(s.store.Settle(r.Record, r.Release))
}

// Records implements control.Replica.
func (s *replicaService) Records(_ context.Context, r *control.RecordsRequest) (*control.RecordsReply, error) {
	s.handover.Lock()
	defer s.handover.Unlock()
	own := s.acceptor.Identify()
	if own.Identity != r.Replica {
		return nil, twirpError(&replicator.IdentityError{Requested: r.Replica, Actual: own.Identity})
	}
	return &control.RecordsReply{Records: s.store.All(), Epoch: own.Epoch, Complete: s.store.Epoch(), Departures: s.departures.All()}, nil
}

// Depart implements control.Replica.
func (s *replicaService) Depart(_ context.Context, r *control.DepartRequest) (*control.DepartReply, error) {
	return &control.DepartReply{}, twirpError(s.departures.Add(r.Departure))
}

// Departures implements control.Replica.
func (s *replicaService) Departures(_ context.Context, r *control.DeparturesRequest) (*control.DeparturesReply, error) {
	return &control.DeparturesReply{Lives: s.departures.Lives(r.Instance)}, nil
}

// twirpError turns an error into one that carries its text to another node.
func twirpError(err error) error {
	if err == nil {
		return nil
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// peerService handles the messages of other nodes.
type peerService struct{ server *Server }

// Sync implements control.Peer.
func (p *peerService) Sync(_ context.Context, r *control.SyncRequest) (*control.SyncReply, error) {
	return p.server.gossip.AnswerSync(r), nil
}

// Fetch implements control.Peer.
func (p *peerService) Fetch(_ context.Context, r *control.FetchRequest) (*control.Value, error) {
	value := p.server.config.Current().Value()
	if value.Version <= r.Above {
		return &control.Value{}, nil
	}
	faulter.Reach(faulter.FetchAsked)
	if r.Whole && value.Brief {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this instance does not have the whole value")
	}
	if r.Whole || value.Brief {
		return value, nil
	}
	// Nodes that are not replicas do not need the fields that only the register
	// uses.
	return &control.Value{
		Version: value.Version, Epoch: value.Epoch, Declaration: value.Declaration, Replicas: value.Replicas,
		Former: value.Former, Divisions: value.Divisions, Revision: value.Revision, Document: value.Document, Brief: true,
		Drains: value.Drains,
	}, nil
}

// Withdraw implements control.Peer.
func (p *peerService) Withdraw(_ context.Context, r *control.WithdrawRequest) (*control.WithdrawReply, error) {
	stored, err := p.server.withdraw(r.Hashes)
	return &control.WithdrawReply{Stored: stored}, twirpError(err)
}

// Tokens implements control.Peer.
func (p *peerService) Tokens(_ context.Context, r *control.TokensRequest) (*control.TokensReply, error) {
	return p.server.holder.Tokens(r), nil
}

// Standby implements control.Peer.
func (p *peerService) Standby(_ context.Context, r *control.StandbyRequest) (*control.StandbyReply, error) {
	return p.server.holder.Standby(r), nil
}

// Forget implements control.Peer.
func (p *peerService) Forget(_ context.Context, r *control.ForgetRequest) (*control.ForgetReply, error) {
	p.server.tokens.DropTokens(int(r.Shard))
	return &control.ForgetReply{}, nil
}

// Lease implements control.Peer.
func (p *peerService) Lease(_ context.Context, r *control.LeaseRequest) (*control.LeaseReply, error) {
	return p.server.witness.Vote(r), nil
}

// History implements control.Peer.
func (p *peerService) History(_ context.Context, r *control.HistoryRequest) (*control.HistoryReply, error) {
	if p.server.audit == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this instance has no data folder")
	}
	return &control.HistoryReply{Changes: p.server.audit.From(r.From)}, nil
}

// Release implements control.Peer.
func (p *peerService) Release(_ context.Context, r *control.ReleaseRequest) (*control.ReleaseReply, error) {
	return &control.ReleaseReply{Released: uint32(p.server.release(r.Sender, time.Duration(r.Left)*time.Microsecond))}, nil
}

// Probe implements control.Peer.
func (p *peerService) Probe(_ context.Context, r *control.ProbeRequest) (*control.ProbeReply, error) {
	reply := &control.ProbeReply{Instance: p.server.settings.Instance, Version: p.server.config.Current().Version(), Pace: p.server.targetPace()}
	if r.Leases {
		reply.Holding = p.server.holder.HoldsLease()
	}
	return reply, nil
}
