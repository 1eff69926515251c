// Package sealer protects the traffic between nodes with the fleet secret:
// connections use mutual TLS with a key derived from it, datagrams an
// authenticated cipher. Callers and targets do not have the secret, so they
// cannot forge a team, a priority or a retry count.
package sealer

import (
	"bytes"
	"crypto/cipher"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"

	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// serverName is the name in the certificate of every node.
	serverName          = "primrosed"
	certificateValidity = 100 * 365 * 24 * time.Hour
	// sessionCacheSize is the number of TLS sessions kept for resumption.
	sessionCacheSize = 512
)

// ErrForged is returned for a peer or a datagram that was not authenticated with
// the fleet secret.
var ErrForged = errors.New("peer does not have the fleet secret")

// Sealer holds the keys derived from the fleet secret.
type Sealer struct {
	publicKey    ed25519.PublicKey
	certificate  tls.Certificate
	packetCipher cipher.AEAD
	// plain turns TLS and encryption off.
	plain bool
}

// Plain returns a sealer for a trusted network: connections have no TLS, and
// datagrams are neither encrypted nor authenticated.
func Plain() *Sealer { return &Sealer{plain: true} }

// IsPlain reports whether connections have no TLS.
func (s *Sealer) IsPlain() bool { return s.plain }

// New returns a sealer with keys derived from the fleet secret.
func New(secret []byte) (*Sealer, error) {
	seed, err := hkdf.Key(sha256.New, secret, nil, "primrosewall tls", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive tls key: %w", err)
	}
	packetKey, err := hkdf.Key(sha256.New, secret, nil, "primrosewall packets", chacha20poly1305.KeySize)
	if err != nil {
		return nil, fmt.Errorf("derive packet key: %w", err)
	}
	packetCipher, err := chacha20poly1305.NewX(packetKey)
	if err != nil {
		return nil, fmt.Errorf("make packet cipher: %w", err)
	}
	privateKey := ed25519.NewKeyFromSeed(seed)
	s := &Sealer{publicKey: privateKey.Public().(ed25519.PublicKey), packetCipher: packetCipher}
	s.certificate, err = selfSign(privateKey)
	return s, err
}

// selfSign returns a self-signed certificate for the key. Peers check only its
// public key.
func selfSign(privateKey ed25519.PrivateKey) (tls.Certificate, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
		DNSNames:     []string{serverName},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("sign certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}, nil
}

// Server returns the TLS configuration of the listener for other nodes, or nil
// for a plain sealer.
func (s *Sealer) Server() *tls.Config {
	if s.plain {
		return nil
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{s.certificate},
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: s.verify,
		NextProtos:       []string{"http/1.1"},
	}
}

// Client returns the TLS configuration for connections to other nodes, or nil
// for a plain sealer. Instead of the name in the certificate, verify checks its
// public key, which is the same on all nodes of the fleet.
func (s *Sealer) Client() *tls.Config {
	if s.plain {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{s.certificate},
		ServerName:         serverName,
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
		NextProtos:         []string{"http/1.1"},
	}
}

// verify returns ErrForged unless the peer presents one certificate with the
// public key of the fleet.
func (s *Sealer) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return ErrForged
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(key, s.publicKey) {
		return ErrForged
	}
	return nil
}

// Seal encrypts one datagram; the result starts with the nonce.
func (s *Sealer) Seal(plain []byte) ([]byte, error) {
	if s.plain {
		return plain, nil
	}
	nonce := make([]byte, s.packetCipher.NonceSize(), s.packetCipher.NonceSize()+len(plain)+s.packetCipher.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("make nonce: %w", err)
	}
	return s.packetCipher.Seal(nonce, nonce, plain, nil), nil
}

// Open decrypts one datagram. It returns ErrForged if the datagram is too short
// or was not sealed with the same secret.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if s.plain {
		return sealed, nil
	}
	size := s.packetCipher.NonceSize()
	if len(sealed) < size {
		return nil, ErrForged
	}
	plain, err := s.packetCipher.Open(nil, sealed[:size], sealed[size:], nil)
	if err != nil {
		return nil, ErrForged
	}
	return plain, nil
}
