// Package picker selects the target of a request by its expected latency, in relay mode. The estimate uses what this
// instance has observed of each target: latency, failures, overdue replies and load. For services whose targets report the
// speed of their machines, the expected completion time of package appraiser replaces latency and load. The package also limits the
// requests in flight and the connections to each target, and the request rate to targets that are cold, which reply
// more slowly until they have warmed up; if that rate is too low for all instances, only the first ones in the
// rendezvous order of the target send to it. The sender uses it; sending is left to the transporter, and counting and
// ordering the instances to package discoverer.
package picker

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/appraiser"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
)

const (
	// The penalties are added to the expected latency of a target.

	// crossDomainPenalty is added for targets in another failure domain. It covers the network latency and the cost
	// of the traffic between failure domains.
	crossDomainPenalty = 3 * time.Millisecond
	// overduePenalty is added for a target with an overdue reply. It is the expected remaining time of a pause, in
	// which a target sends no replies. Targets pause for 150 to 200 ms.
	overduePenalty = 120 * time.Millisecond
	// limitPenalty is added for a target whose request limit is used up, and proportionally before. What is saved up
	// then serves requests for which the other targets are overdue, down or full.
	limitPenalty = 20 * time.Millisecond
	// failurePenalty is added for a target that fails all requests, and proportionally for lower failure shares.
	failurePenalty = 400 * time.Millisecond
	// minDownTime and maxDownTime limit how long a target is considered down after a failed connection attempt.
	minDownTime = 200 * time.Millisecond
	maxDownTime = 400 * time.Millisecond
	// maxFullTime limits how long a target counts as full after it has refused a request. Usually it does so for its
	// expected latency, after which one of its slots is free again.
	maxFullTime = 200 * time.Millisecond
	// overdueFactor and overdueOffset define when a reply is overdue: after overdueFactor times the expected
	// latency of the target plus overdueOffset.
	overdueFactor = 2.5
	overdueOffset = 5 * time.Millisecond
	// latencyWeight and failureWeight are the weights of the latest request in the moving averages.
	latencyWeight = 0.15
	failureWeight = 0.25
	// decayHalfLife is the half-life of a target's failure share and latency deviation while it gets no requests.
	decayHalfLife = 1500 * time.Millisecond
	// maxLoadAge is the maximum age of a load report that is taken into account.
	maxLoadAge = 150 * time.Millisecond
	// maxRelativeLatency and minRelativeLatency limit the latency of a target relative to other targets.
	maxRelativeLatency = 20
	minRelativeLatency = 0.25
	// coldLatencyFactor is the expected latency of a cold target relative to a warm one.
	coldLatencyFactor = 1.6
	// defaultSlots is assumed for targets that do not announce their slots, the number of requests that a target runs
	// concurrently.
	defaultSlots = 2
	// usableConnectionShare is the fraction of a target's connections that all instances together may use. The rest
	// is left for restarted instances.
	usableConnectionShare = 0.85
	// defaultConnectionLimit is the connection limit for targets of services that do not set one.
	defaultConnectionLimit = 8
	// minEvenShare is the number of connections per target that is sufficient for any instance. Connections are
	// divided evenly among the instances if each gets at least this many.
	minEvenShare = 4
	// requestsPerSlot is the maximum number of requests in flight for each slot of a target over all instances: one
	// running, one waiting while the previous reply is in transit, and half a request in reserve for uneven load
	// among instances.
	requestsPerSlot = 2.5
	// minLimit allows another request to a target while its reply to a previous one is overdue.
	minLimit = 2
	// jitter is the maximum random increase of a score in proportion to the expected latency. It spreads requests over
	// equal targets. It is also the increase for each request in the load of the target.
	jitter = 0.1
	// backlogWeight is the part of the outstanding work for each slot of a target that is added to the expected completion.
	// What the estimates miss delays a request most where much is under way. Without it, the median latency of costly
	// requests was 1 % longer in replays with one instance, and the same with four.
	backlogWeight = 0.25
	// roundTrip and crossDomainRoundTrip are the network times of a request to a target in the failure domain of this
	// instance and in another one, which are not work of the target.
	roundTrip            = 500 * time.Microsecond
	crossDomainRoundTrip = 3 * time.Millisecond
)

// ColdLimits defines the request rate that all instances together may send to a cold target: the warm-up rate of the
// service times Factor plus Slack, in requests per second.
type ColdLimits struct {
	Factor float64
	Slack  float64
}

