// Package server is the HTTP interface for callers.
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

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

const (
	// maxBody is the greatest size of a request body in bytes.
	maxBody = 64 << 10
	// maxHeader is the greatest size of all request headers in bytes.
	maxHeader = 16 << 10
	// defaultReadTimeout bounds how long a caller may take to send its request, headerTimeout its headers.
	defaultReadTimeout = 10 * time.Second
	headerTimeout      = 5 * time.Second
	// writeTimeout bounds how long a caller may take to receive its answer.
	writeTimeout = 10 * time.Second
	// unknownClassDeadline bounds the wait for the answer of a ticket whose query class is not in the manifest.
	unknownClassDeadline = 10 * time.Second
	// idleTimeout is longer than the keep-alive of common balancers, so that the balancer closes first.
	idleTimeout = 90 * time.Second
)

// Default times of a graceful stop.
const (
	DefaultBalancerWait = 2 * time.Second
	DefaultShutdownTime = 30 * time.Second
)

// Executor runs queries.
type Executor interface {
	Class(name string) (encoder.QueryClass, error)
	Execute(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error)
}

// Tickets issues tickets and runs their queries once.
type Tickets interface {
	Issue(class string) (encoder.TicketReply, error)
	Run(ctx context.Context, ticket string, request encoder.QueryRequest, f ticketer.RunFunc) (ticketer.Answer, error)
	RunForwarded(ctx context.Context, ticket string, request encoder.QueryRequest, f ticketer.RunFunc) (ticketer.Answer, error)
	Drain(ctx context.Context) error
}

// Checker checks invariants.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Logger writes lines about changes of state.
type Logger interface {
	Info(message any, attributes ...any)
}

// StopError reports a stop that did not finish in time.
type StopError struct {
	// Cause is never nil.
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("server: stop: %v", e.Cause)
}

func (e *StopError) Unwrap() error {
	return e.Cause
}

// Server serves callers.
type Server struct {
	executor       Executor
	tickets        Tickets
	checker        Checker
	logger         Logger
	balancerWait   time.Duration
	shutdownTime   time.Duration
	readTimeout    time.Duration
	queries        validator[encoder.QueryRequest]
	ticketRequests validator[encoder.TicketRequest]
	http           *http.Server

	ready atomic.Bool
	// accepted counts requests that have been read and not yet answered.
	accepted       atomic.Int64
	panics, unsent tally.Counter
}

// Option changes a server under construction.
type Option func(*Server)

// WithBalancerWait sets how long requests are accepted after the instance is no longer ready.
func WithBalancerWait(wait time.Duration) Option {
	return func(s *Server) { s.balancerWait = wait }
}

// WithShutdownTime sets how long a stop waits for requests in flight.
func WithShutdownTime(limit time.Duration) Option {
	return func(s *Server) { s.shutdownTime = limit }
}

// WithReadTimeout sets how long a caller may take to send its request.
func WithReadTimeout(limit time.Duration) Option {
	return func(s *Server) { s.readTimeout = limit }
}

// New creates a server that is not ready.
func New(execute Executor, tickets Tickets, check Checker, logger Logger, scope tally.Scope, opts ...Option) *Server {
	s := &Server{
		executor: execute, tickets: tickets, checker: check, logger: logger,
		balancerWait: DefaultBalancerWait, shutdownTime: DefaultShutdownTime, readTimeout: defaultReadTimeout,
		queries:        newValidator[encoder.QueryRequest]("QueryRequest"),
		ticketRequests: newValidator[encoder.TicketRequest]("TicketRequest"),
		panics:         scope.Counter("requests-panicked"), unsent: scope.Counter("answers-unsent"),
	}
	for _, apply := range opts {
		apply(s)
	}
	s.http = &http.Server{
		Handler: s.Handler(), MaxHeaderBytes: maxHeader,
		ReadHeaderTimeout: min(headerTimeout, s.readTimeout), ReadTimeout: s.readTimeout, IdleTimeout: idleTimeout,
		// Faults of single connections are no changes of state.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Handler returns the handler of all resources.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/queries", s.postQuery).Methods(http.MethodPost)
	router.HandleFunc("/v1/tickets", s.postTicket).Methods(http.MethodPost)
	router.HandleFunc("/v1/ready", s.getReady).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(s.notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(s.methodNotAllowed)
	return s.track(s.contain(router))
}

// Serve accepts callers until the server is stopped.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// SetReady sets what the balancer is told.
func (s *Server) SetReady(ready bool) {
	if s.ready.Swap(ready) != ready {
		s.logger.Info("readiness changed", "ready", ready)
	}
}

// Ready returns what the balancer is told.
func (s *Server) Ready() bool {
	return s.ready.Load()
}

// AwaitBalancer reports not ready and keeps accepting until the balancer has stopped sending, or the context ends.
func (s *Server) AwaitBalancer(ctx context.Context) {
	s.SetReady(false)
	timer := time.NewTimer(s.balancerWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Shutdown stops accepting and waits for the requests in flight and for tickets whose callers have gone.
// Errors: *StopError, when requests had to be cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.shutdownTime)
	defer cancel()
	err := errors.Join(s.http.Shutdown(ctx), s.tickets.Drain(ctx))
	cut := s.accepted.Load()
	s.checker.Check(cut == 0, checker.GracefulStop, "", fmt.Sprintf("%d requests cut off", cut))
	if err == nil {
		return nil
	}
	return &StopError{Cause: errors.Join(err, s.http.Close())}
}

// Stop is AwaitBalancer followed by Shutdown.
func (s *Server) Stop(ctx context.Context) error {
	s.AwaitBalancer(ctx)
	return s.Shutdown(ctx)
}
