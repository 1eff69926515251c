package server

import (
	"context"
	"errors"
	"fmt"
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/caller"
	"github.com/primrosewall/primrosewall/pkg/sealer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// maxDatagramBytes bounds the size of a received datagram.
const maxDatagramBytes = 8 << 10

// udpTransport sends and receives sealed gossip packets on this node's peer
// address.
type udpTransport struct {
	conn       *net.UDPConn
	sealer     *sealer.Sealer
	receive    func(*control.Packet)
	countEvent func(name string, delta int64)
	meter      caller.Meter
}

// listenUDP opens a socket at address.
func listenUDP(address string, s *sealer.Sealer, countEvent func(string, int64)) (*udpTransport, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer address %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &udpTransport{conn: conn, sealer: s, countEvent: countEvent}, nil
}

// Send implements gossiper.Transport. It drops packets that it cannot send.
func (t *udpTransport) Send(address string, p *control.Packet) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	raw, err := proto.Marshal(p)
	if err != nil {
		return
	}
	sealed, err := t.sealer.Seal(raw)
	if err != nil {
		return
	}
	t.countEvent("gossip_bytes_out", int64(len(sealed)))
	t.meter(address, "gossip", int64(len(sealed)))
	// Errors are ignored: gossip tolerates lost datagrams, since later ones
	// carry the same state.
	_, _ = t.conn.WriteToUDP(sealed, addr)
}

// Run implements Controller: it receives packets until the context ends.
func (t *udpTransport) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { t.conn.Close() })
	defer stop()
	t.receiveLoop()
}

func (t *udpTransport) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := t.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.countEvent("gossip_bytes_in", int64(n))
		raw, err := t.sealer.Open(buffer[:n])
		if err != nil {
			t.countEvent("gossip_forged", 1)
			continue
		}
		p := &control.Packet{}
		if err := proto.Unmarshal(raw, p); err != nil {
			t.countEvent("gossip_damaged", 1)
			continue
		}
		t.receive(p)
	}
}
