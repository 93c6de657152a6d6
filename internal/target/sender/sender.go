// Package sender selects a target of a service and sends a request to it, in relay mode. It combines target selection,
// connection limits, the rate limit of cold targets and the budget for extra requests (hedges and retries), and it
// tracks the latency of each route to derive hedge delays. It withdraws targets whose address now belongs to another
// target. The relayer uses it and decides when to send, retry or hedge, and the concentrator uses it for requests of
// peers.
package sender

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/estimator"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/queuer"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
)

const (
	// medianPercentile is the percentile that is used as the median latency of a route.
	medianPercentile = 50
	// hedgePercentile is the latency percentile after which a request is hedged.
	hedgePercentile = 92
	// maxHedgeFactor and maxHedgeOffset cap the hedge delay at maxHedgeFactor times the median plus maxHedgeOffset.
	// Without the cap, pauses and slow targets within the latency window of half a minute raise the percentile far
	// above it.
	maxHedgeFactor = 2.2
	maxHedgeOffset = 2 * time.Millisecond
	// defaultMedian and defaultHedgeDelay are used until enough requests have got a reply.
	defaultMedian     = 20 * time.Millisecond
	defaultHedgeDelay = 40 * time.Millisecond
	// hedgeBudgetFraction is the fraction of the budget for extra requests that is available to hedges.
	hedgeBudgetFraction = 0.9
	// limitLogInterval is the minimum time between two log lines about the request limit of a target.
	limitLogInterval = 10 * time.Second
	// pauseLogInterval is the minimum time between two log lines about a target that wants no requests for a while.
	pauseLogInterval = 10 * time.Second
	// excessLogInterval is the minimum time between two log lines about excessive replies of a target.
	excessLogInterval = 10 * time.Second
	// maxControlTargets is the number of other targets to which connections are opened to confirm that a target has ended.
	maxControlTargets = 4
	// minHedgeDelay is the minimum hedge delay.
	minHedgeDelay = 3 * time.Millisecond
)

// errNotServing is returned for a target that is no longer serving: it was removed, is draining or withdrawn, or its
// failure domain is closed.
var errNotServing = errors.New("sender: target does not accept new requests")

// errPaused is returned for a target that wants no requests from this instance for a while, which the instance that has
// chosen it for a request through this one may not know.
var errPaused = errors.New("sender: target wants no requests from this instance now")

// Sender selects targets and sends requests to them.
type Sender struct {
	domain      string
	registrar   *registrar.Registrar
	picker      *picker.Picker
	budget      *budgeter.Budgeter
	throttler   *throttler.Throttler
	transporter *transporter.Transporter
	prober      *prober.Prober
	queue       *queuer.Queue
	logger      *log.Logger
	scope       tally.Scope
	// outcomes holds the counter of each outcome.
	outcomes map[transporter.Outcome]tally.Counter
	// windows holds an *estimator.Window for each route.
	windows sync.Map
	// excessLog limits the log lines about replies that exceed a limit.
	excessLog intervalLog
	// pauseLog limits the log lines about targets that want no requests for a while.
	pauseLog intervalLog
	// limitLog limits the log lines about request limits of targets.
	limitLog intervalLog
	// inProgress is the number of requests to targets that this instance sends itself.
	inProgress atomic.Int64
}

// OwnDomain is the name of the failure domain of this instance. It is a type of its own for dependency injection.
type OwnDomain string

// New returns a Sender for an instance in the given failure domain.
func New(domain OwnDomain, r *registrar.Registrar, p *picker.Picker, b *budgeter.Budgeter, limits *throttler.Throttler, t *transporter.Transporter, probes *prober.Prober, logger *log.Logger, scope tally.Scope) *Sender {
	return &Sender{domain: string(domain), registrar: r, picker: p, budget: b, throttler: limits, transporter: t, prober: probes, queue: queuer.New(), logger: logger, scope: scope, outcomes: newOutcomeCounters(scope)}
}

// LatencyEstimate holds the latency estimates for the requests of a route.
type LatencyEstimate struct {
	// Route is the name of the route.
	Route string
	// Median is the median latency.
	Median time.Duration
	// HedgeDelay is the delay after which a second target is likely to reply before the first one.
	HedgeDelay time.Duration
}

