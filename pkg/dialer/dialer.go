// Package dialer makes connections that do not stay silent for good: the
// system gives up on a peer that acknowledges nothing.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection: a few round trips between
	// distant data centres.
	dialTimeout = 500 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged: two repeats of a
	// lost packet.
	silence = 800 * time.Millisecond
	// probeIdle and probeInterval pace the keep-alive probes of an idle
	// connection, probeCount bounds those without an answer.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dial connects to an address.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: control}
	return d.DialContext(ctx, network, address)
}

// KeepAlive is the pace of keep-alive probes on connections between nodes and
// to targets.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// control bounds the time that sent bytes stay unacknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
