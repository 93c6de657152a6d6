// Package responder is the stand-in for a target of native mode, which runs sub-queries; package httpresponder is the
// one for targets of relay mode. It simulates service times, latency, warm-up and connection limits, and tests change
// its behaviour and read its statistics on a second listener. It runs in "standin target" processes, in tests and in
// capacity measurements; package hasher derives the hits of its replies.
package responder

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"apricotflow/internal/standin/replier"
	"apricotflow/internal/wire/encoder"
)

const (
	// serviceTimeSigma is the standard deviation of the natural logarithm of the service time.
	serviceTimeSigma = 0.3
	// overloadSlowDuration is the time for which a target stays slow after it was overloaded while cold.
	overloadSlowDuration = 2 * time.Second
	// overloadSlowdown is the factor by which the service time of such a target grows.
	overloadSlowdown = 20
)

// Settings describes one target. A duration of zero means no delay.
type Settings struct {
	Name string
	// Address serves the target protocol and Control the control endpoints; the port of either may be 0. Control has
	// its own listener, so that tests use none of the target's connections.
	Address, Control              string
	Slots, Connections, ColdLimit int
	Versions                      []encoder.HeldVersion
	// Incarnation is chosen at random when empty.
	Incarnation string
	ServiceTime time.Duration
	// StragglerPercent is the percentage of sub-queries that take StragglerTime instead of a time around ServiceTime.
	StragglerPercent int
	StragglerTime    time.Duration
	ConnectDelay     time.Duration
	// WarmUpTime and WarmUpAnswers are the time and the number of answered sub-queries that a cold target needs to
	// become warm. If both are zero, the target starts warm.
	WarmUpTime    time.Duration
	WarmUpAnswers int
	// Latency is the simulated network latency in each direction.
	Latency time.Duration
	// ReportLag is the age of the state in reports.
	ReportLag time.Duration
	Seed      uint64
}

// Hang selects the connections on which the target stops replying.
type Hang string

// Values of Hang.
const (
	HangNone Hang = "none"
	// HangOpenConnections permanently stops replies on the connections that are open now; new connections work.
	HangOpenConnections Hang = "open"
	// HangAllConnections stops replies on all connections. A connection that gets a request in this mode never replies
	// again.
	HangAllConnections Hang = "all"
)

// Control is a request that changes the behaviour of a running target. Absent fields change nothing.
type Control struct {
	// Cold makes the target cold, which restarts its warm-up, or warm. A target whose settings have no warm-up starts
	// warm; once made cold, it stays cold until it is made warm.
	Cold *bool `json:"cold,omitempty"`
	// Drain starts and Undrain ends the draining state. If both are set, the target does not drain.
	Drain     bool                   `json:"drain,omitempty"`
	Undrain   bool                   `json:"undrain,omitempty"`
	Versions  *[]encoder.HeldVersion `json:"versions,omitempty"`
	ServiceMs *int                   `json:"service-ms,omitempty"`
	Hang      Hang                   `json:"hang,omitempty"`
}

// Statistics holds the state of the target and its counters since the start.
type Statistics struct {
	Name        string            `json:"name"`
	Incarnation string            `json:"incarnation"`
	State       encoder.LoadState `json:"state"`
	InFlight    int               `json:"in-flight"`
	// InFlightMax is the maximum number of sub-queries that ran at the same time.
	InFlightMax int `json:"in-flight-max"`
	// Executed is the number of sub-queries that started to run. The sub-queries that the
	// target refused are in NotRun.
	Executed int `json:"executed"`
	// Shed is the number of sub-queries refused with the reason "shed".
	Shed int `json:"shed"`
	// ColdOverload is the number of sub-queries that started above the cold limit of a cold target.
	ColdOverload int `json:"cold-overload"`
	// ColdUnannounced is the number of such sub-queries that ColdOverload leaves out because no sender could know: the
	// target had turned cold without a restart, and no reply or report had shown it yet.
	ColdUnannounced int `json:"cold-unannounced"`
	// OverSlots is the number of sub-queries that arrived while all slots were in use. It equals Shed, because this
	// target sheds for no other reason.
	OverSlots          int `json:"over-slots"`
	ConnectionsMax     int `json:"connections-max"`
	ConnectionsRefused int `json:"connections-refused"`
	// NotRun is the number of refused sub-queries by reason.
	NotRun map[encoder.Reason]int `json:"not-run"`
	// NonIdempotentRuns is the number of runs of non-idempotent sub-queries by query text.
	NonIdempotentRuns map[string]int `json:"non-idempotent-runs"`
	// RepeatedAttempts is the number of runs of each attempt that ran more than once, by attempt.
	RepeatedAttempts map[string]int `json:"repeated-attempts"`
	// UptimeMs is the time since the start of the target, in milliseconds.
	UptimeMs int `json:"uptime-ms"`
	// LastExecuteMs is the time from the start of the target to the last start of a sub-query, in milliseconds, or -1
	// if none has started.
	LastExecuteMs int `json:"last-execute-ms"`
}

