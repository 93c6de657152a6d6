// Package server serves the admin API of an instance of either mode: a read-only HTTP API for its status, events and
// metrics. The command line and metrics scrapers use it. Keeping the events and totals is left to packages recorder and
// reporter, serving callers to packages caller/server and caller/receiver.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"apricotflow/internal/wire/encoder"
)

// Timeouts of the HTTP server. Requests have no body, and the largest reply, which has all events, is a few megabytes.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
)

// Events provides a copy of the events recorded after a clock value, oldest first, and the number of events
// overwritten so far.
type Events interface {
	Events(after int) ([]encoder.Event, int)
}

// Totals provides the current values of counters and gauges by name.
type Totals interface {
	Counters() map[string]int
	Gauges() map[string]float64
}

// Clock is the hybrid logical clock of the instance.
type Clock interface {
	Now() int
}

// Identity identifies the running instance.
type Identity struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	// Version is the version of the program.
	Version string
}

// Configuration describes the configuration in force on the instance.
type Configuration struct {
	// Generation is the generation of the manifest, or the version of the routing table of a relaying instance; 0 before
	// the first one.
	Generation int
	// Digest is the digest of the manifest; empty for a routing table.
	Digest string
	// Age is the time since the configuration came into force.
	Age time.Duration
	// PlatformAge is the time since the platform last answered this instance, or in relay mode since the state of its
	// store was last known to be current.
	PlatformAge time.Duration
}

// Server serves the admin API.
type Server struct {
	identity      Identity
	events        Events
	totals        Totals
	clock         Clock
	ready         func() bool
	configuration func() Configuration
	members       func() []encoder.MemberStatus
	targets       func() []encoder.TargetStatus
	quotas        func() []encoder.QuotaStatus
	// explain is nil without explanations.
	explain Explain
	http    *http.Server
}

// Option sets where a part of the status comes from.
type Option func(*Server)

// WithReady sets the function that reports whether the readiness check of the load balancer succeeds.
func WithReady(ready func() bool) Option {
	return func(s *Server) { s.ready = ready }
}

// WithConfiguration sets the function that returns the configuration in force.
func WithConfiguration(configuration func() Configuration) Option {
	return func(s *Server) { s.configuration = configuration }
}

// WithMembers sets the function that returns the known instances.
func WithMembers(members func() []encoder.MemberStatus) Option {
	return func(s *Server) { s.members = members }
}

// WithTargets sets the function that returns the status of the targets.
func WithTargets(targets func() []encoder.TargetStatus) Option {
	return func(s *Server) { s.targets = targets }
}

// Explain returns what would be done with a request now. The tenant and the id of the request may be empty.
type Explain func(host, path, tenant, requestID string) encoder.ExplainReply

// WithExplain sets the function that explains requests. Without it, as in native mode, there are no explanations.
func WithExplain(explain Explain) Option {
	return func(s *Server) { s.explain = explain }
}

// WithQuotas sets the function that returns the quotas of the busiest tenants.
func WithQuotas(quotas func() []encoder.QuotaStatus) Option {
	return func(s *Server) { s.quotas = quotas }
}

// New creates a server. Parts of the status without an option are empty, and the instance is then not ready.
func New(identity Identity, events Events, totals Totals, clock Clock, opts ...Option) *Server {
	s := &Server{
		identity:      identity,
		events:        events,
		totals:        totals,
		clock:         clock,
		ready:         func() bool { return false },
		configuration: func() Configuration { return Configuration{} },
		members:       func() []encoder.MemberStatus { return nil },
		targets:       func() []encoder.TargetStatus { return nil },
		quotas:        func() []encoder.QuotaStatus { return nil },
	}
	for _, o := range opts {
		o(s)
	}
	s.http = &http.Server{Handler: s.Handler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout}
	return s
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/status", s.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", s.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", s.serveExplain).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	r.NotFoundHandler = errorHandler(codeNotFound, "the paths are /v1/status, /v1/events, /v1/explain and /metrics")
	r.MethodNotAllowedHandler = errorHandler(codeReadOnly, "the admin API supports only GET")
	return r
}

// Serve serves requests on the listener until Stop is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &ServeError{Address: listener.Addr().String(), Cause: err}
	}
	return nil
}

// Stop closes the listener and waits for the requests in flight until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return &StopError{Cause: err}
	}
	return nil
}
