package fetcher

import (
	"context"
	"slices"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// maxAsked bounds the nodes that are asked at the same time.
const maxAsked = 16

// round is the way from one version in force to the highest that was heard of.
type round struct {
	fetcher *Fetcher
	answers chan answer
	// running are the addresses that have not answered yet.
	running []string
	// asked is the version that each address was last asked for.
	asked map[string]uint64
	// hedge is when another node is asked beside those that run, retry when all
	// of them are asked once more.
	hedge, retry <-chan time.Time
	// pause is the time until the next retry.
	pause time.Duration
}

// answer is what a node said, or why it did not.
type answer struct {
	address string
	// asked is the version that the node was asked for.
	asked uint64
	value *control.Value
	err   error
	took  time.Duration
}

// ask is one question to one node.
type ask struct {
	fetcher *Fetcher
	address string
	version uint64
	answers chan<- answer
}

func (a *ask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	o := a.fetcher.options
	began := o.Clock.Now()
	value, err := o.Fetch(ctx, a.address, &control.FetchRequest{Whole: o.FullValue, Above: a.fetcher.version()})
	a.answers <- answer{address: a.address, asked: a.version, value: value, err: err, took: o.Clock.Now().Sub(began)}
}

// askNext asks one more node, unless those that were asked still have time.
func (r *round) askNext(ctx context.Context) {
	if r.hedge != nil || len(r.running) == maxAsked {
		return
	}
	clock := r.fetcher.options.Clock
	address, version := r.candidate()
	switch {
	case address != "":
		r.asked[address] = version
		r.running = append(r.running, address)
		a := &ask{fetcher: r.fetcher, address: address, version: version, answers: r.answers}
		go a.run(ctx)
		r.hedge = clock.After(hedgeDelay)
	case r.retry == nil:
		r.retry = clock.After(r.pause)
		r.pause = min(2*r.pause, retryMost)
	}
}

// candidate returns a node that has a higher version and was not asked for it:
// those that were heard first, then the replicas. A version that could not be put
// into force is not fetched again.
func (r *round) candidate() (address string, version uint64) {
	f := r.fetcher
	f.mu.Lock()
	list := slices.Clone(f.adverts.list)
	highest, unusable := f.adverts.highest(), f.unusable
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
		if k.version > max(r.asked[k.address], unusable) && !slices.Contains(r.running, k.address) {
			return k.address, k.version
		}
	}
	return "", 0
}

// take handles an answer; the next node is asked at once.
func (r *round) take(a answer) {
	f := r.fetcher
	r.running = slices.DeleteFunc(r.running, func(address string) bool { return address == a.address })
	r.hedge = nil
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
	f.adverts.correct(a.address, a.asked, a.value.Version)
	if a.value.Version > now {
		f.unusable = max(f.unusable, a.value.Version)
	}
	if now > own {
		r.pause = retryFirst
	}
}
