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
	"time"

	"github.com/primrosewall/primrosewall/pkg/decoder"
	"github.com/primrosewall/primrosewall/pkg/healer"
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
	// Tolerance is how many data folders may be lost at the same moment without
	// the loss of an acknowledged change; the set of replicas needs two for each
	// and one more.
	Tolerance int `json:"tolerance"`
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

	// Interface names how callers, targets and operators speak to this node;
	// empty is the daemon's own.
	Interface string `json:"interface"`
	// Links is how nodes reach each other: tls, or plain where the network
	// between them is trusted and no secret can be handed out.
	Links string `json:"links"`
	// Ready is the address of the readiness check; empty for none.
	Ready string `json:"ready"`
	// Control is the address at which the own target and operators speak the
	// interface named above; empty for none.
	Control string `json:"control"`
	// Metrics is a further address for metrics; empty for none.
	Metrics string `json:"metrics"`
	// Found allows this start to found the fleet, when its disk is empty; true
	// unless it is set.
	Found bool `json:"found"`
	// Sameport says that seeds name machines only: their nodes listen for
	// other nodes at the port that this node has in peer.
	Sameport bool `json:"sameport"`
	// Heal lets replicas replace a lost replica by themselves.
	Heal bool `json:"heal"`
	// Target is the address of the own target, where the daemon is told.
	Target string `json:"target"`
	// Service is that of the own target, where the daemon is told.
	Service string `json:"service"`
	// Memory in megabytes that the process may use; 0 for no bound.
	Memory int `json:"memory"`
	// Grace is the time from the stop signal to the end of the process.
	Grace Duration `json:"grace"`
	// Drain is the time within which an acknowledged leave of a target binds.
	Drain Duration `json:"drain"`
	// Retry bounds the second sends of the whole fleet.
	Retry Retry `json:"retry"`
	// Overage is what may be admitted beyond the limits of teams while their
	// holders are out of reach.
	Overage Overage `json:"overage"`

	secret []byte
}

// maxTolerance keeps the set of replicas small: each of them takes part in every
// change.
const maxTolerance = 4

// Retry bounds the second sends to a service over the whole fleet.
type Retry struct {
	// Ratio of second sends to first ones.
	Ratio float64 `json:"ratio"`
	// Window over which both are counted.
	Window Duration `json:"window"`
	// Slack is the number of second sends in a window beyond the ratio.
	Slack float64 `json:"slack"`
}

// Overage is a tolerance of the limits of teams over a window.
type Overage struct {
	Window Duration `json:"window"`
	// Ratio of what the limit allows in a window.
	Ratio float64 `json:"ratio"`
	// Slack is a number of requests in a window beyond the ratio.
	Slack float64 `json:"slack"`
}

// Duration is a time in settings, such as "2s" or "1500ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler; empty text is no time.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		d.Duration = 0
		return nil
	}
	value, err := time.ParseDuration(string(text))
	d.Duration = value
	return err
}

// The kinds of links.
const (
	LinksTLS   = "tls"
	LinksPlain = "plain"
)

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
	defaultSecret      = "embedded default, loopback only"
)

