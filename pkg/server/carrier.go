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

// maxDatagram bounds a datagram, in bytes.
const maxDatagram = 8 << 10

// carrier sends and receives sealed datagrams on the nodes' address.
type carrier struct {
	conn    *net.UDPConn
	sealer  *sealer.Sealer
	receive func(*control.Packet)
	count   func(name string, delta int64)
	meter   caller.Meter
}

func listenUDP(address string, s *sealer.Sealer, count func(string, int64)) (*carrier, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer address %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &carrier{conn: conn, sealer: s, count: count}, nil
}

// Send implements gossiper.Transport.
func (c *carrier) Send(address string, p *control.Packet) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	raw, err := proto.Marshal(p)
	if err != nil {
		return
	}
	sealed, err := c.sealer.Seal(raw)
	if err != nil {
		return
	}
	c.count("gossip_bytes_out", int64(len(sealed)))
	c.meter(address, "gossip", int64(len(sealed)))
	// A lost datagram is made good by later ones.
	_, _ = c.conn.WriteToUDP(sealed, at)
}

// Run receives until the context ends.
func (c *carrier) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	c.loop()
}

func (c *carrier) loop() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c.count("gossip_bytes_in", int64(n))
		raw, err := c.sealer.Open(buffer[:n])
		if err != nil {
			c.count("gossip_forged", 1)
			continue
		}
		p := &control.Packet{}
		if err := proto.Unmarshal(raw, p); err != nil {
			c.count("gossip_damaged", 1)
			continue
		}
		c.receive(p)
	}
}
