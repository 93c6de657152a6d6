// Package server is the read-only HTTP interface for operators: status, events and metrics.
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

// Time limits of the HTTP server. Requests have no body, and the largest reply, all events, has a few megabytes.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
)

// Events provides a copy of the recorded events after a clock value, oldest first, and the number of those dropped
// so far.
type Events interface {
	Events(after int) ([]encoder.Event, int)
}

// Totals provides the counters and gauges by name.
type Totals interface {
	Counters() map[string]int
	Gauges() map[string]float64
}

// Clock provides the hybrid logical clock of the instance.
type Clock interface {
	Now() int
}

// Identity names the running instance.
type Identity struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	// Version is the version of the program.
	Version string
}

// Configuration describes the configuration in force.
type Configuration struct {
	// Generation is 0 before the first manifest.
	Generation int
	Digest     string
	// Age is the time since the manifest came into force.
	Age time.Duration
	// PlatformAge is the time since the platform last answered this instance.
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
	http          *http.Server
}

// Option supplies a part of the status.
type Option func(*Server)

// WithReady supplies whether the instance accepts queries.
func WithReady(ready func() bool) Option {
	return func(s *Server) { s.ready = ready }
}

// WithConfiguration supplies the configuration in force.
func WithConfiguration(configuration func() Configuration) Option {
	return func(s *Server) { s.configuration = configuration }
}

// WithMembers supplies the known instances.
func WithMembers(members func() []encoder.MemberStatus) Option {
	return func(s *Server) { s.members = members }
}

// WithTargets supplies the owned targets.
func WithTargets(targets func() []encoder.TargetStatus) Option {
	return func(s *Server) { s.targets = targets }
}

// New creates a server; a part of the status that no option supplies is empty.
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
	}
	for _, o := range opts {
		o(s)
	}
	s.http = &http.Server{Handler: s.Handler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout}
	return s
}

// Handler returns the routes of the API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/status", s.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", s.serveEvents).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	r.NotFoundHandler = fail(codeNotFound, "the paths are /v1/status, /v1/events and /metrics")
	r.MethodNotAllowedHandler = fail(codeReadOnly, "the admin API supports only GET")
	return r
}

// Serve answers on the listener until Stop, and returns nil then.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &ServeError{Address: listener.Addr().String(), Cause: err}
	}
	return nil
}

// Stop closes the listener and finishes the requests in flight until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return &StopError{Cause: err}
	}
	return nil
}
