package announcer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// watcher keeps the last change and counts crashes.
type watcher struct {
	mu      sync.Mutex
	life    string
	cold    time.Duration
	crashes []string
}

func (w *watcher) TargetChanged(t *forwarder.Target, cold time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life, w.cold = "", cold
	if t != nil {
		w.life = t.Life
	}
}

func (w *watcher) TargetCrashed(t *forwarder.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, t.Service+"/"+t.Life)
}

func (w *watcher) announced() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

const drain = 2 * time.Second

type stage struct {
	clock   *timekeeper.Manual
	watcher *watcher
	*announcer.Announcer
}

func newStage() *stage {
	s := &stage{clock: &timekeeper.Manual{}, watcher: &watcher{}}
	s.Announcer = announcer.New(s.clock, s.watcher, func() int { return 0 })
	return s
}

func (s *stage) report(life string, born int64, sequence uint64, leaving bool) {
	s.Report(announcer.Report{
		Announcement: announcer.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 4, Life: life},
		Born:         born, Sequence: sequence, Leaving: leaving, Term: time.Minute, Cold: time.Second,
	}, drain)
}

// TestLateReportsChangeNothing orders reports by life, then by sequence.
func TestLateReportsChangeNothing(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 5, false)
	s.report("b/20", 20, 1, false)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "b/20")
	s.report("a/10", 10, 9, false)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "b/20")
	// A late report of the same life does not bring back what it said before.
	for _, later := range []struct {
		sequence uint64
		slots    int
	}{{3, 8}, {2, 4}} {
		s.Report(announcer.Report{
			Announcement: announcer.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: later.slots, Life: "b/20"},
			Born:         20, Sequence: later.sequence, Term: time.Minute,
		}, drain)
	}
	qt.Assert(t, s.Target().Slots, qt.Equals, 8)
	s.report("b/20", 20, 4, true)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "")
	s.report("b/20", 20, 3, false)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "")
}

// TestSameIDStartsAgain lets a target come back under its id: its counts start
// anew.
func TestSameIDStartsAgain(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 50, false)
	s.report("a/30", 30, 1, false)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "a/30")
}

// TestLeavingTargetIsClosedInTime hands a leaving target nothing after its
// bound, whatever other nodes still believe.
func TestLeavingTargetIsClosedInTime(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "")
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

// TestEndAfterLeavingClosesAtOnce takes the word of a target that is done.
func TestEndAfterLeavingClosesAtOnce(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	s.End("a/10", drain)
	qt.Assert(t, s.Target().Closed, qt.IsTrue)
	s.report("a/10", 10, 3, false)
	qt.Assert(t, s.watcher.announced(), qt.Equals, "")
}

// TestMisdirectedTargetIsDropped counts the life as crashed, once.
func TestMisdirectedTargetIsDropped(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 1, false)
	target := s.Target()
	s.ReportMisdirected(target)
	s.ReportMisdirected(target)
	qt.Assert(t, s.Target(), qt.IsNil)
	qt.Assert(t, s.watcher.crashes, qt.DeepEquals, []string{"s/a/10"})
}

// TestLifeTakenForCrashedComesBack reports on when it was only out of reach for
// a moment.
func TestLifeTakenForCrashedComesBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	s := newStage()
	s.report("a/10", 10, 1, false)
	s.ReportMisdirected(s.Target())
	s.Report(announcer.Report{
		Announcement: announcer.Announcement{Service: "s", Address: l.Addr().String(), Slots: 4, Life: "a/10"},
		Born:         10, Sequence: 2, Term: time.Minute,
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

// TestLeavingTargetCrashes loses a target before the time in which it leaves is
// over.
func TestLeavingTargetCrashes(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	s.ReportMisdirected(s.Target())
	qt.Assert(t, s.watcher.crashes, qt.DeepEquals, []string{"s/a/10"})
}

// TestPlannedEndIsNoCrash loses a target that has said that it is gone.
func TestPlannedEndIsNoCrash(t *testing.T) {
	s := newStage()
	s.report("a/10", 10, 1, false)
	s.report("a/10", 10, 2, true)
	target := s.Target()
	s.End("a/10", drain)
	s.ReportMisdirected(target)
	s.report("b/20", 20, 1, false)
	qt.Assert(t, s.watcher.crashes, qt.HasLen, 0)
}

// TestCrashAfterSilence lets the announcement of a target end before another
// life of it reports.
func TestCrashAfterSilence(t *testing.T) {
	s := newStage()
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
	qt.Assert(t, s.watcher.crashes, qt.DeepEquals, []string{"s/a/10"})
}
