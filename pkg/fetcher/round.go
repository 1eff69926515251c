package fetcher

import (
	"context"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// maxConcurrentFetches bounds the fetches in flight.
const maxConcurrentFetches = 16

// fetchRound is the state of one call of catchUp.
type fetchRound struct {
	fetcher *Fetcher
	results chan fetchResult
	// inFlight are the addresses with a fetch in flight.
	inFlight []string
	// requested is the version last requested from each address.
	requested map[string]uint64
	// hedgeTimer fires when the next fetch may start beside those in flight,
	// retryTimer when all nodes become candidates again. nil means not running.
	hedgeTimer, retryTimer <-chan time.Time
	// retryDelay is the delay before the next retry.
	retryDelay time.Duration
}

// fetchResult is the value that a node returned, or the error of the fetch.
type fetchResult struct {
	address string
	// requested is the version that the fetcher requested.
	requested uint64
	value     *control.Value
	err       error
	took      time.Duration
}

// fetchTask is a fetch from one node.
type fetchTask struct {
	fetcher *Fetcher
	address string
	version uint64
	results chan<- fetchResult
}

func (t *fetchTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o := t.fetcher.options
	began := o.Clock.Now()
	value, err := o.Fetch(ctx, t.address, &control.FetchRequest{Whole: o.FullValue, Above: t.fetcher.version()})
	t.results <- fetchResult{address: t.address, requested: t.version, value: value, err: err, took: o.Clock.Now().Sub(began)}
}

// fetchNext starts a fetch from the next candidate, unless the hedge delay of the
// last one hasn't passed or too many are in flight. Without a candidate it starts
// the retry delay.
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
		task := &fetchTask{fetcher: r.fetcher, address: address, version: version, results: r.results}
		go task.run(ctx)
		r.hedgeTimer = clock.After(hedgeDelay)
	case r.retryTimer == nil:
		r.retryTimer = clock.After(r.retryDelay)
		r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	}
}

// candidate returns a node from which the fetcher hasn't requested its version yet,
// and that version: first the advertisers in order of their first adverts, then
// the replicas, for the highest version advertised. It skips versions up to the
// highest one that could not be put into force.
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
	for _, item := range list {
		if item.version > max(r.requested[item.address], unusableVersion) && !slices.Contains(r.inFlight, item.address) {
			return item.address, item.version
		}
	}
	return "", 0
}

// handle processes the result of a fetch. It clears the hedge delay, so that the
// next fetch starts at once.
func (r *fetchRound) handle(result fetchResult) {
	f := r.fetcher
	r.inFlight = slices.DeleteFunc(r.inFlight, func(address string) bool { return address == result.address })
	r.hedgeTimer = nil
	own := f.version()
	attrs := []any{"from", result.address, "took", result.took, "inforce", own}
	if result.err != nil {
		f.options.Log.Warn("fetch", append(attrs, "error", result.err.Error())...)
		return
	}
	// Version is 0 if the other node has none above the one in force here.
	f.options.Log.Info("fetch", append(attrs, "version", result.value.Version)...)
	if result.value.Version > own {
		f.options.Apply(result.value)
	}
	now := f.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adverts.correct(result.address, result.requested, result.value.Version)
	if result.value.Version > now {
		f.unusableVersion = max(f.unusableVersion, result.value.Version)
	}
	if now > own {
		r.retryDelay = minRetryDelay
	}
}
