// Package enforcer holds the configuration in force on this node. Its version never
// decreases. A node with a data folder saves it there and starts with it.
package enforcer

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/storer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// chosenFile is the file of the data folder that holds the last value in force.
const chosenFile = "chosen"

// Interpreter parses a document in the format that the operators of a fleet use.
// A fleet whose operators write declarations directly needs none.
type Interpreter func(document []byte) (*declarer.Declaration, error)

// Config is one version of the configuration with its look-up tables. It is
// immutable.
type Config struct {
	value       *control.Value
	declaration *declarer.Declaration
	// teams maps a key hash to the name of its team.
	teams  map[string]string
	routes map[routeKey][]*declarer.Route
	// drained holds the names of the drained data centres.
	drained map[string]bool
}

// routeKey is the host, in lower case or empty for any, and the path without
// trailing slashes of a route.
type routeKey struct{ host, path string }

// NewConfig parses the document or declaration of a value and builds its look-up
// tables.
func NewConfig(value *control.Value, interpret Interpreter) (*Config, error) {
	c := &Config{value: value, declaration: &declarer.Declaration{}}
	switch {
	case len(value.Document) > 0 && interpret != nil:
		d, err := interpret(value.Document)
		if err != nil {
			return nil, fmt.Errorf("version %d: %w", value.Version, err)
		}
		c.declaration = d
	case len(value.Declaration) > 0:
		d, err := declarer.Parse("declaration", value.Declaration)
		if err != nil {
			return nil, fmt.Errorf("version %d: %w", value.Version, err)
		}
		c.declaration = d
	}
	c.buildTables()
	return c, nil
}

func (c *Config) buildTables() {
	c.drained = map[string]bool{}
	for _, d := range c.value.GetDrains() {
		c.drained[d.Centre] = true
	}
	c.teams = map[string]string{}
	for name, t := range c.declaration.Teams {
		for _, k := range t.Keys {
			if hash, err := declarer.DecodeHash(k); err == nil {
				c.teams[string(hash)] = name
			}
		}
	}
	c.routes = map[routeKey][]*declarer.Route{}
	for i := range c.declaration.Routes {
		r := &c.declaration.Routes[i]
		key := routeKey{strings.ToLower(r.Host), strings.TrimRight(r.Path, "/")}
		c.routes[key] = append(c.routes[key], r)
	}
}

// Value returns the register's value of this version.
func (c *Config) Value() *control.Value { return c.value }

// Version returns the version number; 0 means that no version is in force yet.
func (c *Config) Version() uint64 { return c.value.GetVersion() }

// Drained reports whether no request may be sent to the targets of a data centre.
func (c *Config) Drained(centre string) bool { return c.drained[centre] }

// Drains returns the drained data centres, sorted by name.
func (c *Config) Drains() []*control.Drain { return c.value.GetDrains() }

// IsDeclared reports whether this version holds anything that operators have
// declared. The value that founds a fleet holds nothing.
func (c *Config) IsDeclared() bool {
	return len(c.value.GetDeclaration())+len(c.value.GetDocument()) > 0
}

// Declaration returns the parsed declaration, which is empty before the first one.
func (c *Config) Declaration() *declarer.Declaration { return c.declaration }

// Team returns the team that a key hash belongs to.
func (c *Config) Team(hash []byte) (string, bool) {
	name, ok := c.teams[string(hash)]
	return name, ok
}

// LimitDomain returns the name of the part of the fleet that shares limits: the
// given data centre or, if no data centre is declared, the whole fleet, which has
// the empty name.
func (c *Config) LimitDomain(centre string) string {
	if len(c.declaration.Centres) == 0 {
		return ""
	}
	return centre
}

// Witnesses returns the instances that vote for the holders of a domain's limits:
// the declared witnesses of the data centre or, if no data centre is declared, the
// instances of the replicas.
func (c *Config) Witnesses(domain string) []string {
	if len(c.declaration.Centres) > 0 {
		return c.declaration.Centres[domain].Witnesses
	}
	var names []string
	for _, m := range c.value.GetReplicas() {
		names = append(names, m.Instance)
	}
	return names
}

