package bounder

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

type evictions struct{ list []string }

func (e *evictions) add(s *Slot, cause Cause) {
	e.list = append(e.list, s.Conn.(string)+" "+string(cause))
}

func longHead(n int) []byte { return []byte("GET / HTTP/1.1\r\nLong: " + strings.Repeat("x", n)) }

// TestSlowestHeadGivesWay guards against a new caller that is turned away because of heads
// that have been read for long.
func TestSlowestHeadGivesWay(t *testing.T) {
	e := &evictions{}
	clock := &timekeeper.Manual{}
	b := New(Limits{Bytes: 150 << 10}, clock, e.add)
	g := b.Gate()
	qt.Assert(t, g.Admit("ordinary").Read(longHead(100)), qt.Equals, Cause(""))
	qt.Assert(t, g.Admit("first").Read(longHead(20<<10)), qt.Equals, Cause(""))
	qt.Assert(t, g.Admit("newest").Read(longHead(20<<10)), qt.Equals, TooMuchMemory)
	clock.Advance(holdTime)
	qt.Assert(t, g.Admit("second").Read(longHead(20<<10)), qt.Equals, Cause(""))
	qt.Assert(t, e.list, qt.DeepEquals, []string{"first memory"})
	clock.Advance(holdTime)
	// A head that is over the limit by itself gives way after all others.
	qt.Assert(t, g.Admit("huge").Read(longHead(60<<10)), qt.Equals, TooMuchMemory)
	qt.Assert(t, e.list, qt.DeepEquals, []string{"first memory", "second memory"})
	qt.Assert(t, g.Admit("ordinary too").Read(longHead(100)), qt.Equals, Cause(""))
	connections, bytes := b.Usage()
	qt.Assert(t, connections, qt.Equals, 2)
	qt.Assert(t, bytes, qt.Equals, int64(0))
}

// TestRunningRequestsDoNotGiveWay guards against a request that is ended although it may run.
func TestRunningRequestsDoNotGiveWay(t *testing.T) {
	e := &evictions{}
	clock := &timekeeper.Manual{}
	b := New(Limits{Bytes: 150 << 10, Connections: 16}, clock, e.add)
	g := b.Gate()
	runs := g.Admit("runs")
	qt.Assert(t, runs.Read(longHead(20<<10)), qt.Equals, Cause(""))
	qt.Assert(t, runs.Begin(16<<10, false), qt.Equals, Cause(""))
	clock.Advance(holdTime)
	qt.Assert(t, g.Admit("new").Read(longHead(20<<10)), qt.Equals, TooMuchMemory)
	qt.Assert(t, e.list, qt.HasLen, 0)
	runs.Idle()
	qt.Assert(t, g.Admit("later").Read(longHead(20<<10)), qt.Equals, Cause(""))
}

// TestConnectionsGiveWayInOrder guards against idle connections of nodes that are closed
// because of a crowd at another listener.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	e := &evictions{}
	b := New(Limits{Connections: 8}, &timekeeper.Manual{}, e.add)
	peer, g := b.Gate(), b.Gate()
	p := peer.Admit("peer")
	p.Begin(0, false)
	p.Idle()
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		s := g.Admit(name)
		if name != "c" {
			s.Begin(0, false)
		}
		if name == "b" {
			s.Idle()
		}
	}
	qt.Assert(t, g.Admit("h").Begin(0, false), qt.Equals, Cause(""))
	qt.Assert(t, g.Admit("i").Begin(0, false), qt.Equals, Cause(""))
	qt.Assert(t, g.Admit("j"), qt.IsNil)
	qt.Assert(t, b.Gate().Admit("k"), qt.IsNil)
	qt.Assert(t, e.list, qt.DeepEquals, []string{"c connections", "b connections"})
	qt.Assert(t, p.Begin(0, false), qt.Equals, Cause(""))
}

// TestLinesOfBodiesAreNotCounted guards against a short head that is refused for the lines of
// the body that follows it.
func TestLinesOfBodiesAreNotCounted(t *testing.T) {
	b := New(Limits{Lines: 100}, &timekeeper.Manual{}, (&evictions{}).add)
	g := b.Gate()
	body := strings.Repeat("\n", 200)
	qt.Assert(t, g.Admit("body").Read([]byte("POST / HTTP/1.1\r\nHost: x\r\n\r\n"+body)), qt.Equals, Cause(""))
	qt.Assert(t, g.Admit("lines").Read([]byte(strings.Repeat("a:\r\n", 101))), qt.Equals, TooManyLines)
	connections, _ := b.Usage()
	qt.Assert(t, connections, qt.Equals, 1)
}

// TestEndedHeadsGoOnCounting guards against heads of a crowd that follow each other faster
// than their memory is collected.
func TestEndedHeadsGoOnCounting(t *testing.T) {
	clock := &timekeeper.Manual{}
	b := New(Limits{Bytes: 150 << 10}, clock, (&evictions{}).add)
	g := b.Gate()
	s := g.Admit("left")
	qt.Assert(t, s.Read(longHead(20<<10)), qt.Equals, Cause(""))
	s.Close()
	qt.Assert(t, g.Admit("next").Read(longHead(20<<10)), qt.Equals, TooMuchMemory)
	clock.Advance(holdTime)
	qt.Assert(t, g.Admit("later").Read(longHead(20<<10)), qt.Equals, Cause(""))
	// A request that has run is no garbage: ordinary long heads come in quick succession.
	s = g.Admit("runs")
	for range 10 {
		qt.Assert(t, s.Read([]byte("GET / HTTP/1.1\r\nLong: "+strings.Repeat("x", 8<<10)+"\r\n\r\n")), qt.Equals, Cause(""))
		qt.Assert(t, s.Begin(0, false), qt.Equals, Cause(""))
		s.Idle()
	}
}

