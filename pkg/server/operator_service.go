package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// proposeTimeout bounds a change of the register, and the wait for claim
	// records before and after a replacement.
	proposeTimeout = 5 * time.Second
	// statusTimeout bounds a request to one node, and the search for the version of
	// a team's holder.
	statusTimeout = time.Second
	// maxStatusWorkers bounds how many instances are asked at a time.
	maxStatusWorkers = 64
)

// HeaderOperator carries the operator's name to a node without operators in its
// settings.
const HeaderOperator = "Primrose-Operator"

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// authenticateOperator rejects requests without a known operator key. A node
// without operators in its settings accepts every request, under the name that it
// gives.
func (s *Server) authenticateOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.authenticate(r)
		if !ok {
			http.Error(w, `{"code":"unauthenticated","msg":"operator key is missing or not known"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// authenticate returns the operator's name, and whether the request is accepted.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	if len(s.settings.Operators) == 0 {
		name := r.Header.Get(HeaderOperator)
		if name == "" {
			name = "anybody"
		}
		return name + " (unverified)", true
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := declarer.HashKey(key)
	for name, known := range s.settings.Operators {
		if known == hash {
			return name, true
		}
	}
	return "", false
}

// operatorService handles the requests of the command-line tool.
type operatorService struct{ server *Server }

// Plan implements control.Operator.
func (o *operatorService) Plan(_ context.Context, r *control.PlanRequest) (*control.PlanReply, error) {
	plan, err := planner.NewPlan(o.server.config.Current().Value(), "declaration", r.Declaration)
	if err != nil {
		return &control.PlanReply{Refused: err.Error()}, nil
	}
	return &control.PlanReply{Id: plan.ID, Base: plan.Base, Lines: plan.Lines}, nil
}

// Confirm implements control.Operator.
func (o *operatorService) Confirm(ctx context.Context, r *control.ConfirmRequest) (*control.ProposeReply, error) {
	s := o.server
	c := &planner.Confirmation{
		ID: r.Id, Base: r.Base, Declaration: r.Declaration, Operator: operatorName(ctx),
		Time: s.clock.Now().UnixNano(), DivisionEnded: s.divisionEnded,
	}
	return s.propose(ctx, planner.RequireTolerance(s.tolerance(), c.Update()), r.Id)
}

// Replace implements control.Operator.
func (o *operatorService) Replace(ctx context.Context, r *control.ReplaceRequest) (*control.ProposeReply, error) {
	return o.server.replace(ctx, &planner.Replacement{
		ID: r.Id, Base: r.Base, Leaving: r.Leaving, Operator: operatorName(ctx),
		Joining: []*control.Member{{Address: r.Joining}},
	})
}

// replace changes the replica set and returns when the joining replicas have
// their votes. It fills in their identities by their addresses.
func (s *Server) replace(ctx context.Context, r *planner.Replacement) (*control.ProposeReply, error) {
	for _, m := range r.Joining {
		joining, err := s.caller.Replica(m.Address).Identify(ctx, &control.IdentifyRequest{})
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, "the joining replica does not answer: "+err.Error())
		}
		m.Identity, m.Instance = joining.Identity, joining.Instance
	}
	if err := s.waitForRecords(ctx); err != nil {
		return &control.ProposeReply{Refused: err.Error()}, nil
	}
	if r.Base == 0 {
		r.Base = s.config.Current().Version()
	}
	r.Time = s.clock.Now().UnixNano()
	reply, err := s.propose(ctx, r.Update(), r.ID)
	if err != nil || reply.Refused != "" {
		return reply, err
	}
	// The replacement is complete only when the new members can vote on claims
	// too. Until then the set does not tolerate the loss of a further disk.
	for _, m := range r.Joining {
		if err := s.waitForMember(ctx, m); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// Withdraw implements control.Operator. It fails when some data folders have
// stored the withdrawal, but no more than the tolerance. When none has, it returns
// 0 without an error.
func (o *operatorService) Withdraw(ctx context.Context, r *control.WithdrawRequest) (*control.WithdrawReply, error) {
	s := o.server
	ownStored, err := s.withdraw(r.Hashes)
	if err != nil {
		s.reportError("withdrawn_save", err)
	}
	s.log.Info("withdraw", "operator", operatorName(ctx), "keys", len(r.Hashes))
	stored := ownStored
	if int(stored) <= s.settings.Tolerance {
		stored += s.withdrawAtReplicas(ctx, r)
	}
	if stored > 0 && int(stored) <= s.settings.Tolerance {
		return nil, twirp.NewError(twirp.Unavailable, fmt.Sprintf(
			"the keys are withdrawn, but only %d data folders have stored that, and the loss of %d is to be borne; withdraw them again", stored, s.settings.Tolerance))
	}
	return &control.WithdrawReply{Stored: stored}, nil
}

// Declaration implements control.Operator.
func (o *operatorService) Declaration(context.Context, *control.FetchRequest) (*control.Value, error) {
	return o.server.config.Current().Value(), nil
}

// History implements control.Operator.
func (o *operatorService) History(ctx context.Context, r *control.HistoryRequest) (*control.HistoryReply, error) {
	s := o.server
	if s.audit != nil {
		return &control.HistoryReply{Changes: s.audit.From(r.From)}, nil
	}
	replicas := s.config.Current().Value().Replicas
	if len(replicas) == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "no replica is known")
	}
	return askInTurn(ctx, replicas, func(ctx context.Context, m *control.Member) (*control.HistoryReply, error) {
		return s.caller.Peer(m.Address).History(ctx, r)
	})
}

// Status implements control.Operator. It asks every instance for its version in
// force.
func (o *operatorService) Status(ctx context.Context, _ *control.StatusRequest) (*control.StatusReply, error) {
	s := o.server
	value := s.config.Current().Value()
	reply := &control.StatusReply{
		Version: value.Version, Epoch: value.Epoch, Replicas: value.Replicas,
		Instance: s.settings.Instance, Ready: s.ready(), Tolerance: uint32(s.settings.Tolerance),
		Drains: value.Drains,
	}
	entries := s.gossip.Members()
	survey := &survey{server: s, work: make(chan *control.Entry, len(entries)), done: make(chan *control.Entry, len(entries))}
	for _, e := range entries {
		survey.work <- e
	}
	close(survey.work)
	for range min(maxStatusWorkers, len(entries)) {
		go survey.run(ctx)
	}
	for range entries {
		reply.Entries = append(reply.Entries, <-survey.done)
	}
	sort.Slice(reply.Entries, func(i, j int) bool {
		a, b := reply.Entries[i], reply.Entries[j]
		if a.Centre != b.Centre {
			return a.Centre < b.Centre
		}
		return a.Instance < b.Instance
	})
	return reply, nil
}

// survey asks instances for their versions in force.
type survey struct {
	server *Server
	work   chan *control.Entry
	done   chan *control.Entry
}

func (s *survey) run(ctx context.Context) {
	for e := range s.work {
		s.done <- s.ask(ctx, e)
	}
}

func (s *survey) ask(ctx context.Context, e *control.Entry) *control.Entry {
	entry := &control.Entry{
		Instance: e.Instance, Centre: e.Centre, Address: e.Address, State: e.State,
		Service: e.Service, Slots: e.Slots, Replica: e.Replica,
	}
	if e.State == control.State_STATE_DEAD {
		return entry
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if reply, err := s.server.caller.Peer(e.Address).Probe(ctx, &control.ProbeRequest{}); err == nil {
		entry.Version, entry.Pace = reply.Version, reply.Pace
	}
	return entry
}

// operatorName returns the operator's name from the context.
func operatorName(ctx context.Context) string {
	operatorName, _ := ctx.Value(operatorKey{}).(string)
	return operatorName
}

// propose changes the register and maps its errors to a reply or a twirp error.
func (s *Server) propose(ctx context.Context, update func(*control.Value) (*control.Value, error), id string) (*control.ProposeReply, error) {
	known := s.config.Current().Value()
	if known.Version == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this node knows no replicas yet")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := s.proposer.Run(ctx, known, update)
	var conflict *planner.ConflictError
	var alreadyApplied *planner.AlreadyAppliedError
	var tolerance *planner.ToleranceError
	switch {
	case errors.As(err, &tolerance):
		return nil, twirp.NewError(twirp.Unavailable, "not accepted yet, confirm again: "+err.Error())
	case err == nil:
		s.log.Info("change", "id", id, "version", value.Version, "operator", operatorName(ctx))
		return &control.ProposeReply{Version: value.Version}, nil
	case errors.As(err, &alreadyApplied):
		return &control.ProposeReply{Version: alreadyApplied.Change.Version, Repeated: true}, nil
	case errors.As(err, &conflict):
		return &control.ProposeReply{Conflict: conflict.Winner, Refused: conflict.Error()}, nil
	case value != nil:
		return &control.ProposeReply{Refused: err.Error()}, nil
	}
	return nil, twirp.NewError(twirp.Unavailable, "whether the change was made is not known, confirm again: "+err.Error())
}

// withdraw adds keys to this node's set of withdrawn keys and broadcasts them. It
// returns how many data folders have stored them: 1 on a node with a data folder,
// otherwise 0.
func (s *Server) withdraw(hashes [][]byte) (uint32, error) {
	fresh, err := s.withdrawn.Add(hashes)
	s.gossip.Broadcast(gossiper.Items{Withdrawn: fresh})
	if err != nil || s.folder == nil {
		return 0, err
	}
	return 1, nil
}

// withdrawAtReplicas sends the withdrawal to every other replica, and returns how
// many have stored it.
func (s *Server) withdrawAtReplicas(ctx context.Context, r *control.WithdrawRequest) uint32 {
	var stored uint32
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range s.config.Current().Value().Replicas {
		if m.Address == s.settings.Peer {
			continue
		}
		w := &withdrawal{server: s, address: m.Address, request: r, group: &group, mu: &mu, stored: &stored}
		group.Add(1)
		go w.run(ctx)
	}
	group.Wait()
	return stored
}

// withdrawal is the request to one replica.
type withdrawal struct {
	server  *Server
	address string
	request *control.WithdrawRequest
	group   *sync.WaitGroup
	mu      *sync.Mutex
	stored  *uint32
}

func (w *withdrawal) run(ctx context.Context) {
	defer w.group.Done()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := w.server.caller.Peer(w.address).Withdraw(ctx, w.request)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	*w.stored += reply.Stored
}

// divisionEnded reports whether a former division of a team's limit over the data
// centres is known to have ended: the holder in the data centre has the version
// that ends it. It returns false when no holder answers.
func (s *Server) divisionEnded(d *control.Division) bool {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return s.directory.HolderVersion(ctx, d.Centre, d.Team) >= d.Until
}

// waitForRecords waits until a majority of the replica set has copied the claim
// records of the former set. It returns planner.ErrBusy if that takes too long.
func (s *Server) waitForRecords(ctx context.Context) error {
	return s.pollUntil(ctx, planner.ErrBusy, func(ctx context.Context) bool {
		value := s.config.Current().Value()
		complete := 0
		for _, m := range value.Replicas {
			if s.hasRecords(ctx, m, value.Epoch) {
				complete++
			}
		}
		return complete > len(value.Replicas)/2
	})
}

// waitForMember waits until a new member has copied the claim records.
func (s *Server) waitForMember(ctx context.Context, m *control.Member) error {
	timeoutErr := twirp.NewError(twirp.Unavailable, "the change is accepted, but the new replica has not copied the claim records yet; send it again until it is answered, and lose no other disk before")
	return s.pollUntil(ctx, timeoutErr, func(ctx context.Context) bool {
		return s.hasRecords(ctx, m, s.config.Current().Value().Epoch)
	})
}

// pollUntil checks the condition until it holds, or returns timeoutErr after
// proposeTimeout.
func (s *Server) pollUntil(ctx context.Context, timeoutErr error, condition func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for !condition(ctx) {
		select {
		case <-ctx.Done():
			return timeoutErr
		case <-s.clock.After(copyInterval):
		}
	}
	return nil
}

// hasRecords reports whether a member has answered that its claim records are
// complete for an epoch.
func (s *Server) hasRecords(ctx context.Context, m *control.Member, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := s.caller.Replica(m.Address).Identify(ctx, &control.IdentifyRequest{})
	return err == nil && reply.Identity == m.Identity && reply.Records == epoch
}

// randomID returns 64 random bits in hex, to identify a run of this process or an
// attempt to claim a key.
func randomID() string {
	var raw [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
