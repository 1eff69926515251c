package fetcher

import (
	"slices"
	"time"
)

const (
	// maxAdverts bounds the nodes that are remembered to have a version; those that
	// were heard first make room.
	maxAdverts = 8
	// advertTerm is how long an advert counts that was neither repeated nor corrected:
	// nodes that are in reach repeat it with every probe.
	advertTTL = 30 * time.Second
)

// advert says that the node at an address has a version.
type advert struct {
	address    string
	version    uint64
	receivedAt time.Time
}

// adverts are what other nodes say they have, one a node, in the order in
// which the nodes were first heard. The zero value works.
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

// correct lowers an advert to what the node answered when it was asked for a
// version. It may have told of a higher one meanwhile.
func (a *adverts) correct(address string, requested, version uint64) {
	if i := a.index(address); i >= 0 && a.list[i].version <= requested {
		a.list[i].version = version
	}
}

// prune drops adverts to versions that are not above the one in force, and those
// that were not repeated in time.
func (a *adverts) prune(own uint64, now time.Time) {
	a.list = slices.DeleteFunc(a.list, func(k advert) bool { return k.version <= own || now.Sub(k.receivedAt) > advertTTL })
}

func (a *adverts) highest() uint64 {
	highest := uint64(0)
	for _, k := range a.list {
		highest = max(highest, k.version)
	}
	return highest
}

func (a *adverts) index(address string) int {
	return slices.IndexFunc(a.list, func(k advert) bool { return k.address == address })
}