// TestLingeringConnectionsGiveWay guards against callers that never close their connections
// and keep out others, and against an answer on its way that is cut while there are others
// to cut.
func TestLingeringConnectionsGiveWay(t *testing.T) {
	e := &evictions{}
	clock := &timekeeper.Manual{}
	b := New(Limits{Connections: 8}, clock, e.add)
	g := b.Gate()
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		s := g.Admit(name)
		s.Begin(0, false)
		qt.Assert(t, s.Linger(), qt.IsTrue)
	}
	g.Admit("reads")
	g.Admit("new")
	qt.Assert(t, e.list, qt.DeepEquals, []string{"reads connections"})
	clock.Advance(holdTime)
	g.Admit("later")
	qt.Assert(t, e.list, qt.DeepEquals, []string{"reads connections", "a connections"})
	connections, bytes := b.Usage()
	qt.Assert(t, connections, qt.Equals, 7)
	qt.Assert(t, bytes, qt.Equals, int64(0))
}

// TestRefusedConnectionCountsWhileItLingers guards against descriptors that are not counted,
// those of connections that were refused and wait for their callers to close.
func TestRefusedConnectionCountsWhileItLingers(t *testing.T) {
	e := &evictions{}
	b := New(Limits{Connections: 8, Lines: 1}, &timekeeper.Manual{}, e.add)
	g := b.Gate()
	s := g.Admit("refused")
	qt.Assert(t, s.Read([]byte("GET / HTTP/1.1\r\na: b\r\nc: d\r\n")), qt.Equals, TooManyLines)
	qt.Assert(t, s.Linger(), qt.IsTrue)
	connections, _ := b.Usage()
	qt.Assert(t, connections, qt.Equals, 1)
	s.Close()
	connections, _ = b.Usage()
	qt.Assert(t, connections, qt.Equals, 0)
}

// TestStalledCallersHoldAllPlaces guards against callers that send a body slowly, or do not
// read their answers, and hold all places: they must give way after a second without
// progress, a caller that makes progress and one that waits for the target must not.
func TestStalledCallersHoldAllPlaces(t *testing.T) {
	clock, e := &timekeeper.Manual{}, &evictions{}
	b := New(Limits{Connections: 8}, clock, e.add)
	g := b.Gate()
	admit := func(name string, hasBody bool) *Slot {
		s := g.Admit(name)
		qt.Assert(t, s.Begin(0, hasBody), qt.Equals, Cause(""))
		return s
	}
	trickles, uploads, reads, waits := admit("trickles", true), admit("uploads", true), admit("reads", false), admit("waits", true)
	waits.EndBody()
	for range 3 {
		admit("runs", false)
	}
	reads.WaitWrite(100)
	for range 6 {
		qt.Assert(t, trickles.WaitRead(), qt.IsTrue)
		qt.Assert(t, uploads.WaitRead(), qt.IsTrue)
		qt.Assert(t, waits.WaitRead(), qt.IsFalse)
		clock.Advance(holdTime / 5)
		trickles.EndRead(1)
		uploads.EndRead(progressBytes)
	}
	trickles.WaitRead()
	uploads.WaitRead()
	qt.Check(t, g.Admit("first").Begin(0, false), qt.Equals, Cause(""))
	qt.Check(t, g.Admit("second").Begin(0, false), qt.Equals, Cause(""))
	qt.Check(t, g.Admit("third"), qt.IsNil)
	qt.Check(t, e.list, qt.ContentEquals, []string{"reads connections", "trickles connections"})
	clock.Advance(maxStallTime)
	b.EndStalled()
	qt.Check(t, e.list[2:], qt.DeepEquals, []string{"uploads slow"})
}

// TestUnreadAnswersTakeMemory guards against memory taken by answers that are held for callers
// that do not read: those that have taken nothing for a second give way, answers that
// have just begun do not.
func TestUnreadAnswersTakeMemory(t *testing.T) {
	const answerBytes = 64 << 10
	clock, e := &timekeeper.Manual{}, &evictions{}
	b := New(Limits{Bytes: 2 * answerBytes}, clock, e.add)
	g := b.Gate()
	write := func(name string) *Slot {
		s := g.Admit(name)
		s.Begin(0, false)
		s.WaitWrite(answerBytes)
		return s
	}
	write("old")
	clock.Advance(holdTime)
	for _, name := range []string{"a", "b", "c"} {
		write(name)
	}
	qt.Check(t, e.list, qt.DeepEquals, []string{"old memory"})
	ended := write("d")
	ended.EndWrite(answerBytes, answerBytes)
	qt.Check(t, b.writing, qt.Equals, int64(3*answerBytes))
}
