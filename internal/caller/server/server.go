// Package server serves the HTTP interface for callers in native mode: queries, tickets and the readiness check of the
// load balancer. It determines the tenants of requests by their API keys, validates requests and maps results and errors
// to HTTP statuses. Package executor runs the queries, and package ticketer ensures that a ticketed query runs at most
// once. In relay mode, package receiver serves callers.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 64 << 10
	// maxHeaderBytes is the maximum total size of the request headers.
	maxHeaderBytes = 16 << 10
	// defaultReadTimeout limits how long a caller may take to send its request, headerTimeout how long for its headers.
	defaultReadTimeout = 10 * time.Second
	headerTimeout      = 5 * time.Second
	// writeTimeout limits how long a caller may take to receive its response.
	writeTimeout = 10 * time.Second
	// unknownClassDeadline is the deadline of a ticketed query whose query class is not in the manifest.
	unknownClassDeadline = 10 * time.Second
	// idleTimeout is longer than the keep-alive time of common load balancers, so that the load balancer closes an idle
	// connection first.
	idleTimeout = 90 * time.Second
)

// Defaults of a graceful stop for a server without these options. The settings of an instance have defaults of their
// own.
const (
	// defaultBalancerDelay is how long a stopping server goes on accepting requests after it has become not ready.
	defaultBalancerDelay = 2 * time.Second
	// defaultShutdownTimeout is how long Shutdown then waits for the requests in flight.
	defaultShutdownTimeout = 30 * time.Second
)

// Executor runs queries.
type Executor interface {
	Class(name string) (encoder.QueryClass, error)
	Execute(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error)
}

// Ticketer issues tickets and runs the query of each ticket at most once.
type Ticketer interface {
	Issue(class string) (encoder.TicketReply, error)
	Run(ctx context.Context, ticket string, request encoder.QueryRequest, f ticketer.RunFunc) (ticketer.Answer, error)
	RunForwarded(ctx context.Context, ticket string, request encoder.QueryRequest, f ticketer.RunFunc) (ticketer.Answer, error)
	Drain(ctx context.Context) error
}

// Checker checks invariants.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Logger logs changes of state.
type Logger interface {
	Info(message any, attributes ...any)
}

// StopError reports a shutdown that did not finish in time.
type StopError struct {
	// Cause is never nil.
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("server: stop the caller API: %v", e.Cause)
}

func (e *StopError) Unwrap() error {
	return e.Cause
}

// Server is the HTTP server for callers.
type Server struct {
	executor        Executor
	tickets         Ticketer
	checker         Checker
	logger          Logger
	balancerDelay   time.Duration
	shutdownTimeout time.Duration
	readTimeout     time.Duration
	queryValidator  validator[encoder.QueryRequest]
	ticketValidator validator[encoder.TicketRequest]
	http            *http.Server

	// tenants returns the tenants of the manifest in force; nil if it has none, so that requests need no key.
	tenants func() *authenticator.Tenants
	quotas  Quotas

	ready atomic.Bool
	// inFlight is the number of requests that have been accepted and not yet answered.
	inFlight                atomic.Int64
	panics, unsentResponses tally.Counter
	// Requests without a valid key by cause, those of query classes that need none, and those above a tenant's limit.
	missingKeys, unknownKeys, anonymous, overLimit tally.Counter
}

// Option configures a Server.
type Option func(*Server)

// WithBalancerDelay sets how long a stopping server goes on accepting requests after it has become not ready.
func WithBalancerDelay(delay time.Duration) Option {
	return func(s *Server) { s.balancerDelay = delay }
}

// WithShutdownTimeout sets how long Shutdown waits for requests in flight.
func WithShutdownTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.shutdownTimeout = timeout }
}

// WithReadTimeout sets how long a caller may take to send its request.
func WithReadTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.readTimeout = timeout }
}

// New creates a server that is not ready.
func New(executor Executor, tickets Ticketer, check Checker, logger Logger, scope tally.Scope, opts ...Option) *Server {
	s := &Server{
		executor: executor, tickets: tickets, checker: check, logger: logger,
		balancerDelay: defaultBalancerDelay, shutdownTimeout: defaultShutdownTimeout, readTimeout: defaultReadTimeout,
		queryValidator:  newValidator[encoder.QueryRequest]("QueryRequest"),
		ticketValidator: newValidator[encoder.TicketRequest]("TicketRequest"),
		panics:          scope.Counter("requests-panicked"), unsentResponses: scope.Counter("answers-unsent"),
		tenants: func() *authenticator.Tenants { return nil }, quotas: unlimited{},
		missingKeys: scope.Counter("requests-missing-key"), unknownKeys: scope.Counter("requests-unknown-key"),
		anonymous: scope.Counter("requests-anonymous"), overLimit: scope.Counter("requests-over-limit"),
	}
	for _, apply := range opts {
		apply(s)
	}
	s.http = &http.Server{
		Handler: s.Handler(), MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: min(headerTimeout, s.readTimeout), ReadTimeout: s.readTimeout, IdleTimeout: idleTimeout,
		// Errors of single connections are not logged: the log holds changes of state only.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Handler returns the handler for all resources.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/queries", s.postQuery).Methods(http.MethodPost)
	router.HandleFunc("/v1/tickets", s.postTicket).Methods(http.MethodPost)
	router.HandleFunc("/v1/ready", s.getReady).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(s.notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(s.methodNotAllowed)
	return s.trackInFlight(s.recoverPanics(router))
}

// Serve accepts connections until the server is stopped, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// SetReady sets whether the readiness check of the load balancer succeeds.
func (s *Server) SetReady(ready bool) {
	if s.ready.Swap(ready) != ready {
		s.logger.Info("readiness changed", "ready", ready)
	}
}

// Ready reports whether the readiness check of the load balancer succeeds.
func (s *Server) Ready() bool {
	return s.ready.Load()
}

// AwaitBalancer makes the instance not ready and goes on accepting requests for the balancer delay, after which the
// load balancer has stopped sending, or until the context ends.
func (s *Server) AwaitBalancer(ctx context.Context) {
	s.SetReady(false)
	timer := time.NewTimer(s.balancerDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Shutdown stops accepting requests and waits for those in flight and for ticketed queries, which go on after their
// callers have disconnected. It returns a *StopError if these do not finish within the shutdown timeout.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.shutdownTimeout)
	defer cancel()
	err := errors.Join(s.http.Shutdown(ctx), s.tickets.Drain(ctx))
	// Only requests count for the invariant: a caller still waits for each of them.
	unfinished := s.inFlight.Load()
	s.checker.Check(unfinished == 0, checker.GracefulStop, "", fmt.Sprintf("%d requests cut off", unfinished))
	if err == nil {
		return nil
	}
	return &StopError{Cause: errors.Join(err, s.http.Close())}
}

// Stop shuts down gracefully: it calls AwaitBalancer and then Shutdown, and returns a *StopError if requests or
// ticketed queries did not finish in time.
func (s *Server) Stop(ctx context.Context) error {
	s.AwaitBalancer(ctx)
	return s.Shutdown(ctx)
}
