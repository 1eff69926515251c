package announcer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// listener keeps the last change and all crashes.
type listener struct {
	mu      sync.Mutex
	life    string
	cold    time.Duration
	crashes []string
	left    []string
	// closed counts the targets that were closed.
	closed int
}

func (l *listener) TargetChanged(t *forwarder.Target, cold time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life, l.cold = "", cold
	if t != nil {
		l.life = t.Life
	}
}

func (l *listener) TargetClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed++
}

func (l *listener) TargetLeft(life string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life, l.left = "", append(l.left, life)
}

func (l *listener) AnnouncementIgnored(*announcer.IgnoredError) {}

func (l *listener) TargetCrashed(t *forwarder.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, t.Service+"/"+t.Life)
}

func (l *listener) currentLife() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.life
}

const drain = 2 * time.Second

// fixture is an announcer with a manual clock and no requests in flight.
type fixture struct {
	clock    *timekeeper.Manual
	listener *listener
	// address is where the target listens; nobody does unless a test changes it.
	address string
	*announcer.Announcer
}

func newFixture() *fixture {
	s := &fixture{clock: &timekeeper.Manual{}, listener: &listener{}, address: "127.0.0.1:1"}
	s.Announcer = announcer.New(s.clock, s.listener, func() int { return 0 })
	return s
}

func (s *fixture) report(life string, startMillis int64, sequence uint64, leaving bool) error {
	return s.Report(announcer.Report{
		Announcement: announcer.Announcement{Service: "s", Address: s.address, Slots: 4, Life: life},
		StartMillis:  startMillis, Sequence: sequence, Leaving: leaving, TTL: time.Minute, Cold: time.Second,
	}, drain)
}

// TestStaleReportsAreIgnored guards against reports that arrive out of order:
// those of an earlier life, and earlier ones of the same life.
func TestStaleReportsAreIgnored(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 5, false)
	s.report("b/20", 20, 1, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "b/20")
	s.report("a/10", 10, 9, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "b/20")
	// A late report of the same life must not restore its older values.
	for _, next := range []struct {
		sequence uint64
		slots    int
	}{{3, 8}, {2, 4}} {
		s.Report(announcer.Report{
			Announcement: announcer.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: next.slots, Life: "b/20"},
			StartMillis:  20, Sequence: next.sequence, TTL: time.Minute,
		}, drain)
	}
	qt.Assert(t, s.Target().Slots, qt.Equals, 8)
	s.report("b/20", 20, 4, true)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "")
	s.report("b/20", 20, 3, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "")
}

// TestRestartUnderSameIDResetsSequence restarts a target under its id; the
// sequence of its reports starts over.
func TestRestartUnderSameIDResetsSequence(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 50, false)
	s.report("a/30", 30, 1, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/30")
}

// TestLeavingTargetIsClosedAfterDrain checks that a leaving target receives
// nothing after the drain time, even if other nodes still send requests.
func TestLeavingTargetIsClosedAfterDrain(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "")
	qt.Assert(t, s.Target().Closed, qt.IsFalse)
	closed := false
	for range 2000 {
		s.clock.Advance(drain / 2)
		time.Sleep(time.Millisecond)
		if closed = s.Target().Closed; closed {
			break
		}
	}
	qt.Assert(t, closed, qt.IsTrue)
}

// TestEndAfterLeavingClosesAtOnce checks that a leaving target which reports its
// end is closed before the drain time is over, and stays so.
func TestEndAfterLeavingClosesAtOnce(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	s.End("a/10", drain)
	qt.Assert(t, s.Target().Closed, qt.IsTrue)
	qt.Assert(t, s.listener.closed, qt.Equals, 1)
	s.report("a/10", 10, 3, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "")
}

// TestMisdirectedTargetIsReportedAsCrashedOnce repeats the report of a
// misdirected answer.
func TestMisdirectedTargetIsReportedAsCrashedOnce(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	target := s.Target()
	s.ReportMisdirected(target)
	s.ReportMisdirected(target)
	qt.Assert(t, s.Target(), qt.IsNil)
	qt.Assert(t, s.listener.crashes, qt.DeepEquals, []string{"s/a/10"})
}

// TestReportUndoesMistakenCrash lets a life that was taken for crashed, but still
// listens, report again.
func TestReportUndoesMistakenCrash(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.ReportMisdirected(s.Target())
	s.Report(announcer.Report{
		Announcement: announcer.Announcement{Service: "s", Address: l.Addr().String(), Slots: 4, Life: "a/10"},
		StartMillis:  10, Sequence: 2, TTL: time.Minute,
	}, drain)
	for range 2000 {
		if s.Target() != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, s.Target(), qt.IsNotNil)
	qt.Assert(t, s.Target().Life, qt.Equals, "a/10")
}

