package emulator

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// reserverPort is the first port handed out. It lies below the range from
	// which the system takes ports for outgoing connections.
	reserverPort = 20000
	// reserverNet is the first of the loopback networks 127.N.0.0/16 that
	// processes take their IP numbers from.
	reserverNet = 64
)

// Reserver hands out addresses that no other process uses. Each process has a
// loopback IP number of its own, made from its process id, so a port that was
// handed out stays free while nobody listens on it. The zero value works.
type Reserver struct{ count atomic.Uint32 }

// Next returns an IP number and port that were not handed out before.
func (r *Reserver) Next() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", reserverNet+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f, reserverPort+r.count.Add(1))
}
