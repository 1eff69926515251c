package trialer

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPlansOfTheDocs checks that every shipped plan can be parsed.
func TestPlansOfTheDocs(t *testing.T) {
	files, err := filepath.Glob("../../docs/trials/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		source, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		p, err := Parse(file, source)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, p.Capacity() > 0, qt.IsTrue)
	}
}

// TestReportCanBeSaved saves the report of a run in which every request failed
// and targets have a service time of 0. A figure that these make infinite can't
// be encoded as JSON.
func TestReportCanBeSaved(t *testing.T) {
	p := &Plan{
		Name: "x", Seconds: 2, Rate: 10, Teams: []Team{{Name: "a", Weight: 1, Rate: 10, Burst: 10}},
		Layers: []Layer{{Service: "s", Targets: 1, Slots: 1}}, Events: []Event{{StartSecond: 0, EndSecond: 1, Kind: kindSurge, Factor: 2}},
	}
	r := newRecorder(2e9)
	for i := range 20 {
		r.add(5*bucketLength, countKey{"a", i%2 == 0}, Failed, 1000, 1)
	}
	out := newReport(p, ModeNodes, r)
	qt.Assert(t, Save(t.TempDir(), []*Report{out}), qt.IsNil)
}

// TestFairShares divides 100 requests among a team with low demand, one with a
// low rate limit and one that gets the rest.
func TestFairShares(t *testing.T) {
	p := &Plan{Seconds: 1, Teams: []Team{
		{Name: "large", Rate: 1000, Burst: 1000}, {Name: "small", Rate: 1000, Burst: 1000}, {Name: "capped", Rate: 10, Burst: 0},
	}}
	r := newRecorder(1e9)
	for i := range 300 {
		r.add(0, countKey{"large", false}, Served, 0, 1)
		if i < 20 {
			r.add(0, countKey{"small", false}, Served, 0, 1)
		}
		r.add(0, countKey{"capped", false}, RateLimited, 0, 1)
	}
	got := fairShares(p, r, 0, 10, 100)
	qt.Assert(t, got["small"], qt.Equals, 20.0)
	qt.Assert(t, got["capped"] > 9.9 && got["capped"] < 10.1, qt.IsTrue)
	qt.Assert(t, got["large"] > 69 && got["large"] < 71, qt.IsTrue)
}
