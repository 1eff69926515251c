package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// answer is one answer of a target: when its request was sent and when it arrived,
// in milliseconds, and what it states.
type answer struct {
	life      string
	sent, at  int
	statement pacer.Statement
}

var (
	none     = pacer.Statement{}
	ten      = none.WithLimit(10)
	five     = none.WithLimit(5)
	silent   = none.Partial()
	leaving  = none.WithLeaving()
	epoch    = time.Unix(1000, 0)
	atMillis = func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
)

// TestOvertakenAnswersKeepTheLimit replays answers that overtake one another: one
// whose request was sent before the limit in force was learned must not raise or end
// it, nor may an answer of an earlier life.
func TestOvertakenAnswersKeepTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		answers []answer
		want    pacer.Statement
	}{
		"named":                  {[]answer{{"a", 0, 100, ten}}, ten},
		"lowered by an overlap":  {[]answer{{"a", 0, 100, ten}, {"a", 50, 150, five}}, five},
		"raised by an overlap":   {[]answer{{"a", 0, 100, five}, {"a", 50, 150, ten}}, five},
		"raised by a later one":  {[]answer{{"a", 0, 100, five}, {"a", 100, 150, ten}}, ten},
		"ended by an overlap":    {[]answer{{"a", 0, 100, ten}, {"a", 50, 150, none}}, ten},
		"ended by a later one":   {[]answer{{"a", 0, 100, ten}, {"a", 101, 150, none}}, none},
		"long request ends none": {[]answer{{"a", 90, 100, ten}, {"a", 0, 9000, none}}, ten},
		"steady overlaps end it": {[]answer{{"a", 0, 100, ten}, {"a", 50, 150, ten}, {"a", 110, 210, ten}, {"a", 120, 220, none}}, none},
		"silent answer":          {[]answer{{"a", 0, 100, ten}, {"a", 200, 300, silent}}, ten},
		"earlier life":           {[]answer{{"a", 0, 100, ten}, {"b", 150, 200, five}, {"a", 120, 300, none}}, five},
		"later life":             {[]answer{{"a", 0, 100, ten}, {"b", 150, 200, none}}, none},
		"overlaps after a start": {[]answer{{"a", 0, 100, ten}, {"b", 150, 200, none}, {"b", 150, 201, ten}}, ten},
		"leaving stays":          {[]answer{{"a", 0, 100, leaving}, {"a", 200, 300, none}}, leaving},
		"leaving ends with life": {[]answer{{"a", 0, 100, leaving}, {"b", 200, 300, none}}, none},
		"leaving and limited":    {[]answer{{"a", 0, 100, ten}, {"a", 50, 150, leaving}}, ten.WithLeaving()},
		"zero is a limit":        {[]answer{{"a", 0, 100, none.WithLimit(0)}}, none.WithLimit(0)},
	} {
		var tracker pacer.Tracker
		var got pacer.Statement
		for _, a := range c.answers {
			got, _ = tracker.Record(a.life, a.statement, atMillis(a.sent), atMillis(a.at))
		}
		qt.Check(t, got, qt.Equals, c.want, qt.Commentf("%s", name))
	}
}

// TestForgottenLimitIsAdopted checks that a node that has started again takes the
// limit that another node remembers, until the target itself has answered.
func TestForgottenLimitIsAdopted(t *testing.T) {
	var tracker pacer.Tracker
	got, changed := tracker.Adopt("a", ten, atMillis(100))
	qt.Check(t, changed, qt.IsTrue)
	qt.Check(t, got, qt.Equals, ten)
	_, changed = tracker.Adopt("a", none.WithLimit(20), atMillis(110))
	qt.Check(t, changed, qt.IsFalse)
	// The answer to a request that was sent before does not end it.
	got, _ = tracker.Record("a", none, atMillis(90), atMillis(120))
	qt.Check(t, got, qt.Equals, ten)
	got, _ = tracker.Record("a", none, atMillis(101), atMillis(130))
	qt.Check(t, got, qt.Equals, none)
	_, changed = tracker.Adopt("a", ten, atMillis(140))
	qt.Check(t, changed, qt.IsFalse)
	qt.Check(t, tracker.Current("a"), qt.Equals, none)
	_, changed = tracker.Adopt("b", ten, atMillis(150))
	qt.Check(t, changed, qt.IsTrue)
	qt.Check(t, tracker.Current("b"), qt.Equals, ten)
}

// TestLimitHoldsUntilNewLifeAnswers checks that a life that has not answered yet gets
// the limit of the one before, but not its word that it leaves, and that its first
// answer counts.
func TestLimitHoldsUntilNewLifeAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		first answer
		want  pacer.Statement
	}{
		"names none":     {answer{"b", 210, 300, none}, none},
		"names less":     {answer{"b", 210, 300, five}, five},
		"says nothing":   {answer{"b", 210, 300, silent}, ten},
		"leaves as well": {answer{"b", 210, 300, ten.WithLeaving()}, ten.WithLeaving()},
	} {
		var tracker pacer.Tracker
		tracker.Record("a", ten.WithLeaving(), atMillis(0), atMillis(100))
		qt.Check(t, tracker.Current("a"), qt.Equals, ten.WithLeaving())
		qt.Check(t, tracker.Current("b"), qt.Equals, ten)
		_, changed := tracker.Adopt("b", none.WithLimit(20), atMillis(200))
		qt.Check(t, changed, qt.IsFalse)
		got, _ := tracker.Record(c.first.life, c.first.statement, atMillis(c.first.sent), atMillis(c.first.at))
		qt.Check(t, got, qt.Equals, c.want, qt.Commentf("%s", name))
		qt.Check(t, tracker.Current("b"), qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
