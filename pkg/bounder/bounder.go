package bounder

import (
	"container/list"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

const (
	// byteCost is what a byte of a head counts: net/http holds it in a line that grows, in
	// the parsed head, and in copies of that.
	byteCost = 3
	// lineCost is what a line of a head counts: a parsed line takes a place in a map that
	// doubles as it grows, a string and a slice.
	lineCost = 256
	// headBytes is how long net/http lets a head become: 32 KiB and 4 KiB of its own.
	headBytes = 36 << 10
	// bodyCost is what a byte of a short body counts, which is held once and sent from a copy.
	bodyCost = 2
	// freeBytes of each head and of each body, and freeLines, are not counted: the bound on
	// connections covers them, so that ordinary requests pass while others have used
	// everything.
	freeBytes = 4 << 10
	freeLines = 64
	// holdTime is how long a counted head is read before it gives way, and how long one that
	// ended before its request ran goes on counting. Otherwise heads of a crowd follow each
	// other, and leave garbage faster than it is collected: with 2,400 callers 136 MiB where
	// 96 are allowed.
	holdTime = time.Second
	// maxStallTime is how long a running request waits for its caller without progress.
	maxStallTime = 30 * time.Second
	// progressBytes is what a caller has to send of a body, or to read of an answer, to count
	// as making progress.
	progressBytes = 4 << 10
	// gateShare is the part of all connections that one listener may take, so that a crowd
	// at one leaves room at the others.
	gateShare = 7.0 / 8
)

// Limits bound a process. A limit of 0 is none.
type Limits struct {
	// Connections is the most connections that are open, over all listeners.
	Connections int
	// Bytes is the memory of all heads and short bodies.
	Bytes int64
	// Lines is the most lines of a head.
	Lines int
}

// Cause is why a connection has to end.
type Cause string

// The causes.
const (
	// TooManyLines: the head has more lines than allowed.
	TooManyLines Cause = "lines"
	// TooMuchMemory: heads and short bodies take more memory together than allowed.
	TooMuchMemory Cause = "memory"
	// TooManyConnections: more connections are open than allowed.
	TooManyConnections Cause = "connections"
	// TooSlow: the request runs, and its caller has neither sent more of its body nor read
	// more of its answer for too long.
	TooSlow Cause = "slow"
)

// Bounder decides which connections end when a limit is reached. It does no I/O.
type Bounder struct {
	limits Limits
	clock  timekeeper.Clock
	// evicted is called, without locks held, with each connection that gives way.
	evicted func(*Slot, Cause)

	mu    sync.Mutex
	gates []*Gate
	open  int
	used  int64
	// writing is what is being written to callers that may not read.
	writing int64
	// unanswered and answered hold the slots whose head is counted in used, by whether a
	// request has been answered on their connection; the slowest comes first.
	unanswered, answered list.List
	// garbage is still counted in used, in the order in which it ends.
	garbage []garbage
}

// Gate is the part of a Bounder that belongs to one listener.
type Gate struct {
	bounder *Bounder
	open    int
	// unanswered and idle hold the slots that read a head, on which no request has been
	// answered yet, and on which one has; the one that has read for longest comes first.
	unanswered, idle list.List
	// lingering holds the slots that wait for their peers to close, the longest first.
	lingering list.List
	// stalled holds the slots whose request runs and that wait for their callers: for more
	// of a body, or to take more of an answer.
	stalled list.List
}

// phase is what a connection does.
type phase int

const (
	// reading: the connection waits for a head or reads one.
	reading phase = iota
	// running: its request has reached the handler.
	running
	// lingering: it is closed for writing and waits for its peer to close.
	lingering
	// ended: it is closed, or has given way.
	ended
)

// Slot is the place of one connection.
type Slot struct {
	gate *Gate
	// Conn is what the owner needs to close the connection.
	Conn any

	phase phase
	// waiting is the place in the list of the gate while the slot reads a head, counted
	// that in the list of the Bounder.
	waiting, counted place
	answered         bool
	readingSince     time.Time
	countedSince     time.Time
	lingeringSince   time.Time
	head             head
	cost             int64
	// awaitsBody is set while the request runs and its body has not ended.
	awaitsBody bool
	// stalls counts the reads and writes that wait for the caller at present, since
	// stalledSince. stalled is for how long others have, and moved the bytes that they
	// moved, since the last progress.
	stalls       int
	stalledSince time.Time
	stalled      time.Duration
	moved        int
	// writing is the part of this slot in that of the Bounder.
	writing int64
}

// New returns a Bounder. evicted must end the connection of a slot.
func New(limits Limits, clock timekeeper.Clock, evicted func(*Slot, Cause)) *Bounder {
	return &Bounder{limits: limits, clock: clock, evicted: evicted}
}

// Gate returns a new Gate.
func (b *Bounder) Gate() *Gate {
	g := &Gate{bounder: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates = append(b.gates, g)
	return g
}

// Usage returns the open connections and the memory counted.
func (b *Bounder) Usage() (connections int, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropGarbage(b.clock.Now())
	return b.open, b.used
}

// Admit takes a place for a new connection. Another connection may give way to it; it
// returns nil if none can.
func (g *Gate) Admit(conn any) *Slot {
	b := g.bounder
	b.mu.Lock()
	var victim *Slot
	if g.full() {
		if victim = b.connectionVictim(g); victim == nil {
			b.mu.Unlock()
			return nil
		}
		victim.end()
	}
	s := &Slot{gate: g, Conn: conn, readingSince: b.clock.Now()}
	b.open++
	g.open++
	s.waiting.enter(&g.unanswered, s)
	b.mu.Unlock()
	if victim != nil {
		b.evicted(victim, TooManyConnections)
	}
	return s
}

// full reports whether no more connections may be open at a gate.
func (g *Gate) full() bool {
	limit := g.bounder.limits.Connections
	return limit > 0 && (g.bounder.open >= limit || float64(g.open) >= float64(limit)*gateShare)
}

// connectionVictim returns the connection that gives way to a new one at a gate: one that
// has lingered for holdTime, the one that has been reading its first head for longest, one
// whose request runs and that has waited for its caller for holdTime, or at
// the same gate another that lingers or the one that has been idle for longest. Idle
// connections of other listeners stay: a node that sends on one that is being closed could
// not tell whether its request has run.
func (b *Bounder) connectionVictim(g *Gate) *Slot {
	if s := b.earlyVictim(g); s != nil {
		return s
	}
	if float64(g.open) < float64(b.limits.Connections)*gateShare {
		for _, other := range b.gates {
			if s := b.earlyVictim(other); s != nil {
				return s
			}
		}
	}
	if s := first(&g.lingering); s != nil {
		return s
	}
	return first(&g.idle)
}

// earlyVictim returns the connection of a gate that gives way to those of all gates, if
// there is one.
func (b *Bounder) earlyVictim(g *Gate) *Slot {
	now := b.clock.Now()
	if s := first(&g.lingering); s != nil && now.Sub(s.lingeringSince) >= holdTime {
		return s
	}
	reading := first(&g.unanswered)
	if reading != nil && now.Sub(reading.readingSince) >= holdTime {
		return reading
	}
	if s, _ := g.longestStalled(holdTime); s != nil {
		return s
	}
	return reading
}

// longestStalled returns the slot whose running request has waited for its caller for longest
// without progress, and for how long, if that is a time or longer.
func (g *Gate) longestStalled(least time.Duration) (*Slot, time.Duration) {
	var longest *Slot
	now := g.bounder.clock.Now()
	for e := g.stalled.Front(); e != nil; e = e.Next() {
		s := e.Value.(*Slot)
		if stalled := s.stalled + now.Sub(s.stalledSince); stalled >= least {
			longest, least = s, stalled
		}
	}
	return longest, least
}

// Read counts bytes that were read from a connection. Others, or the connection itself, may
// have to give way; it returns the cause if the connection itself must end.
func (s *Slot) Read(p []byte) Cause {
	b := s.gate.bounder
	b.mu.Lock()
	if s.phase != reading {
		defer b.mu.Unlock()
		if s.phase == ended {
			return TooMuchMemory
		}
		return ""
	}
	s.head.add(p)
	if b.limits.Lines > 0 && s.head.lines > b.limits.Lines {
		s.end()
		b.mu.Unlock()
		return TooManyLines
	}
	cost := s.head.expectedCost()
	if cost > 0 && s.counted.list == nil {
		counted := &b.unanswered
		if s.answered {
			counted = &b.answered
		}
		s.countedSince = b.clock.Now()
		s.counted.enter(counted, s)
	}
	return b.unlockAfter(s, cost)
}

// Begin records that the request of a connection has reached the handler, and counts its
// short body; hasBody is set if it has a body of any length. It returns the cause if the
// connection must end instead.
func (s *Slot) Begin(bodyBytes int64, hasBody bool) Cause {
	b := s.gate.bounder
	b.mu.Lock()
	if s.phase == ended {
		b.mu.Unlock()
		return TooMuchMemory
	}
	s.phase = running
	s.awaitsBody, s.stalled, s.moved = hasBody, 0, 0
	s.leaveLists()
	return b.unlockAfter(s, s.head.cost()+bodyCost*max(bodyBytes-freeBytes, 0))
}

// EndBody records that the body of the request has been read to its end.
func (s *Slot) EndBody() {
	s.gate.bounder.mu.Lock()
	defer s.gate.bounder.mu.Unlock()
	s.awaitsBody = false
}

// WaitRead records that the connection begins to wait for more of a body. It returns false if
// the request that runs has none left, so that nobody waits for the caller.
func (s *Slot) WaitRead() bool {
	s.gate.bounder.mu.Lock()
	defer s.gate.bounder.mu.Unlock()
	if s.phase != running || !s.awaitsBody {
		return false
	}
	s.stall()
	return true
}

// EndRead records that such a wait has ended, in which the caller sent n bytes.
func (s *Slot) EndRead(n int) {
	s.gate.bounder.mu.Lock()
	defer s.gate.bounder.mu.Unlock()
	s.endStall(n)
}

// WaitWrite records that the connection begins to wait until its caller takes size bytes.
// Callers that have taken nothing for holdTime give way if more is held for all of them
// than heads may take.
func (s *Slot) WaitWrite(size int) {
	b := s.gate.bounder
	b.mu.Lock()
	s.writing += int64(size)
	b.writing += int64(size)
	s.stall()
	victims := b.endStalled(holdTime, func() bool { return b.limits.Bytes > 0 && b.writing > b.limits.Bytes })
	b.mu.Unlock()
	b.evictAll(victims, TooMuchMemory)
}

// EndWrite records that such a wait has ended, in which the caller took n of the size bytes.
func (s *Slot) EndWrite(size, n int) {
	b := s.gate.bounder
	b.mu.Lock()
	defer b.mu.Unlock()
	s.endStall(n)
	held := min(int64(size), s.writing)
	s.writing -= held
	b.writing -= held
}

func (s *Slot) stall() {
	if s.stalls++; s.stalls > 1 {
		return
	}
	s.stalledSince = s.gate.bounder.clock.Now()
	if s.phase == running {
		s.waiting.enter(&s.gate.stalled, s)
	}
}

func (s *Slot) endStall(n int) {
	now := s.gate.bounder.clock.Now()
	s.stalled += now.Sub(s.stalledSince)
	s.stalledSince = now
	if s.moved += n; s.moved >= progressBytes {
		s.stalled, s.moved = 0, 0
	}
	if s.stalls--; s.stalls == 0 && s.waiting.list == &s.gate.stalled {
		s.waiting.leave()
	}
}

// EndStalled ends the connections whose running requests have waited for their callers for
// maxStallTime without progress.
func (b *Bounder) EndStalled() {
	b.mu.Lock()
	victims := b.endStalled(maxStallTime, func() bool { return true })
	b.mu.Unlock()
	b.evictAll(victims, TooSlow)
}

// endStalled ends, while more is set, the slots that have waited for their callers for a time
// or longer, the longest first. The caller evicts them.
func (b *Bounder) endStalled(least time.Duration, more func() bool) []*Slot {
	var victims []*Slot
	for more() {
		var victim *Slot
		longest := least
		for _, g := range b.gates {
			if s, stalled := g.longestStalled(longest); s != nil {
				victim, longest = s, stalled
			}
		}
		if victim == nil {
			break
		}
		victim.end()
		victims = append(victims, victim)
	}
	return victims
}

// unlockAfter sets the cost of a slot, makes others give way, and unlocks mu. If not enough
// others have been read for holdTime, the slot itself ends.
func (b *Bounder) unlockAfter(s *Slot, cost int64) Cause {
	var victims []*Slot
	ended := false
	if cost > s.cost && b.limits.Bytes > 0 {
		now := b.clock.Now()
		b.dropGarbage(now)
		for !ended && b.used+cost-s.cost > b.limits.Bytes {
			v := b.memoryVictim()
			if ended = v == nil || v == s || now.Sub(v.countedSince) < holdTime; !ended {
				b.used -= v.cost
				v.cost = 0
				v.end()
				victims = append(victims, v)
			}
		}
	}
	if ended {
		s.end()
	} else {
		b.used += cost - s.cost
		s.cost = cost
	}
	b.mu.Unlock()
	b.evictAll(victims, TooMuchMemory)
	if ended {
		return TooMuchMemory
	}
	return ""
}

// garbage is the memory of a head that ended before its request ran.
type garbage struct {
	cost int64
	// until is when it is taken to be collected.
	until time.Time
}

// dropGarbage no longer counts what is taken to be collected.
func (b *Bounder) dropGarbage(now time.Time) {
	n := 0
	for n < len(b.garbage) && !now.Before(b.garbage[n].until) {
		b.used -= b.garbage[n].cost
		n++
	}
	b.garbage = b.garbage[n:]
}

func (b *Bounder) evictAll(victims []*Slot, cause Cause) {
	for _, v := range victims {
		b.evicted(v, cause)
	}
}

// memoryVictim returns the slot that gives way when memory is used up: the one that has been
// reading a counted head for longest, first among those that have not been answered.
func (b *Bounder) memoryVictim() *Slot {
	if s := first(&b.unanswered); s != nil {
		return s
	}
	return first(&b.answered)
}

// Idle records that a connection has been answered and waits for its next request.
func (s *Slot) Idle() {
	b := s.gate.bounder
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.phase != running {
		return
	}
	b.used -= s.cost
	s.cost, s.head, s.phase, s.answered, s.awaitsBody = 0, head{}, reading, true, false
	s.waiting.enter(&s.gate.idle, s)
}

// Linger records that a connection waits for its peer to close. It returns false if the
// connection was refused and has lost its place to another meanwhile.
func (s *Slot) Linger() bool {
	b := s.gate.bounder
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.phase == ended {
		if s.gate.full() {
			return false
		}
		b.open++
		s.gate.open++
	} else {
		s.release()
	}
	s.cost, s.phase, s.lingeringSince = 0, lingering, b.clock.Now()
	s.waiting.enter(&s.gate.lingering, s)
	return true
}

// Close records that a connection is closed.
func (s *Slot) Close() {
	s.gate.bounder.mu.Lock()
	defer s.gate.bounder.mu.Unlock()
	if s.phase != ended {
		s.end()
	}
}

// end takes a slot out of all counts, but for the garbage that a head leaves. Its connection is closed by the caller.
func (s *Slot) end() {
	b := s.gate.bounder
	s.release()
	b.writing -= s.writing
	s.phase, s.cost, s.writing = ended, 0, 0
	b.open--
	s.gate.open--
}

// release takes a slot out of its lists, and its head and body out of the memory used.
func (s *Slot) release() {
	b := s.gate.bounder
	s.leaveLists()
	if s.phase == reading && s.cost > 0 {
		b.garbage = append(b.garbage, garbage{s.cost, b.clock.Now().Add(holdTime)})
	} else {
		b.used -= s.cost
	}
}

func (s *Slot) leaveLists() {
	s.waiting.leave()
	s.counted.leave()
}

// place is the place of a slot in a list, if it is in one.
type place struct {
	list    *list.List
	element *list.Element
}

func (p *place) enter(l *list.List, s *Slot) {
	p.leave()
	p.list, p.element = l, l.PushBack(s)
}

func (p *place) leave() {
	if p.list != nil {
		p.list.Remove(p.element)
		p.list, p.element = nil, nil
	}
}

func first(l *list.List) *Slot {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*Slot)
}

// head counts the bytes and lines of a head up to its end.
type head struct {
	bytes, lines int
	// length is that of the current line; done is set after the empty line at the end.
	length int
	done   bool
}

// add counts bytes of the connection. Those after the end of the head belong to a body.
func (h *head) add(p []byte) {
	for _, c := range p {
		if h.done {
			return
		}
		h.bytes++
		switch c {
		case '\n':
			h.done = h.length == 0 && h.lines > 0
			h.lines++
			h.length = 0
		case '\r':
		default:
			h.length++
		}
	}
}

// cost returns the memory that the head counts.
func (h *head) cost() int64 { return cost(h.bytes, h.lines) }

// expectedCost returns what a head that has not ended will count if it goes on as it began to
// its greatest length. A head that were refused halfway would have been parsed in vain.
func (h *head) expectedCost() int64 {
	if h.done || h.bytes >= headBytes || h.cost() == 0 {
		return h.cost()
	}
	return cost(headBytes, h.lines*headBytes/h.bytes)
}

func cost(bytes, lines int) int64 {
	return byteCost*int64(max(bytes-freeBytes, 0)) + lineCost*int64(max(lines-freeLines, 0))
}
