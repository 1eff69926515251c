package planner_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/planner"
	"github.com/primrosewall/primrosewall/proto/control"
)

// interpret reads a document that is the name of a team; one that begins with
// "bad" is not valid.
func interpret(document []byte) (*declarer.Declaration, error) {
	name := string(document)
	if strings.HasPrefix(name, "bad") {
		return nil, fmt.Errorf("%s", name)
	}
	return &declarer.Declaration{Teams: map[string]declarer.Team{name: {}}}, nil
}

// apply returns the value after an application, or the current one on an error.
func apply(t *testing.T, current *control.Value, base, revision uint64, document string) (*control.Value, error) {
	a := &planner.Application{Base: base, Revision: revision, Document: []byte(document), Interpret: interpret}
	next, err := a.Update()(current)
	if err != nil {
		return current, err
	}
	qt.Assert(t, string(next.Document), qt.Equals, document)
	qt.Assert(t, next.Revision, qt.Equals, revision)
	qt.Assert(t, next.Version, qt.Equals, current.Version+1)
	return next, nil
}

// TestReappliedDocumentIsAcknowledged sends 400 documents and then each of them
// again, which must be recognized after hundreds of others.
func TestReappliedDocumentIsAcknowledged(t *testing.T) {
	value := planner.InitialValue(nil)
	var err error
	for i := range uint64(400) {
		value, err = apply(t, value, 3*i, 3*i+3, fmt.Sprint("team", i))
		qt.Assert(t, err, qt.IsNil)
	}
	for i := range uint64(400) {
		_, err := apply(t, value, 3*i, 3*i+3, fmt.Sprint("team", i))
		var repeat *planner.AlreadyAppliedError
		qt.Assert(t, errors.As(err, &repeat), qt.IsTrue, qt.Commentf("%d: %v", i, err))
	}
}

// TestSameBaseIsAppliedOnce sends two documents with the same base and revision, as
// two operators might. The second one must be refused.
func TestSameBaseIsAppliedOnce(t *testing.T) {
	value, err := apply(t, planner.InitialValue(nil), 0, 5, "one")
	qt.Assert(t, err, qt.IsNil)
	var stale *planner.StaleBaseError
	_, err = apply(t, value, 0, 5, "two")
	qt.Assert(t, errors.As(err, &stale), qt.IsTrue)
	qt.Assert(t, stale.Current, qt.Equals, uint64(5))
}

// TestInvalidDocumentIsRefused covers revisions that are not above the current one
// and a document that cannot be interpreted.
func TestInvalidDocumentIsRefused(t *testing.T) {
	value, err := apply(t, planner.InitialValue(nil), 0, 5, "one")
	qt.Assert(t, err, qt.IsNil)
	var invalid *planner.InvalidError
	for _, revision := range []uint64{0, 4, 5} {
		_, err = apply(t, value, 5, revision, "two")
		qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%d", revision))
	}
	_, err = apply(t, value, 5, 6, "bad")
	qt.Assert(t, errors.As(err, &invalid), qt.IsTrue)
	a := &planner.Application{Document: []byte("bad"), Interpret: interpret}
	qt.Assert(t, errors.As(a.Check(), &invalid), qt.IsTrue)
}

// TestReplacementKeepsTheDocument replaces a replica between two applications; the
// document and its revision must stay in force.
func TestReplacementKeepsTheDocument(t *testing.T) {
	members := []*control.Member{{Identity: "a"}, {Identity: "b"}, {Identity: "c"}}
	value, err := apply(t, planner.InitialValue(members), 0, 7, "one")
	qt.Assert(t, err, qt.IsNil)
	r := &planner.Replacement{ID: "r", Base: value.Version, Leaving: "a", Joining: []*control.Member{{Identity: "d"}}}
	value, err = r.Update()(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(value.Document), qt.Equals, "one")
	_, err = apply(t, value, 7, 9, "two")
	qt.Assert(t, err, qt.IsNil)
}
