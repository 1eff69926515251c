package healer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.Unix(1000, 0)

func disk(identity, address string, silent time.Duration) Replica {
	r := Replica{Identity: identity, Address: address}
	if silent > 0 {
		r.UnreachableSince = now.Add(-silent)
	}
	return r
}

var members = []Replica{disk("a", "1", 0), disk("b", "2", 0), disk("c", "3", 0)}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name string
		seen []Replica
		want Replacement
		ok   bool
	}{
		{name: "all well", seen: append([]Replica{disk("d", "4", 0)}, members...)},
		{
			name: "an empty disk at an old address",
			seen: []Replica{disk("a", "1", 0), disk("x", "2", 0), disk("c", "3", 0)},
			want: Replacement{"b", []string{"2"}, ReasonDisk}, ok: true,
		},
		{
			name: "silent for long, with a spare",
			seen: []Replica{disk("a", "1", 0), disk("b", "2", 0), disk("c", "3", silentFor), disk("d", "4", 0)},
			want: Replacement{"c", []string{"4"}, ReasonSilent}, ok: true,
		},
		{
			name: "silent for a short time",
			seen: []Replica{disk("a", "1", 0), disk("b", "2", 0), disk("c", "3", silentFor/2), disk("d", "4", 0)},
		},
		{
			name: "silent, without a spare",
			seen: []Replica{disk("a", "1", 0), disk("b", "2", 0), disk("c", "3", time.Hour)},
		},
		{
			name: "silent, and the spare is silent too",
			seen: []Replica{disk("a", "1", 0), disk("b", "2", 0), disk("c", "3", time.Hour), disk("d", "4", time.Second)},
		},
		{
			name: "no majority in reach",
			seen: []Replica{disk("a", "1", 0), disk("x", "2", 0), disk("c", "3", time.Hour), disk("d", "4", 0)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Decide(members, test.seen, 1, now)
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// in sets the data centre of a disk.
func in(centre string, r Replica) Replica {
	r.Centre = centre
	return r
}

func TestSetGrowsToItsTolerance(t *testing.T) {
	seen := []Replica{
		in("x", disk("a", "1", 0)), in("y", disk("b", "2", 0)), in("z", disk("c", "3", 0)),
		in("x", disk("d", "4", 0)), in("x", disk("e", "5", 0)), in("w", disk("f", "6", 0)), in("v", disk("g", "7", time.Second)),
	}
	for _, test := range []struct {
		name      string
		seen      []Replica
		tolerance int
		want      []string
	}{
		{name: "large enough", seen: seen, tolerance: 1},
		{name: "data centres with fewest members go first", seen: seen, tolerance: 2, want: []string{"6", "4"}},
		{name: "one spare makes an even set, which bears no more", seen: seen[:4], tolerance: 2},
		{name: "as far as there are disks", seen: seen[:5], tolerance: 3, want: []string{"4", "5"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Decide(members, test.seen, test.tolerance, now)
			qt.Assert(t, ok, qt.Equals, test.want != nil)
			qt.Assert(t, got.Joining, qt.DeepEquals, test.want)
		})
	}
}

// TestLossOfDataCentreLeavesMajority grows sets over three data centres and
// more and loses any one of these.
func TestLossOfDataCentreLeavesMajority(t *testing.T) {
	for centres := 3; centres <= 6; centres++ {
		for tolerance := 1; tolerance <= 3; tolerance++ {
			var seen []Replica
			for i := range 3 * centres {
				name := string(rune('a' + i))
				seen = append(seen, in(string(rune('A'+i%centres)), disk(name, name, 0)))
			}
			set := append([]Replica(nil), seen[:3]...)
			if next, ok := Decide(set, seen, tolerance, now); ok {
				for _, address := range next.Joining {
					set = append(set, seen[address[0]-'a'])
				}
			}
			qt.Assert(t, len(set), qt.Equals, RequiredReplicas(tolerance))
			held := map[string]int{}
			for _, m := range set {
				held[m.Centre]++
			}
			for _, n := range held {
				qt.Assert(t, len(set)-n > len(set)/2, qt.IsTrue, qt.Commentf("%d data centres: %v", centres, held))
			}
		}
	}
}