// Default returns settings that make a whole system of one node on loopback.
func Default() *Settings {
	return &Settings{
		Instance: "local", Centre: "local",
		Listen: defaultListen, Peer: defaultPeer, Admin: defaultAdmin,
		Data:        filepath.Join(os.TempDir(), "primrosed-data"),
		Replicas:    []string{defaultPeer},
		Connections: defaultConnections, Rule: RuleAIMD, Links: LinksTLS, Found: true,
		secret: []byte(defaultSecret),
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
	s := &Settings{Connections: defaultConnections, Rule: RuleAIMD, Links: LinksTLS, Found: true}
	document, err := decoder.Decode(file, source, s)
	if err != nil {
		return nil, err
	}
	s.applySameport()
	if err := s.check(document); err != nil {
		return nil, err
	}
	if s.Links == LinksPlain {
		return s, nil
	}
	return s, s.readSecret(document)
}

// applySameport gives the seeds the own peer port where they name machines only.
func (s *Settings) applySameport() {
	_, port, err := net.SplitHostPort(s.Peer)
	if !s.Sameport || err != nil {
		return
	}
	for _, list := range [][]string{s.Seeds, s.Replicas} {
		for i, address := range list {
			if host, _, err := net.SplitHostPort(address); err == nil {
				list[i] = net.JoinHostPort(host, port)
			}
		}
	}
}

func (s *Settings) check(d *decoder.Document) error {
	if s.Instance == "" || strings.ContainsAny(s.Instance, " /\t\n") {
		return d.Problem("instance", "is %q; the unique name of this instance would be right", s.Instance)
	}
	if s.Centre == "" {
		return d.Problem("centre", "is empty; the data centre of this instance would be right")
	}
	if err := s.checkListeners(d); err != nil {
		return err
	}
	lists := map[string][]string{"seeds": s.Seeds, "replicas": s.Replicas}
	for _, name := range []string{"seeds", "replicas"} {
		for i, address := range lists[name] {
			if err := checkAddress(d, fmt.Sprintf("%s/%d", name, i), address); err != nil {
				return err
			}
		}
	}
	return s.checkValues(d)
}

// checkListeners checks the addresses that may be empty; a node with an
// interface of its own needs no admin address, one without a target needs no
// address for callers.
func (s *Settings) checkListeners(d *decoder.Document) error {
	listeners := []struct{ name, address string }{
		{"listen", s.Listen}, {"peer", s.Peer}, {"admin", s.Admin}, {"ready", s.Ready}, {"control", s.Control}, {"metrics", s.Metrics}, {"target", s.Target},
	}
	seen := map[string]string{}
	for _, l := range listeners {
		optional := l.name != "peer" && (s.Interface != "" || (l.name != "listen" && l.name != "admin"))
		if l.address == "" && optional {
			continue
		}
		if err := checkAddress(d, l.name, l.address); err != nil {
			return err
		}
		if other, ok := seen[l.address]; ok {
			return d.Problem(l.name, "is equal to %s; a port of its own would be right", other)
		}
		seen[l.address] = l.name
	}
	if s.Links != LinksTLS && s.Links != LinksPlain {
		return d.Problem("links", "is %q; tls or plain would be right", s.Links)
	}
	return nil
}

func (s *Settings) checkValues(d *decoder.Document) error {
	if s.Admin != "" && len(s.Operators) == 0 && !isLoopback(s.Admin) {
		return d.Problem("operators", "is empty and admin is %s; name operators, or let admin listen on loopback", s.Admin)
	}
	if s.Contact < 0 {
		return d.Problem("contact", "is %d; seconds, or 0 for no bound, would be right", s.Contact)
	}
	if s.Tolerance < 0 || s.Tolerance > maxTolerance {
		return d.Problem("tolerance", "is %d; 0 to %d data folders would be right", s.Tolerance, maxTolerance)
	}
	if n := len(s.Replicas); n > 0 && !s.Heal && healer.ToleratedLosses(n) < s.Tolerance {
		return d.Problem("tolerance", "is %d, and %d replicas bear the loss of %d; name %d replicas, or set heal", s.Tolerance, n, healer.ToleratedLosses(n), healer.RequiredReplicas(s.Tolerance))
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

// Reload returns a copy of the settings with what may change while the daemon
// runs taken from newer ones: whom it knows, and its bounds.
func (s *Settings) Reload(newer *Settings) *Settings {
	next := *s
	next.Seeds, next.Replicas = newer.Seeds, newer.Replicas
	next.Grace, next.Drain, next.Contact = newer.Grace, newer.Drain, newer.Contact
	next.Retry, next.Overage = newer.Retry, newer.Overage
	return &next
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
