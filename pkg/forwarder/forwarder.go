package forwarder

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/connector"
	"github.com/primrosewall/primrosewall/pkg/deduplicator"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/shedder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/pkg/withdrawer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Target is this node's target as it announced itself.
type Target struct {
	Service string
	Address string
	Slots   int
	// Life identifies one run of the target process, from its start to its end.
	Life string
	// Closed is set when the target is leaving and takes no more requests.
	Closed bool
}

// Limiter takes one token of a team. It returns a *limiter.RateError when there is
// none, and another error when the context ends first.
type Limiter interface {
	Acquire(ctx context.Context, team string) error
}

// Deps holds the parts of the node that the data path uses.
type Deps struct {
	Clock      timekeeper.Clock
	Log        *slog.Logger
	Config     *enforcer.Enforcer
	Withdrawn  *withdrawer.Withdrawer
	Quarantine *quarantiner.Quarantiner
	Limiter    Limiter
	Claimer    *deduplicator.Claimer
	Router     *router.Router
	Admitter   *admitter.Admitter
	// Chains decides which root requests to hold back by their success per cost; nil to
	// hold them back by the level alone.
	Chains *shedder.Chains
	// Objectives is set if requests wait by their objectives; see
	// admitter.UseObjectives.
	Objectives bool
	// Dialect is the set of HTTP conventions of callers and targets.
	Dialect Dialect
	// PeerTransport sends requests to other nodes, with the URL scheme PeerScheme.
	PeerTransport http.RoundTripper
	// PeerConnector, if not nil, replaces PeerTransport for requests without a
	// body: it writes and reads in the calling goroutine.
	PeerConnector *connector.Connector
	PeerScheme    string
	// TargetConnector sends requests to this node's target.
	TargetConnector *connector.Connector
	// Service returns the service of this node's target; it may be empty.
	Service func() string
	// ReportMisdirected is called when another target answered at the target's
	// address.
	ReportMisdirected func(*Target)
	// Targets returns the targets of a service that take new requests.
	Targets func(service string) []*control.Entry
	// DrainedCentres returns the data centres of a service's targets if all of them are
	// in drained ones, and nil otherwise. It may be nil.
	DrainedCentres func(service string) []string
	// Centre is this node's data centre.
	Centre string
	// Target returns this node's target, or nil.
	Target func() *Target
	// Ready reports whether this node's configuration allows it to serve.
	Ready func() bool
	// InContact reports whether this node had contact with a replica within the
	// time that the settings allow.
	InContact func() bool
	// Behind returns the highest version advertised to this node, or the version
	// in force if that is not lower, and for how long this node has been stale, that
	// is, has known of a newer version than the one in force.
	Behind func() (version uint64, age time.Duration)
	// Changed returns a channel that is closed when the version in force changes.
	Changed func() <-chan struct{}
	// CheckTarget is called when the target's connection broke or the target could
	// not be reached.
	CheckTarget func(*Target)
	// TargetLeaving is called for each answer in which the target states that it
	// leaves.
	TargetLeaving func(*Target)
	// RecordSuccess is called with the digest of each request that the target
	// answered with a status below 400.
	RecordSuccess func(digest []byte)
	// CountBytes is called with the lengths of the bodies of each request to a
	// target's node and of its answer, in bytes; an unknown length counts as 0. It
	// may be nil.
	CountBytes func(centre string, bytes int64)
	// Retries returns the bounds of this node's retry budget towards a service.
	Retries func() retrier.Bounds
	// Stopping returns the times of the node's graceful stop, or nil before it begins.
	// It may be nil.
	Stopping func() *Stop
	// ReportWork makes this node tell entry nodes what its target has to do.
	ReportWork bool
	// CountEvent adds delta to a counter of events; it may be nil.
	CountEvent func(name string, delta int64)
	// Observer receives the outcome of each request; it may be nil.
	Observer Observer
}

