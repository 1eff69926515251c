// Package caller sends control messages to other nodes, over mutual TLS unless
// the links between nodes are plain.
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
	// maxIdlePerNode bounds the idle connections to one node.
	maxIdlePerNode = 2
	// maxIdleTotal bounds the idle connections to all nodes.
	maxIdleTotal = 256
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds the TLS handshake.
	handshakeTimeout = time.Second
)

// Caller keeps a client for each address of another node. It sends the messages
// of the replicator, the deduplicator, the limiter, the gossiper and the
// fetcher.
type Caller struct {
	client *http.Client
	scheme string

	mu       sync.Mutex
	replicas map[string]control.Replica
	peers    map[string]control.Peer
}

// Meter is called for each message to an address, with the kind of the message
// (the RPC method in lower case) and the bytes of its body and of the response.
type Meter func(address, kind string, bytes int64)

// meteredTransport is a transport that reports each message to a meter.
type meteredTransport struct {
	base  http.RoundTripper
	meter Meter
}

// RoundTrip implements http.RoundTripper. A body of unknown length counts as 0
// bytes.
func (m *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := m.base.RoundTrip(r)
	bytes := max(r.ContentLength, 0)
	if err == nil {
		bytes += max(response.ContentLength, 0)
	}
	m.meter(r.URL.Host, strings.ToLower(path.Base(r.URL.Path)), bytes)
	return response, err
}

// New returns a caller. A nil tlsConfig means connections without TLS.
func New(tlsConfig *tls.Config, meter Meter) *Caller {
	transport := &http.Transport{
		DialContext:     dialer.Dial,
		TLSClientConfig: tlsConfig, TLSHandshakeTimeout: handshakeTimeout,
		MaxIdleConns: maxIdleTotal, MaxIdleConnsPerHost: maxIdlePerNode, IdleConnTimeout: idleTimeout,
	}
	return &Caller{
		client:   &http.Client{Transport: &meteredTransport{base: transport, meter: meter}},
		scheme:   urlScheme(tlsConfig),
		replicas: map[string]control.Replica{}, peers: map[string]control.Peer{},
	}
}

// urlScheme returns the URL scheme for addresses of other nodes.
func urlScheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http://"
	}
	return "https://"
}

// Replica returns the client for the replica at an address.
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

// Peer returns the client for the node at an address.
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

// Fetch asks the node at an address for its configuration value.
func (c *Caller) Fetch(ctx context.Context, address string, r *control.FetchRequest) (*control.Value, error) {
	return c.Peer(address).Fetch(ctx, r)
}
