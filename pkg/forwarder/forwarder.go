package forwarder

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"log/slog"
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
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/pkg/withdrawer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Target is the own target as it announced itself.
type Target struct {
	Service string
	Address string
	Slots   int
	// Life names one start of the target.
	Life string
	// Closed tells that a leaving target takes no more requests.
	Closed bool
}

// Limiter spends one token of a team, or returns a *limiter.RateError.
type Limiter interface {
	Acquire(ctx context.Context, team string) error
}

// Deps is what the data path needs of the rest of the node.
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
	// Dialect is how callers and targets speak.
	Dialect Dialect
	// PeerTransport reaches other nodes, at addresses with PeerScheme.
	PeerTransport http.RoundTripper
	// PeerConnector, when given, takes requests without a body in place of PeerTransport: it
	// writes and reads without handing the request to other goroutines.
	PeerConnector *connector.Connector
	PeerScheme    string
	// TargetConnector reaches the own target.
	TargetConnector *connector.Connector
	// Service is that of the own target; it may be empty.
	Service func() string
	// ReportMisdirected hears that another target answered at an address.
	ReportMisdirected func(*Target)
	// Targets lists the targets of a service that take new work.
	Targets func(service string) []*control.Entry
	// Target is the own target, or nil.
	Target func() *Target
	// Ready tells whether the configuration is known well enough to serve.
	Ready func() bool
	// InContact tells whether a replica was heard of within the bound.
	InContact func() bool
	// Behind returns the highest version that is known, the one in force at least,
	// and for how long this node has been behind it.
	Behind func() (version uint64, age time.Duration)
	// Changed is closed when another version than the one in force now comes into
	// force.
	Changed func() <-chan struct{}
	// CheckTarget hears that a target's connection broke.
	CheckTarget func(*Target)
	// RecordSuccess hears of every request that a target has answered with success.
	RecordSuccess func(digest []byte)
	// CountBytes hears of the bytes of each request to another node and of its answer.
	CountBytes func(centre string, bytes int64)
	// Retries bounds what this node may send again.
	Retries func() retrier.Bounds
	// Draining tells that the node is about to stop.
	Draining func() bool
	// CountEvent adds to a counter of events; it may be nil.
	CountEvent func(name string, delta int64)
	// Observer counts how requests ended; it may be nil.
	Observer Observer
}

// Observer counts how requests ended, and after what time.
type Observer interface {
	Request(route, team, outcome, reason string, took time.Duration)
	Hop(outcome, reason string, took time.Duration)
}

// Forwarder is the data path of one node.
type Forwarder struct {
	deps          Deps
	retryBudgets  retrier.ServiceBudgets
	shedLevels    shedLevels
	fairShares    fairShares
	inFlightTable inFlightTable
	trafficSplits trafficSplits
	entry         func(*Exchange)
	hop           func(*Exchange)
}

// New builds both chains.
func New(deps Deps) *Forwarder {
	f := &Forwarder{deps: deps}
	f.entry = chain(f.entryFilters())
	f.hop = chain(f.hopFilters())
	return f
}

func (f *Forwarder) count(name string) {
	if f.deps.CountEvent != nil {
		f.deps.CountEvent(name, 1)
	}
}

// newID returns a name that nobody can guess.
func (f *Forwarder) newID() string {
	var raw [16]byte
	// The system's source never fails.
	_, _ = rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// Inflight is how many requests the own target is running.
func (f *Forwarder) Inflight() int { return f.inFlightTable.count() }

// RequestsAtCrash returns the requests that were running when a life of the target
// crashed.
func (f *Forwarder) RequestsAtCrash(life string) CrashReport {
	return f.inFlightTable.requestsAtCrash(life, f.deps.Clock.Now())
}

// ServeHTTP serves callers, and the own target's calls.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.count("requests")
	if f.deps.Draining() {
		w.Header().Set("Connection", "close")
	}
	x := &Exchange{writer: w, request: r, config: f.deps.Config.Current(), startedAt: f.deps.Clock.Now(), hop: newHop(), dialect: f.deps.Dialect, onRefusal: f.logRefusal}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x.request = r.WithContext(ctx)
	x.cancel = cancel
	f.entry(x)
}

// ServeHop serves requests that other nodes send to the own target. Only
// holders of the fleet secret get here.
func (f *Forwarder) ServeHop(w http.ResponseWriter, r *http.Request) {
	f.count("hops")
	hop, err := decodeHop(r.Header.Get(headerHop))
	if err != nil {
		refuse(http.StatusBadRequest, ReasonRequest, 0, "the message between nodes is damaged").write(w)
		return
	}
	faulter.Reach(faulter.HopReceived)
	removePrefixedHeaders(r.Header)
	now := f.deps.Clock.Now()
	x := &Exchange{
		writer: w, request: r, config: f.deps.Config.Current(), startedAt: now, hop: hop, atTargetNode: true, onRefusal: f.logHopRefusal,
		budget: retrier.NewBudget(hop.Retries), deadline: now.Add(time.Duration(hop.Timeout) * time.Microsecond),
	}
	if length := r.ContentLength; length < 0 || length > maxReplayableBody {
		x.streamed = true
	} else if err := x.bufferBody(); err != nil {
		x.refuse(bodyRefusal(err))
		return
	}
	f.hop(x)
}

// IsHop tells whether a request on the nodes' listener belongs to the data
// path.
func IsHop(r *http.Request) bool { return r.Header.Get(headerHop) != "" }

func decodeHop(text string) (*control.Hop, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	hop := &control.Hop{}
	return hop, proto.Unmarshal(raw, hop)
}
