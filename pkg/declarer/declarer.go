// Package declarer defines what operators declare: data centres, teams with the
// hashes of their keys, limits, and routes. Operators keep a declaration in
// version control, so it never contains a key.
package declarer

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/decoder"
)

const (
	// MaxRate bounds the rate of a team, in requests per second, and its burst,
	// in requests.
	MaxRate = 10_000_000
	// MaxRetries bounds the retries for one root request.
	MaxRetries = 10
	// DefaultRetries applies to routes that don't declare retries.
	DefaultRetries = 3
	// DefaultTimeout, in milliseconds, applies to routes that don't declare a
	// timeout.
	DefaultTimeout = 10_000
	// MaxTimeout bounds the timeout of a route, in milliseconds.
	MaxTimeout = 3_600_000
	// NodeHeader, in bytes, and NodeHead and NodeIdle, in milliseconds, are what nodes
	// themselves allow for the headers of a request, the time to read them and the time
	// between two requests, whatever Limits declares.
	NodeHeader = 32 << 10
	NodeHead   = 10_000
	NodeIdle   = 75_000
	// MaxCold bounds the rate of a cold target, in requests per second; the node beside
	// a target keeps the time of each request of the last second.
	MaxCold = 100_000
	// MaxWarmup bounds how long a target is cold after a start, in milliseconds.
	MaxWarmup = 3_600_000
)

// Declaration is everything that operators declare. The zero value is a valid
// declaration that serves nothing.
type Declaration struct {
	// Centres maps each data centre to its witnesses and share. Without any,
	// each limit has one holder for the whole fleet, and the replicas are the
	// witnesses.
	Centres map[string]Centre `json:"centres"`
	Teams   map[string]Team   `json:"teams"`
	Routes  []Route           `json:"routes"`
	// Services describes the targets of services by the service's name.
	Services map[string]Service `json:"services,omitempty"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits,omitzero"`
}

// Service describes the targets of a service.
type Service struct {
	// Health is the path of the health check; empty when there is none.
	Health string `json:"health,omitempty"`
	// Connections is how many connections one target accepts in total; 0 if
	// unknown.
	Connections int `json:"connections,omitempty"`
	// Cold is how many requests per second a cold target can handle; 0 if not stated.
	Cold float64 `json:"cold,omitempty"`
	// Warmup is how long a target is cold after a start, in milliseconds; 0 if not
	// stated. A target that reports how long it stays cold overrides it.
	Warmup int64 `json:"warmup,omitempty"`
}

// Limits bound what callers may send; 0 selects the daemon's default.
type Limits struct {
	// Header bounds the request line and headers of a request, in bytes.
	Header int64 `json:"header,omitempty"`
	// Body bounds the body of a request, in bytes.
	Body int64 `json:"body,omitempty"`
	// Head bounds the time in which a caller sends the request line and headers,
	// in milliseconds.
	Head int64 `json:"head,omitempty"`
	// Idle bounds the time between two requests on a connection, in
	// milliseconds.
	Idle int64 `json:"idle,omitempty"`
}

// Centre is a data centre.
type Centre struct {
	// Witnesses are the instances that elect the holder of the token buckets.
	Witnesses []string `json:"witnesses"`
	// Share is the data centre's weight when limits are divided; 0 counts as 1.
	Share float64 `json:"share,omitempty"`
}

// Team is a group of callers with its keys and limit.
type Team struct {
	// Keys are SHA-256 hashes of keys, as printed by "primrose key give".
	Keys []string `json:"keys"`
	// Rate is the limit of the whole fleet in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the limit of a burst over the whole fleet, in requests.
	Burst float64 `json:"burst"`
	// Priority takes precedence over the route's; 0 is the highest, nil the
	// lowest.
	Priority *int `json:"priority,omitempty"`
	// Free is set for teams without a limit; their rate and burst are 0.
	Free bool `json:"free,omitempty"`
}

// Route maps requests to a service and states how they are served.
type Route struct {
	// Name is unique among the routes.
	Name string `json:"name"`
	// Methods are the methods that match; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Path is a prefix that matches whole path segments.
	Path string `json:"path"`
	// Host is the host that matches; empty matches all.
	Host string `json:"host,omitempty"`
	// Service serves the requests, unless Split is set.
	Service string `json:"service,omitempty"`
	// Split divides the requests among services by weight.
	Split []WeightedService `json:"split,omitempty"`
	// Priority orders requests under overload; 0 is the highest, and nil stands
	// for the priority that Important implies.
	Priority *int `json:"priority,omitempty"`
	// Objective is the latency, in milliseconds, up to which a response has its
	// full value.
	Objective int64 `json:"objective,omitempty"`
	// Exact requires that a request contains a slash at the end of Path, too.
	Exact bool `json:"exact,omitempty"`
	// Unsafe makes Idempotent alone decide whether a request is idempotent,
	// whatever its method.
	Unsafe bool `json:"unsafe,omitempty"`
	// Important raises the priority of the requests if Priority is nil.
	Important bool `json:"important,omitempty"`
	// Open accepts requests without a key.
	Open bool `json:"open,omitempty"`
	// Idempotent states that a request may run more than once without harm.
	// Unless Unsafe is set, GET, HEAD and OPTIONS are idempotent in any case.
	Idempotent bool `json:"idempotent,omitempty"`
	// Retries bounds the retries for one root request over the whole call chain.
	Retries *uint32 `json:"retries,omitempty"`
	// Timeout is in milliseconds; 0 means DefaultTimeout.
	Timeout int64 `json:"timeout,omitempty"`
}

