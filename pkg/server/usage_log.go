package server

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// usageSampleInterval is the time between two samples of the use of the own target, and
	// usageLogInterval the time between two log lines.
	usageSampleInterval = 50 * time.Millisecond
	usageLogInterval    = time.Second
	// busyProcessor is the fraction of a processor, and busyLateness the delay of a timer,
	// from which a second is logged even if no request waits for a slot.
	busyProcessor = 0.3
	busyLateness  = 20 * time.Millisecond
)

// usageLog samples what is scarce at this node: slots of the own target, and processor time
// of the process. A timer that fires late shows how long a request that is ready waits for
// the processor, a queue how long it waits for a slot.
type usageLog struct {
	server *Server

	mu sync.Mutex
	// processor is the processor time of the last whole second, as a fraction of a
	// processor, and late the longest delay of a timer in it.
	processor float64
	late      time.Duration
}

// usage is what was sampled since the last log line.
type usage struct {
	since         time.Time
	processor     time.Duration
	late          time.Duration
	samples       int
	slots, queued int
}

// Run implements Controller.
func (l *usageLog) Run(ctx context.Context) {
	current := usage{since: l.server.clock.Now(), processor: processorTime()}
	var due time.Time
	l.server.runEvery(ctx, usageSampleInterval, func(context.Context) {
		now := l.server.clock.Now()
		if !due.IsZero() {
			current.late = max(current.late, now.Sub(due))
		}
		load := l.server.admitter.Load()
		current.samples++
		current.slots += load.Inflight
		current.queued += load.Queued
		if now.Sub(current.since) >= usageLogInterval {
			current = l.finish(current, now)
		}
		due = l.server.clock.Now().Add(usageSampleInterval)
	})
}

// finish logs the samples if anything was scarce, and begins the next ones.
func (l *usageLog) finish(u usage, now time.Time) usage {
	total := processorTime()
	processor := (total - u.processor).Seconds() / now.Sub(u.since).Seconds()
	l.mu.Lock()
	l.processor, l.late = processor, u.late
	l.mu.Unlock()
	load := l.server.admitter.Load()
	if u.queued > 0 || load.Level > 0 || processor >= busyProcessor || u.late >= busyLateness {
		l.server.log.Info("usage", "processor", processor, "late", u.late, "used", u.slots/u.samples, "queued", u.queued/u.samples,
			"limit", load.Limit, "level", load.Level)
	}
	return usage{since: now, processor: total}
}

func (l *usageLog) lastProcessor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.processor
}

func (l *usageLog) lastLateness() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late.Seconds()
}

// processorTime returns the processor time that the process has used, or 0 where the system
// does not tell.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
