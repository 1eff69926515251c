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
	// fetchTimeout bounds one fetch of a configuration.
	fetchTimeout = 2 * time.Second
	// hedgeDelay is how long a node may take to answer before the next one is
	// asked too: longer than a body of 1,400 routes, 300 kB, takes over a link of 200
	// Mbit/s, and a small part of the 2 s in which a version is in force
	// everywhere.
	hedgeDelay = 50 * time.Millisecond
	// retryFirst and retryMost bound the pause after all nodes that have a version
	// were asked in vain; it doubles from the one to the other.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// FetchFunc asks the node at an address for its configuration.
type FetchFunc func(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error)

// Options are what a fetcher needs of the rest of the node.
type Options struct {
	Fetch  FetchFunc
	Config *enforcer.Enforcer
	// Apply puts a value into force.
	Apply func(*control.Value)
	// FullValue tells that this node needs the whole value, as a replica does.
	FullValue bool
	// Replicas lists the addresses of nodes that have the whole value.
	Replicas func() []string
	Clock    timekeeper.Clock
	Log      *slog.Logger
}

// Fetcher fetches configurations from nodes that have a higher version.
type Fetcher struct {
	options Options
	wake    chan struct{}

	mu      sync.Mutex
	adverts adverts
	// highest is the highest version ever heard of, at that time.
	highestVersion uint64
	highestAt      time.Time
	// outdated is when the version in force stopped being the highest heard of.
	behindSince time.Time
	// unusable is the highest version that was fetched and did not come into force.
	unusableVersion uint64
	// changed is closed when another version comes into force.
	changed chan struct{}
}

// New makes a fetcher; it fetches while it runs.
func New(options Options) *Fetcher {
	return &Fetcher{options: options, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// AddAdvert notes that the node at an address has a version.
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

// Behind returns the highest version that another node says it has, and for how
// long this node has known that the one in force is not the highest. Without a
// higher one that is the one in force.
func (f *Fetcher) Behind() (version uint64, age time.Duration) {
	own := f.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	// This runs for each request, and to read the clock takes a system call.
	if len(f.adverts.list) == 0 {
		return own, 0
	}
	now := f.options.Clock.Now()
	if f.adverts.prune(own, now); len(f.adverts.list) == 0 {
		return own, 0
	}
	return f.adverts.highest(), now.Sub(f.behindSince)
}

// Age is the time since a version was first heard of; 0 when it was not, or
// when a higher one was.
func (f *Fetcher) Age(version uint64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.highestVersion != version {
		return 0
	}
	return f.options.Clock.Now().Sub(f.highestAt)
}

// VersionApplied notes that another version has come into force, and wakes those that
// wait for it.
func (f *Fetcher) VersionApplied() {
	now := f.options.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = now
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed is closed when another version than the one in force now comes into
// force.
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

// catchUp asks nodes until none has a higher version than the one in force.
func (f *Fetcher) catchUp(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &fetchRound{fetcher: f, results: make(chan fetchResult, maxConcurrentFetches), requested: map[string]uint64{}, retryDelay: minRetryDelay}
	for f.isBehind() {
		r.fetchNext(ctx)
		select {
		case <-ctx.Done():
			return
		case a := <-r.results:
			r.handle(a)
		case <-r.hedgeTimer:
			r.hedgeTimer = nil
		case <-r.retryTimer:
			r.retryTimer = nil
			clear(r.requested)
		case <-f.wake:
			// Another node has told of a version.
		}
	}
}

func (f *Fetcher) isBehind() bool {
	version, _ := f.Behind()
	return version > f.version()
}
