package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the case began.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) begin() { r.began = time.Now() }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at formats a time as the record does.
func (r *recorder) at(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds())
}

// check ends a case that cannot run.
func check(err error) {
	if err != nil {
		panic(err)
	}
}
