// Package mapper holds the routing table of an instance in relay mode, which is made from one version of the operators'
// configuration of routes and services. It matches requests to routes by host and path prefix, and tells how each route
// is served. The packages receiver, relayer and sender look up routes and services in it; loading the configuration and
// sending requests are left to other packages.
package mapper

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service string
	// Weight is 0 or more. The weights of a route add up to more than 0.
	Weight float64
}

// Route describes how requests for one host and path prefix are served.
type Route struct {
	Name string
	// Host is the host name in lower case.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request is answered; 0 if the route has none.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value; 0 if the route has none.
	Objective time.Duration
	// MaxRuns is the maximum number of times that targets may run a caller's request, counted for each shard, or for the
	// selected service of a route without shards; at least 1. Refused and unsent requests do not count.
	MaxRuns int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Destinations are the services that share the requests. It is empty if, and only if, Shards is not.
	Destinations []Destination
	// Shards are the services that each contribute a part of the answer.
	Shards []string
	// TopRecords is the number of records in an answer merged from shards.
	TopRecords int
	// MinShardShare is the minimum share of the shards that must reply; a query fails below it.
	MinShardShare float64
	// AllowsAnonymous reports whether requests without an API key are allowed although tenants are configured.
	AllowsAnonymous bool
}

// IsSharded reports whether a request is sent to several shards and its answer merged from their replies.
func (r *Route) IsSharded() bool {
	return len(r.Shards) > 0
}

// MinParts returns the minimum number of shards that must reply for a query to succeed, at least 1.
func (r *Route) MinParts() int {
	n := len(r.Shards)
	for parts := 1; parts < n; parts++ {
		if float64(parts)/float64(n) >= r.MinShardShare {
			return parts
		}
	}
	return n
}

// SelectService returns the service for a request. All attempts of a caller with the same request ID get the same
// service, and requests are divided among the services in proportion to their weights.
func (r *Route) SelectService(requestID string) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, d := range r.Destinations {
		point -= d.Weight
		if point < 0 {
			return d.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// Service holds the limits that apply to all targets of a service.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that one target accepts from all instances together; 0 if
	// unknown.
	MaxConnections int
	// WarmupRate is the maximum number of requests per second to a cold target; 0 if it is not limited.
	WarmupRate float64
}

// Limits holds the limits on what a caller may send.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body; 0 if it is not limited.
	MaxBodyBytes int64
	// IdleTimeout is the maximum time that a connection of a caller may be idle; 0 if it is not limited.
	IdleTimeout time.Duration
}

// Table is the routing table of one version of the configuration. It is immutable.
type Table struct {
	encoded  encoder.RoutingTable
	services map[string]Service
	// hosts holds the routes by host in lower case, those with the longest prefix first.
	hosts  map[string][]*Route
	limits Limits
	// tenants is nil if none are configured.
	tenants *authenticator.Tenants
	// sharded holds the sharded routes, and destinations the services that are destinations of other routes.
	sharded      []*Route
	destinations map[string]bool
}

// New creates a table from its encoded form, or returns every problem of its routes.
func New(encoded encoder.RoutingTable) (*Table, []resolver.Problem) {
	t := &Table{encoded: encoded, services: make(map[string]Service, len(encoded.Services)), hosts: make(map[string][]*Route), destinations: make(map[string]bool)}
	t.limits = Limits{MaxBodyBytes: int64(encoded.Limits.BodyBytes), IdleTimeout: milliseconds(encoded.Limits.IdleMs)}
	for _, s := range encoded.Services {
		t.services[s.Name] = Service{Name: s.Name, MaxConnections: s.MaxConnections, WarmupRate: s.WarmupPerSecond}
	}
	var problems []resolver.Problem
	for i, w := range encoded.Routes {
		r := newRoute(w)
		if message := r.firstProblem(); message != "" {
			problems = append(problems, resolver.Problem{Path: fmt.Sprintf("$.routes[%d]", i), Message: message})
			continue
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		if r.IsSharded() {
			t.sharded = append(t.sharded, r)
		}
		for _, d := range r.Destinations {
			t.destinations[d.Service] = true
		}
	}
	if list := encoded.Tenants; list != nil && list.Configured {
		t.tenants = authenticator.New(list.Entries, func(path, message string) {
			problems = append(problems, resolver.Problem{Path: "$.tenants.entries" + path, Message: message})
		})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func newRoute(w encoder.Route) *Route {
	r := &Route{
		Name: w.Name, Host: strings.ToLower(w.Host), Prefix: w.Prefix, Idempotent: w.Idempotent,
		Timeout: milliseconds(w.TimeoutMs), Objective: milliseconds(w.ObjectiveMs), MaxRuns: max(w.MaxTargets, 1),
		Priority: w.Priority, Shards: w.Shards,
	}
	r.AllowsAnonymous = w.AllowAnonymous != nil && *w.AllowAnonymous
	if w.TopRecords != nil {
		r.TopRecords = *w.TopRecords
	}
	if w.LeastShare != nil {
		r.MinShardShare = *w.LeastShare
	}
	for _, d := range w.Destinations {
		r.Destinations = append(r.Destinations, Destination{Service: d.Service, Weight: d.Weight})
	}
	return r
}

// firstProblem returns a message on the first problem of the route; empty if there is none.
func (r *Route) firstProblem() string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case len(r.Destinations) > 0 && r.IsSharded():
		return "has both destinations and shards"
	case r.IsSharded() && r.hasDuplicateShard():
		return "contains a duplicate shard"
	case r.IsSharded() && !r.Idempotent:
		return "has shards but is not idempotent"
	case !r.IsSharded() && !r.hasWeight():
		return "has no destination with a weight above 0"
	}
	return ""
}

func (r *Route) hasDuplicateShard() bool {
	shards := slices.Clone(r.Shards)
	slices.Sort(shards)
	return len(slices.Compact(shards)) < len(r.Shards)
}

func (r *Route) hasWeight() bool {
	return slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Weight > 0 })
}

// Version returns the version, which rises with every change of the configuration.
func (t *Table) Version() int { return t.encoded.Version }

// Encoded returns the table as it is sent to other instances. It must not be modified.
func (t *Table) Encoded() encoder.RoutingTable { return t.encoded }

// Limits returns the limits on what a caller may send.
func (t *Table) Limits() Limits { return t.limits }

// Tenants returns the tenants; nil if none are configured, so that requests need no API key.
func (t *Table) Tenants() *authenticator.Tenants { return t.tenants }

// KnowsTenants reports whether the table states whether tenants are configured. One that an instance of an earlier
// version has passed on does not.
func (t *Table) KnowsTenants() bool { return t.encoded.Tenants != nil }

// Service returns the limits of a service. A service that is unknown has none; t may be nil, and then no service has
// any.
func (t *Table) Service(name string) Service {
	if t != nil {
		if s, found := t.services[name]; found {
			return s
		}
	}
	return Service{Name: name}
}

// ShardedRoutes returns the routes with shards. The slice must not be modified.
func (t *Table) ShardedRoutes() []*Route { return t.sharded }

// IsDestination reports whether a service is a destination of a route without shards.
func (t *Table) IsDestination(service string) bool { return t.destinations[service] }

// Match returns the route of the host with the longest matching path prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func (t *Table) routes(host string) []*Route {
	host = strings.ToLower(host)
	if routes, found := t.hosts[host]; found {
		return routes
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return t.hosts[name]
	}
	return nil
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
