// Package configurer reads the settings of one daemon: its name, the addresses
// it listens on, and the nodes it joins by. What the fleet serves is declared
// separately, with "primrose plan".
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

// MinSecret is the minimum length of the fleet secret, in bytes.
const MinSecret = 16

// Settings are the settings of one node. They are read at the start; Reload
// lists those that may change later.
type Settings struct {
	// Instance is the name of this instance, unique in the fleet.
	Instance string `json:"instance"`
	// Centre is the data centre of this instance.
	Centre string `json:"centre"`
	// Centres are the data centres that exist. Orders for others are refused, unless
	// an instance there is known. It may be empty.
	Centres []string `json:"centres"`
	// Listen is the address for callers and for the own target's calls.
	Listen string `json:"listen"`
	// Peer is the address for other nodes, for both TCP and UDP.
	Peer string `json:"peer"`
	// Admin is the address for operators, metrics and the own target.
	Admin string `json:"admin"`
	// Data is the data folder of a replica; empty for other nodes.
	Data string `json:"data"`
	// Secret is the path of a file with the fleet secret.
	Secret string `json:"secret"`
	// Seeds are the peer addresses of nodes through which this node joins.
	Seeds []string `json:"seeds"`
	// Replicas are the peer addresses of the first set of replicas, the
	// founder first. They are used only once, to found the fleet.
	Replicas []string `json:"replicas"`
	// Tolerance is how many data folders may be lost at once without losing an
	// acknowledged change. The set needs two replicas for each, and one more.
	Tolerance int `json:"tolerance"`
	// Operators maps operators' names to key hashes. Without any, everybody who
	// reaches Admin is an operator, so Admin must be a loopback address.
	Operators map[string]string `json:"operators"`
	// Contact is how long, in seconds, requests with a key are served without
	// contact to any replica; 0 for no bound.
	Contact int `json:"contact"`
	// Connections bounds the connections to the own target.
	Connections int `json:"connections"`

	// Rule is the algorithm that finds the concurrency limit of the own target:
	// aimd, gradient or static.
	Rule string `json:"rule"`
	// Placement selects how targets are chosen: finish is by the expected time of
	// completion; empty is by load, the own data centre first.
	Placement string `json:"placement"`

	// Shedding selects how requests are held back while a service that they reach
	// through calls is overloaded: chains, by the measured demand and by what a
	// request of each route costs and yields, or empty, by the level of pressure.
	Shedding string `json:"shedding"`

	// Waiting selects how requests wait for the own target: objective, only as long as
	// they can be answered within their objective, or empty, for a fixed time.
	Waiting string `json:"waiting"`

	// Interface selects a translation for callers, targets and operators; empty
	// for the daemon's own protocol.
	Interface string `json:"interface"`
	// Links is how nodes connect to each other: tls, or plain where the network
	// between them is trusted and no secret can be distributed.
	Links string `json:"links"`
	// Ready is the address of the readiness check; empty for none.
	Ready string `json:"ready"`
	// Control is the address on which Interface serves the own target and
	// operators; empty for none.
	Control string `json:"control"`
	// Metrics is an additional address for metrics; empty for none.
	Metrics string `json:"metrics"`
	// Found allows this node to found the fleet if its disk is empty. The
	// default is true.
	Found bool `json:"found"`
	// Sameport replaces the ports of Seeds and Replicas by the port of Peer. Such
	// lists name machines only, whose nodes all use the same peer port.
	Sameport bool `json:"sameport"`
	// Heal lets the replicas replace a lost replica without an operator.
	Heal bool `json:"heal"`
	// Target is the own target's address, and Service its service. Announcements that
	// name others are ignored; if empty, the target states them.
	Target  string `json:"target"`
	Service string `json:"service"`
	// Memory bounds the memory of the process, in MiB; 0 for no bound.
	Memory int `json:"memory"`
	// Callers bounds what callers can make the process hold.
	Callers Callers `json:"callers"`
	// Grace is the time from the stop signal until the process must have ended.
	Grace Duration `json:"grace"`
	// Drain is how long the own target may still receive requests after it has
	// reported through Interface that it leaves.
	Drain Duration `json:"drain"`
	// Retry bounds the retries of the whole fleet.
	Retry Retry `json:"retry"`
	// Overage is what may be admitted beyond the limits of teams while the
	// holders of these limits are unreachable.
	Overage Overage `json:"overage"`
	// Cold bounds the requests to cold targets.
	Cold Cold `json:"cold"`
	// Pace selects how fast requests begin at a target that has started or recovered:
	// PaceFound, or empty for a fixed time after a start.
	Pace string `json:"pace"`

	secret []byte
}

// maxTolerance keeps the set of replicas small, because every replica takes part
// in every change.
const maxTolerance = 4

// Retry bounds the retries towards a service over the whole fleet.
type Retry struct {
	// Ratio is the maximum number of retries per first attempt.
	Ratio float64 `json:"ratio"`
	// Window is the time over which retries and first attempts are counted; 0
	// selects the daemon's default bounds. Nodes keep a running budget, so its
	// length has no other effect.
	Window Duration `json:"window"`
	// Slack is the number of retries allowed per window beyond Ratio.
	Slack float64 `json:"slack"`
}

// Overage bounds how far teams may exceed their limits.
type Overage struct {
	// Window is the time over which requests are counted; 0 allows no overage.
	Window Duration `json:"window"`
	// Ratio is relative to what the limit allows per window.
	Ratio float64 `json:"ratio"`
	// Slack is the number of requests allowed per window beyond Ratio.
	Slack float64 `json:"slack"`
}

