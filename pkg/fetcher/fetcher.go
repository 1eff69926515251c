package fetcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// fetchTimeout bounds the fetch from one node.
	fetchTimeout = 2 * time.Second
	// hedgeDelay is how long a node may take to answer before the fetcher requests
	// the value from the next one too. It is longer than a body of 1,400 routes,
	// 300 kB, takes over a link of 200 Mbit/s, and a small part of the 2 s within
	// which a version must be in force on all nodes.
	hedgeDelay = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff that starts when
	// the fetcher has requested a version from all candidates without success.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// FetchFunc requests the configuration of the node at an address.
type FetchFunc func(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error)

// Options are the dependencies and settings of a Fetcher.
type Options struct {
	Fetch  FetchFunc
	Config *enforcer.Enforcer
	// Apply puts a value into force.
	Apply func(*control.Value)
	// FullValue is set if this node needs the whole value, as a replica does.
	FullValue bool
	// Replicas lists the addresses of nodes that have the whole value.
	Replicas func() []string
	Clock    timekeeper.Clock
	Log      *slog.Logger
}

// Fetcher fetches configurations from nodes that advertise a higher version.
type Fetcher struct {
	options Options
	// wake receives after each advert of a higher version.
	wake chan struct{}

	mu      sync.Mutex
	adverts adverts
	// highestVersion is the highest version ever advertised to this node, first at
	// highestAt.
	highestVersion uint64
	highestAt      time.Time
	// behindSince is when the node learned that the version in force isn't the
	// highest. It restarts when another version comes into force.
	behindSince time.Time
	// unusableVersion is the highest version that this node fetched but could not put
	// into force.
	unusableVersion uint64
	// changed is closed and replaced when another version comes into force.
	changed chan struct{}
}

// New returns a Fetcher; it fetches only while Run runs.
func New(options Options) *Fetcher {
	return &Fetcher{options: options, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// AddAdvert records that the node at an address advertises a version.
func (f *Fetcher) AddAdvert(version uint64, address string) {
	own := f.version()
	if version <= own {
		return
	}
	now := f.options.Clock.Now()
	f.mu.Lock()
	if f.adverts.prune(own, now); len(f.adverts.list) == 0 {
		f.behindSince = now
	}
	f.adverts.add(address, version, now)
	fresh := version > f.highestVersion
	if fresh {
		f.highestVersion, f.highestAt = version, now
	}
	f.mu.Unlock()
	if fresh {
		f.options.Log.Info("heard", "version", version, "from", address, "inforce", own)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Behind returns the highest version that another node advertises, and for how
// long this node has been behind. If none is higher than the version in force, it
// returns that one and 0.
func (f *Fetcher) Behind() (version uint64, age time.Duration) {
	own := f.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	// This runs for each request, and reading the clock takes a system call.
	if len(f.adverts.list) == 0 {
		return own, 0
	}
	now := f.options.Clock.Now()
	if f.adverts.prune(own, now); len(f.adverts.list) == 0 {
		return own, 0
	}
	return f.adverts.highest(), now.Sub(f.behindSince)
}

// Age returns the time since a version was first advertised to this node; 0 unless
// it is the highest one advertised.
func (f *Fetcher) Age(version uint64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.highestVersion != version {
		return 0
	}
	return f.options.Clock.Now().Sub(f.highestAt)
}

// VersionApplied records that another version has come into force, and closes the
// channel returned by Changed.
func (f *Fetcher) VersionApplied() {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = now
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next version comes into force.
func (f *Fetcher) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Fetcher) version() uint64 { return f.options.Config.Current().Version() }

// Run fetches until the context ends.
func (f *Fetcher) Run(ctx context.Context) { f.loop(ctx) }

func (f *Fetcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.catchUp(ctx)
		}
	}
}

// catchUp fetches until no node advertises a higher version than the one in force.
func (f *Fetcher) catchUp(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &fetchRound{fetcher: f, results: make(chan fetchResult, maxConcurrentFetches), requested: map[string]uint64{}, retryDelay: minRetryDelay}
	for f.isBehind() {
		r.fetchNext(ctx)
		select {
		case <-ctx.Done():
			return
		case result := <-r.results:
			r.handle(result)
		case <-r.hedgeTimer:
			r.hedgeTimer = nil
		case <-r.retryTimer:
			r.retryTimer = nil
			clear(r.requested)
		case <-f.wake:
			// A node has advertised a version: it may be the next candidate.
		}
	}
}

func (f *Fetcher) isBehind() bool {
	version, _ := f.Behind()
	return version > f.version()
}
