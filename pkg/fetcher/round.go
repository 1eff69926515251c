package fetcher

import (
	"context"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// maxAsked bounds the nodes that are asked at the same time.
const maxConcurrentFetches = 16

// round is the way from one version in force to the highest that was heard of.
type fetchRound struct {
	fetcher *Fetcher
	results chan fetchResult
	// running are the addresses that have not answered yet.
	inFlight []string
	// asked is the version that each address was last asked for.
	requested map[string]uint64
	// hedge is when another node is asked beside those that run, retry when all
	// of them are asked once more.
	hedgeTimer, retryTimer <-chan time.Time
	// pause is the time until the next retry.
	retryDelay time.Duration
}

// answer is what a node said, or why it did not.
type fetchResult struct {
	address string
	// asked is the version that the node was asked for.
	requested uint64
	value     *control.Value
	err       error
	took      time.Duration
}

// ask is one question to one node.
type fetchTask struct {
	fetcher *Fetcher
	address string
	version uint64
	results chan<- fetchResult
}

func (a *fetchTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o := a.fetcher.options
	began := o.Clock.Now()
	value, err := o.Fetch(ctx, a.address, &control.FetchRequest{Whole: o.FullValue, Above: a.fetcher.version()})
	a.results <- fetchResult{address: a.address, requested: a.version, value: value, err: err, took: o.Clock.Now().Sub(began)}
}

// askNext asks one more node, unless those that were asked still have time.
func (r *fetchRound) fetchNext(ctx context.Context) {
	if r.hedgeTimer != nil || len(r.inFlight) == maxConcurrentFetches {
		return
	}
	clock := r.fetcher.options.Clock
	address, version := r.candidate()
	switch {
	case address != "":
		r.requested[address] = version
		r.inFlight = append(r.inFlight, address)
		a := &fetchTask{fetcher: r.fetcher, address: address, version: version, results: r.results}
		go a.run(ctx)
		r.hedgeTimer = clock.After(hedgeDelay)
	case r.retryTimer == nil:
		r.retryTimer = clock.After(r.retryDelay)
		r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	}
}

// candidate returns a node that has a higher version and was not asked for it:
// those that were heard first, then the replicas. A version that could not be put
// into force is not fetched again.
func (r *fetchRound) candidate() (address string, version uint64) {
	f := r.fetcher
	f.mu.Lock()
	list := slices.Clone(f.adverts.list)
	highest, unusableVersion := f.adverts.highest(), f.unusableVersion
	f.mu.Unlock()
	for _, m := range f.options.Config.Current().Value().GetReplicas() {
		list = append(list, advert{address: m.Address, version: highest})
	}
	if f.options.Replicas != nil {
		for _, a := range f.options.Replicas() {
			list = append(list, advert{address: a, version: highest})
		}
	}
	for _, k := range list {
		if k.version > max(r.requested[k.address], unusableVersion) && !slices.Contains(r.inFlight, k.address) {
			return k.address, k.version
		}
	}
	return "", 0
}

// take handles an answer; the next node is asked at once.
func (r *fetchRound) handle(a fetchResult) {
	f := r.fetcher
	r.inFlight = slices.DeleteFunc(r.inFlight, func(address string) bool { return address == a.address })
	r.hedgeTimer = nil
	own := f.version()
	attrs := []any{"from", a.address, "took", a.took, "inforce", own}
	if a.err != nil {
		f.options.Log.Warn("fetch", append(attrs, "error", a.err.Error())...)
		return
	}
	// The version is 0 when the other node has none above the one in force.
	f.options.Log.Info("fetch", append(attrs, "version", a.value.Version)...)
	if a.value.Version > own {
		f.options.Apply(a.value)
	}
	now := f.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adverts.correct(a.address, a.requested, a.value.Version)
	if a.value.Version > now {
		f.unusableVersion = max(f.unusableVersion, a.value.Version)
	}
	if now > own {
		r.retryDelay = minRetryDelay
	}
}
