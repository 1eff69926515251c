// Package enforcer holds the configuration that is in force on this node. The
// version only ever goes up; a node with a data folder remembers it.
package enforcer

import (
	"errors"
	"fmt"
	"io/fs"
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

// Config is one version with its look-up tables. It never changes.
type Config struct {
	value       *control.Value
	declaration *declarer.Declaration
	teams       map[string]string
	routes      map[string][]*declarer.Route
}

// NewConfig builds the look-up tables of a value.
func NewConfig(value *control.Value) (*Config, error) {
	c := &Config{value: value, declaration: &declarer.Declaration{}}
	if len(value.Declaration) > 0 {
		d, err := declarer.Parse("declaration", value.Declaration)
		if err != nil {
			return nil, fmt.Errorf("version %d: %w", value.Version, err)
		}
		c.declaration = d
	}
	c.index()
	return c, nil
}

func (c *Config) index() {
	c.teams = map[string]string{}
	for name, t := range c.declaration.Teams {
		for _, k := range t.Keys {
			if hash, err := declarer.DecodeHash(k); err == nil {
				c.teams[string(hash)] = name
			}
		}
	}
	c.routes = map[string][]*declarer.Route{}
	for i := range c.declaration.Routes {
		r := &c.declaration.Routes[i]
		path := strings.TrimRight(r.Path, "/")
		c.routes[path] = append(c.routes[path], r)
	}
}

// Value is the register's value of this version.
func (c *Config) Value() *control.Value { return c.value }

// Version is the number of this version; 0 is the empty one.
func (c *Config) Version() uint64 { return c.value.GetVersion() }

// Declaration is what the operators declared.
func (c *Config) Declaration() *declarer.Declaration { return c.declaration }

// Team returns the team that a key hash belongs to.
func (c *Config) Team(hash []byte) (string, bool) {
	name, ok := c.teams[string(hash)]
	return name, ok
}

// Route returns the route with the longest path that matches a request.
func (c *Config) Route(method, path string) *declarer.Route {
	path = strings.TrimRight(path, "/")
	for {
		for _, r := range c.routes[path] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r
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
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Idempotent
}

// Enforcer holds the version in force.
type Enforcer struct {
	mu      sync.Mutex
	disk    storer.Disk
	current atomic.Pointer[Config]
	hear    []func(*Config)
}

// Open reads the version that was last in force; disk may be nil.
func Open(disk storer.Disk) (*Enforcer, error) {
	e := &Enforcer{disk: disk}
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
	c, err := NewConfig(value)
	if err != nil {
		return nil, err
	}
	e.current.Store(c)
	return e, nil
}

// Current returns the version in force.
func (e *Enforcer) Current() *Config { return e.current.Load() }

// Subscribe calls f with every version that comes into force from now on.
func (e *Enforcer) Subscribe(f func(*Config)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hear = append(e.hear, f)
}

// Offer puts a chosen value into force if it is newer than the one in force.
func (e *Enforcer) Offer(value *control.Value) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if value.GetVersion() <= e.Current().Version() {
		return false, nil
	}
	c, err := NewConfig(value)
	if err != nil {
		return false, err
	}
	diskErr := e.save(value)
	e.current.Store(c)
	for _, f := range e.hear {
		f(c)
	}
	return true, diskErr
}

// save remembers the value. A full disk does not keep a version from coming
// into force: the register holds it at a majority of the replicas.
func (e *Enforcer) save(value *control.Value) error {
	if e.disk == nil {
		return nil
	}
	raw, err := proto.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode chosen value: %w", err)
	}
	return e.disk.Write(chosenFile, raw)
}