// TestCrashWhileLeavingIsReported loses a target before its drain time is over.
func TestCrashWhileLeavingIsReported(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	s.ReportMisdirected(s.Target())
	qt.Assert(t, s.listener.crashes, qt.DeepEquals, []string{"s/a/10"})
}

// TestPlannedEndIsNotReportedAsCrash loses a target that has reported its end.
func TestPlannedEndIsNotReportedAsCrash(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	target := s.Target()
	s.End("a/10", drain)
	s.ReportMisdirected(target)
	s.report("b/20", 20, 1, false)
	qt.Assert(t, s.listener.crashes, qt.HasLen, 0)
}

// TestNewLifeAfterExpiryReportsCrash lets an announcement expire before another
// life reports.
func TestNewLifeAfterExpiryReportsCrash(t *testing.T) {
	s := newFixture()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.report("a/10", 10, 1, false)
	go s.Run(ctx)
	for range 2000 {
		s.clock.Advance(time.Minute)
		time.Sleep(time.Millisecond)
		if s.Target() == nil {
			break
		}
	}
	qt.Assert(t, s.Target(), qt.IsNil)
	s.report("b/20", 20, 1, false)
	qt.Assert(t, s.listener.crashes, qt.DeepEquals, []string{"s/a/10"})
}

// TestEndOfUnknownLifeIsForgotten guards against a node that has restarted, acknowledges
// the end of a life, and takes a late report of that life.
func TestEndOfUnknownLifeIsForgotten(t *testing.T) {
	s := newFixture()
	s.End("a/10", drain)
	qt.Assert(t, s.listener.left, qt.DeepEquals, []string{"a/10"})
	s.report("a/10", 10, 5, false)
	qt.Assert(t, s.Target(), qt.IsNil)
	// The next life is taken at once, and a late end of the former one changes nothing.
	s.report("a/20", 20, 1, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/20")
	s.End("a/10", drain)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/20")
}

// TestLeavingReportOfUnknownLifeIsForgotten guards against the same with a report that
// the target leaves, whatever was reported by others before.
func TestLeavingReportOfUnknownLifeIsForgotten(t *testing.T) {
	s := newFixture()
	s.report("b/90", 90, 1, false)
	s.report("a/10", 10, 5, true)
	s.ReportMisdirected(s.Target())
	s.report("a/10", 10, 6, false)
	qt.Assert(t, s.Target(), qt.IsNil)
}

// TestEndOfUnknownTargetIsForgotten guards against the same where the end names no life.
// It binds no longer than reports may be late, as the target may start again.
func TestEndOfUnknownTargetIsForgotten(t *testing.T) {
	s := newFixture()
	s.EndTarget("a")
	late := announcer.Report{
		Announcement: announcer.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 4, Life: "a/10"},
		Target:       "a", StartMillis: 10, Sequence: 5, TTL: time.Minute,
	}
	err := s.Report(late, drain)
	var ignored *announcer.IgnoredError
	qt.Assert(t, errors.As(err, &ignored), qt.IsTrue)
	qt.Assert(t, ignored.Reason, qt.Equals, announcer.ReasonLeft)
	s.clock.Advance(time.Minute)
	qt.Assert(t, s.Report(late, drain), qt.IsNil)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/10")
}

// TestDepartureDuringStopIsForgotten guards against a target that leaves while its node
// stops, which only the node's former process knows.
func TestDepartureDuringStopIsForgotten(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Drain(ctx)
	s.report("a/10", 10, 2, true)
	qt.Assert(t, s.listener.left, qt.DeepEquals, []string{"a/10"})
}

// TestToldDepartureIsForgotten guards against a starting node that has taken a report
// before another node tells it that the life had left.
func TestToldDepartureIsForgotten(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 5, false)
	s.LearnLeft("a/10")
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "")
	s.report("a/10", 10, 6, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "")
	s.report("a/20", 20, 1, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/20")
}

