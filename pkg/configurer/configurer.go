// Package configurer reads the settings of one daemon: who it is, where it
// listens, whom it knows. What the fleet serves is declared elsewhere, with
// "primrose plan".
package configurer

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/decoder"
)

// MinSecret is the least length of the fleet secret, in bytes.
const MinSecret = 16

// Settings are read once at start and passed down.
type Settings struct {
	// Instance is the name of this instance; no two share one.
	Instance string `json:"instance"`
	// Centre is the data centre of this instance.
	Centre string `json:"centre"`
	// Listen is the address for callers and for the target's own calls.
	Listen string `json:"listen"`
	// Peer is the address for other nodes, TCP and UDP.
	Peer string `json:"peer"`
	// Admin is the address for operators, metrics and the own target.
	Admin string `json:"admin"`
	// Data is the data folder; empty for a node that is no replica.
	Data string `json:"data"`
	// Secret is a file with the fleet secret.
	Secret string `json:"secret"`
	// Seeds are peer addresses of nodes to join by.
	Seeds []string `json:"seeds"`
	// Replicas are the peer addresses of the first set of replicas, the
	// founder first. They are used once, when the fleet is founded.
	Replicas []string `json:"replicas"`
	// Operators maps names to key hashes; empty admits anybody who reaches
	// Admin, which must then be a loopback address.
	Operators map[string]string `json:"operators"`
	// Contact in seconds bounds how long keyed requests are served without
	// contact to any replica; 0 sets no bound.
	Contact int `json:"contact"`
	// Connections bounds the connections to the own target.
	Connections int `json:"connections"`

	// Rule finds the concurrency limit of the own target: aimd, gradient or
	// static.
	Rule string `json:"rule"`

	secret []byte
}

// The rules for the concurrency limit.
const (
	RuleAIMD     = "aimd"
	RuleGradient = "gradient"
	RuleStatic   = "static"
)

const (
	defaultListen      = "127.0.0.1:7400"
	defaultPeer        = "127.0.0.1:7401"
	defaultAdmin       = "127.0.0.1:7402"
	defaultConnections = 200
	embeddedSecret     = "embedded default, loopback only"
)

// Default returns settings that make a whole system of one node on loopback.
func Default() *Settings {
	return &Settings{
		Instance: "local", Centre: "local",
		Listen: defaultListen, Peer: defaultPeer, Admin: defaultAdmin,
		Data:        filepath.Join(os.TempDir(), "primrosed-data"),
		Replicas:    []string{defaultPeer},
		Connections: defaultConnections, Rule: RuleAIMD,
		secret: []byte(embeddedSecret),
	}
}

// SecretBytes returns the fleet secret.
func (s *Settings) SecretBytes() []byte { return s.secret }

// Load reads and checks a settings file and the secret that it names.
func Load(file string) (*Settings, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{Connections: defaultConnections, Rule: RuleAIMD}
	document, err := decoder.Decode(file, source, s)
	if err != nil {
		return nil, err
	}
	if err := s.check(document); err != nil {
		return nil, err
	}
	return s, s.readSecret(document)
}

func (s *Settings) check(d *decoder.Document) error {
	if s.Instance == "" || strings.ContainsAny(s.Instance, " /\t\n") {
		return d.Problem("instance", "is %q; the unique name of this instance would be right", s.Instance)
	}
	if s.Centre == "" {
		return d.Problem("centre", "is empty; the data centre of this instance would be right")
	}
	addresses := map[string]string{"listen": s.Listen, "peer": s.Peer, "admin": s.Admin}
	for _, name := range []string{"listen", "peer", "admin"} {
		if err := checkAddress(d, name, addresses[name]); err != nil {
			return err
		}
	}
	if s.Listen == s.Peer || s.Listen == s.Admin || s.Peer == s.Admin {
		return d.Problem("listen", "two of listen, peer and admin are equal; three different ports would be right")
	}
	lists := map[string][]string{"seeds": s.Seeds, "replicas": s.Replicas}
	for _, name := range []string{"seeds", "replicas"} {
		for i, address := range lists[name] {
			if err := checkAddress(d, fmt.Sprintf("%s/%d", name, i), address); err != nil {
				return err
			}
		}
	}
	return s.checkRest(d)
}

func (s *Settings) checkRest(d *decoder.Document) error {
	if len(s.Operators) == 0 && !isLoopback(s.Admin) {
		return d.Problem("operators", "is empty and admin is %s; name operators, or let admin listen on loopback", s.Admin)
	}
	if s.Contact < 0 {
		return d.Problem("contact", "is %d; seconds, or 0 for no bound, would be right", s.Contact)
	}
	if s.Connections < 1 || s.Connections > 100_000 {
		return d.Problem("connections", "is %d; 1 to 100000 would be right", s.Connections)
	}
	if !slices.Contains([]string{RuleAIMD, RuleGradient, RuleStatic}, s.Rule) {
		return d.Problem("rule", "is %q; aimd, gradient or static would be right", s.Rule)
	}
	if len(s.Seeds) == 0 && !slices.Contains(s.Replicas, s.Peer) {
		return d.Problem("seeds", "is empty and this node is no first replica; name at least one peer address to join by")
	}
	return nil
}

func (s *Settings) readSecret(d *decoder.Document) error {
	if s.Secret == "" {
		return d.Problem("secret", "is empty; a file with at least %d bytes would be right", MinSecret)
	}
	text, err := os.ReadFile(s.Secret)
	if err != nil {
		return d.Problem("secret", "cannot be read: %v", err)
	}
	s.secret = bytes.TrimSpace(text)
	if len(s.secret) < MinSecret {
		return d.Problem("secret", "the file holds %d bytes; at least %d would be right", len(s.secret), MinSecret)
	}
	return nil
}

func checkAddress(d *decoder.Document, field, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		return d.Problem(field, "is %q; an IP number and a port, such as 127.0.0.1:7400, would be right", address)
	}
	return nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}