// RetryCount returns the number of retries of a root request on this route.
func (r *Route) RetryCount() uint32 {
	if r.Retries == nil {
		return DefaultRetries
	}
	return *r.Retries
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

const (
	// priorityCount is the number of distinct priorities; larger numbers count
	// as the last one.
	priorityCount = 4
	// ImportantPriority and OrdinaryPriority are the priorities of routes that
	// declare none, with and without Important.
	ImportantPriority = 1
	OrdinaryPriority  = 2
	// MaxRank is the maximum result of Rank.
	MaxRank = priorityCount*priorityCount - 1
)

// Rank returns the rank under overload of a team's requests on a route: requests
// of a higher rank are shed later. The team's priority takes precedence over the
// route's. A nil team has the lowest priority.
func Rank(t *Team, r *Route) uint32 {
	route := OrdinaryPriority
	switch {
	case r.Priority != nil:
		route = *r.Priority
	case r.Important:
		route = ImportantPriority
	}
	team := priorityCount - 1
	if t != nil && t.Priority != nil {
		team = *t.Priority
	}
	return uint32(invertPriority(team)*priorityCount + invertPriority(route))
}

// invertPriority maps the priority 0 to the highest number.
func invertPriority(priority int) int {
	return priorityCount - 1 - min(max(priority, 0), priorityCount-1)
}

// WeightedServices returns the services of a route with their weights.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Parse reads a declaration and checks it.
func Parse(file string, source []byte) (*Declaration, error) {
	d, _, err := ParseDocument(file, source)
	return d, err
}

// ParseDocument is like Parse, and also returns the document, which knows positions.
func ParseDocument(file string, source []byte) (*Declaration, *decoder.Document, error) {
	d := &Declaration{}
	document, err := decoder.Decode(file, source, d)
	if err != nil {
		return nil, nil, err
	}
	if err := d.check(document); err != nil {
		return nil, nil, err
	}
	return d, document, nil
}

// FieldError reports an invalid field of a declaration.
type FieldError struct{ Field, Text string }

// Error implements error.
func (e *FieldError) Error() string { return e.Field + " " + e.Text }

// problemReporter creates the error for an invalid field.
type problemReporter interface {
	Problem(field, format string, args ...any) error
}

// fieldErrors reports fields without a position in a file.
type fieldErrors struct{}

// Problem implements problemReporter.
func (fieldErrors) Problem(field, format string, args ...any) error {
	return &FieldError{Field: field, Text: fmt.Sprintf(format, args...)}
}

// Check checks a declaration that was not parsed from a file.
func (d *Declaration) Check() error { return d.check(fieldErrors{}) }

// Canonical returns the declaration as JSON with a fixed order of fields and
// keys.
func (d *Declaration) Canonical() ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode declaration: %w", err)
	}
	return text, nil
}

func (d *Declaration) check(doc problemReporter) error {
	for name, c := range d.Centres {
		at := "centres/" + name
		if len(c.Witnesses) == 0 {
			return doc.Problem(at+"/witnesses", "is empty; name one, three or five instances")
		}
		if c.Share < 0 {
			return doc.Problem(at+"/share", "is %v; a weight of 0 or more would be right (0 counts as 1)", c.Share)
		}
	}
	if err := d.checkTeams(doc); err != nil {
		return err
	}
	if err := d.checkServices(doc); err != nil {
		return err
	}
	return d.checkRoutes(doc)
}

// checkServices checks the services in the order of their names. The comparison with
// Cold is negated so that it rejects a value that is not a number.
func (d *Declaration) checkServices(doc problemReporter) error {
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		s := d.Services[name]
		at := "services/" + name
		if !(s.Cold >= 0 && s.Cold <= MaxCold) {
			return doc.Problem(at+"/cold", "is %v; 0 to %d requests per second would be right (0 states nothing)", s.Cold, MaxCold)
		}
		if s.Warmup < 0 || s.Warmup > MaxWarmup {
			return doc.Problem(at+"/warmup", "is %d; 0 to %d milliseconds would be right (0 states nothing)", s.Warmup, MaxWarmup)
		}
	}
	return nil
}