// Cold bounds the requests that a cold target gets in any second. Ratio is relative to
// the rate that the target's service declares, and Slack is added to it. A Ratio of 0
// enforces no bound.
type Cold struct {
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

const (
	// maxColdRatio and maxColdSlack bound Cold: a target that bears more while it is
	// cold needs no bound.
	maxColdRatio = 100
	maxColdSlack = 10_000
)

// PaceFound is the value of Settings.Pace for which the target's answers decide.
const PaceFound = "found"

// Duration is a duration in settings, such as "2s" or "1500ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler; an empty text means 0.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		d.Duration = 0
		return nil
	}
	value, err := time.ParseDuration(string(text))
	d.Duration = value
	return err
}

// The values of Settings.Links.
const (
	LinksTLS   = "tls"
	LinksPlain = "plain"
)

// The values of Settings.Rule.
const (
	RuleAIMD     = "aimd"
	RuleGradient = "gradient"
	RuleStatic   = "static"
)

// PlacementFinish is the value of Settings.Placement other than the empty one.
const PlacementFinish = "finish"

// SheddingChains is a value of Settings.Shedding.
const SheddingChains = "chains"

// WaitingObjective is a value of Settings.Waiting.
const WaitingObjective = "objective"

// The values that Default uses.
const (
	defaultListen      = "127.0.0.1:7400"
	defaultPeer        = "127.0.0.1:7401"
	defaultAdmin       = "127.0.0.1:7402"
	defaultConnections = 200
	defaultSecret      = "embedded default, loopback only"
)

// Default returns settings for a complete system of one node on loopback.
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

// SecretBytes returns the fleet secret; nil for plain links.
func (s *Settings) SecretBytes() []byte { return s.secret }

// Load reads and checks a settings file and, unless links are plain, the secret
// file that it names.
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

// applySameport replaces the ports of seeds and replicas by the port of Peer if
// Sameport is set.
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

// check reports the first invalid setting at its place in the file.
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
	for i, centre := range s.Centres {
		if centre == "" {
			return d.Problem(fmt.Sprintf("centres/%d", i), "is empty; the name of a data centre would be right")
		}
	}
	lists := map[string][]string{"seeds": s.Seeds, "replicas": s.Replicas}
	for _, name := range []string{"seeds", "replicas"} {
		for i, address := range lists[name] {
			if err := checkAddress(d, fmt.Sprintf("%s/%d", name, i), address); err != nil {
				return err
			}
		}
	}
	if err := s.checkCallers(d); err != nil {
		return err
	}
	return s.checkValues(d)
}

// checkListeners checks the addresses of this node, which must differ, and
// Links. Only Peer is always required; Listen and Admin are required unless
// Interface is set.
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

// checkValues checks the settings that aren't names or addresses, and that the
// node has a way to join.
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
		return d.Problem("tolerance", "is %d, and %d replicas tolerate the loss of %d; name %d replicas, or set heal", s.Tolerance, n, healer.ToleratedLosses(n), healer.RequiredReplicas(s.Tolerance))
	}
	if s.Connections < 1 || s.Connections > 100_000 {
		return d.Problem("connections", "is %d; 1 to 100000 would be right", s.Connections)
	}
	if !slices.Contains([]string{RuleAIMD, RuleGradient, RuleStatic}, s.Rule) {
		return d.Problem("rule", "is %q; aimd, gradient or static would be right", s.Rule)
	}
	if s.Placement != "" && s.Placement != PlacementFinish {
		return d.Problem("placement", "is %q; finish, or nothing, would be right", s.Placement)
	}
	if s.Shedding != "" && s.Shedding != SheddingChains {
		return d.Problem("shedding", "is %q; %s, or empty, would be right", s.Shedding, SheddingChains)
	}
	if s.Waiting != "" && s.Waiting != WaitingObjective {
		return d.Problem("waiting", "is %q; %s, or empty, would be right", s.Waiting, WaitingObjective)
	}
	if !(s.Cold.Ratio >= 0 && s.Cold.Ratio <= maxColdRatio) {
		return d.Problem("cold/ratio", "is %v; 0 to %d would be right (0 enforces no bound)", s.Cold.Ratio, maxColdRatio)
	}
	if !(s.Cold.Slack >= 0 && s.Cold.Slack <= maxColdSlack) {
		return d.Problem("cold/slack", "is %v; 0 to %d requests would be right", s.Cold.Slack, maxColdSlack)
	}
	if s.Pace != "" && s.Pace != PaceFound {
		return d.Problem("pace", "is %q; %s, or nothing for a fixed time after a start, would be right", s.Pace, PaceFound)
	}
	if len(s.Seeds) == 0 && !slices.Contains(s.Replicas, s.Peer) {
		return d.Problem("seeds", "is empty and peer is not among the replicas; name at least one peer address to join by")
	}
	return nil
}

// readSecret reads the secret file without surrounding white space.
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

// Reload returns a copy of the settings in which the values that may change while
// the daemon runs are taken from newer: seeds, replicas, data centres, the own target
// and bounds.
func (s *Settings) Reload(newer *Settings) *Settings {
	next := *s
	next.Seeds, next.Replicas, next.Centres = newer.Seeds, newer.Replicas, newer.Centres
	next.Grace, next.Drain, next.Contact = newer.Grace, newer.Drain, newer.Contact
	next.Retry, next.Overage, next.Cold = newer.Retry, newer.Overage, newer.Cold
	next.Target, next.Service = newer.Target, newer.Service
	return &next
}

// checkAddress requires an IP address and a port; it rejects host names.
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
