package server

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// lossDuringStop is a stop during which the own target is lost.
type lossDuringStop struct {
	name string
	// lost is when the target is lost, and ends when the stop ends.
	lost, ends time.Duration
}

// run plays the stop on a fake clock.
func (l *lossDuringStop) run(t *testing.T) {
	const grace = 6 * time.Second
	settings := configurer.Default()
	settings.Data, settings.Ready = "", ""
	settings.Grace.Duration = grace
	s, err := New(settings, timekeeper.RuntimeClock{}, slog.New(slog.DiscardHandler), nil)
	qt.Assert(t, err, qt.IsNil)
	began := time.Now()
	s.announcer = announcer.New(s.clock, s, func() int {
		// The request that breaks ends after the target has been removed.
		if time.Since(began) < l.lost+10*time.Millisecond {
			return 1
		}
		return 0
	})
	qt.Assert(t, s.announcer.Announce(announcer.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 4, Life: "a"}), qt.IsNil)
	target := s.announcer.Target()
	loss := time.AfterFunc(l.lost, func() { s.announcer.ReportMisdirected(target) })
	defer loss.Stop()
	s.stop(nil)
	took := time.Since(began)
	// The drain looks for running requests every 20 ms.
	qt.Check(t, took >= l.ends && took < l.ends+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	qt.Check(t, took < grace, qt.IsTrue, qt.Commentf("%v", took))
}

// TestStopEndsInTimeWhenTargetIsLost guards against a stop that outlasts the grace time,
// after which the supervisor kills the process: the node whose target was lost during the
// drain waited another 1.5 s for the others to learn of a departure that they knew of.
func TestStopEndsInTimeWhenTargetIsLost(t *testing.T) {
	for _, l := range []*lossDuringStop{
		{name: "before others know that it leaves", lost: time.Second, ends: announcer.LeavePropagationDelay},
		{name: "during the drain", lost: 4 * time.Second, ends: 4 * time.Second},
		{name: "shortly before the end", lost: 5500 * time.Millisecond, ends: 5500 * time.Millisecond},
		{name: "not at all", lost: time.Hour, ends: 5600 * time.Millisecond},
	} {
		t.Run(l.name, func(t *testing.T) { synctest.Test(t, l.run) })
	}
}
