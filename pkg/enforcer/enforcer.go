// Package enforcer holds the configuration that is in force on this node. The
// version only ever goes up; a node with a data folder remembers it.
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

const chosenFile = "chosen"

// Interpreter reads a document in the format that operators of this fleet use.
// A fleet whose operators write declarations needs none.
type Interpreter func(document []byte) (*declarer.Declaration, error)

// Config is one version with its look-up tables. It never changes.
type Config struct {
	value       *control.Value
	declaration *declarer.Declaration
	teams       map[string]string
	routes      map[routeKey][]*declarer.Route
}

// place is where a route stands: a host, or none, and a path.
type routeKey struct{ host, path string }

// NewConfig builds the look-up tables of a value.
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

// Value is the register's value of this version.
func (c *Config) Value() *control.Value { return c.value }

// Version is the number of this version; 0 is the empty one.
func (c *Config) Version() uint64 { return c.value.GetVersion() }

// IsDeclared tells whether operators have declared anything in this version or
// before; the value that founds a fleet is empty.
func (c *Config) IsDeclared() bool {
	return len(c.value.GetDeclaration())+len(c.value.GetDocument()) > 0
}

// Declaration is what the operators declared.
func (c *Config) Declaration() *declarer.Declaration { return c.declaration }

// Team returns the team that a key hash belongs to.
func (c *Config) Team(hash []byte) (string, bool) {
	name, ok := c.teams[string(hash)]
	return name, ok
}

// LimitDomain is the part of the fleet that holds limits together: a data centre,
// or, under the empty name, the whole fleet when no data centre is declared.
func (c *Config) LimitDomain(centre string) string {
	if len(c.declaration.Centres) == 0 {
		return ""
	}
	return centre
}

// Witnesses are the instances that vote for the holders of a domain's limits.
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

// Revision is the number that the operator gave to this version; 0 when it
// was not applied as a document.
func (c *Config) Revision() uint64 { return c.value.GetRevision() }

// Route returns the route with the longest path that matches a request. Among
// equal paths a route that names the host goes first.
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

// Idempotent tells whether running a request twice does no harm.
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
	mu          sync.Mutex
	disk        storer.Disk
	interpret   Interpreter
	current     atomic.Pointer[Config]
	subscribers []func(*Config)

	// saving is held while the disk is written, saved is the version on it.
	saveMu       sync.Mutex
	savedVersion atomic.Uint64
}

// Open reads the version that was last in force; disk and interpret may be
// nil.
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

// Subscribe calls f with every version that comes into force from now on.
func (e *Enforcer) Subscribe(f func(*Config)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers = append(e.subscribers, f)
}

// Apply puts a chosen value into force if it is newer than the one in force, and
// then saves it. An error without effect is one of the value, any other one of
// the disk: the register holds the value at a majority of the replicas, so that no
// version waits for the disk of this one.
func (e *Enforcer) Apply(value *control.Value) (bool, error) {
	if activated, err := e.activate(value); !activated {
		return false, err
	}
	return true, e.save()
}

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

// save writes the version in force to the disk until that is the newest one. While
// another call does so, there is nothing to do.
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