// SinceLastExecute returns the time since a sub-query last started, or since the start of the target if none has.
func (s Statistics) SinceLastExecute() time.Duration {
	return time.Duration(s.UptimeMs-max(0, s.LastExecuteMs)) * time.Millisecond
}

// Responder is a running target.
type Responder struct {
	settings  Settings
	listener  *limitListener
	control   net.Listener
	servers   []*http.Server
	startTime time.Time
	done      chan struct{}
	closeOnce sync.Once

	mu                sync.Mutex
	random            *rand.Rand
	medianServiceTime time.Duration
	versions          []encoder.HeldVersion
	draining          bool
	cold              bool
	// coldUntil and coldAnswersLeft are the end of the warm-up time and the number of answered sub-queries that the
	// warm-up still needs. While staysCold is set, the target doesn't warm up.
	coldUntil       time.Time
	coldAnswersLeft int
	staysCold       bool
	// coldAnnounced reports whether a reply or report has shown the cold state, or the process started cold.
	coldAnnounced bool
	slowUntil     time.Time
	// lastHungSerial is the serial number of the newest connection that gets no replies; older ones get none either.
	lastHungSerial int64
	hangAll        bool
	inFlight       int
	// cancelFuncs holds the function that cancels each attempt in progress.
	cancelFuncs   map[string]context.CancelCauseFunc
	runsByAttempt map[string]int
	samples       []loadSample
	counts        Statistics
}

// loadSample is the load at one time. Samples are kept for the report lag.
type loadSample struct {
	at       time.Time
	state    encoder.LoadState
	inFlight int
}

// Start starts a target, which serves until Close.
func Start(s Settings) (*Responder, error) {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, fmt.Errorf("responder: listen: %w", err)
	}
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("responder: listen on control address: %w", err)
	}
	if s.Incarnation == "" {
		s.Incarnation = fmt.Sprintf("%016x", rand.Uint64())
	}
	t := &Responder{
		settings:  s,
		listener:  &limitListener{Listener: l, limit: int64(s.Connections), connectDelay: s.ConnectDelay},
		control:   control,
		startTime: time.Now(),
		done:      make(chan struct{}),
		// The second word of the seed differs from those of the load (1) and of the faults (2).
		random:            rand.New(rand.NewPCG(s.Seed, 0)),
		medianServiceTime: s.ServiceTime,
		versions:          s.Versions,
		cancelFuncs:       make(map[string]context.CancelCauseFunc),
		runsByAttempt:     make(map[string]int),
		counts: Statistics{
			Name: s.Name, Incarnation: s.Incarnation, LastExecuteMs: -1,
			NotRun: make(map[encoder.Reason]int), NonIdempotentRuns: make(map[string]int),
		},
	}
	if s.WarmUpTime > 0 || s.WarmUpAnswers > 0 {
		t.makeCold()
	}
	t.coldAnnounced = t.cold
	t.samples = []loadSample{{at: t.startTime, state: t.state()}}
	t.startServers()
	return t, nil
}

// Address returns the address of the target protocol.
func (t *Responder) Address() string { return t.listener.Addr().String() }

// ControlAddress returns the address of the control endpoints.
func (t *Responder) ControlAddress() string { return t.control.Addr().String() }

// Close stops the target and closes its connections.
func (t *Responder) Close() {
	t.closeOnce.Do(func() { close(t.done) })
	for _, s := range t.servers {
		_ = s.Close()
	}
}

func (t *Responder) startServers() {
	protocol := mux.NewRouter()
	protocol.HandleFunc("/v1/report", t.serveReport).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/execute", t.serveExecute).Methods(http.MethodPost)
	protocol.HandleFunc("/v1/cancel", t.serveCancel).Methods(http.MethodPost)
	control := mux.NewRouter()
	control.HandleFunc("/v1/control", replier.Handle(t.Control)).Methods(http.MethodPost)
	control.HandleFunc("/v1/statistics", func(w http.ResponseWriter, _ *http.Request) {
		replier.WriteReply(w, http.StatusOK, t.Statistics())
	}).Methods(http.MethodGet)
	server := &http.Server{Handler: protocol, ConnContext: withConnSerial}
	t.servers = []*http.Server{
		replier.Serve(t.listener, server),
		replier.Serve(t.control, &http.Server{Handler: control}),
	}
}

type connSerialKey struct{}

func withConnSerial(ctx context.Context, c net.Conn) context.Context {
	if n, ok := c.(*conn); ok {
		return context.WithValue(ctx, connSerialKey{}, n.serial)
	}
	return ctx
}

// Control changes the behaviour of the target and returns its statistics.
func (t *Responder) Control(c Control) Statistics {
	t.mu.Lock()
	if c.Cold != nil && *c.Cold {
		t.coldAnnounced = t.coldAnnounced && t.state() == encoder.LoadStateCold
		t.makeCold()
	}
	if c.Cold != nil && !*c.Cold {
		t.cold = false
	}
	t.draining = (t.draining || c.Drain) && !c.Undrain
	if c.Versions != nil {
		t.versions = *c.Versions
	}
	if c.ServiceMs != nil {
		t.medianServiceTime = time.Duration(*c.ServiceMs) * time.Millisecond
	}
	if c.Hang == HangOpenConnections {
		t.lastHungSerial = t.listener.serial.Load()
	}
	if c.Hang != "" {
		t.hangAll = c.Hang == HangAllConnections
	}
	t.recordSample()
	t.mu.Unlock()
	return t.Statistics()
}

