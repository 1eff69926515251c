package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
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

	wake chan news
}

// asking asks the node at an address for its configuration.
type asking func(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error)

// news is a version that the node at an address has.
type news struct {
	version uint64
	address string
}

func newFetcher(ask asking, config *enforcer.Enforcer, offer func(*control.Value), whole bool) *fetcher {
	return &fetcher{ask: ask, config: config, offer: offer, whole: whole, wake: make(chan news, 4)}
}

// want notes that the node at address has a version.
func (f *fetcher) want(version uint64, address string) {
	if version <= f.config.Current().Version() {
		return
	}
	select {
	case f.wake <- news{version, address}:
	default:
	}
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
		value, err := f.ask(ctx, a, &control.FetchRequest{Whole: f.whole, Above: f.config.Current().Version()})
		if err == nil && value.Version > f.config.Current().Version() {
			f.offer(value)
			return
		}
	}
}
