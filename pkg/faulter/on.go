//go:build faults

package faulter

import (
	"os"
	"strings"
	"sync"
	"syscall"
)

// once makes a fault happen a single time in the life of a process.
var once sync.Once

// Reach fails as PRIMROSE_FAULT says, "POINT=kill" or "POINT=freeze", once
// the file that PRIMROSE_ARMED names exists.
func Reach(p Point) {
	point, fault, _ := strings.Cut(os.Getenv("PRIMROSE_FAULT"), "=")
	if point != string(p) {
		return
	}
	if _, err := os.Stat(os.Getenv("PRIMROSE_ARMED")); err != nil {
		return
	}
	once.Do(func() { fail(fault) })
}

func fail(fault string) {
	switch fault {
	case "kill":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		// The signal may take a moment to arrive.
		select {}
	case "freeze":
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
