// Package recorder writes the log, one line of key=value pairs for each event.
// The lines go through a bounded buffer, so that a stalled reader of the log
// never blocks the code that logs. Lines that do not fit into the buffer are
// dropped and counted.
package recorder

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines bounds the lines that wait to be written.
	maxBufferedLines = 4096
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 32 << 10
	// flushDelay is the pause between two flushes, in which lines gather so that
	// one write takes several.
	flushDelay = 50 * time.Millisecond
	// closeTimeout bounds how long Close waits for the buffer to be written.
	closeTimeout = 200 * time.Millisecond
)

// Recorder is a bounded buffer in front of the writer of the log.
type Recorder struct {
	writer   io.Writer
	lines    chan []byte
	dropped  atomic.Int64
	written  atomic.Int64
	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
}

// New starts a recorder that writes to w. Close writes the lines left in the
// buffer.
func New(w io.Writer) *Recorder {
	r := &Recorder{writer: w, lines: make(chan []byte, maxBufferedLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go r.run()
	return r
}

// Logger returns a logger that writes to the recorder.
func (r *Recorder) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(r, &slog.HandlerOptions{Level: level}))
}

// Write adds one line to the buffer, or drops it if the buffer is full. It never
// blocks.
func (r *Recorder) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Written returns the number of lines passed to the writer, also when the write
// failed.
func (r *Recorder) Written() int64 { return r.written.Load() }

// Close writes the lines left in the buffer, for at most closeTimeout.
func (r *Recorder) Close() {
	r.stopOnce.Do(func() { close(r.stop) })
	select {
	case <-r.stopped:
	case <-time.After(closeTimeout):
	}
}

// run writes lines until Close, and reports dropped lines between flushes.
func (r *Recorder) run() {
	defer close(r.stopped)
	reported := int64(0)
	for {
		select {
		case line := <-r.lines:
			r.flush(line)
		case <-r.stop:
			r.flush(nil)
			return
		}
		if dropped := r.dropped.Load(); dropped > reported {
			r.reportDropped(dropped - reported)
			reported = dropped
		}
		select {
		case <-time.After(flushDelay):
		case <-r.stop:
		}
	}
}

// flush writes a first line, which may be nil, and all lines in the buffer.
func (r *Recorder) flush(batch []byte) {
	count := int64(0)
	if batch != nil {
		count = 1
	}
	for {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			count++
			if len(batch) < batchBytes {
				continue
			}
		default:
		}
		break
	}
	if len(batch) == 0 {
		return
	}
	// There is no other place to report a failure of the log itself.
	_, _ = r.writer.Write(batch)
	r.written.Add(count)
	if len(r.lines) > 0 {
		r.flush(nil)
	}
}

// reportDropped logs how many lines were dropped. It bypasses the buffer, which
// was full.
func (r *Recorder) reportDropped(count int64) {
	record := slog.NewRecord(time.Now(), slog.LevelWarn, "log_dropped", 0)
	record.AddAttrs(slog.Int64("lines", count))
	_ = slog.NewTextHandler(r.writer, nil).Handle(context.Background(), record)
}