// Revision returns the number that the operator gave to the last applied document;
// 0 if none was applied.
func (c *Config) Revision() uint64 { return c.value.GetRevision() }

// Route returns the matching route with the longest path, or nil. Among equal paths,
// a route that names the host takes precedence.
func (c *Config) Route(host, method, path string) *declarer.Route {
	fullPath := path
	path = strings.TrimRight(path, "/")
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for {
		for _, key := range []routeKey{{host, path}, {"", path}} {
			for _, r := range c.routes[key] {
				if r.Exact && !strings.HasPrefix(fullPath, r.Path) {
					continue
				}
				if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
					return r
				}
			}
		}
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

// Idempotent reports whether it is safe to execute a request twice.
func Idempotent(r *declarer.Route, method string) bool {
	if r.Unsafe {
		return r.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Idempotent
}

// Enforcer holds the version in force.
type Enforcer struct {
	// mu guards subscribers. It is held while a version comes into force and the
	// subscribers are called, so they must not call Apply or Subscribe.
	mu          sync.Mutex
	disk        storer.Disk
	interpret   Interpreter
	current     atomic.Pointer[Config]
	subscribers []func(*Config)

	// saveMu is held while the disk is written.
	saveMu sync.Mutex
	// savedVersion is the version on the disk.
	savedVersion atomic.Uint64
}

// Open puts the version on the disk into force, if there is one. disk and interpret
// may be nil.
func Open(disk storer.Disk, interpret Interpreter) (*Enforcer, error) {
	e := &Enforcer{disk: disk, interpret: interpret}
	e.current.Store(&Config{value: &control.Value{}, declaration: &declarer.Declaration{}})
	if disk == nil {
		return e, nil
	}
	raw, err := disk.Read(chosenFile)
	if errors.Is(err, fs.ErrNotExist) {
		return e, nil
	}
	if err != nil {
		return nil, err
	}
	value := &control.Value{}
	if err := proto.Unmarshal(raw, value); err != nil {
		return nil, fmt.Errorf("decode chosen value: %w", err)
	}
	c, err := NewConfig(value, e.interpret)
	if err != nil {
		return nil, err
	}
	e.current.Store(c)
	e.savedVersion.Store(c.Version())
	return e, nil
}

// Current returns the version in force.
func (e *Enforcer) Current() *Config { return e.current.Load() }

// Subscribe registers f to be called with every version that comes into force from
// now on.
func (e *Enforcer) Subscribe(f func(*Config)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers = append(e.subscribers, f)
}

// Apply puts a chosen value into force if it is newer than the one in force, and
// then saves it. It reports whether the value came into force. An error with false
// means that the value cannot be parsed; an error with true means that it could not
// be saved. A version comes into force without waiting for this node's disk, since a
// majority of the replicas holds it.
func (e *Enforcer) Apply(value *control.Value) (bool, error) {
	if activated, err := e.activate(value); !activated {
		return false, err
	}
	return true, e.save()
}

// activate puts a newer value into force and calls the subscribers.
func (e *Enforcer) activate(value *control.Value) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if value.GetVersion() <= e.Current().Version() {
		return false, nil
	}
	c, err := NewConfig(value, e.interpret)
	if err != nil {
		return false, err
	}
	e.current.Store(c)
	for _, f := range e.subscribers {
		f(c)
	}
	return true, nil
}

// save writes the version in force to the disk, and repeats this if a newer one came
// into force meanwhile. If another call is writing, it returns nil at once and
// leaves this version to that call. If that write fails, the version stays unsaved
// until the next one.
func (e *Enforcer) save() error {
	if e.disk == nil {
		return nil
	}
	for e.savedVersion.Load() < e.Current().Version() {
		if !e.saveMu.TryLock() {
			return nil
		}
		err := e.write(e.Current().Value())
		e.saveMu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *Enforcer) write(value *control.Value) error {
	raw, err := proto.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode chosen value: %w", err)
	}
	if err := e.disk.Write(chosenFile, raw); err != nil {
		return err
	}
	e.savedVersion.Store(value.Version)
	return nil
}
