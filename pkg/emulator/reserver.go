package emulator

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// reserverBasePort is the port before the first one handed out. It lies below
	// the range from which the system takes ports for outgoing connections.
	reserverBasePort = 20000
	// reserverFirstNet is the lowest N of the 128 loopback networks 127.N.0.0/16
	// from which processes take their IP addresses.
	reserverFirstNet = 64
)

// Reserver hands out addresses that no other process uses. Each process uses a
// loopback IP address of its own, made from the low 21 bits of its process id, so
// a port that was handed out stays free even while nobody listens on it. The zero
// value is ready to use.
type Reserver struct{ handedOut atomic.Uint32 }

// Next returns an IP address and port that this Reserver hasn't handed out yet.
func (r *Reserver) Next() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", reserverFirstNet+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f, reserverBasePort+r.handedOut.Add(1))
}
