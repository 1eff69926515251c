package announcer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/announcer"
)

// coldObserver keeps what it is told; a loss is -1.
type coldObserver struct{ told []time.Duration }

func (o *coldObserver) TargetReported(_ string, cold time.Duration, _ bool) {
	o.told = append(o.told, cold)
}

func (o *coldObserver) TargetLost() { o.told = append(o.told, -1) }

// TestEveryReportStatesCold guards against a target that turns cold without a restart
// while only the first report of a life counts, and against reports that are late or
// overtaken and take back what a later one states.
func TestEveryReportStatesCold(t *testing.T) {
	s, o := newFixture(), &coldObserver{}
	s.SetColdObserver(o)
	report := func(life string, startMillis int64, sequence uint64, cold time.Duration, leaving bool) {
		s.Report(announcer.Report{
			Announcement: announcer.Announcement{Service: "s", Address: s.address, Slots: 4, Life: life},
			StartMillis:  startMillis, Sequence: sequence, Leaving: leaving, TTL: 8 * time.Second, Cold: cold,
		}, drain)
	}
	report("a/10", 10, 1, 3*time.Second, false)
	report("a/10", 10, 2, 0, false)
	report("a/10", 10, 5, 4*time.Second, false)
	// Reports that the network has delayed.
	report("a/10", 10, 3, 0, false)
	report("a/10", 10, 4, 0, false)
	qt.Check(t, o.told, qt.DeepEquals, []time.Duration{3 * time.Second, 0, 4 * time.Second})
	o.told = nil
	// The next life, and a late report of the one before.
	report("a/20", 20, 1, 5*time.Second, false)
	report("a/10", 10, 6, 0, false)
	qt.Check(t, o.told, qt.DeepEquals, []time.Duration{5 * time.Second})
	o.told = nil
	// While it drains it may still get requests.
	report("a/20", 20, 2, 2*time.Second, true)
	qt.Check(t, o.told, qt.DeepEquals, []time.Duration{2 * time.Second})
	o.told = nil
	report("b/30", 30, 1, time.Second, false)
	s.ReportMisdirected(s.Target())
	qt.Check(t, o.told, qt.DeepEquals, []time.Duration{time.Second, -1})
}

// TestRenewalsDoNotRestartWarmup guards against announcements, which don't state how
// long a target stays cold, that make it cold again each time.
func TestRenewalsDoNotRestartWarmup(t *testing.T) {
	s, o := newFixture(), &coldObserver{}
	s.SetColdObserver(o)
	for range 3 {
		s.Announce(announcer.Announcement{Service: "s", Address: s.address, Slots: 4, Life: "one"})
	}
	qt.Check(t, o.told, qt.HasLen, 1)
	s.Announce(announcer.Announcement{Service: "s", Address: s.address, Slots: 4, Life: "two"})
	qt.Check(t, o.told, qt.HasLen, 2)
}

// TestClockStepDoesNotMoveColdTime guards against a target whose clock has been set: how
// long it stays cold is counted from the receipt of its report by the node's own clock,
// whatever start time the report names.
func TestClockStepDoesNotMoveColdTime(t *testing.T) {
	for _, startMillis := range []int64{1, 1 << 40, 1 << 50} {
		s, o := newFixture(), &coldObserver{}
		s.SetColdObserver(o)
		for sequence := range uint64(2) {
			s.Report(announcer.Report{
				Announcement: announcer.Announcement{Service: "s", Address: s.address, Slots: 4, Life: "a"},
				StartMillis:  startMillis, Sequence: sequence + 1, TTL: 8 * time.Second, Cold: 2 * time.Second,
			}, drain)
		}
		qt.Check(t, o.told, qt.DeepEquals, []time.Duration{2 * time.Second, 2 * time.Second})
	}
}
