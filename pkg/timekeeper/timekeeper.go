// Package timekeeper passes the clock in, so that every decision that depends
// on time can be tested without waiting.
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and wakes sleepers.
type Clock interface {
	// Now returns the time; its monotonic part orders leases and expiries.
	Now() time.Time
	// After returns a channel that gets the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// BootTimeClock is the machine's clock. The zero value works. Its time goes on while
// the machine is suspended, which the steady clock of the runtime does not
// count, and does not follow jumps of the time of day.
type BootTimeClock struct{}

// Now implements Clock.
func (BootTimeClock) Now() time.Time { return started.Add(sinceBoot() - bootAtStart) }

// started and bootAtStart tie the two clocks together once.
var started, bootAtStart = time.Now().Round(0), sinceBoot()

// sinceBoot is the time since the machine was started, suspension included.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux since 2.6.39 has this clock.
		panic("clock of the time since boot: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// After implements Clock.
func (BootTimeClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// RuntimeClock is the clock of the Go runtime, which a synctest bubble replaces. The
// zero value works.
type RuntimeClock struct{}

// Now implements Clock.
func (RuntimeClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (RuntimeClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that moves only when it is told to. The zero value works
// and starts at the zero time.
type Manual struct {
	mu       sync.Mutex
	now      time.Time
	sleepers []sleeper
}

type sleeper struct {
	at time.Time
	ch chan time.Time
}

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.sleepers = append(m.sleepers, sleeper{at: m.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock by d and wakes every sleeper whose time has come.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	var rest []sleeper
	for _, s := range m.sleepers {
		if s.at.After(m.now) {
			rest = append(rest, s)
			continue
		}
		s.ch <- m.now
	}
	m.sleepers = rest
}
