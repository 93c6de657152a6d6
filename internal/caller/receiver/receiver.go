// Package receiver serves the HTTP interface for callers in relay mode. It matches each request to a route, determines
// its tenant, limits size, concurrency and time, and writes the answer with the status of its outcome. Package relayer
// sends the requests to targets, a HeaderCodec, which package platform implements, reads and writes the headers of the
// platform, and Quotas counts the requests of tenants. In native mode, package server serves callers.
package receiver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
)

const (
	// headerTimeout limits how long a caller may take to send the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum total size of the request headers.
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes is the maximum size of a request body if the configuration sets none.
	defaultMaxBodyBytes = 1 << 20
	// defaultTimeout limits requests whose route sets no timeout.
	defaultTimeout = 30 * time.Second
	// writeTimeout limits how long a caller may take to receive a response.
	writeTimeout = 10 * time.Second
	// returnMargin is the time taken off the remaining time of a caller, so that the response reaches it before its
	// deadline.
	returnMargin = 8 * time.Millisecond
	// unconfiguredRetryAfter is the Retry-After of an instance that has no configuration yet.
	unconfiguredRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is the Retry-After of an instance that is at its limit of concurrent requests.
	overloadRetryAfter = 100 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of an instance that takes no more requests because it stops. Another instance
	// can serve them.
	stoppingRetryAfter = 50 * time.Millisecond
	// stopMargin is how long before the end of the service of a stopping instance its last answers must be written.
	stopMargin = 100 * time.Millisecond
)

// Caller holds what the headers of a request state about its caller.
type Caller struct {
	// RequestID is the id that the caller gave the request.
	RequestID string
	// TimeLeft is how long the caller waits for the response; 0 if the request does not state it.
	TimeLeft time.Duration
}

// HeaderCodec reads and writes the platform's headers of requests and responses.
type HeaderCodec interface {
	// ReadCaller returns what the headers of a request state about its caller.
	ReadCaller(header http.Header) Caller
	// IsReserved reports whether a request header is set by the system itself, or read only by it, so that it is not
	// forwarded from the caller. While tenants are in force, more headers are.
	IsReserved(name string, tenantsInForce bool) bool
	// ReadKey returns the API key that a request states, which is empty if it is malformed; false if it states none.
	ReadKey(header http.Header) (key string, stated bool)
	// TenantHeader returns the name of the header that tells targets the tenant.
	TenantHeader() string
	// WriteChallenge sets the headers of a response with 401.
	WriteChallenge(header http.Header)
	// WriteMerged sets the headers of a response that is merged from the replies of several targets.
	WriteMerged(header http.Header, signatures []string, missing int)
}

// Relay sends requests to targets by their routes.
type Relay interface {
	Relay(ctx context.Context, request relayer.Request) relayer.Answer
	// CanServe reports whether most of the requests that callers send could succeed now.
	CanServe() bool
	// CanServeRoute reports whether a request of the route could succeed now.
	CanServeRoute(route *mapper.Route, requestID string) bool
	// HasRoomFor reports whether this instance has the CPU capacity for a request of the route that another one lacks.
	HasRoomFor(route *mapper.Route) bool
	// VerifyReach finds out which failure domains are reachable, if requests have not shown it within the last moments.
	VerifyReach(ctx context.Context)
}

// Option configures a Receiver.
type Option func(*Receiver)

// WithStateAge sets the function that returns the time since the routing table was last known to be current, for the
// log.
func WithStateAge(age func() time.Duration) Option {
	return func(rc *Receiver) { rc.stateAge = age }
}

// Receiver is the HTTP server for callers.
type Receiver struct {
	codec     HeaderCodec
	registrar *registrar.Registrar
	relay     Relay
	logger    *log.Logger
	scope     tally.Scope
	latency   tally.Histogram
	http      *http.Server
	idle      *idleConnections
	stateAge  func() time.Duration
	quotas    Quotas
	refusals  *refusalPeriods
	// inFlight is the number of requests in flight, and maxInFlight its limit.
	inFlight    atomic.Int64
	maxInFlight int64
	// occupancy divides maxInFlight among the tenants.
	occupancy *occupancy
	// explainer is nil if explanations end at the route.
	explainer Explainer
	draining  atomic.Bool
	// servesUntil is the time at which the answers of a draining instance must have been written; nil before Drain.
	servesUntil atomic.Pointer[time.Time]
	// stopping reports whether Stop was called, so that requests are refused.
	stopping atomic.Bool
}

