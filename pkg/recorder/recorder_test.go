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

// TestFullPipeHoldsNobodyUp logs into a pipe that nobody reads: no call may
// wait, and what was dropped is counted and told.
func TestFullPipeHoldsNobodyUp(t *testing.T) {
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
		t.Fatal("a full pipe held up the log")
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
		t.Fatal("dropped lines were not told")
	}
}
