package healer

import (
	"slices"
	"time"
)

const (
	// unreachableTimeout is how long a replica must be unreachable before a spare
	// replaces it. It is longer than a restart of the replica's process.
	unreachableTimeout = 1500 * time.Millisecond
	// GrowDelay is how long the choice of disks to add must stay the same before
	// they are added. A starting fleet discovers its disks one after the other, and
	// the first ones may all be in one data centre.
	GrowDelay = time.Second
)

// Replica is one disk, as known to this node.
type Replica struct {
	// Identity identifies the data folder.
	Identity string
	// Address is the address of its node.
	Address string
	// Centre is the data centre of its node; empty if unknown.
	Centre string
	// UnreachableSince is when the node became unreachable; zero while it is
	// reachable.
	UnreachableSince time.Time
}

// Replacement names the member to replace and the disk that replaces it, or the
// disks to add.
type Replacement struct {
	// Leaving is the identity of the member to replace; empty to only add disks.
	Leaving string
	// Joining holds the addresses of the disks to add to the set.
	Joining []string
	// Reason is one of the constants below; it goes into the log.
	Reason string
}

// Equal reports whether two replacements are the same.
func (r Replacement) Equal(other Replacement) bool {
	return r.Leaving == other.Leaving && r.Reason == other.Reason && slices.Equal(r.Joining, other.Joining)
}

// The reasons for a replacement.
const (
	// ReasonNewDisk means that the member's node is reachable with another disk.
	ReasonNewDisk = "disk"
	// ReasonUnreachable means that the member is unreachable and a spare is not.
	ReasonUnreachable = "silent"
	// ReasonGrow means that the set is too small for the required tolerance.
	ReasonGrow = "grow"
)

// RequiredReplicas returns the smallest size of a set that tolerates the loss of
// that many disks at once: the other members still form a majority, and at least
// one of them holds each value that a majority has accepted.
func RequiredReplicas(tolerance int) int { return 2*tolerance + 1 }

// ToleratedLosses returns how many disks a set of that size may lose at once.
func ToleratedLosses(replicas int) int { return max(0, replicas-1) / 2 }

// Decide returns the next replacement, or false if there is none to make or too few
// members can accept one. members is the set in force; announced holds the disks
// that nodes have announced, members included; tolerance is how many disks the set
// must be able to lose at once.
//
// A member whose disk was replaced is handled first, then a set that is too small,
// then an unreachable member.
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
	// A set of even size tolerates no more losses than one with a replica less.
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

// majorityReachable reports whether a majority of the members is reachable and still
// has the disks of the set, and so can accept a replacement.
func majorityReachable(members []Replica, byAddress map[string]Replica) bool {
	count := 0
	for _, m := range members {
		if r, ok := byAddress[m.Address]; ok && r.Identity == m.Identity && r.UnreachableSince.IsZero() {
			count++
		}
	}
	return count > len(members)/2
}

// pickSpares returns the addresses of up to count reachable disks that are not
// members. Each is in a data centre with the fewest members at that point, so that
// the loss of one data centre takes as few members as possible. Among equals it
// picks the lowest address.
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