func (d *Declaration) checkTeams(doc problemReporter) error {
	keyOwners := map[string]string{}
	for _, name := range d.TeamNames() {
		t := d.Teams[name]
		at := "teams/" + name
		if name == "" || strings.ContainsAny(name, "/ \t\n") {
			return doc.Problem(at, "is no team name; letters, digits, dots and dashes would be right")
		}
		if t.Rate < 0 || t.Rate > MaxRate {
			return doc.Problem(at+"/rate", "is %v; 0 to %d requests per second would be right", t.Rate, MaxRate)
		}
		if t.Burst < 0 || t.Burst > MaxRate {
			return doc.Problem(at+"/burst", "is %v; 0 to %d requests would be right", t.Burst, MaxRate)
		}
		if t.Rate > 0 && t.Burst < 1 {
			return doc.Problem(at+"/burst", "is %v with a rate of %v; at least 1 would be right, or nothing is ever admitted", t.Burst, t.Rate)
		}
		for i, k := range t.Keys {
			keyPath := fmt.Sprintf("%s/keys/%d", at, i)
			if !ValidHash(k) {
				return doc.Problem(keyPath, "is no key hash; take the sha256:... that \"primrose key give\" prints (never the key itself)")
			}
			if other, ok := keyOwners[k]; ok {
				return doc.Problem(keyPath, "also stands in team %s; a key belongs to one team", other)
			}
			keyOwners[k] = name
		}
	}
	return nil
}

func (d *Declaration) checkRoutes(doc problemReporter) error {
	names := map[string]bool{}
	for i, r := range d.Routes {
		at := fmt.Sprintf("routes/%d", i)
		switch {
		case r.Name == "":
			return doc.Problem(at+"/name", "is empty; a short name of one word would be right")
		case names[r.Name]:
			return doc.Problem(at+"/name", "%q stands twice; names tell routes apart", r.Name)
		case !strings.HasPrefix(r.Path, "/"):
			return doc.Problem(at+"/path", "is %q; a path that begins with / would be right", r.Path)
		case r.Service == "" && len(r.Split) == 0:
			return doc.Problem(at+"/service", "is empty; the name that its targets announce would be right")
		case r.Service != "" && len(r.Split) > 0:
			return doc.Problem(at+"/split", "stands beside service; one of them would be right")
		case len(r.Split) > 0 && !validSplit(r.Split):
			return doc.Problem(at+"/split", "weights must not be negative and must not add up to 0")
		case r.Retries != nil && *r.Retries > MaxRetries:
			return doc.Problem(at+"/retries", "is %d; 0 to %d would be right", *r.Retries, MaxRetries)
		case r.Timeout < 0 || r.Timeout > MaxTimeout:
			return doc.Problem(at+"/timeout", "is %d; 1 to %d milliseconds would be right, or 0 for the default of %d", r.Timeout, MaxTimeout, DefaultTimeout)
		}
		names[r.Name] = true
	}
	return nil
}

// validSplit requires services with names and weights of which at least one is
// above 0 and none is negative.
func validSplit(parts []WeightedService) bool {
	total := 0
	for _, p := range parts {
		if p.Service == "" || p.Weight < 0 {
			return false
		}
		total += p.Weight
	}
	return total > 0
}

// TeamNames returns the names of all teams, sorted.
func (d *Declaration) TeamNames() []string {
	names := make([]string, 0, len(d.Teams))
	for name := range d.Teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// TotalRate returns the sum of the rates of all teams, in requests per second.
func (d *Declaration) TotalRate() float64 {
	sum := 0.0
	for _, t := range d.Teams {
		sum += t.Rate
	}
	return sum
}

// Share returns the fraction of every limit that a data centre gets: 1 if no data
// centres are declared, and 0 for one that is not declared. The shares of the
// declared data centres add up to 1.
func (d *Declaration) Share(centre string) float64 {
	if len(d.Centres) == 0 {
		return 1
	}
	c, ok := d.Centres[centre]
	if !ok {
		return 0
	}
	total := 0.0
	for _, other := range d.Centres {
		total += centreWeight(other)
	}
	return centreWeight(c) / total
}

func centreWeight(c Centre) float64 {
	if c.Share == 0 {
		return 1
	}
	return c.Share
}

// HashKey returns the hash of a key as a declaration contains it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
}

// hashPrefix names the algorithm of a key's hash.
const hashPrefix = "sha256:"

// ValidHash reports whether text has the form that HashKey returns.
func ValidHash(text string) bool {
	_, err := DecodeHash(text)
	return err == nil
}

// DecodeHash returns the bytes of a key's hash.
func DecodeHash(text string) ([]byte, error) {
	rest, ok := strings.CutPrefix(text, hashPrefix)
	if !ok {
		return nil, fmt.Errorf("hash %q does not begin with %s", text, hashPrefix)
	}
	sum, err := base64.RawURLEncoding.DecodeString(rest)
	if err != nil || len(sum) != sha256.Size {
		return nil, fmt.Errorf("hash %q is not %d bytes in base64", text, sha256.Size)
	}
	return sum, nil
}

// EncodeHash is the inverse of DecodeHash.
func EncodeHash(sum []byte) string {
	return hashPrefix + base64.RawURLEncoding.EncodeToString(sum)
}
