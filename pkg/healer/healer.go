package healer

import "time"

// silentFor is how long a replica must be out of reach before a spare takes
// its place: longer than a restart of its process takes.
const silentFor = 1500 * time.Millisecond

// Replica is one disk as this node sees it.
type Replica struct {
	// Identity of the data folder.
	Identity string
	// Address of its node.
	Address string
	// Silent tells since when the node has been out of reach; zero when it is
	// in reach.
	Silent time.Time
}

// Replacement says which member gives way to which disk.
type Replacement struct {
	// Leaving is the identity of the member.
	Leaving string
	// Joining is the address of the disk that takes its place.
	Joining string
	// Reason is one word for the log.
	Reason string
}

// The reasons of a replacement.
const (
	// ReasonDisk says that the member's node has come back with another disk.
	ReasonDisk = "disk"
	// ReasonSilent says that the member is out of reach and a spare is not.
	ReasonSilent = "silent"
)

// Decide picks the next replacement, or none. Members are the set in force;
// seen are the disks that nodes have announced, members included.
func Decide(members, seen []Replica, now time.Time) (Replacement, bool) {
	at := map[string]Replica{}
	for _, r := range seen {
		at[r.Address] = r
	}
	if !majorityInReach(members, at) {
		return Replacement{}, false
	}
	for _, m := range members {
		if r, ok := at[m.Address]; ok && r.Identity != m.Identity && r.Silent.IsZero() {
			return Replacement{Leaving: m.Identity, Joining: m.Address, Reason: ReasonDisk}, true
		}
	}
	spare, ok := pickSpare(members, seen)
	if !ok {
		return Replacement{}, false
	}
	for _, m := range members {
		if r, ok := at[m.Address]; ok && !r.Silent.IsZero() && now.Sub(r.Silent) >= silentFor {
			return Replacement{Leaving: m.Identity, Joining: spare, Reason: ReasonSilent}, true
		}
	}
	return Replacement{}, false
}

// majorityInReach tells whether enough members can accept a replacement.
func majorityInReach(members []Replica, at map[string]Replica) bool {
	count := 0
	for _, m := range members {
		if r, ok := at[m.Address]; ok && r.Identity == m.Identity && r.Silent.IsZero() {
			count++
		}
	}
	return count > len(members)/2
}

// pickSpare returns the lowest address of a disk in reach that is no member.
func pickSpare(members, seen []Replica) (string, bool) {
	taken := map[string]bool{}
	for _, m := range members {
		taken[m.Address] = true
	}
	best := ""
	for _, r := range seen {
		if !taken[r.Address] && r.Silent.IsZero() && (best == "" || r.Address < best) {
			best = r.Address
		}
	}
	return best, best != ""
}