// WithMaxHedgeDelay returns a copy of the estimates with the hedge delay capped at the limit.
func (e LatencyEstimate) WithMaxHedgeDelay(limit time.Duration) LatencyEstimate {
	e.HedgeDelay = min(e.HedgeDelay, limit)
	return e
}

// kind returns what the picker needs to know of the requests of the route.
func (e LatencyEstimate) kind() picker.RequestKind {
	return picker.RequestKind{Route: e.Route, Median: e.Median}
}

// LatencyEstimate returns the latency estimates for the requests of a route.
func (s *Sender) LatencyEstimate(route string) LatencyEstimate {
	w := s.window(route)
	median, known := w.Percentile(medianPercentile)
	if !known {
		return LatencyEstimate{Route: route, Median: defaultMedian, HedgeDelay: defaultHedgeDelay}
	}
	hedge, _ := w.Percentile(hedgePercentile)
	maxHedge := time.Duration(maxHedgeFactor*float64(median)) + maxHedgeOffset
	return LatencyEstimate{Route: route, Median: median, HedgeDelay: max(min(hedge, maxHedge), minHedgeDelay)}
}

func (s *Sender) window(route string) *estimator.Window {
	if w, found := s.windows.Load(route); found {
		return w.(*estimator.Window)
	}
	w, _ := s.windows.LoadOrStore(route, estimator.NewWindow())
	return w.(*estimator.Window)
}

// HasAvailableTarget reports whether at least one target of the service is serving, can be connected to, takes requests and
// is in a reachable failure domain.
func (s *Sender) HasAvailableTarget(service string) bool {
	return slices.ContainsFunc(s.registrar.View().Serving(service), s.isAvailable)
}

// isAvailable reports whether a serving target can be connected to, takes requests and is in a reachable failure domain.
func (s *Sender) isAvailable(t registrar.Target) bool {
	return s.prober.Reachable(t.FailureDomain) && !s.picker.IsDown(t.ID) && s.picker.PausedFor(t) == 0
}

// ShortestPause returns the time until the first of the targets of the services that want no requests from this instance
// takes them again, and whether there are such targets.
func (s *Sender) ShortestPause(services []string) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, service := range services {
		for _, t := range s.registrar.View().Serving(service) {
			if pause := s.picker.PausedFor(t); pause > 0 && (!found || pause < shortest) {
				shortest, found = pause, true
			}
		}
	}
	return shortest, found
}

// CanServe reports whether HasAvailableTarget holds for the service of the route, or for enough of its shards for a
// request to succeed.
func (s *Sender) CanServe(route *mapper.Route, requestID string) bool {
	if !route.IsSharded() {
		return s.HasAvailableTarget(route.SelectService(requestID))
	}
	allowedMissing := len(route.Shards) - route.MinParts()
	for _, service := range route.Shards {
		if s.HasAvailableTarget(service) {
			continue
		}
		allowedMissing--
		if allowedMissing < 0 {
			return false
		}
	}
	return true
}

// AllReachable reports whether all failure domains are reachable.
func (s *Sender) AllReachable() bool { return s.prober.AllReachable() }

// Reaches reports whether the failure domain is reachable.
func (s *Sender) Reaches(domain string) bool { return s.prober.Reachable(domain) }

// ReachesTarget reports whether the failure domain of a known target is reachable.
func (s *Sender) ReachesTarget(id string) bool {
	target, found := s.registrar.View().Target(id)
	return found && s.prober.Reachable(target.FailureDomain)
}

// ReachLost returns a channel that is closed when the next failure domain becomes unreachable.
func (s *Sender) ReachLost() <-chan struct{} { return s.prober.Lost() }

// VerifyReach finds out which failure domains are reachable, if requests have not shown it within the last moments.
func (s *Sender) VerifyReach(ctx context.Context) { s.prober.Verify(ctx) }

// OwnDomainReachable reports whether the failure domain of this instance is reachable.
func (s *Sender) OwnDomainReachable() bool { return s.prober.Reachable(s.domain) }

// OwnDomain returns the failure domain of this instance.
func (s *Sender) OwnDomain() string { return s.domain }

