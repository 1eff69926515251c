// Package timekeeper defines the clock that other packages take as a dependency,
// so that tests of time-dependent decisions need not wait.
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time and provides timers.
type Clock interface {
	// Now returns the time. Leases and expiries are compared by it.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// BootTimeClock is the clock of the machine, based on the time since boot. It
// goes on while the machine is suspended, which the monotonic clock of the Go
// runtime does not, and it ignores changes of the wall clock. The zero value is
// ready to use.
type BootTimeClock struct{}

// Now implements Clock.
func (BootTimeClock) Now() time.Time { return processStart.Add(sinceBoot() - bootTimeAtStart) }

// processStart and bootTimeAtStart are the wall clock time and the time since
// boot when the process started. Round strips the monotonic reading.
var processStart, bootTimeAtStart = time.Now().Round(0), sinceBoot()

// sinceBoot returns the time since the machine booted, including suspension.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// After implements Clock.
func (BootTimeClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// RuntimeClock is the clock of the Go runtime; in a synctest bubble that is the
// fake clock of the bubble. The zero value is ready to use.
type RuntimeClock struct{}

// Now implements Clock.
func (RuntimeClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (RuntimeClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock for tests that moves only when Advance is called. The zero
// value is ready to use and starts at the zero time.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

// waiter is a channel returned by After, and when it is due.
type waiter struct {
	deadline time.Time
	ch       chan time.Time
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
	m.waiters = append(m.waiters, waiter{deadline: m.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock by d and sends the new time on every channel that is
// due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	var remaining []waiter
	for _, w := range m.waiters {
		if w.deadline.After(m.now) {
			remaining = append(remaining, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = remaining
}
