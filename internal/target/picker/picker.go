// Package picker selects the target of a request by its expected latency, in relay mode. The estimate uses what this
// instance has observed of each target: latency, failures, overdue replies and load. The package also limits the
// requests in flight and the connections to each target, and the request rate to targets that are cold, which reply
// more slowly until they have warmed up; if that rate is too low for all instances, only the first ones in the
// rendezvous order of the target send to it. The sender uses it; sending is left to the transporter, and counting and
// ordering the instances to package discoverer.
package picker

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
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

// Option configures a Picker.
type Option func(*Picker)

// WithLimits sets the request limits that targets state.
func WithLimits(limits Limits) Option {
	return func(p *Picker) { p.limits = limits }
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
	assignment Assignment
	// domain is the failure domain of this instance.
	domain string
	// byTarget holds an *observations for each target ID.
	byTarget sync.Map
}

// New returns a Picker for an instance in the given failure domain.
func New(coldLimits ColdLimits, fleet Fleet, domain string, opts ...Option) *Picker {
	p := &Picker{coldLimits: coldLimits, fleet: fleet, domain: domain, limits: noLimits{}, assignment: equalShares{}}
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
	// coldRequests holds the start times of requests within the last second while the target was cold.
	coldRequests []time.Time
}

// InFlightRequest is a request to a target that has not ended.
type InFlightRequest struct {
	observations *observations
	// start is the start time of the target, as in registrar.Target.
	start int
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
}

func (p *Picker) instances() int { return max(p.fleet.InstanceEstimate(), 1) }

func slots(t registrar.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// Pick returns the target with the lowest score among those that have capacity and are not excluded. The median is
// the median latency of the route. Targets in the preferred failure domain get no crossDomainPenalty.
func (p *Picker) Pick(targets []registrar.Target, service mapper.Service, median time.Duration, preferredDomain string, excluded func(id string) bool) (registrar.Target, bool) {
	now := time.Now()
	best, bestScore := -1, math.Inf(1)
	for i := range targets {
		if excluded(targets[i].ID) {
			continue
		}
		allowance := p.limits.Allowance(targets[i].ID)
		if allowance.Wait() > 0 {
			continue
		}
		o := p.observationsOf(targets[i].ID)
		score, hasCapacity := o.score(now, targets[i], median, p.RequestLimit(targets[i], service), p.coldAllowance(targets[i], service, now))
		if !hasCapacity {
			continue
		}
		if targets[i].FailureDomain != preferredDomain {
			score += float64(crossDomainPenalty)
		}
		score += allowance.Scarcity() * float64(limitPenalty)
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return registrar.Target{}, false
	}
	return targets[best], true
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

// score returns the expected latency in nanoseconds including all penalties, and whether the target has capacity. A
// target that is considered down has none, nor has one that has just refused a request: requests that wait for another
// target would try it one after the other, and use up the budget for retries.
func (o *observations) score(now time.Time, t registrar.Target, median time.Duration, limit, coldAllowance int) (float64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.inFlight) >= limit || now.Before(o.downUntil) || now.Before(o.fullUntil) || o.pausedFor(now, t) > 0 {
		return 0, false
	}
	expected := o.currentRelativeLatency(now) * float64(median)
	if o.isCold(now, t) {
		if o.recentColdRequests(now) >= coldAllowance {
			return 0, false
		}
		expected *= coldLatencyFactor
	}
	score := expected * (1 + o.expectedWait(now, t) + jitter*rand.Float64())
	if o.hasOverdue(now) {
		score += float64(overduePenalty)
	}
	return score + o.currentFailureShare(now)*float64(failurePenalty), true
}

// pausedFor returns how long the target still wants no requests from this instance. A start of a target knows nothing of
// what the one before it has asked for.
func (o *observations) pausedFor(now time.Time, t registrar.Target) time.Duration {
	if t.Started != o.pausedStart {
		return 0
	}
	return max(o.pausedUntil.Sub(now), 0)
}

// isCold reports whether the target is expected to be cold, by its directory entry or its own reports.
func (o *observations) isCold(now time.Time, t registrar.Target) bool {
	return now.Before(t.ColdUntil) || now.Before(o.coldUntil)
}

// expectedWait returns the expected wait for a slot in multiples of the expected latency.
func (o *observations) expectedWait(now time.Time, t registrar.Target) float64 {
	slots := slots(t)
	load := len(o.inFlight)
	if now.Sub(o.loadAt) < maxLoadAge {
		load = max(load, o.load.Running+o.load.Waiting)
	}
	return float64(max(load-slots+1, 0))/float64(slots) + jitter*float64(load)
}

func (o *observations) hasOverdue(now time.Time) bool {
	for r := range o.inFlight {
		if now.After(r.due) {
			return true
		}
	}
	return false
}

// currentFailureShare returns the failure share, which decays towards 0 while the target gets no requests.
func (o *observations) currentFailureShare(now time.Time) float64 {
	if o.failureShare == 0 {
		return 0
	}
	return o.failureShare * math.Exp2(-float64(now.Sub(o.failureShareAt))/float64(decayHalfLife))
}

// recentColdRequests returns the number of requests within the last second while the target was cold.
func (o *observations) recentColdRequests(now time.Time) int {
	keep := o.coldRequests[:0]
	for _, at := range o.coldRequests {
		if now.Sub(at) < time.Second {
			keep = append(keep, at)
		}
	}
	o.coldRequests = keep
	return len(keep)
}

// Begin records a request that is about to be sent.
func (p *Picker) Begin(t registrar.Target, median time.Duration) *InFlightRequest {
	o := p.observationsOf(t.ID)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	overdueAfter := time.Duration(overdueFactor*o.currentRelativeLatency(now)*float64(median)) + overdueOffset
	r := &InFlightRequest{observations: o, start: t.Started, median: median, due: now.Add(overdueAfter)}
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
	if result.Load != nil {
		o.load, o.loadAt = *result.Load, now
	}
	if result.ColdFor > 0 {
		o.coldUntil = now.Add(result.ColdFor)
	}
	if until := now.Add(result.PausedFor); result.PausedFor > 0 && (r.start != o.pausedStart || until.After(o.pausedUntil)) {
		o.pausedUntil, o.pausedStart = until, r.start
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