// PreferredDomain returns the failure domain whose targets are preferred for the service: the domain of this instance
// if it has a serving target or none has, otherwise that of a random serving target.
func (s *Sender) PreferredDomain(service string) string {
	targets := s.registrar.View().Serving(service)
	if len(targets) == 0 || slices.ContainsFunc(targets, func(t registrar.Target) bool { return t.FailureDomain == s.domain }) {
		return s.domain
	}
	return targets[rand.IntN(len(targets))].FailureDomain
}

// Allowance returns what this instance may send to the service now: the best allowance of its available targets, and no
// limit if there are none.
func (s *Sender) Allowance(service string) throttler.Allowance {
	if !s.throttler.AnyLimited() {
		return throttler.Allowance{}
	}
	best, found := throttler.Allowance{}, false
	for _, t := range s.registrar.View().Serving(service) {
		if !s.isAvailable(t) {
			continue
		}
		if a := s.throttler.Allowance(t.ID); !found || a.Exceeds(best) {
			best, found = a, true
		}
	}
	return best
}

// LimitWait returns the time until the request limits allow a request to the service. A tenant that has lately got more of
// the service than another one that is not less urgent leaves a reserve for it.
func (s *Sender) LimitWait(service string, rank queuer.Rank) time.Duration {
	a := s.Allowance(service)
	if a.Wait() == 0 && s.queue.HasGotMore(service, rank) {
		return a.WaitWithReserve()
	}
	return a.Wait()
}

// NoteRefused notes that a request was refused because the request limits are used up.
func (s *Sender) NoteRefused(service string, rank queuer.Rank) { s.queue.NoteRefused(service, rank) }

// AnyLimited reports whether any target has stated a request limit.
func (s *Sender) AnyLimited() bool { return s.throttler.AnyLimited() }

// Pick returns the best target of the service that is not excluded. Targets in the preferred failure domain are
// favored.
func (s *Sender) Pick(service mapper.Service, latency LatencyEstimate, preferredDomain string, excluded func(id string) bool) (registrar.Target, bool) {
	targets := s.registrar.View().Serving(service.Name)
	if !s.prober.AllReachable() {
		targets = slices.DeleteFunc(slices.Clone(targets), func(t registrar.Target) bool { return !s.prober.Reachable(t.FailureDomain) })
	}
	return s.picker.Pick(targets, service, latency.kind(), preferredDomain, excluded)
}

// Wait enters a request into the queue for targets of the service, at least until the given time. The function wake is
// called when the request may be able to take one; it must not block.
func (s *Sender) Wait(service string, rank queuer.Rank, until time.Time, wake func()) *queuer.Waiter {
	return s.queue.Enter(service, rank, until, wake)
}

// Outlook returns what a request that waits for a target of the service until the given time can expect. The waiter is
// that of the request, or nil if it does not wait.
func (s *Sender) Outlook(service mapper.Service, rank queuer.Rank, waiter *queuer.Waiter, until time.Time) queuer.Outlook {
	capacity := 0
	for _, t := range s.registrar.View().Serving(service.Name) {
		capacity += s.picker.RequestLimit(t, service)
	}
	return s.queue.Outlook(service.Name, rank, waiter, until, capacity, time.Now())
}

// MayTake reports whether a request may take a target of the service: no waiting request goes first. The waiter is that
// of the request, or nil if it does not wait.
func (s *Sender) MayTake(service string, rank queuer.Rank, waiter *queuer.Waiter) bool {
	return s.queue.MayTake(service, rank, waiter, time.Now())
}

// MayHedge reports whether a hedge may be sent to the target: it has no overdue reply, is not considered down, and its
// request limit leaves a request to spare.
func (s *Sender) MayHedge(target registrar.Target) bool {
	return s.picker.Healthy(target.ID) && s.throttler.Allowance(target.ID).HasSpare()
}

// CountRequest counts a request of the tenant to the target that is about to be sent, here or through a peer, against the
// request limit of the target, and as one that the tenant has got. The requests of peers, which SendForPeer sends, are
// counted there.
func (s *Sender) CountRequest(target registrar.Target, tenant string) {
	s.throttler.Take(target.ID)
	s.queue.Record(target.Service, tenant, time.Now())
}

