package checker

import (
	"fmt"
	"net"
	"slices"
	"sort"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// Finding is one likely mistake.
type Finding struct {
	// Field is the path of the value, such as routes/3/objective.
	Field string
	Text  string
}

// Check returns the findings in a valid declaration, in the order of its parts.
func Check(d *declarer.Declaration) []Finding {
	c := &checker{declaration: d}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	return c.findings
}

// checker collects findings.
type checker struct {
	declaration *declarer.Declaration
	findings    []Finding
}

func (c *checker) add(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Field: field, Text: fmt.Sprintf(format, args...)})
}

// checkRoutes finds routes that no request reaches, and times that contradict each other.
func (c *checker) checkRoutes() {
	routes := c.declaration.Routes
	for i := range routes {
		r, at := &routes[i], fmt.Sprintf("routes/%d", i)
		for j := range i {
			if shadows(&routes[j], r) {
				c.add(at, "route %s never matches: route %s, which stands before it, takes all its requests", r.Name, routes[j].Name)
				break
			}
		}
		if _, _, err := net.SplitHostPort(r.Host); err == nil {
			c.add(at+"/host", "is %q and never matches: the port of a request is left out", r.Host)
		}
		for k, m := range r.Methods {
			if m != strings.ToUpper(m) {
				c.add(fmt.Sprintf("%s/methods/%d", at, k), "is %q, and methods are compared with their case; %s is probably meant", m, strings.ToUpper(m))
			}
		}
		if strings.Contains(r.Path, "//") || strings.ContainsAny(r.Path, "?#") {
			c.add(at+"/path", "is %q; requests have no such path: a query is no part of it, and empty segments are rare", r.Path)
		}
		timeout := r.Timeout
		if timeout == 0 {
			timeout = declarer.DefaultTimeout
		}
		if r.Objective > timeout {
			c.add(at+"/objective", "is %d ms, and the request is given up after %d ms", r.Objective, timeout)
		}
		for k, s := range r.Split {
			if s.Weight == 0 {
				c.add(fmt.Sprintf("%s/split/%d", at, k), "service %s has weight 0 and gets nothing", s.Service)
			}
		}
		if r.Retries != nil && *r.Retries > 0 && r.Unsafe && !r.Idempotent {
			c.add(at+"/retries", "is %d, but a request that is not idempotent is sent again only if it has not run", *r.Retries)
		}
	}
}

// shadows reports whether the earlier of two routes takes all requests of the later one. A
// request goes to the longest path, to a route with its host before one without, and to the
// first of the routes that are equal in both.
func shadows(earlier, later *declarer.Route) bool {
	if !strings.EqualFold(earlier.Host, later.Host) || strings.TrimRight(earlier.Path, "/") != strings.TrimRight(later.Path, "/") {
		return false
	}
	if earlier.Exact && (!later.Exact || len(earlier.Path) > len(later.Path)) {
		return false
	}
	if len(earlier.Methods) == 0 {
		return true
	}
	if len(later.Methods) == 0 {
		return false
	}
	for _, m := range later.Methods {
		if !slices.Contains(earlier.Methods, m) {
			return false
		}
	}
	return true
}

// checkServices finds services that no route leads to.
func (c *checker) checkServices() {
	used := map[string]bool{}
	for i := range c.declaration.Routes {
		for _, s := range c.declaration.Routes[i].WeightedServices() {
			used[s.Service] = true
		}
	}
	for _, name := range sortedKeys(c.declaration.Services) {
		if !used[name] {
			c.add("services/"+name, "no route leads to it")
		}
	}
}

// checkTeams finds teams that cannot send anything.
func (c *checker) checkTeams() {
	for _, name := range c.declaration.TeamNames() {
		t, at := c.declaration.Teams[name], "teams/"+name
		if len(t.Keys) == 0 {
			c.add(at+"/keys", "is empty, so that nobody can send as this team")
		}
		switch {
		case t.Free:
		case t.Rate == 0:
			c.add(at+"/rate", "is 0, so that every request of the team is refused")
		case t.Burst < t.Rate*burstSeconds:
			c.add(at+"/burst", "is %v, what a rate of %v/s gives in less than %v s: requests that come together are refused within the rate", t.Burst, t.Rate, burstSeconds)
		}
	}
}

// burstSeconds is the least time's worth of the rate that a burst should hold: nodes fetch
// tokens in batches, and requests arrive in clumps of about this length.
const burstSeconds = 0.1

// checkLimits finds limits of callers that contradict each other.
func (c *checker) checkLimits() {
	l := c.declaration.Limits
	head, idle := valueOr(l.Head, declarer.NodeHead), valueOr(l.Idle, declarer.NodeIdle)
	if (l.Head != 0 || l.Idle != 0) && head > idle {
		c.add("limits/head", "is %d ms, and a connection may be idle for %d ms only", head, idle)
	}
	if l.Header > declarer.NodeHeader {
		c.add("limits/header", "is %d bytes, and nodes refuse heads over %d bytes", l.Header, declarer.NodeHeader)
	}
	if l.Head > declarer.NodeHead {
		c.add("limits/head", "is %d ms, and nodes wait for a head for %d ms only", l.Head, declarer.NodeHead)
	}
}

func valueOr(value, other int64) int64 {
	if value == 0 {
		return other
	}
	return value
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
