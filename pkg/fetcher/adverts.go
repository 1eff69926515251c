package fetcher

import (
	"slices"
	"time"
)

const (
	// maxAdverts bounds the nodes whose adverts are kept; beyond it the fetcher
	// drops the node that advertised first.
	maxAdverts = 8
	// advertTTL is how long an advert counts without being repeated: reachable nodes
	// repeat it with every probe.
	advertTTL = 30 * time.Second
)

// advert is the version that the node at an address says it has.
type advert struct {
	address    string
	version    uint64
	receivedAt time.Time
}

// adverts holds one advert per node, in the order of the nodes' first adverts. The
// zero value works.
type adverts struct{ list []advert }

func (a *adverts) add(address string, version uint64, now time.Time) {
	if i := a.index(address); i >= 0 {
		a.list[i].version, a.list[i].receivedAt = max(a.list[i].version, version), now
		return
	}
	if len(a.list) == maxAdverts {
		a.list = slices.Delete(a.list, 0, 1)
	}
	a.list = append(a.list, advert{address, version, now})
}

// correct sets an advert to the version that the node returned when the fetcher
// requested the advertised one, unless the node has advertised a higher one since.
func (a *adverts) correct(address string, requested, version uint64) {
	if i := a.index(address); i >= 0 && a.list[i].version <= requested {
		a.list[i].version = version
	}
}

// prune drops adverts of versions that aren't above own, the one in force, and
// adverts older than advertTTL.
func (a *adverts) prune(own uint64, now time.Time) {
	a.list = slices.DeleteFunc(a.list, func(item advert) bool { return item.version <= own || now.Sub(item.receivedAt) > advertTTL })
}

func (a *adverts) highest() uint64 {
	highest := uint64(0)
	for _, item := range a.list {
		highest = max(highest, item.version)
	}
	return highest
}

func (a *adverts) index(address string) int {
	return slices.IndexFunc(a.list, func(item advert) bool { return item.address == address })
}
