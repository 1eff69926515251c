// Package caller sends control messages to other nodes over mutual TLS.
package caller

import (
	"context"
	"crypto/tls"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// idlePerNode bounds the idle connections to one node.
	idlePerNode = 2
	// idleTotal bounds them over all nodes.
	idleTotal   = 256
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds the set-up of a connection.
	handshakeTimeout = time.Second
)

// Caller makes the clients of other nodes by address. It carries the
// messages of the replicator, the deduplicator, the limiter and the gossiper.
type Caller struct {
	client *http.Client
	scheme string

	mu       sync.Mutex
	replicas map[string]control.Replica
	peers    map[string]control.Peer
}

// Meter hears of the bytes of each message to an address and of its answer.
type Meter func(address, kind string, bytes int64)

// metered is a transport that tells a meter of each message.
type metered struct {
	next  http.RoundTripper
	meter Meter
}

// RoundTrip implements http.RoundTripper.
func (m *metered) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := m.next.RoundTrip(r)
	bytes := max(r.ContentLength, 0)
	if err == nil {
		bytes += max(response.ContentLength, 0)
	}
	m.meter(r.URL.Host, strings.ToLower(path.Base(r.URL.Path)), bytes)
	return response, err
}

// New makes a caller.
func New(settings *tls.Config, meter Meter) *Caller {
	transport := &http.Transport{
		DialContext:     dialer.Dial,
		TLSClientConfig: settings, TLSHandshakeTimeout: handshakeTimeout,
		MaxIdleConns: idleTotal, MaxIdleConnsPerHost: idlePerNode, IdleConnTimeout: idleTimeout,
	}
	return &Caller{
		client:   &http.Client{Transport: &metered{next: transport, meter: meter}},
		scheme:   schemeOf(settings),
		replicas: map[string]control.Replica{}, peers: map[string]control.Peer{},
	}
}

// schemeOf is that of addresses of other nodes; without TLS settings links
// are plain.
func schemeOf(settings *tls.Config) string {
	if settings == nil {
		return "http://"
	}
	return "https://"
}

// Replica returns the client of a replica.
func (c *Caller) Replica(address string) control.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.replicas[address]
	if !ok {
		r = control.NewReplicaProtobufClient(c.scheme+address, c.client)
		c.replicas[address] = r
	}
	return r
}

// Peer returns the client of a node.
func (c *Caller) Peer(address string) control.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = control.NewPeerProtobufClient(c.scheme+address, c.client)
		c.peers[address] = p
	}
	return p
}

// Prepare implements replicator.Network.
func (c *Caller) Prepare(ctx context.Context, address string, r *control.PrepareRequest) (*control.PrepareReply, error) {
	return c.Replica(address).Prepare(ctx, r)
}

// Accept implements replicator.Network.
func (c *Caller) Accept(ctx context.Context, address string, r *control.AcceptRequest) (*control.AcceptReply, error) {
	return c.Replica(address).Accept(ctx, r)
}

// Install implements replicator.Network.
func (c *Caller) Install(ctx context.Context, address string, r *control.InstallRequest) (*control.InstallReply, error) {
	return c.Replica(address).Install(ctx, r)
}

// Claim implements deduplicator.Replicas.
func (c *Caller) Claim(ctx context.Context, address string, r *control.ClaimRequest) (*control.ClaimReply, error) {
	return c.Replica(address).Claim(ctx, r)
}

// Settle implements deduplicator.Replicas.
func (c *Caller) Settle(ctx context.Context, address string, r *control.SettleRequest) (*control.SettleReply, error) {
	return c.Replica(address).Settle(ctx, r)
}

// Sync implements gossiper.Syncer.
func (c *Caller) Sync(ctx context.Context, address string, r *control.SyncRequest) (*control.SyncReply, error) {
	return c.Peer(address).Sync(ctx, r)
}

// Fetch asks the node at an address for its configuration.
func (c *Caller) Fetch(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
	return c.Peer(address).Fetch(ctx, r)
}
