// Package mapper holds the routing table of one version of the configuration: which route a request takes, and how the
// route is served.
package mapper

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string
	// Weight is not negative, and the weights of a route add up to more than 0.
	Weight float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting; 0 if the route has none.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; 0 if the route has none.
	Objective time.Duration
	// MaxTargets is at least 1.
	MaxTargets int
	// Priority ranks the requests; 0 is the highest.
	Priority int
	// Destinations is empty exactly when Shards is not.
	Destinations []Destination
	// Shards are the services of which each contributes a part of the answer.
	Shards []string
	// TopRecords is the number of records in an answer that is merged from shards.
	TopRecords int
	// LeastShare is the share of the shards without which a query fails.
	LeastShare float64
}

// Scattered reports whether the answer is merged from shards.
func (r *Route) Scattered() bool {
	return len(r.Shards) > 0
}

// LeastParts returns the number of parts without which a query over shards fails, at least 1.
func (r *Route) LeastParts() int {
	n := len(r.Shards)
	for least := 1; least < n; least++ {
		if float64(least)/float64(n) >= r.LeastShare {
			return least
		}
	}
	return n
}

// Destination returns the service of a request. All attempts with the same request id get the same service, and
// the services get the shares of their weights.
func (r *Route) Destination(requestID string) string {
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

// Service is what holds for all targets of a service.
type Service struct {
	Name string
	// MaxConnections is what one target accepts from all instances together; 0 if unknown.
	MaxConnections int
	// WarmupRate is the number of requests per second that a cold target bears; 0 if it is not limited.
	WarmupRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is 0 if bodies are not limited.
	BodyBytes int64
	// Idle is the longest time that a caller may leave a connection idle; 0 if it is not limited.
	Idle time.Duration
}

// Table is one version of the routing configuration; it never changes.
type Table struct {
	wire     encoder.RoutingTable
	services map[string]Service
	// hosts holds the routes of each host, those with the longest prefix first.
	hosts  map[string][]*Route
	limits Limits
}

// New creates a table, or reports every problem of it.
func New(wire encoder.RoutingTable) (*Table, []resolver.Problem) {
	t := &Table{wire: wire, services: make(map[string]Service, len(wire.Services)), hosts: make(map[string][]*Route)}
	t.limits = Limits{BodyBytes: int64(wire.Limits.BodyBytes), Idle: milliseconds(wire.Limits.IdleMs)}
	for _, s := range wire.Services {
		t.services[s.Name] = Service{Name: s.Name, MaxConnections: s.MaxConnections, WarmupRate: s.WarmupPerSecond}
	}
	var problems []resolver.Problem
	for i, w := range wire.Routes {
		r := newRoute(w)
		if message := r.problem(); message != "" {
			problems = append(problems, resolver.Problem{Path: fmt.Sprintf("$.routes[%d]", i), Message: message})
			continue
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
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
		Timeout: milliseconds(w.TimeoutMs), Objective: milliseconds(w.ObjectiveMs), MaxTargets: max(w.MaxTargets, 1),
		Priority: w.Priority, Shards: w.Shards,
	}
	if w.TopRecords != nil {
		r.TopRecords = *w.TopRecords
	}
	if w.LeastShare != nil {
		r.LeastShare = *w.LeastShare
	}
	for _, d := range w.Destinations {
		r.Destinations = append(r.Destinations, Destination{Service: d.Service, Weight: d.Weight})
	}
	return r
}

func (r *Route) problem() string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)
	case len(r.Destinations) > 0 && r.Scattered():
		return "has both destinations and shards"
	case r.Scattered() && r.hasDuplicateShard():
		return "names a shard twice"
	case r.Scattered() && !r.Idempotent:
		return "queries over shards must be idempotent"
	case !r.Scattered() && !r.weighted():
		return "has no destination with a weight above 0"
	}
	return ""
}

func (r *Route) hasDuplicateShard() bool {
	shards := slices.Clone(r.Shards)
	slices.Sort(shards)
	return len(slices.Compact(shards)) < len(r.Shards)
}

func (r *Route) weighted() bool {
	return slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Weight > 0 })
}

// Version rises with every change of the configuration.
func (t *Table) Version() int { return t.wire.Version }

// Wire returns the table as it is sent to other instances; it must not be changed.
func (t *Table) Wire() encoder.RoutingTable { return t.wire }

// Limits returns the bounds of what a caller may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what holds for a service; an unknown one, or any one without a table, has no limits.
func (t *Table) Service(name string) Service {
	if t != nil {
		if s, found := t.services[name]; found {
			return s
		}
	}
	return Service{Name: name}
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.wire.Routes) }

// Match returns the route with the longest prefix that begins the path, among those of the host.
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
