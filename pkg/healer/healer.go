package healer

import (
	"slices"
	"time"
)

const (
	// silentFor is how long a replica must be out of reach before a spare takes
	// its place: longer than a restart of its process takes.
	unreachableTimeout = 1500 * time.Millisecond
	// GrowDelay is how long the choice of disks that enlarge a set must stand: a
	// fleet that starts finds its disks one after the other, and the first ones
	// may all be in one data centre.
	GrowDelay = time.Second
)

// Replica is one disk as this node sees it.
type Replica struct {
	// Identity of the data folder.
	Identity string
	// Address of its node.
	Address string
	// Centre is the data centre of its node; empty when it is not known.
	Centre string
	// UnreachableSince tells since when the node has been out of reach; zero when it is
	// in reach.
	UnreachableSince time.Time
}

// Replacement says which member gives way to which disk, or which disks are
// added.
type Replacement struct {
	// Leaving is the identity of the member; empty when none leaves.
	Leaving string
	// Joining are the addresses of the disks that come into the set.
	Joining []string
	// Reason is one word for the log.
	Reason string
}

// Equal tells whether two replacements are the same.
func (r Replacement) Equal(other Replacement) bool {
	return r.Leaving == other.Leaving && r.Reason == other.Reason && slices.Equal(r.Joining, other.Joining)
}

// The reasons of a replacement.
const (
	// ReasonDisk says that the member's node has come back with another disk.
	ReasonNewDisk = "disk"
	// ReasonSilent says that the member is out of reach and a spare is not.
	ReasonUnreachable = "silent"
	// ReasonGrow says that the set is too small for the losses it has to bear.
	ReasonGrow = "grow"
)

// RequiredReplicas is how many replicas a set needs so that every accepted value is left
// on a majority of what remains when so many disks are lost at once.
func RequiredReplicas(tolerance int) int { return 2*tolerance + 1 }

// ToleratedLosses is how many disks of a set may be lost at once.
func ToleratedLosses(replicas int) int { return max(0, replicas-1) / 2 }

// Decide picks the next replacement, or none. Members are the set in force;
// seen are the disks that nodes have announced, members included; tolerance is
// how many disks may be lost at once.
func Decide(members, announced []Replica, tolerance int, now time.Time) (Replacement, bool) {
	byAddress := map[string]Replica{}
	for _, r := range announced {
		byAddress[r.Address] = r
	}
	if !majorityReachable(members, byAddress) {
		return Replacement{}, false
	}
	for _, m := range members {
		if r, ok := byAddress[m.Address]; ok && r.Identity != m.Identity && r.UnreachableSince.IsZero() {
			return Replacement{Leaving: m.Identity, Joining: []string{m.Address}, Reason: ReasonNewDisk}, true
		}
	}
	// A set of even size bears no more than one of a replica less.
	if missing := RequiredReplicas(tolerance) - len(members); missing > 0 {
		joining := pickSpares(members, announced, byAddress, missing)
		if (len(members)+len(joining))%2 == 0 {
			joining = joining[:max(0, len(joining)-1)]
		}
		if len(joining) > 0 {
			return Replacement{Joining: joining, Reason: ReasonGrow}, true
		}
	}
	for _, m := range members {
		if r, ok := byAddress[m.Address]; ok && !r.UnreachableSince.IsZero() && now.Sub(r.UnreachableSince) >= unreachableTimeout {
			others := slices.DeleteFunc(slices.Clone(members), func(o Replica) bool { return o.Address == m.Address })
			if joining := pickSpares(others, announced, byAddress, 1); len(joining) > 0 {
				return Replacement{Leaving: m.Identity, Joining: joining, Reason: ReasonUnreachable}, true
			}
		}
	}
	return Replacement{}, false
}

// majorityInReach tells whether enough members can accept a replacement.
func majorityReachable(members []Replica, byAddress map[string]Replica) bool {
	count := 0
	for _, m := range members {
		if r, ok := byAddress[m.Address]; ok && r.Identity == m.Identity && r.UnreachableSince.IsZero() {
			count++
		}
	}
	return count > len(members)/2
}

// pickSpares returns up to count addresses of disks in reach that are no
// members. Each comes from a data centre with the fewest members, so that the
// loss of one data centre takes as few as possible; the lowest address goes
// first.
func pickSpares(members, announced []Replica, byAddress map[string]Replica, count int) []string {
	excluded := map[string]bool{}
	membersIn := map[string]int{}
	for _, m := range members {
		excluded[m.Address] = true
		membersIn[byAddress[m.Address].Centre]++
	}
	spares := slices.Clone(announced)
	slices.SortFunc(spares, func(a, b Replica) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	var picked []string
	for len(picked) < count {
		best := -1
		for i, r := range spares {
			if excluded[r.Address] || !r.UnreachableSince.IsZero() {
				continue
			}
			if best < 0 || membersIn[r.Centre] < membersIn[spares[best].Centre] {
				best = i
			}
		}
		if best < 0 {
			break
		}
		excluded[spares[best].Address] = true
		membersIn[spares[best].Centre]++
		picked = append(picked, spares[best].Address)
	}
	return picked
}