// Statistics returns the state of the target and a copy of its counters.
func (t *Responder) Statistics() Statistics {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.counts
	s.State, s.InFlight = t.state(), t.inFlight
	s.UptimeMs = int(time.Since(t.startTime).Milliseconds())
	s.ConnectionsMax = int(t.listener.maxOpenCount.Load())
	s.ConnectionsRefused = int(t.listener.refusedCount.Load())
	s.NotRun = make(map[encoder.Reason]int)
	for r, n := range t.counts.NotRun {
		s.NotRun[r] = n
	}
	s.NonIdempotentRuns = make(map[string]int)
	for text, n := range t.counts.NonIdempotentRuns {
		s.NonIdempotentRuns[text] = n
	}
	s.RepeatedAttempts = make(map[string]int)
	for attempt, n := range t.runsByAttempt {
		if n > 1 {
			s.RepeatedAttempts[attempt] = n
		}
	}
	return s
}

// makeCold makes the target cold and restarts its warm-up.
func (t *Responder) makeCold() {
	t.cold = true
	t.coldUntil = time.Now().Add(t.settings.WarmUpTime)
	t.coldAnswersLeft = t.settings.WarmUpAnswers
	t.staysCold = t.settings.WarmUpTime == 0 && t.settings.WarmUpAnswers == 0
}

// state returns the current state, without the report lag. The caller must hold t.mu.
func (t *Responder) state() encoder.LoadState {
	if t.cold && !t.staysCold && t.coldAnswersLeft <= 0 && !time.Now().Before(t.coldUntil) {
		t.cold = false
	}
	switch {
	case t.draining:
		return encoder.LoadStateDraining
	case t.cold:
		return encoder.LoadStateCold
	default:
		return encoder.LoadStateWarm
	}
}

// recordSample records the load for delayed reports and drops the samples that are too old for any report. The caller
// must hold t.mu.
func (t *Responder) recordSample() {
	now := time.Now()
	t.samples = append(t.samples, loadSample{at: now, state: t.state(), inFlight: t.inFlight})
	for len(t.samples) > 1 && !t.samples[1].at.After(now.Add(-t.settings.ReportLag)) {
		t.samples = t.samples[1:]
	}
}

func (t *Responder) serveReport(w http.ResponseWriter, r *http.Request) {
	if !t.awaitNetwork(r) {
		return
	}
	t.mu.Lock()
	t.recordSample()
	reported := t.samples[0]
	t.coldAnnounced = t.coldAnnounced || reported.state == encoder.LoadStateCold
	report := encoder.TargetReport{
		Target: t.settings.Name, Incarnation: t.settings.Incarnation,
		State: reported.state, InFlight: reported.inFlight, Versions: slices.Clone(t.versions),
	}
	t.mu.Unlock()
	if report.Versions == nil {
		report.Versions = []encoder.HeldVersion{}
	}
	if t.awaitNetwork(r) {
		replier.WriteReply(w, http.StatusOK, report)
	}
}

func (t *Responder) serveCancel(w http.ResponseWriter, r *http.Request) {
	q, ok := replier.ReadRequest[encoder.CancelRequest](w, r)
	if !ok || !t.awaitNetwork(r) {
		return
	}
	t.mu.Lock()
	for _, a := range q.Attempts {
		if cancel, found := t.cancelFuncs[a]; found {
			cancel(errCancelled)
		}
	}
	t.mu.Unlock()
	if t.awaitNetwork(r) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// awaitNetwork simulates one direction of the network: it waits for the one-way latency and blocks on a connection that
// hangs. It reports whether the connection can still be used.
func (t *Responder) awaitNetwork(r *http.Request) bool {
	if !t.wait(r.Context(), t.settings.Latency) {
		return false
	}
	serial, _ := r.Context().Value(connSerialKey{}).(int64)
	t.mu.Lock()
	isHung := t.hangAll || serial <= t.lastHungSerial
	t.mu.Unlock()
	if !isHung {
		return true
	}
	select {
	case <-r.Context().Done():
	case <-t.done:
	}
	return false
}

// wait reports whether d passed before ctx ended or the target was closed.
func (t *Responder) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-t.done:
		return false
	}
}

// randomServiceTime returns a random service time for one sub-query. The caller must hold t.mu.
func (t *Responder) randomServiceTime() time.Duration {
	d := time.Duration(float64(t.medianServiceTime) * math.Exp(serviceTimeSigma*t.random.NormFloat64()))
	if t.random.IntN(100) < t.settings.StragglerPercent {
		d = t.settings.StragglerTime
	}
	if time.Now().Before(t.slowUntil) {
		d *= overloadSlowdown
	}
	return d
}