// New creates a receiver that serves at most maxInFlight requests at a time.
func New(codec HeaderCodec, r *registrar.Registrar, relay Relay, maxInFlight int, logger *log.Logger, scope tally.Scope, opts ...Option) *Receiver {
	rc := &Receiver{
		codec: codec, registrar: r, relay: relay, logger: logger, scope: scope, maxInFlight: int64(maxInFlight),
		latency:   scope.Histogram("receiver-latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		occupancy: newOccupancy(maxInFlight), idle: newIdleConnections(), stateAge: func() time.Duration { return 0 },
		quotas: unlimited{}, refusals: newRefusalPeriods(),
	}
	for _, opt := range opts {
		opt(rc)
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(rc.serve)
	router.NotFoundHandler = http.HandlerFunc(rc.serve)
	rc.http = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: rc.idle.trackState, ConnContext: withConnectionInfo}
	return rc
}

// Handler returns the handler for all requests.
func (rc *Receiver) Handler() http.Handler { return rc.http.Handler }

// Serve serves the listener until Stop is called, and then returns nil.
func (rc *Receiver) Serve(listener net.Listener) error {
	if err := rc.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &ServeError{Address: listener.Addr().String(), Cause: err}
	}
	return nil
}

// Ready reports whether the instance can serve callers: it has a configuration, can reach enough of its targets, and is
// not draining.
func (rc *Receiver) Ready() bool {
	return !rc.draining.Load() && rc.registrar.View().Table() != nil && rc.relay.CanServe()
}

// Drain makes the instance not ready. It goes on serving callers until the given time at the latest, and closes each
// connection after the next response. Requests that have no answer by then get one that says so, since their connection
// would end without any.
func (rc *Receiver) Drain(until time.Time) {
	servesUntil := until.Add(-stopMargin)
	rc.servesUntil.Store(&servesUntil)
	rc.draining.Store(true)
}

// InFlight returns the number of requests in flight.
func (rc *Receiver) InFlight() int {
	return int(rc.inFlight.Load())
}

// Stop closes the listener and the idle connections, and waits for the requests in flight until the context ends.
// Requests that arrive meanwhile, on connections that were opened just before, are refused as not run.
func (rc *Receiver) Stop(ctx context.Context) error {
	rc.stopping.Store(true)
	if err := rc.http.Shutdown(ctx); err != nil {
		return &StopError{Cause: err}
	}
	return nil
}

// CloseIdle closes the connections that have been idle for longer than idleFactor times the idle limit of the
// configuration. Without a limit it closes none.
func (rc *Receiver) CloseIdle() {
	if table := rc.registrar.View().Table(); table != nil && table.Limits().IdleTimeout > 0 {
		rc.idle.closeIdleLongerThan(table.Limits().IdleTimeout)
	}
}

// serve handles one request.
func (rc *Receiver) serve(w http.ResponseWriter, r *http.Request) {
	if refused := rc.serveCounted(w, r); refused {
		// The request no longer counts as in flight, so that callers without a valid key cannot use up the limit.
		rc.discardBody(w, r)
	}
}