// RecordNeeded counts a needed request to the service, one that is neither a hedge nor a retry. It adds to the budget
// for extra requests.
func (s *Sender) RecordNeeded(service, tenant string) {
	s.budget.RecordNeeded(service, tenant)
}

// AllowRetry takes one retry of the tenant from the budget of the service and reports whether the budget allowed it.
func (s *Sender) AllowRetry(service, tenant string) bool {
	return s.takeBudget(service, tenant, 1)
}

// AllowHedge takes one hedge of the tenant from the budget of the service and reports whether the budget allowed it. A
// fraction of the budget is reserved for retries: a hedged request may still get a reply, but without a retry the answer is
// certain to lack a part.
func (s *Sender) AllowHedge(service, tenant string) bool {
	return s.takeBudget(service, tenant, hedgeBudgetFraction)
}

func (s *Sender) takeBudget(service, tenant string, fraction float64) bool {
	if s.budget.TakeExtra(service, tenant, fraction) {
		s.scope.Counter("sender-repeats").Inc(1)
		return true
	}
	s.scope.Counter("sender-budget-empty").Inc(1)
	return false
}

// HoldsConnections reports whether this instance may have connections to the target. Otherwise requests go through a peer.
func (s *Sender) HoldsConnections(target registrar.Target) bool {
	return s.picker.ConnectionLimit(target, s.registrar.View().Table().Service(target.Service)) > 0
}

// InProgress returns the number of requests to targets that this instance has in progress, for its own queries and for
// those of peers.
func (s *Sender) InProgress() int { return int(s.inProgress.Load()) }

// Send sends the request to the target and waits for the outcome until the context ends.
func (s *Sender) Send(ctx context.Context, target registrar.Target, service mapper.Service, route string, latency LatencyEstimate, r *transporter.Request, deadline time.Time) transporter.Result {
	end := s.Track(target, route, latency, r.ID)
	// The pool also holds connections that were opened for peers, so the limit of the requests would be too low for it.
	result := s.send(ctx, target, s.picker.ConnectionLimit(target, service), r, deadline)
	end(result)
	return result
}

// SendForPeer sends a request for a peer, which has selected the target, and waits for the outcome. It may use all
// connections to the target that are available to this instance.
func (s *Sender) SendForPeer(ctx context.Context, target registrar.Target, route string, r *transporter.Request, deadline time.Time) transporter.Result {
	service := s.registrar.View().Table().Service(target.Service)
	end := s.Track(target, route, s.LatencyEstimate(route), r.ID)
	result := s.send(ctx, target, s.picker.ConnectionLimit(target, service), r, deadline)
	end(result)
	return result
}

// Track records the start of a request to the target, including one that is sent through a peer. The returned function
// records the result and must be called exactly once.
func (s *Sender) Track(target registrar.Target, route string, latency LatencyEstimate, requestID string) func(transporter.Result) {
	latency.Route = route
	inFlight, pending := s.picker.Begin(target, latency.kind()), s.prober.Begin(target.FailureDomain)
	return func(result transporter.Result) {
		inFlight.End(result)
		if givenUpHere(result) {
			pending.Cancel()
		} else {
			// Unsent also counts as no reply, because opening a connection fails if the failure domain is unreachable.
			pending.End(result.Outcome != transporter.Lost && result.Outcome != transporter.Unsent)
		}
		if isUnconnectable(result) {
			s.prober.RecordUnconnectable(target.FailureDomain, target.ID)
		}
		if result.Outcome == transporter.Misdirected && s.registrar.Withdraw(target.ID, target.Address) {
			s.logger.Info("target withdrawn, another one has its address", "target", target.ID, "address", target.Address,
				"service", target.Service, "id", requestID)
		}
		if result.Leaving {
			s.MarkLeaving(target.ID, target.Started, requestID)
		}
		if result.PausedFor > 0 {
			s.recordPause(target, result, requestID)
		}
		s.recordExcess(target, result.Err, requestID)
		s.recordLimit(target, result, requestID)
		if result.Outcome == transporter.Answered && result.Reply.Success() {
			s.window(route).Record(result.Latency)
		}
		s.outcomes[result.Outcome].Inc(1)
		s.queue.Wake(target.Service, time.Now())
	}
}

