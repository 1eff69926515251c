// Package sealer binds everything that nodes tell each other to the fleet
// secret: mutual TLS with a key derived from it for connections, and an
// authenticated cipher for datagrams. Callers and targets do not have the
// secret, so they cannot forge a team, an importance or a retry count.
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
	serverName      = "primrosed"
	certificateTerm = 100 * 365 * 24 * time.Hour
	sessionCache    = 512
)

// ErrForged says that a peer or a datagram does not have the fleet secret.
var ErrForged = errors.New("peer does not have the fleet secret")

// Sealer holds the keys derived from the fleet secret.
type Sealer struct {
	public      ed25519.PublicKey
	certificate tls.Certificate
	packets     cipher.AEAD
	plain       bool
}

// Plain makes a sealer for a network that is trusted: links have no TLS and
// datagrams are sent as they are.
func Plain() *Sealer { return &Sealer{plain: true} }

// IsPlain tells that links have no TLS.
func (s *Sealer) IsPlain() bool { return s.plain }

// New derives the keys from the secret.
func New(secret []byte) (*Sealer, error) {
	seed, err := hkdf.Key(sha256.New, secret, nil, "primrosewall tls", ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive tls key: %w", err)
	}
	packetKey, err := hkdf.Key(sha256.New, secret, nil, "primrosewall packets", chacha20poly1305.KeySize)
	if err != nil {
		return nil, fmt.Errorf("derive packet key: %w", err)
	}
	packets, err := chacha20poly1305.NewX(packetKey)
	if err != nil {
		return nil, fmt.Errorf("make packet cipher: %w", err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	s := &Sealer{public: private.Public().(ed25519.PublicKey), packets: packets}
	s.certificate, err = selfSign(private)
	return s, err
}

func selfSign(private ed25519.PrivateKey) (tls.Certificate, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		NotBefore:    now.Add(-certificateTerm),
		NotAfter:     now.Add(certificateTerm),
		DNSNames:     []string{serverName},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("sign certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// Server returns the TLS settings of the listener for nodes; nil for none.
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

// Client returns the TLS settings for connections to other nodes, or nil. The check
// by name is replaced by the check of the one public key that is right.
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
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCache),
		NextProtos:         []string{"http/1.1"},
	}
}

func (s *Sealer) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return ErrForged
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(key, s.public) {
		return ErrForged
	}
	return nil
}

// Seal encrypts one datagram.
func (s *Sealer) Seal(plain []byte) ([]byte, error) {
	if s.plain {
		return plain, nil
	}
	nonce := make([]byte, s.packets.NonceSize(), s.packets.NonceSize()+len(plain)+s.packets.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("make nonce: %w", err)
	}
	return s.packets.Seal(nonce, nonce, plain, nil), nil
}

// Open decrypts one datagram, or returns ErrForged.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if s.plain {
		return sealed, nil
	}
	size := s.packets.NonceSize()
	if len(sealed) < size {
		return nil, ErrForged
	}
	plain, err := s.packets.Open(nil, sealed[:size], sealed[size:], nil)
	if err != nil {
		return nil, ErrForged
	}
	return plain, nil
}