// Observer receives the outcome and the duration of requests on their entry node
// (Request) and on the target's node (Hop). The reason of an answered request is
// its status.
type Observer interface {
	Request(route, team, outcome, reason string, took time.Duration)
	Hop(outcome, reason string, took time.Duration)
}

// Forwarder is the data path of one node.
type Forwarder struct {
	deps Deps
	// startedAt is when the node started; sender identifies its process.
	startedAt     time.Time
	sender        uint64
	retryBudgets  retrier.ServiceBudgets
	shedLevels    shedLevels
	fairShares    fairShares
	inFlightTable inFlightTable
	trafficSplits trafficSplits
	ownTarget     ownTarget
	unknownDrains unknownDrains
	// entry and hop run the filters of the entry node and of the target's node.
	entry func(*Exchange)
	hop   func(*Exchange)
}

// New returns a forwarder with both chains of filters.
func New(deps Deps) *Forwarder {
	f := &Forwarder{deps: deps, startedAt: deps.Clock.Now(), sender: max(mathrand.Uint64(), 1)}
	f.entry = chain(f.entryFilters())
	f.hop = chain(f.hopFilters())
	return f
}

func (f *Forwarder) count(name string) {
	if f.deps.CountEvent != nil {
		f.deps.CountEvent(name, 1)
	}
}

// newID returns a random id that cannot be guessed.
func (f *Forwarder) newID() string {
	var raw [16]byte
	// crypto/rand never returns an error.
	_, _ = rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// Inflight returns the number of requests that this node's target is running.
func (f *Forwarder) Inflight() int { return f.inFlightTable.count() }

// RequestsAtCrash returns the requests that may have caused the crash of a life of
// the target.
func (f *Forwarder) RequestsAtCrash(life string) CrashReport {
	return f.inFlightTable.requestsAtCrash(life, f.deps.Clock.Now())
}

// ServeHTTP serves requests of callers, and the calls of this node's target.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.count("requests")
	if f.stop() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &Exchange{writer: w, request: r, config: f.deps.Config.Current(), startedAt: f.deps.Clock.Now(), hop: newHop(), dialect: f.deps.Dialect, onRefusal: f.logRefusal}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x.request = r.WithContext(ctx)
	x.cancel = cancel
	f.entry(x)
	x.finishBody(f.deps.Clock.Now())
}

// ServeHop serves the requests that entry nodes send to this node's target. The
// listener admits only nodes that have the secret of the fleet.
func (f *Forwarder) ServeHop(w http.ResponseWriter, r *http.Request) {
	f.count("hops")
	hop, err := decodeHop(r.Header.Get(headerHop))
	if err != nil {
		refuse(http.StatusBadRequest, ReasonRequest, 0, "the message between nodes is damaged").write(w)
		return
	}
	faulter.Reach(faulter.HopReceived)
	f.adoptLimit(hop, r.Header)
	weight, counted := readWeight(r.Header)
	dueAt := readLeft(r.Header, f.deps.Clock.Now())
	removePrefixedHeaders(r.Header)
	now := f.deps.Clock.Now()
	x := &Exchange{
		writer: w, request: r, config: f.deps.Config.Current(), startedAt: now, hop: hop, weight: weight, counted: counted, dueAt: dueAt, atTargetNode: true, onRefusal: f.logHopRefusal,
		budget: retrier.NewBudget(hop.Retries), deadline: now.Add(time.Duration(hop.Timeout) * time.Microsecond),
	}
	if hasLongBody(r) {
		x.streamBody()
	} else if err := x.bufferBody(); err != nil {
		x.refuse(bodyRefusal(err))
		return
	}
	f.hop(x)
	x.finishBody(f.deps.Clock.Now())
}

// IsHop reports whether a request on the listener for other nodes is a hop.
func IsHop(r *http.Request) bool { return r.Header.Get(headerHop) != "" }

func decodeHop(text string) (*control.Hop, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	hop := &control.Hop{}
	return hop, proto.Unmarshal(raw, hop)
}