// serveCounted handles one request, which counts as in flight. It reports whether the request was refused before its body
// was read, with a response that is written already.
func (rc *Receiver) serveCounted(w http.ResponseWriter, r *http.Request) (refused bool) {
	arrived := time.Now()
	started := requestStart(r.Context(), arrived)
	if !rc.Ready() {
		// The request is served, but the caller's next connection may lead to an instance that is ready.
		w.Header().Set("Connection", "close")
	}
	if rc.stopping.Load() {
		rc.scope.Counter("receiver-stopping").Inc(1)
		rc.logger.Info("request", "id", rc.codec.ReadCaller(r.Header).RequestID, "outcome", relayer.NotRun, "reason", "instance stopping")
		rc.writeUnavailable(w, stoppingRetryAfter)
		return false
	}
	if rc.inFlight.Add(1) > rc.maxInFlight {
		rc.inFlight.Add(-1)
		rc.scope.Counter("receiver-overload").Inc(1)
		rc.writeUnavailable(w, overloadRetryAfter)
		return false
	}
	defer rc.inFlight.Add(-1)
	table := rc.registrar.View().Table()
	if table == nil {
		rc.logger.Info("request", "id", rc.codec.ReadCaller(r.Header).RequestID, "outcome", relayer.NotRun, "reason", "no configuration")
		rc.writeUnavailable(w, unconfiguredRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(requestURI(r), "?")
	route, found := table.Match(r.Host, path)
	if !found {
		rc.scope.Counter("receiver-no-route").Inc(1)
		rc.logger.Info("request", "id", rc.codec.ReadCaller(r.Header).RequestID, "outcome", "no-route", "host", r.Host, "path", path,
			"version", table.Version(), "age-ms", rc.stateAge().Milliseconds())
		rc.writeEmpty(w, http.StatusNotFound)
		return false
	}
	keyHolder, admitted := rc.authenticate(w, r, table, route)
	if !admitted {
		return true
	}
	caller := rc.codec.ReadCaller(r.Header)
	deadline := rc.limitToService(requestDeadline(arrived, caller.TimeLeft, route.Timeout))
	body, status := readBody(w, r, table.Limits().MaxBodyBytes, deadline)
	if status != 0 {
		rc.logger.Info("request", "id", caller.RequestID, "outcome", "body-refused", "status", status)
		rc.writeEmpty(w, status)
		return false
	}
	header := rc.forwardedHeaders(r.Header, table.Tenants() != nil)
	if keyHolder.tenant != nil {
		header.Set(rc.codec.TenantHeader(), keyHolder.tenant.Name)
	}
	outbound := transporter.NewRequest(caller.RequestID, r.Method, requestURI(r), r.Host, header, body)
	if keyHolder.tenant != nil {
		outbound = outbound.WithCredentials(keyHolder.digest.String())
	}
	outbound.RequireFreshConnection = !route.Idempotent
	request := relayer.Request{
		Route: route, Table: table, Outbound: outbound, Arrived: arrived,
		Due: answerDue(started, route.Objective), Deadline: deadline,
		Tenant: keyHolder.tenant, KeyDigest: keyHolder.digest,
	}
	answer := rc.relayInTurn(r.Context(), request)
	rc.latency.RecordDuration(time.Since(arrived))
	rc.logIfNotable(rc.logger, request, answer)
	rc.writeAnswer(w, r.Method, answer)
	return false
}

// requestURI returns the request target in origin form, as the caller sent it.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// requestDeadline returns the earlier of the deadlines of the caller and of the route; that of the route is
// defaultTimeout after the arrival if it sets none. The time for the response to reach the caller is taken off the
// caller's remaining time, at most half of it.
func requestDeadline(arrived time.Time, remaining, routeTimeout time.Duration) time.Time {
	limit := defaultTimeout
	if routeTimeout > 0 {
		limit = routeTimeout
	}
	if remaining > 0 {
		limit = min(limit, max(remaining-returnMargin, remaining/2))
	}
	return arrived.Add(limit)
}

// limitToService returns the deadline of a request, which is not after the end of the service of a draining instance.
func (rc *Receiver) limitToService(deadline time.Time) time.Time {
	if end := rc.servesUntil.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// readBody reads the whole body until the deadline. It returns the status with which to refuse the request: 413 if the
// body is too large, 408 if it is not complete by the deadline, 400 if it cannot be read, such as when the caller has
// disconnected, or 0 if it has been read.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(deadline); err != nil {
		return nil, http.StatusBadRequest
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		// The read deadline would otherwise end the context of a request that is served until then.
		err = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// fixedHopByHopHeaders holds the headers that apply to a single connection even if the Connection header does not list
// them, and Content-Length, which is set anew. They are not forwarded, except Content-Length in responses to HEAD.
var fixedHopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// connectionHeaders returns the names of the headers that the Connection header lists, which are not forwarded either.
func connectionHeaders(header http.Header) map[string]bool {
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

// forwardedHeaders returns the end-to-end headers of a request, except those that are reserved.
func (rc *Receiver) forwardedHeaders(header http.Header, tenantsInForce bool) http.Header {
	listed := connectionHeaders(header)
	forwardedHeaders := make(http.Header, len(header))
	for name, values := range header {
		if !fixedHopByHopHeaders[name] && !listed[name] && !rc.codec.IsReserved(name, tenantsInForce) {
			forwardedHeaders[name] = values
		}
	}
	return forwardedHeaders
}

// statusByOutcome holds the statuses of outcomes without a usable reply of a target. Only 503 states that the request
// has not run. writeAnswer handles NotRun separately, because its response has a Retry-After header.
var statusByOutcome = map[relayer.Outcome]int{
	relayer.NotRun: http.StatusServiceUnavailable, relayer.Failed: http.StatusBadGateway, relayer.TimedOut: http.StatusGatewayTimeout,
}

func (rc *Receiver) writeAnswer(w http.ResponseWriter, method string, answer relayer.Answer) {
	switch answer.Outcome {
	case relayer.Relayed:
		rc.writeReply(w, method, answer.Reply)
	case relayer.Merged:
		rc.codec.WriteMerged(w.Header(), answer.Signatures, answer.Missing)
		writeBody(w, http.StatusOK, answer.Records)
	case relayer.NotRun:
		rc.writeUnavailable(w, answer.RetryAfter)
	case relayer.Abandoned:
		// The caller has disconnected, so it does not receive the status.
		rc.writeEmpty(w, http.StatusBadGateway)
	default:
		rc.writeEmpty(w, statusByOutcome[answer.Outcome])
	}
}

// writeReply writes the reply of a target without its hop-by-hop headers.
func (rc *Receiver) writeReply(w http.ResponseWriter, method string, reply *transporter.Reply) {
	listed := connectionHeaders(reply.Header)
	for name, values := range reply.Header {
		if !fixedHopByHopHeaders[name] && !listed[name] {
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
		// Only the target sets the content type: a nil value keeps net/http from detecting one.
		w.Header()["Content-Type"] = nil
	}
	if status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	// Without a deadline, a caller that does not read its response keeps the request in flight. It fails only if the
	// connection is closed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	// A caller that has disconnected cannot be told of a failed write.
	_, _ = w.Write(body)
}

// writeUnavailable writes a 503 response with a Retry-After header. It states that the request has not run.
func (rc *Receiver) writeUnavailable(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", formatSeconds(retryAfter))
	rc.writeEmpty(w, http.StatusServiceUnavailable)
}

// writeEmpty writes a response without a body for a request without a reply of a target, and counts its status.
func (rc *Receiver) writeEmpty(w http.ResponseWriter, status int) {
	rc.scope.Counter("receiver-status-" + strconv.Itoa(status)).Inc(1)
	writeBody(w, status, nil)
}

// logIfNotable logs a request only if it failed, missed its objective, or succeeded only after decisions such as a
// retry.
func (rc *Receiver) logIfNotable(logger *log.Logger, request relayer.Request, answer relayer.Answer) {
	late := !request.Due.IsZero() && time.Now().After(request.Due)
	if len(answer.Decisions) == 0 && !late && (answer.Outcome == relayer.Merged || answer.Outcome == relayer.Relayed) {
		return
	}
	logger.Info("request", "id", request.Outbound.ID, "route", request.Route.Name, "version", request.Table.Version(),
		"outcome", answer.Outcome, "ms", time.Since(request.Arrived).Milliseconds(), "left-ms", time.Until(request.Deadline).Milliseconds(),
		"missing", answer.Missing, "late", late, "decisions", describeDecisions(answer.Decisions))
}

// maxLoggedDecisions is the maximum number of decisions in one log line.
const maxLoggedDecisions = 12

func describeDecisions(decisions []relayer.Decision) string {
	var text strings.Builder
	for i, d := range decisions {
		if i == maxLoggedDecisions {
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
