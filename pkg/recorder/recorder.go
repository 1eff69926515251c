// Package recorder writes the log: one line of key=value pairs for each event,
// through a bounded buffer, so that a reader that stalls never holds up what is
// logged. Lines that do not fit are dropped and counted.
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
	// bufferLines bounds the lines that wait to be written.
	bufferLines = 4096
	// writeBytes bounds one write.
	writeBytes = 32 << 10
	// flushPeriod is how long a line may wait for others to be written with it.
	flushPeriod = 50 * time.Millisecond
	// stopTime bounds how long the end of the process waits for the log.
	stopTime = 200 * time.Millisecond
)

// Recorder is the bounded buffer in front of the log's writer.
type Recorder struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	end     chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// New starts a recorder; Close writes what is left.
func New(w io.Writer) *Recorder {
	r := &Recorder{writer: w, lines: make(chan []byte, bufferLines), end: make(chan struct{}), ended: make(chan struct{})}
	go r.run()
	return r
}

// Logger makes a logger that writes through the recorder.
func (r *Recorder) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(r, &slog.HandlerOptions{Level: level}))
}

// Write takes one line and never blocks.
func (r *Recorder) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is how many lines found the buffer full.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Written is how many lines were written.
func (r *Recorder) Written() int64 { return r.written.Load() }

// Close writes what is in the buffer, for a bounded time.
func (r *Recorder) Close() {
	r.once.Do(func() { close(r.end) })
	select {
	case <-r.ended:
	case <-time.After(stopTime):
	}
}

func (r *Recorder) run() {
	defer close(r.ended)
	told := int64(0)
	for {
		select {
		case line := <-r.lines:
			r.flush(line)
		case <-r.end:
			r.flush(nil)
			return
		}
		if dropped := r.dropped.Load(); dropped > told {
			r.tell(dropped - told)
			told = dropped
		}
		select {
		case <-time.After(flushPeriod):
		case <-r.end:
		}
	}
}

// flush writes a line with those that wait behind it.
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
			if len(batch) < writeBytes {
				continue
			}
		default:
		}
		break
	}
	if len(batch) == 0 {
		return
	}
	// There is no other place to report that the log itself fails.
	_, _ = r.writer.Write(batch)
	r.written.Add(count)
	if len(r.lines) > 0 {
		r.flush(nil)
	}
}

// tell logs how many lines were dropped, past the buffer that was full.
func (r *Recorder) tell(count int64) {
	record := slog.NewRecord(time.Now(), slog.LevelWarn, "log_dropped", 0)
	record.AddAttrs(slog.Int64("lines", count))
	_ = slog.NewTextHandler(r.writer, nil).Handle(context.Background(), record)
}
