package server

import (
	"context"
	"time"

	"github.com/primrosewall/primrosewall/pkg/caller"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// fetchTimeout bounds one fetch of a configuration.
const fetchTimeout = 2 * time.Second

// fetcher fetches a configuration from a node that has a higher version.
type fetcher struct {
	caller *caller.Caller
	config *enforcer.Enforcer
	offer  func(*control.Value)

	wake chan string
}

func newFetcher(c *caller.Caller, config *enforcer.Enforcer, offer func(*control.Value)) *fetcher {
	return &fetcher{caller: c, config: config, offer: offer, wake: make(chan string, 4)}
}

// want notes that the node at address has a version.
func (f *fetcher) want(version uint64, address string) {
	if version <= f.config.Current().Version() {
		return
	}
	select {
	case f.wake <- address:
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
		case address := <-f.wake:
			f.fetch(ctx, address)
		}
	}
}

func (f *fetcher) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	value, err := f.caller.Peer(address).Fetch(ctx, &control.FetchRequest{})
	if err != nil || value.Version == 0 {
		return
	}
	f.offer(value)
}
