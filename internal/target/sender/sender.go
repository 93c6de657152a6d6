// Package sender sends a request to the most suitable target of a service, within the connections, the cold rate and
// the budget for repetitions that this instance may use.
package sender

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/estimator"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/transporter"
)

const (
	// usualPercent is the quantile that stands for the usual latency of a kind of request.
	usualPercent = 50
	// hedgePercent is the quantile of the latency after which a request is sent a second time.
	hedgePercent = 92
	// hedgeFactor and hedgeFloor define the latency that is too long whatever the quantile says: that multiple of the
	// usual latency and that time more. Pauses and slow targets of the last half minute raise the quantile far above it.
	hedgeFactor = 2.2
	hedgeFloor  = 2 * time.Millisecond
	// firstUsual and firstHedge are assumed before enough requests were answered.
	firstUsual = 20 * time.Millisecond
	firstHedge = 40 * time.Millisecond
	// hedgeShare is the part of the budget that hedges may use.
	hedgeShare = 0.9
	// leastHedge bounds the hedge delay from below.
	leastHedge = 3 * time.Millisecond
)

// errWithdrawn reports a target that may not get new work any more.
var errWithdrawn = errors.New("sender: the target was withdrawn")

// Sender sends requests to targets.
type Sender struct {
	domain      string
	registrar   *registrar.Registrar
	picker      *picker.Picker
	budget      *budgeter.Budgeter
	transporter *transporter.Transporter
	prober      *prober.Prober
	logger      *log.Logger
	scope       tally.Scope
	// kinds holds an *estimator.Window for every kind of request.
	kinds sync.Map
}

// Domain is the failure domain of an instance.
type Domain string

// New creates a sender for an instance in a failure domain.
func New(domain Domain, r *registrar.Registrar, p *picker.Picker, b *budgeter.Budgeter, t *transporter.Transporter, probes *prober.Prober, logger *log.Logger, scope tally.Scope) *Sender {
	return &Sender{domain: string(domain), registrar: r, picker: p, budget: b, transporter: t, prober: probes, logger: logger, scope: scope}
}

// Pace is what is known of the latency of a kind of request.
type Pace struct {
	// Usual is the median.
	Usual time.Duration
	// Hedge is the latency after which a second target is likely to answer first.
	Hedge time.Duration
}

// WithHedge returns the pace with a hedge that is not later than the delay.
func (p Pace) WithHedge(latest time.Duration) Pace {
	p.Hedge = min(p.Hedge, latest)
	return p
}

// Pace returns the latency of a kind of request, such as a route.
func (s *Sender) Pace(kind string) Pace {
	w := s.window(kind)
	usual, known := w.Quantile(usualPercent)
	if !known {
		return Pace{Usual: firstUsual, Hedge: firstHedge}
	}
	hedge, _ := w.Quantile(hedgePercent)
	late := time.Duration(hedgeFactor*float64(usual)) + hedgeFloor
	return Pace{Usual: usual, Hedge: max(min(hedge, late), leastHedge)}
}

func (s *Sender) window(kind string) *estimator.Window {
	if w, found := s.kinds.Load(kind); found {
		return w.(*estimator.Window)
	}
	w, _ := s.kinds.LoadOrStore(kind, estimator.NewWindow())
	return w.(*estimator.Window)
}

// Serving reports whether a target of the service may get new work, can be connected to, and is in a failure domain in
// reach.
func (s *Sender) Serving(service string) bool {
	return slices.ContainsFunc(s.registrar.View().Serving(service), func(t registrar.Target) bool {
		return s.prober.Reachable(t.FailureDomain) && !s.picker.Down(t.ID)
	})
}

// Serviceable reports whether a request of the route can succeed with the targets that are in reach.
func (s *Sender) Serviceable(route *mapper.Route, requestID string) bool {
	if !route.Scattered() {
		return s.Serving(route.Destination(requestID))
	}
	missing := len(route.Shards) - route.LeastParts()
	for _, service := range route.Shards {
		if s.Serving(service) {
			continue
		}
		missing--
		if missing < 0 {
			return false
		}
	}
	return true
}

// AllReachable reports whether no failure domain is out of reach.
func (s *Sender) AllReachable() bool { return s.prober.AllReachable() }

// Domain returns the failure domain of this instance.
func (s *Sender) Domain() string { return s.domain }

