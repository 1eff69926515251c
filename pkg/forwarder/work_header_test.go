package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/router"
)

// TestWorkHeader checks that entry nodes read what a target's node tells, that a text
// which is no such header is not taken for an idle target, and that writing it
// allocates only the text.
func TestWorkHeader(t *testing.T) {
	told := admitter.Work{Running: 138, Queued: 7, Limit: 130, Time: 61500 * time.Microsecond}
	text := workText(told, 83*time.Millisecond)
	qt.Assert(t, text, qt.Equals, "138,7,130,61500,83000")
	want := router.Work{Running: 138, Queued: 7, Limit: 130, Time: 61500 * time.Microsecond, Spent: 83 * time.Millisecond}
	for _, sent := range []string{text, text + ",5"} {
		read, ok := readWork(sent)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, read, qt.Equals, want)
	}
	for _, damaged := range []string{"", "1,2,3,4", "-1,0,10,1,1", "1,0,x,1,1", "1,0,99999999999,1,1"} {
		_, ok := readWork(damaged)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", damaged))
	}
	qt.Check(t, testing.AllocsPerRun(100, func() { workText(told, time.Second) }), qt.Equals, 1.0)
	qt.Check(t, testing.AllocsPerRun(100, func() { readWork(text) }), qt.Equals, 0.0)
}
