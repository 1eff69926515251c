//go:build faults

package faulter

import (
	"os"
	"strings"
	"sync"
	"syscall"
)

// failOnce limits a process to one fault.
var failOnce sync.Once

// Reach kills or freezes the process if the environment variable PRIMROSE_FAULT
// is "POINT=kill" or "POINT=freeze" with this point, and the file named by
// PRIMROSE_ARMED exists. It does so at most once in a process.
func Reach(p Point) {
	point, fault, _ := strings.Cut(os.Getenv("PRIMROSE_FAULT"), "=")
	if point != string(p) {
		return
	}
	if _, err := os.Stat(os.Getenv("PRIMROSE_ARMED")); err != nil {
		return
	}
	failOnce.Do(func() { fail(fault) })
}

// fail kills or stops the process with a signal.
func fail(fault string) {
	switch fault {
	case "kill":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		// Block until the signal arrives.
		select {}
	case "freeze":
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
