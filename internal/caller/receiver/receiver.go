// Package receiver is the HTTP interface for callers whose requests are relayed by routes.
package receiver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
)

const (
	// headerTimeout bounds reading the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds the body of a request when the configuration does not.
	defaultBodyBytes = 1 << 20
	// defaultWait bounds requests for which neither caller nor route has a limit.
	defaultWait = 30 * time.Second
	// returnTime is the time for the answer to reach the caller before its deadline.
	returnTime = 8 * time.Millisecond
	// unconfiguredRetry is when a caller should come back to an instance that has no configuration yet.
	unconfiguredRetry = 200 * time.Millisecond
	// overloadRetry is when a caller should come back to an instance that is at its limit of concurrent requests.
	overloadRetry = 100 * time.Millisecond
)

// Caller is what a request says of its caller.
type Caller struct {
	// RequestID identifies the caller's attempt.
	RequestID string
	// Left is how long the caller waits; 0 if it does not say.
	Left time.Duration
}

// Dialect is how callers speak.
type Dialect interface {
	// ReadCaller reads what the headers of a request say of its caller.
	ReadCaller(header http.Header) Caller
	// Own reports whether a request header is set by the system itself and not forwarded.
	Own(name string) bool
	// WriteMerged sets the headers of an answer that is merged from parts.
	WriteMerged(header http.Header, signatures []string, missing int)
}

// Relay serves a request by its route.
type Relay interface {
	Relay(ctx context.Context, request relayer.Request) relayer.Answer
	// Serviceable reports whether most of what callers ask for could succeed now.
	Serviceable() bool
}

// Receiver serves callers.
type Receiver struct {
	dialect   Dialect
	registrar *registrar.Registrar
	relay     Relay
	logger    *log.Logger
	scope     tally.Scope
	latency   tally.Histogram
	http      *http.Server
	idle      *idleConnections
	// running counts the requests in flight, up to concurrency.
	running     atomic.Int64
	concurrency int64
	draining    atomic.Bool
}

// New creates a receiver that serves at most concurrency requests at the same time.
func New(dialect Dialect, r *registrar.Registrar, relay Relay, concurrency int, logger *log.Logger, scope tally.Scope) *Receiver {
	s := &Receiver{
		dialect: dialect, registrar: r, relay: relay, logger: logger, scope: scope, concurrency: int64(concurrency),
		latency: scope.Histogram("receiver-latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		idle:    newIdleConnections(),
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(s.serve)
	router.NotFoundHandler = http.HandlerFunc(s.serve)
	s.http = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.idle.observe, ConnContext: withOrigin}
	return s
}

// Handler returns the handler of all requests.
func (s *Receiver) Handler() http.Handler { return s.http.Handler }

// Serve answers on the listener until Stop, and returns nil then.
func (s *Receiver) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &ServeError{Address: listener.Addr().String(), Cause: err}
	}
	return nil
}

// Ready reports whether the instance can serve callers: it knows a configuration, reaches the targets for it, and is not
// stopping.
func (s *Receiver) Ready() bool {
	return !s.draining.Load() && s.registrar.View().Table() != nil && s.relay.Serviceable()
}

// Drain makes the instance not ready; callers are served, and told to use another connection.
func (s *Receiver) Drain() {
	s.draining.Store(true)
}

// Running returns the number of requests in flight.
func (s *Receiver) Running() int {
	return int(s.running.Load())
}

// Stop closes the listener and idle connections and finishes the requests in flight until the context ends.
func (s *Receiver) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return &StopError{Cause: err}
	}
	return nil
}

// CloseIdle closes the connections that have been idle for longer than the configuration allows.
func (s *Receiver) CloseIdle() {
	if table := s.registrar.View().Table(); table != nil && table.Limits().Idle > 0 {
		s.idle.closeOlder(table.Limits().Idle)
	}
}

// serve answers one request.
func (s *Receiver) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	begun := begun(r.Context(), arrived)
	if !s.Ready() {
		// Another connection may lead to an instance that can serve.
		w.Header().Set("Connection", "close")
	}
	if s.running.Add(1) > s.concurrency {
		s.running.Add(-1)
		s.scope.Counter("receiver-overload").Inc(1)
		s.refuse(w, overloadRetry)
		return
	}
	defer s.running.Add(-1)
	table := s.registrar.View().Table()
	if table == nil {
		s.logger.Info("request", "id", s.dialect.ReadCaller(r.Header).RequestID, "outcome", relayer.NotRun, "reason", "no configuration")
		s.refuse(w, unconfiguredRetry)
		return
	}
	path, _, _ := strings.Cut(requestURI(r), "?")
	route, found := table.Match(r.Host, path)
	if !found {
		s.scope.Counter("receiver-no-route").Inc(1)
		s.logger.Info("request", "id", s.dialect.ReadCaller(r.Header).RequestID, "outcome", "no-route", "host", r.Host, "path", path, "version", table.Version())
		s.fail(w, http.StatusNotFound)
		return
	}
	body, status := readBody(w, r, table.Limits().BodyBytes)
	if status != 0 {
		s.logger.Info("request", "id", s.dialect.ReadCaller(r.Header).RequestID, "outcome", "body-refused", "status", status)
		s.fail(w, status)
		return
	}
	caller := s.dialect.ReadCaller(r.Header)
	wire := transporter.NewRequest(caller.RequestID, r.Method, requestURI(r), r.Host, s.forwarded(r.Header), body)
	wire.Fresh = !route.Idempotent
	request := relayer.Request{
		Route: route, Table: table, Wire: wire, Arrived: arrived,
		Due: due(begun, route.Objective), Deadline: deadline(arrived, caller.Left, route.Timeout),
	}
	answer := s.relay.Relay(r.Context(), request)
	s.latency.RecordDuration(time.Since(arrived))
	s.log(request, answer)
	s.write(w, r.Method, answer)
}