// Preferred returns the failure domain whose targets of the service are preferred: that of this instance, or any one
// that has a target if this one has none.
func (s *Sender) Preferred(service string) string {
	targets := s.registrar.View().Serving(service)
	if len(targets) == 0 || slices.ContainsFunc(targets, func(t registrar.Target) bool { return t.FailureDomain == s.domain }) {
		return s.domain
	}
	return targets[rand.IntN(len(targets))].FailureDomain
}

// Pick returns the most suitable target of the service that is not excluded; those of the domain are preferred.
func (s *Sender) Pick(service mapper.Service, pace Pace, domain string, excluded func(id string) bool) (registrar.Target, bool) {
	targets := s.registrar.View().Serving(service.Name)
	if !s.prober.AllReachable() {
		targets = slices.DeleteFunc(slices.Clone(targets), func(t registrar.Target) bool { return !s.prober.Reachable(t.FailureDomain) })
	}
	return s.picker.Pick(targets, service, pace.Usual, domain, excluded)
}

// Healthy reports whether nothing speaks against a further request to the target.
func (s *Sender) Healthy(target registrar.Target) bool {
	return s.picker.Healthy(target.ID)
}

// Need counts a request that is sent to the service in any case.
func (s *Sender) Need(service string) {
	s.budget.Need(service)
}

// Retry uses the budget of the service for a request after a failure and reports whether it was sufficient.
func (s *Sender) Retry(service string) bool {
	return s.repeat(service, 1)
}

// Hedge uses the budget of the service for a second request beside the first, and leaves a part of it to retries, without
// which an answer lacks a part for certain.
func (s *Sender) Hedge(service string) bool {
	return s.repeat(service, hedgeShare)
}

func (s *Sender) repeat(service string, share float64) bool {
	if s.budget.Take(service, share) {
		s.scope.Counter("sender-repeats").Inc(1)
		return true
	}
	s.scope.Counter("sender-budget-empty").Inc(1)
	return false
}

// Send sends the request to the target and waits for the outcome until the context ends.
func (s *Sender) Send(ctx context.Context, target registrar.Target, service mapper.Service, kind string, pace Pace, r *transporter.Request, deadline time.Time) transporter.Result {
	end := s.Track(target, kind, pace, r.ID)
	result := s.send(ctx, target, s.picker.Limit(target, service), r, deadline)
	end(result)
	return result
}

// SendForPeer sends the request of another instance, which has chosen the target, and waits for the outcome. It may use
// all connections to the target that this instance may have.
func (s *Sender) SendForPeer(ctx context.Context, target registrar.Target, kind string, r *transporter.Request, deadline time.Time) transporter.Result {
	service := s.registrar.View().Table().Service(target.Service)
	end := s.Track(target, kind, s.Pace(kind), r.ID)
	result := s.send(ctx, target, s.picker.ConnectionLimit(target, service), r, deadline)
	end(result)
	return result
}

// Track records a request to the target that is about to be sent, also by another instance; the function that it returns
// records what became of it.
func (s *Sender) Track(target registrar.Target, kind string, pace Pace, requestID string) func(transporter.Result) {
	attempt, wait := s.picker.Begin(target, pace.Usual), s.prober.Begin(target.FailureDomain)
	return func(result transporter.Result) {
		attempt.End(result)
		wait.End(result.Outcome != transporter.Lost && result.Outcome != transporter.Unsent)
		if result.Outcome == transporter.Misdirected && s.registrar.Withdraw(target.ID, target.Address) {
			s.logger.Info("target withdrawn, another one has its address", "target", target.ID, "address", target.Address,
				"service", target.Service, "id", requestID)
		}
		if result.Outcome == transporter.Answered && result.Reply.Success() {
			s.window(kind).Record(result.Latency)
		}
		s.scope.Counter("sender-" + result.Outcome.String()).Inc(1)
	}
}

func (s *Sender) send(ctx context.Context, target registrar.Target, limit int, r *transporter.Request, deadline time.Time) transporter.Result {
	if !s.registrar.View().Usable(target.ID) {
		return transporter.Result{Outcome: transporter.Unsent, Err: errWithdrawn}
	}
	return s.transporter.Send(ctx, target.ID, target.Address, limit, r, time.Until(deadline))
}