// TestReportOfAnotherPlaceTakesOver guards against a report of another writer, of any
// start time, that takes the place of the own target.
func TestReportOfAnotherPlaceTakesOver(t *testing.T) {
	s := newFixture()
	s.SetPlace(func() announcer.Place { return announcer.Place{Service: "s", Address: "127.0.0.1:1"} })
	s.report("a/10", 10, 1, false)
	for reason, foreign := range map[announcer.IgnoredReason]announcer.Announcement{
		announcer.ReasonService: {Service: "x", Address: "127.0.0.1:1", Slots: 4, Life: "x/90"},
		announcer.ReasonAddress: {Service: "s", Address: "127.0.0.1:2", Slots: 4, Life: "x/90"},
	} {
		for _, leaving := range []bool{false, true} {
			err := s.Report(announcer.Report{Announcement: foreign, StartMillis: 90, Sequence: 9, TTL: time.Minute, Leaving: leaving}, drain)
			var ignored *announcer.IgnoredError
			qt.Assert(t, errors.As(err, &ignored), qt.IsTrue)
			qt.Assert(t, ignored.Reason, qt.Equals, reason)
		}
		qt.Assert(t, errors.As(s.Announce(foreign), new(*announcer.IgnoredError)), qt.IsTrue)
	}
	s.report("a/10", 10, 2, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/10")
}

// heartbeat is the time between two reports of a target.
const heartbeat = 1500 * time.Millisecond

// newListeningFixture returns a fixture whose target listens.
func newListeningFixture(t *testing.T) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	s := newFixture()
	s.address = l.Addr().String()
	return s
}

// waitForLife waits until a life is in use.
func (s *fixture) waitForLife(t *testing.T, life string) {
	for range 2000 {
		if s.listener.currentLife() == life {
			return
		}
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, s.listener.currentLife(), qt.Equals, life)
}

// TestLaterStartKeepsTargetOut guards against one report with a later start time, of
// another writer or by a clock that was ahead, after which the reports of the real target
// are never taken.
func TestLaterStartKeepsTargetOut(t *testing.T) {
	s := newListeningFixture(t)
	s.report("a/10", 10, 1, false)
	s.report("x/90", 90, 1, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "x/90")
	for sequence := range uint64(2) {
		s.clock.Advance(heartbeat)
		s.report("a/10", 10, 2+sequence, false)
	}
	s.waitForLife(t, "a/10")
}

// TestForeignAnnouncementKeepsTargetOut guards against the same with announcements that
// have no order: the first renewal may be late, the second shows that the target goes on.
func TestForeignAnnouncementKeepsTargetOut(t *testing.T) {
	s := newListeningFixture(t)
	own := announcer.Announcement{Service: "s", Address: s.address, Slots: 4, Life: "a"}
	qt.Assert(t, s.Announce(own), qt.IsNil)
	qt.Assert(t, s.Announce(announcer.Announcement{Service: "x", Address: s.address, Slots: 4, Life: "x"}), qt.IsNil)
	qt.Assert(t, errors.As(s.Announce(own), new(*announcer.IgnoredError)), qt.IsTrue)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "x")
	s.clock.Advance(heartbeat)
	qt.Assert(t, s.Announce(own), qt.IsNil)
	s.waitForLife(t, "a")
}

// TestDelayedReportsTakeOver guards against reports of a former life that were delayed
// and arrive together, while the present one goes on.
func TestDelayedReportsTakeOver(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.report("b/90", 90, 1, false)
	for sequence := range uint64(4) {
		qt.Assert(t, errors.As(s.report("a/10", 10, 2+sequence, false), new(*announcer.IgnoredError)), qt.IsTrue)
	}
	s.clock.Advance(heartbeat)
	s.report("b/90", 90, 2, false)
	s.report("a/10", 10, 7, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "b/90")
}

// TestMisdirectedLifeReturns guards against a writer that goes on reporting a life in
// whose place another one answers: the real target is taken with its next report.
func TestMisdirectedLifeReturns(t *testing.T) {
	s := newFixture()
	s.report("a/10", 10, 1, false)
	s.report("x/90", 90, 1, false)
	s.ReportMisdirected(s.Target())
	for sequence := range uint64(5) {
		s.clock.Advance(heartbeat / 2)
		s.report("x/90", 90, 2+sequence, false)
		s.clock.Advance(heartbeat / 2)
		s.report("a/10", 10, 2+sequence, false)
		qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/10")
	}
}

// TestEarlierStartAfterCrash guards against a target that starts again after its clock
// was set back and is never taken.
func TestEarlierStartAfterCrash(t *testing.T) {
	s := newFixture()
	s.report("a/90", 90, 50, false)
	s.clock.Advance(heartbeat)
	s.report("a/10", 10, 1, false)
	s.clock.Advance(heartbeat)
	s.report("a/10", 10, 2, false)
	qt.Assert(t, s.listener.currentLife(), qt.Equals, "a/10")
}