// requestURI returns the target of the request in origin form, as the caller sent it.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// deadline returns when the caller or the route gives up, whichever is first.
func deadline(arrived time.Time, left, timeout time.Duration) time.Time {
	wait := defaultWait
	if timeout > 0 {
		wait = timeout
	}
	if left > 0 {
		wait = min(wait, max(left-returnTime, left/2))
	}
	return arrived.Add(wait)
}

// readBody reads the whole body; the status is 0 unless the request is to be refused.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// hopByHop holds the headers that concern only one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// named returns the headers that the Connection header names.
func named(header http.Header) map[string]bool {
	var names map[string]bool
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// forwarded returns the end-to-end headers of a request without those that the system sets itself.
func (s *Receiver) forwarded(header http.Header) http.Header {
	local := named(header)
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] && !local[name] && !s.dialect.Own(name) {
			forwarded[name] = values
		}
	}
	return forwarded
}

// statuses are the status codes of requests without a reply of a target. Only 503 states that the request has not run.
var statuses = map[relayer.Outcome]int{
	relayer.NotRun: http.StatusServiceUnavailable, relayer.Failed: http.StatusBadGateway, relayer.TimedOut: http.StatusGatewayTimeout,
}

func (s *Receiver) write(w http.ResponseWriter, method string, answer relayer.Answer) {
	switch answer.Outcome {
	case relayer.Relayed:
		s.writeReply(w, method, answer.Reply)
	case relayer.Merged:
		s.dialect.WriteMerged(w.Header(), answer.Signatures, answer.Missing)
		writeBody(w, http.StatusOK, answer.Records)
	case relayer.NotRun:
		s.refuse(w, answer.RetryAfter)
	case relayer.Abandoned:
		// Nobody waits for an answer.
		s.fail(w, http.StatusBadGateway)
	default:
		s.fail(w, statuses[answer.Outcome])
	}
}

// writeReply passes the reply of a target on.
func (s *Receiver) writeReply(w http.ResponseWriter, method string, reply *transporter.Reply) {
	local := named(reply.Header)
	for name, values := range reply.Header {
		if !hopByHop[name] && !local[name] {
			w.Header()[name] = values
		}
	}
	if method == http.MethodHead {
		w.Header()["Content-Length"] = reply.Header["Content-Length"]
		w.WriteHeader(reply.Status)
		return
	}
	writeBody(w, reply.Status, reply.Body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	if _, found := w.Header()["Content-Type"]; !found {
		// The type of a body is the target's to tell.
		w.Header()["Content-Type"] = nil
	}
	if status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A caller that has left cannot be told.
	_, _ = w.Write(body)
}

// refuse states that the request has not run, and when to come back.
func (s *Receiver) refuse(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	s.fail(w, http.StatusServiceUnavailable)
}

func (s *Receiver) fail(w http.ResponseWriter, status int) {
	s.scope.Counter("receiver-status-" + strconv.Itoa(status)).Inc(1)
	writeBody(w, status, nil)
}

// log writes one line for a request with decisions that a reader may ask about.
func (s *Receiver) log(request relayer.Request, answer relayer.Answer) {
	late := !request.Due.IsZero() && time.Now().After(request.Due)
	if len(answer.Decisions) == 0 && !late && (answer.Outcome == relayer.Merged || answer.Outcome == relayer.Relayed) {
		return
	}
	s.logger.Info("request", "id", request.Wire.ID, "route", request.Route.Name, "version", request.Table.Version(),
		"outcome", answer.Outcome, "ms", time.Since(request.Arrived).Milliseconds(), "left-ms", time.Until(request.Deadline).Milliseconds(),
		"missing", answer.Missing, "late", late, "decisions", describe(answer.Decisions))
}

// maxDescribed bounds the decisions in one log line.
const maxDescribed = 12

func describe(decisions []relayer.Decision) string {
	var text strings.Builder
	for i, d := range decisions {
		if i == maxDescribed {
			text.WriteString("; " + strconv.Itoa(len(decisions)-i) + " more")
			break
		}
		if i > 0 {
			text.WriteString("; ")
		}
		text.WriteString(strconv.FormatInt(d.After.Milliseconds(), 10) + "ms " + d.Service + " " + d.Target + " " + d.Event)
	}
	return text.String()
}
