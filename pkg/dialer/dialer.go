// Package dialer makes TCP connections that the kernel closes soon after the
// peer stops acknowledging data.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection. It allows for a few round
	// trips between distant data centres.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout bounds how long sent bytes may stay unacknowledged. It allows
	// for two retransmissions of a lost packet.
	ackTimeout = 800 * time.Millisecond
	// The first keep-alive probe follows after probeIdle without traffic, the
	// next ones probeInterval apart. The kernel closes the connection after at
	// most maxProbes without an answer.
	probeIdle     = time.Second
	probeInterval = time.Second
	maxProbes     = 2
)

// Dial connects to an address, with keep-alive probes and ackTimeout set.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
	return d.DialContext(ctx, network, address)
}

// KeepAlive returns the keep-alive settings of connections between nodes and to
// targets.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: maxProbes}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may
// stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