// Fleet provides the instances that send to the same targets, including this one. Estimates must not be too low,
// because limits are shared among the instances.
type Fleet interface {
	InstanceEstimate() int
	// CountInstancesIn returns the number of instances in a failure domain.
	CountInstancesIn(domain string) int
	// CountPreceding returns the number of instances that rank before this one in the rendezvous order for the key,
	// which is the same on all instances.
	CountPreceding(key string) int
}

// Limits provides what this instance may send to a target that has stated a request limit.
type Limits interface {
	Allowance(target string) throttler.Allowance
}

// noLimits implements Limits for targets that never state one.
type noLimits struct{}

func (noLimits) Allowance(string) throttler.Allowance { return throttler.Allowance{} }

// Costs estimates the cost of requests and the outstanding work of targets; *appraiser.Appraiser implements it.
type Costs interface {
	Expect(now time.Time, p appraiser.Placement) (appraiser.Expectation, bool)
	Begin(now time.Time, p appraiser.Placement) (*appraiser.Request, appraiser.Expectation)
	Observe(sentAt time.Time, service, target string, slots int, report appraiser.Report)
	Retain(now time.Time, wanted func(target string) bool)
}

// noCosts implements Costs for an instance that places all requests by the load of the targets.
type noCosts struct{}

func (noCosts) Expect(time.Time, appraiser.Placement) (appraiser.Expectation, bool) {
	return appraiser.Expectation{}, false
}

func (noCosts) Begin(time.Time, appraiser.Placement) (*appraiser.Request, appraiser.Expectation) {
	return nil, appraiser.Expectation{}
}

func (noCosts) Observe(time.Time, string, string, int, appraiser.Report) {}

func (noCosts) Retain(time.Time, func(string) bool) {}

// Option configures a Picker.
type Option func(*Picker)

// WithLimits sets the request limits that targets state.
func WithLimits(limits Limits) Option {
	return func(p *Picker) { p.limits = limits }
}

// WithCosts sets what estimates the cost of requests to services whose targets report the speed of their machines.
func WithCosts(costs Costs) Option {
	return func(p *Picker) { p.costs = costs }
}

// WithAssignment sets what divides connections and rates among instances of different CPU capacity.
func WithAssignment(a Assignment) Option {
	return func(p *Picker) { p.assignment = a }
}

// Picker holds the observations of each target and selects targets by them.
type Picker struct {
	coldLimits ColdLimits
	fleet      Fleet
	limits     Limits
	costs      Costs
	assignment Assignment
	// domain is the failure domain of this instance.
	domain string
	// byTarget holds an *observations for each target ID.
	byTarget sync.Map
}