// newOutcomeCounters returns the counters of the results of requests. Looking them up for each request would cost more than
// counting.
func newOutcomeCounters(scope tally.Scope) map[transporter.Outcome]tally.Counter {
	counters := make(map[transporter.Outcome]tally.Counter)
	for outcome := transporter.Unsent; outcome <= transporter.Lost; outcome++ {
		counters[outcome] = scope.Counter("sender-" + outcome.String())
	}
	return counters
}

// MarkLeaving records that a start of a target has stated, in a reply to the request, that it leaves.
func (s *Sender) MarkLeaving(target string, started int, requestID string) {
	if s.registrar.MarkLeaving(target, started) {
		s.scope.Counter("sender-leaving-targets").Inc(1)
		s.logger.Info("target states that it leaves", "target", target, "started", started, "id", requestID)
	}
}

// HasEnded reports whether the process of the target has ended: it refuses connections while one of a few other targets,
// which has not run the request either, accepts them. If none does, connections from this instance are refused whatever
// the target. If there is no other target, the refusal alone counts.
func (s *Sender) HasEnded(ctx context.Context, target registrar.Target, tried []string) bool {
	controls := s.controlTargets(append(slices.Clone(tried), target.ID))
	accepted := make(chan bool, len(controls))
	for _, c := range controls {
		go func() { accepted <- s.transporter.Accepts(ctx, c.Address) }()
	}
	if !s.transporter.IsRefused(ctx, target.Address) {
		return false
	}
	for range controls {
		if <-accepted {
			return true
		}
	}
	if len(controls) > 0 {
		s.scope.Counter("sender-ends-unconfirmed").Inc(1)
	}
	return len(controls) == 0
}

// controlTargets returns up to maxControlTargets random serving targets besides the excluded ones.
func (s *Sender) controlTargets(excluded []string) []registrar.Target {
	controls := slices.DeleteFunc(slices.Clone(s.registrar.View().Targets()), func(t registrar.Target) bool {
		return t.Draining || t.Withdrawn || slices.Contains(excluded, t.ID)
	})
	rand.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
	return controls[:min(len(controls), maxControlTargets)]
}

// isUnconnectable reports whether no connection to the target could be opened, or a new one ended before any reply.
func isUnconnectable(result transporter.Result) bool {
	if result.Err == nil || errors.Is(result.Err, context.Canceled) {
		return false
	}
	var dial *transporter.DialError
	return errors.As(result.Err, &dial) ||
		result.Outcome == transporter.Lost && result.OnNewConnection && !errors.Is(result.Err, context.DeadlineExceeded)
}

// ErrPeerOutOfReach is returned for a request through a peer that does not reach the target at present.
var ErrPeerOutOfReach = errors.New("sender: peer does not reach the target")

// ErrPeerRefused is returned for a request through a peer that sends nothing on behalf of its tenant.
var ErrPeerRefused = errors.New("sender: peer has refused the request")

// givenUpHere reports whether the request was not tried, because all connections were in use, the target was no longer
// serving or took no requests, or the peer to send it did not reach the target or refused the request.
func givenUpHere(result transporter.Result) bool {
	if result.Err == nil {
		return false
	}
	var busy *transporter.BusyError
	return errors.As(result.Err, &busy) || errors.Is(result.Err, errNotServing) || errors.Is(result.Err, errPaused) ||
		errors.Is(result.Err, ErrPeerOutOfReach) || errors.Is(result.Err, ErrPeerRefused)
}

func (s *Sender) send(ctx context.Context, target registrar.Target, limit int, r *transporter.Request, deadline time.Time) transporter.Result {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	if !s.registrar.View().IsServing(target.ID) {
		return transporter.Result{Outcome: transporter.Unsent, Err: errNotServing}
	}
	if pause := s.picker.PausedFor(target); pause > 0 {
		return transporter.Result{Outcome: transporter.Unsent, Err: errPaused, PausedFor: pause}
	}
	return s.transporter.Send(ctx, target.ID, target.Address, limit, r, time.Until(deadline))
}
