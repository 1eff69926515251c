package healer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.Unix(1000, 0)

// replica returns a replica that has been unreachable for the given time; 0 means
// that it is reachable.
func replica(identity, address string, unreachable time.Duration) Replica {
	r := Replica{Identity: identity, Address: address}
	if unreachable > 0 {
		r.UnreachableSince = now.Add(-unreachable)
	}
	return r
}

var members = []Replica{replica("a", "1", 0), replica("b", "2", 0), replica("c", "3", 0)}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced []Replica
		want      Replacement
		ok        bool
	}{
		{name: "all members reachable", announced: append([]Replica{replica("d", "4", 0)}, members...)},
		{
			name:      "a new disk at a member's address",
			announced: []Replica{replica("a", "1", 0), replica("x", "2", 0), replica("c", "3", 0)},
			want:      Replacement{"b", []string{"2"}, ReasonNewDisk}, ok: true,
		},
		{
			name:      "unreachable for long, with a spare",
			announced: []Replica{replica("a", "1", 0), replica("b", "2", 0), replica("c", "3", unreachableTimeout), replica("d", "4", 0)},
			want:      Replacement{"c", []string{"4"}, ReasonUnreachable}, ok: true,
		},
		{
			name:      "unreachable for a short time",
			announced: []Replica{replica("a", "1", 0), replica("b", "2", 0), replica("c", "3", unreachableTimeout/2), replica("d", "4", 0)},
		},
		{
			name:      "unreachable, without a spare",
			announced: []Replica{replica("a", "1", 0), replica("b", "2", 0), replica("c", "3", time.Hour)},
		},
		{
			name:      "unreachable, and so is the spare",
			announced: []Replica{replica("a", "1", 0), replica("b", "2", 0), replica("c", "3", time.Hour), replica("d", "4", time.Second)},
		},
		{
			name:      "no majority reachable",
			announced: []Replica{replica("a", "1", 0), replica("x", "2", 0), replica("c", "3", time.Hour), replica("d", "4", 0)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Decide(members, test.announced, 1, now)
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// inCentre sets the data centre of a replica.
func inCentre(centre string, r Replica) Replica {
	r.Centre = centre
	return r
}

func TestSetGrowsToItsTolerance(t *testing.T) {
	announced := []Replica{
		inCentre("x", replica("a", "1", 0)), inCentre("y", replica("b", "2", 0)), inCentre("z", replica("c", "3", 0)),
		inCentre("x", replica("d", "4", 0)), inCentre("x", replica("e", "5", 0)), inCentre("w", replica("f", "6", 0)), inCentre("v", replica("g", "7", time.Second)),
	}
	for _, test := range []struct {
		name      string
		announced []Replica
		tolerance int
		want      []string
	}{
		{name: "large enough", announced: announced, tolerance: 1},
		{name: "spares from the data centres with fewest members", announced: announced, tolerance: 2, want: []string{"6", "4"}},
		{name: "one spare would make an even set, which tolerates no more", announced: announced[:4], tolerance: 2},
		{name: "as many as there are spares", announced: announced[:5], tolerance: 3, want: []string{"4", "5"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Decide(members, test.announced, test.tolerance, now)
			qt.Assert(t, ok, qt.Equals, test.want != nil)
			qt.Assert(t, got.Joining, qt.DeepEquals, test.want)
		})
	}
}

// TestLossOfDataCentreLeavesMajority grows sets over three to six data centres. No
// data centre may hold so many members that the set has no majority without it.
func TestLossOfDataCentreLeavesMajority(t *testing.T) {
	for centres := 3; centres <= 6; centres++ {
		for tolerance := 1; tolerance <= 3; tolerance++ {
			var announced []Replica
			for i := range 3 * centres {
				name := string(rune('a' + i))
				announced = append(announced, inCentre(string(rune('A'+i%centres)), replica(name, name, 0)))
			}
			set := append([]Replica(nil), announced[:3]...)
			if next, ok := Decide(set, announced, tolerance, now); ok {
				for _, address := range next.Joining {
					set = append(set, announced[address[0]-'a'])
				}
			}
			qt.Assert(t, len(set), qt.Equals, RequiredReplicas(tolerance))
			membersIn := map[string]int{}
			for _, m := range set {
				membersIn[m.Centre]++
			}
			for _, n := range membersIn {
				qt.Assert(t, len(set)-n > len(set)/2, qt.IsTrue, qt.Commentf("%d data centres: %v", centres, membersIn))
			}
		}
	}
}