// New returns a Picker for an instance in the given failure domain.
func New(coldLimits ColdLimits, fleet Fleet, domain string, opts ...Option) *Picker {
	p := &Picker{coldLimits: coldLimits, fleet: fleet, domain: domain, limits: noLimits{}, costs: noCosts{}, assignment: equalShares{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// observations holds the observations of one target.
type observations struct {
	mu sync.Mutex
	// inFlight holds the requests in flight.
	inFlight map[*InFlightRequest]struct{}
	// relativeLatency is the moving average of the target's latency relative to the median latency of the route of each
	// request, as of relativeLatencyAt.
	relativeLatency   float64
	relativeLatencyAt time.Time
	// failureShare is the share of recent requests that failed, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// downUntil is the time until which the target is considered down. downTime doubles with each failed connection
	// attempt, up to maxDownTime.
	downUntil time.Time
	downTime  time.Duration
	// fullUntil is the time until which the target counts as full after it has refused a request.
	fullUntil time.Time
	// pausedUntil is the time until which the target wants no requests from this instance, if it has not started again
	// since pausedStart.
	pausedUntil time.Time
	pausedStart int
	load        transporter.Load
	loadAt      time.Time
	coldUntil   time.Time
	// repliedAt is when the target sent the latest of its replies.
	repliedAt time.Time
	// coldRequests holds the start times of requests within the last second while the target was cold.
	coldRequests []time.Time
}

// InFlightRequest is a request to a target that has not ended.
type InFlightRequest struct {
	observations *observations
	picker       *Picker
	target       registrar.Target
	sentAt       time.Time
	// cost is what package appraiser knows of the request; nil if its service is not placed by cost.
	cost *appraiser.Request
	// median is the median latency of the route.
	median time.Duration
	// due is the time from which the reply is overdue.
	due time.Time
}

func (p *Picker) observationsOf(id string) *observations {
	if o, found := p.byTarget.Load(id); found {
		return o.(*observations)
	}
	o, _ := p.byTarget.LoadOrStore(id, &observations{inFlight: make(map[*InFlightRequest]struct{}), relativeLatency: 1})
	return o.(*observations)
}

// Retain drops the observations of targets that are not wanted.
func (p *Picker) Retain(wanted func(target string) bool) {
	p.byTarget.Range(func(id, _ any) bool {
		if !wanted(id.(string)) {
			p.byTarget.Delete(id)
		}
		return true
	})
	p.costs.Retain(time.Now(), wanted)
}

func (p *Picker) instances() int { return max(p.fleet.InstanceEstimate(), 1) }

func slots(t registrar.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// Healthy reports whether the target has no overdue reply and is not considered down.
func (p *Picker) Healthy(id string) bool {
	o := p.observationsOf(id)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.hasOverdue(now) && now.After(o.downUntil)
}

// unlimited is the result of coldAllowance for a target that is warm or whose service has no warm-up rate.
const unlimited = math.MaxInt

// IsDown reports whether the target is considered down, which it is for up to maxDownTime after a failed connection
// attempt.
func (p *Picker) IsDown(id string) bool {
	o := p.observationsOf(id)
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.downUntil)
}

// PausedFor returns how long the target still wants no requests from this instance; 0 if it takes them.
func (p *Picker) PausedFor(t registrar.Target) time.Duration {
	o := p.observationsOf(t.ID)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pausedFor(time.Now(), t)
}

// TargetUsage describes the requests of this instance to a target.
type TargetUsage struct {
	// Limit is the maximum number of requests in flight.
	Limit    int
	InFlight int
	// IsDown reports whether the target is considered down after a failed connection attempt.
	IsDown bool
	IsCold bool
}

// TargetUsage returns a description of the requests to a target.
func (p *Picker) TargetUsage(t registrar.Target, service mapper.Service) TargetUsage {
	o, now := p.observationsOf(t.ID), time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return TargetUsage{Limit: p.RequestLimit(t, service), InFlight: len(o.inFlight), IsDown: now.Before(o.downUntil), IsCold: o.isCold(now, t)}
}

// coldAllowance returns the number of requests that this instance may send to a cold target within a second. If the
// rate of a cold target is lower than one request from each instance, only the first instances in its rendezvous order
// send one each.
func (p *Picker) coldAllowance(t registrar.Target, service mapper.Service, now time.Time) int {
	if service.WarmupRate <= 0 || !p.isCold(t, now) {
		return unlimited
	}
	total := int(service.WarmupRate*p.coldLimits.Factor + p.coldLimits.Slack)
	if allowance, assigned := p.assignment.ColdAllowance(t, total, p.instances()); assigned {
		return allowance
	}
	if share := total / p.instances(); share >= 1 {
		return share
	}
	if p.fleet.CountPreceding(t.ID) < total {
		return 1
	}
	return 0
}

func (p *Picker) isCold(t registrar.Target, now time.Time) bool {
	o := p.observationsOf(t.ID)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isCold(now, t)
}

// Begin records a request that is about to be sent.
func (p *Picker) Begin(t registrar.Target, kind RequestKind) *InFlightRequest {
	o := p.observationsOf(t.ID)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	expected := time.Duration(o.currentRelativeLatency(now) * float64(kind.Median))
	cost, expectation := p.costs.Begin(now, p.placement(t, kind, o.isCold(now, t)))
	if cost != nil {
		expected = expectation.Completion
	}
	overdueAfter := time.Duration(overdueFactor*float64(expected)) + overdueOffset
	r := &InFlightRequest{
		observations: o, picker: p, target: t, sentAt: now, cost: cost, median: kind.Median, due: now.Add(overdueAfter),
	}
	o.inFlight[r] = struct{}{}
	if o.isCold(now, t) {
		o.coldRequests = append(o.coldRequests, now)
	}
	return r
}

// End records the result of the request.
func (r *InFlightRequest) End(result transporter.Result) {
	o := r.observations
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, r)
	r.recordCost(now, result)
	if result.Load != nil {
		o.load, o.loadAt = *result.Load, now
	}
	if result.ColdFor > 0 {
		o.coldUntil = now.Add(result.ColdFor)
	}
	if until := now.Add(result.PausedFor); result.PausedFor > 0 && (r.target.Started != o.pausedStart || until.After(o.pausedUntil)) {
		o.pausedUntil, o.pausedStart = until, r.target.Started
	}
	switch result.Outcome {
	case transporter.Unsent:
		o.recordUnsent(now, result.Err)
		return
	case transporter.Answered:
		o.downUntil, o.downTime, o.fullUntil = time.Time{}, 0, time.Time{}
		o.recordLatency(now, result.Latency, r.median)
		o.recordOutcome(now, !result.Reply.Success() && result.Reply.Status >= minFailureStatus)
	case transporter.Lost:
		// A request whose context ended before its reply was due is no evidence of a failure.
		o.recordOutcome(now, now.After(r.due) || !endedByContext(result.Err))
	case transporter.Refused:
		o.fullUntil = now.Add(min(time.Duration(o.currentRelativeLatency(now)*float64(r.median)), maxFullTime))
		o.recordOutcome(now, true)
	default:
		o.recordOutcome(now, true)
	}
}

// recordCost records what the result tells of the cost of the request and the load of the target. A result may have come
// through another instance, well after the target replied to that one; its latency was measured there.
func (r *InFlightRequest) recordCost(now time.Time, result transporter.Result) {
	if result.Outcome == transporter.Misdirected {
		// Another target has replied.
		result.Load = nil
	}
	repliedAt := r.sentAt.Add(result.Latency)
	if repliedAt.After(now) {
		repliedAt = now
	}
	if o := r.observations; (result.Outcome == transporter.Answered || result.Outcome == transporter.Refused) && repliedAt.After(o.repliedAt) {
		o.repliedAt = repliedAt
	}
	var report *appraiser.Report
	if l := result.Load; l != nil {
		report = &appraiser.Report{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, WorkFactor: l.WorkFactor}
	}
	switch {
	case r.cost != nil:
		succeeded := result.Outcome == transporter.Answered && result.Reply.Success()
		outcome := appraiser.Outcome{Latency: result.Latency, Network: r.picker.network(r.target), Succeeded: succeeded, Report: report}
		if result.ThroughPeer {
			// That instance is in the failure domain of the target, so its latency holds no way between failure domains.
			outcome.Delay, outcome.Network = outcome.Network/2, roundTrip
		}
		r.cost.End(now, outcome)
	case report != nil:
		r.picker.costs.Observe(repliedAt, r.target.Service, r.target.ID, r.target.Slots, *report)
	}
}

// minFailureStatus is the lowest status that counts as a failure of the target instead of the request.
const minFailureStatus = 500

// recordLatency adds a latency to the moving average of the relative latency.
func (o *observations) recordLatency(now time.Time, latency, median time.Duration) {
	if median <= 0 {
		return
	}
	ratio := min(max(float64(latency)/float64(median), minRelativeLatency), maxRelativeLatency)
	relativeLatency := o.currentRelativeLatency(now)
	o.relativeLatency, o.relativeLatencyAt = relativeLatency+latencyWeight*(ratio-relativeLatency), now
}

// currentRelativeLatency returns the relative latency, which decays towards 1 while the target gets no requests.
func (o *observations) currentRelativeLatency(now time.Time) float64 {
	return 1 + (o.relativeLatency-1)*math.Exp2(-float64(now.Sub(o.relativeLatencyAt))/float64(decayHalfLife))
}

// recordOutcome adds the outcome of a request to the moving average of the failure share.
func (o *observations) recordOutcome(now time.Time, failed bool) {
	share := o.currentFailureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	o.failureShare, o.failureShareAt = share, now
}

// recordUnsent marks the target as down if the connection attempt failed. A lack of free connections, a deadline that
// expired after the connection was opened, or a canceled context is not a fault of the target.
func (o *observations) recordUnsent(now time.Time, err error) {
	var dial *transporter.DialError
	if !errors.As(err, &dial) || errors.Is(err, context.Canceled) {
		return
	}
	o.downTime = min(max(2*o.downTime, minDownTime), maxDownTime)
	o.downUntil = now.Add(o.downTime)
}

// endedByContext reports whether the request ended because its context was canceled or its deadline expired.
func endedByContext(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
