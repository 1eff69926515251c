package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// drainConfig returns a version with drained data centres.
func drainConfig(t *testing.T, version uint64, centres ...string) *enforcer.Config {
	value := &control.Value{Version: version}
	for _, centre := range centres {
		value.Drains = append(value.Drains, &control.Drain{Centre: centre})
	}
	c, err := enforcer.NewConfig(value, nil)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// TestDrainedTargetsAreLeftOut checks which targets are left, that the list stays at its
// address until the targets change, since the router recognizes it by that, and that a
// choice allocates nothing.
func TestDrainedTargetsAreLeftOut(t *testing.T) {
	east, west, other := &control.Entry{Centre: "east"}, &control.Entry{Centre: "west"}, &control.Entry{Centre: "west"}
	all := []*control.Entry{east, west}
	var f targetFilter
	none := drainConfig(t, 1)
	qt.Check(t, &f.filter("s", all, none)[0], qt.Equals, &all[0])
	elsewhere := f.filter("s", all, drainConfig(t, 2, "north"))
	qt.Check(t, &elsewhere[0], qt.Equals, &all[0])

	drained := drainConfig(t, 3, "west")
	kept := f.filter("s", all, drained)
	qt.Assert(t, kept, qt.HasLen, 1)
	qt.Check(t, kept[0], qt.Equals, east)
	qt.Check(t, &f.filter("s", all, drainConfig(t, 4, "west"))[0], qt.Equals, &kept[0])
	qt.Check(t, &f.filter("s", []*control.Entry{east, west, other}, drained)[0], qt.Equals, &kept[0])
	qt.Check(t, f.filter("s", []*control.Entry{west}, drained), qt.HasLen, 0)
	qt.Check(t, f.filter("s", nil, drained), qt.HasLen, 0)
	qt.Check(t, f.filter("s", all, none), qt.HasLen, 2)

	f.filter("s", all, drained)
	qt.Check(t, testing.AllocsPerRun(100, func() { f.filter("s", all, drained) }), qt.Equals, 0.0)
}

// TestDescribeDrain checks what a plan says about the services of a data centre.
func TestDescribeDrain(t *testing.T) {
	members := []*control.Entry{
		{Centre: "west", Service: "b"}, {Centre: "west", Service: "a"}, {Centre: "west", Service: "a"}, {Centre: "west"},
		{Centre: "east", Service: "a"}, {Centre: "north", Service: "b"}, {Centre: "east", Service: "b", State: control.State_STATE_DEAD},
	}
	lines := describeDrain(members, []*control.Drain{{Centre: "north"}}, "west")
	qt.Assert(t, lines, qt.DeepEquals, []string{"service a: targets here 2, elsewhere 1", "service b: targets here 1, elsewhere 0"})
}
