package recorder_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/recorder"
)

func TestLinesArriveInOrder(t *testing.T) {
	var out bytes.Buffer
	r := recorder.New(&out)
	log := r.Logger(slog.LevelInfo)
	for i := range 100 {
		log.Info("event", "number", i)
	}
	r.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, 100)
	qt.Assert(t, strings.HasSuffix(lines[99], fmt.Sprint("number=", 99)), qt.IsTrue)
	qt.Assert(t, r.Dropped(), qt.Equals, int64(0))
}

// TestFullPipeDoesNotBlock logs into a pipe that has no reader at first. No call
// may block, dropped lines must be counted, and the log must report them once
// the pipe is read.
func TestFullPipeDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	r := recorder.New(writer)
	log := r.Logger(slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20000 {
			log.Info("event", "number", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked on a full pipe")
	}
	qt.Assert(t, r.Dropped() > 0, qt.IsTrue)
	read := make(chan string)
	go func() {
		var text strings.Builder
		buffer := make([]byte, 64<<10)
		for !strings.Contains(text.String(), "log_dropped") {
			n, err := reader.Read(buffer)
			if err != nil {
				break
			}
			text.Write(buffer[:n])
		}
		read <- text.String()
	}()
	select {
	case text := <-read:
		qt.Assert(t, strings.Contains(text, "log_dropped lines="), qt.IsTrue)
	case <-time.After(20 * time.Second):
		t.Fatal("the log did not report dropped lines")
	}
}
