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
		r.Silent = now.Add(-silent)
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
			want: Replacement{"b", "2", ReasonDisk}, ok: true,
		},
		{
			name: "silent for long, with a spare",
			seen: []Replica{disk("a", "1", 0), disk("b", "2", 0), disk("c", "3", silentFor), disk("d", "4", 0)},
			want: Replacement{"c", "4", ReasonSilent}, ok: true,
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
			got, ok := Decide(members, test.seen, now)
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
