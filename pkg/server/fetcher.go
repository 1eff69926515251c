package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// fetchTimeout bounds one fetch of a configuration.
const fetchTimeout = 2 * time.Second

// fetcher fetches a configuration from a node that has a higher version.
type fetcher struct {
	ask    asking
	config *enforcer.Enforcer
	offer  func(*control.Value)
	// whole tells that this node is a replica.
	whole bool
	// replicas lists the addresses of nodes with data folders, which have the
	// whole value; it may be nil.
	replicas func() []string
	clock    timekeeper.Clock
	log      *slog.Logger

	wake chan news

	mu sync.Mutex
	// heard is the highest version that another node has, since when it is known.
	heard uint64
	since time.Time
}

// asking asks the node at an address for its configuration.
type asking func(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error)

// news is a version that the node at an address has.
type news struct {
	version uint64
	address string
}

func newFetcher(ask asking, config *enforcer.Enforcer, offer func(*control.Value), whole bool, clock timekeeper.Clock, log *slog.Logger) *fetcher {
	return &fetcher{ask: ask, config: config, offer: offer, whole: whole, clock: clock, log: log, wake: make(chan news, 4)}
}

// want notes that the node at address has a version.
func (f *fetcher) want(version uint64, address string) {
	if version <= f.config.Current().Version() {
		return
	}
	f.note(version, address)
	select {
	case f.wake <- news{version, address}:
	default:
	}
}

// note remembers the highest version that was heard of.
func (f *fetcher) note(version uint64, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.heard {
		return
	}
	f.heard, f.since = version, f.clock.Now()
	f.log.Info("heard", "version", version, "from", address, "inforce", f.config.Current().Version())
}

// behind returns the highest version that another node has and for how long this
// node has known of it, 0 when it is in force here.
func (f *fetcher) behind() (version uint64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard <= f.config.Current().Version() {
		return f.config.Current().Version(), 0
	}
	return f.heard, f.clock.Now().Sub(f.since)
}

// age is the time since a version was first heard of; 0 when it was not, or
// when a higher one was.
func (f *fetcher) age(version uint64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard != version {
		return 0
	}
	return f.clock.Now().Sub(f.since)
}

// Run fetches until the context ends.
func (f *fetcher) Run(ctx context.Context) { f.loop(ctx) }

func (f *fetcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-f.wake:
			// Several nodes tell of the same version.
			if n.version > f.config.Current().Version() {
				f.fetch(ctx, n.address)
			}
		}
	}
}

// fetch asks the node at address, and, when that one does not have all that
// this node needs, the replicas.
func (f *fetcher) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	addresses := []string{address}
	if f.whole {
		for _, m := range f.config.Current().Value().Replicas {
			addresses = append(addresses, m.Address)
		}
		// A replica without a configuration may hear of it from neighbours only,
		// which don't have the whole value.
		if f.replicas != nil {
			addresses = append(addresses, f.replicas()...)
		}
	}
	for _, a := range addresses {
		began := f.clock.Now()
		value, err := f.ask(ctx, a, &control.FetchRequest{Whole: f.whole, Above: f.config.Current().Version()})
		f.logFetch(a, value, err, f.clock.Now().Sub(began))
		if err == nil && value.Version > f.config.Current().Version() {
			f.offer(value)
			return
		}
	}
}

func (f *fetcher) logFetch(address string, value *control.Value, err error, took time.Duration) {
	attrs := []any{"from", address, "took", took, "inforce", f.config.Current().Version()}
	if err != nil {
		f.log.Warn("fetch", append(attrs, "error", err.Error())...)
		return
	}
	// The version is 0 when the other node has nothing newer.
	f.log.Info("fetch", append(attrs, "version", value.Version)...)
}
