package fetcher

import (
	"slices"
	"time"
)

const (
	// maxClaims bounds the nodes that are remembered to have a version; those that
	// were heard first make room.
	maxClaims = 8
	// claimTerm is how long a claim counts that was neither repeated nor corrected:
	// nodes that are in reach repeat it with every probe.
	claimTerm = 30 * time.Second
)

// claim says that the node at an address has a version.
type claim struct {
	address string
	version uint64
	at      time.Time
}

// claims are what other nodes say to have, one claim a node, in the order in
// which the nodes were first heard. The zero value works.
type claims struct{ list []claim }

func (c *claims) add(address string, version uint64, now time.Time) {
	if i := c.find(address); i >= 0 {
		c.list[i].version, c.list[i].at = max(c.list[i].version, version), now
		return
	}
	if len(c.list) == maxClaims {
		c.list = slices.Delete(c.list, 0, 1)
	}
	c.list = append(c.list, claim{address, version, now})
}

// correct lowers a claim to what the node answered when it was asked for a
// version. It may have claimed a higher one meanwhile.
func (c *claims) correct(address string, asked, version uint64) {
	if i := c.find(address); i >= 0 && c.list[i].version <= asked {
		c.list[i].version = version
	}
}

// prune drops claims to versions that are not above the one in force, and those
// that were not repeated in time.
func (c *claims) prune(own uint64, now time.Time) {
	c.list = slices.DeleteFunc(c.list, func(k claim) bool { return k.version <= own || now.Sub(k.at) > claimTerm })
}

func (c *claims) highest() uint64 {
	highest := uint64(0)
	for _, k := range c.list {
		highest = max(highest, k.version)
	}
	return highest
}

func (c *claims) find(address string) int {
	return slices.IndexFunc(c.list, func(k claim) bool { return k.address == address })
}
