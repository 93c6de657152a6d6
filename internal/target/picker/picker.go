// Package picker selects the target of a request by its expected latency. The estimate uses what this instance has
// observed of each target: latency, failures, overdue answers and load. The package also limits the requests in
// flight and the connections to each target, and the request rate to cold targets. The sender uses it.
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
	"apricotflow/internal/target/transporter"
)

const (
	// crossDomainPenalty is added for targets in another failure domain. It covers the network latency and the cost
	// of the traffic between failure domains.
	crossDomainPenalty = 3 * time.Millisecond
	// overduePenalty is the expected remaining time of a pause. Targets pause for 150 to 200 ms.
	overduePenalty = 120 * time.Millisecond
	// failurePenalty is added for a target that fails all requests, and proportionally for lower failure rates.
	failurePenalty = 400 * time.Millisecond
	// downPenalty ranks a target that cannot be connected to behind all others.
	downPenalty = 2 * time.Second
	// minDownTime and maxDownTime limit how long a target is considered down after a failed connection attempt.
	minDownTime = 200 * time.Millisecond
	maxDownTime = 400 * time.Millisecond
	// overdueFactor and overdueOffset define when an answer is overdue: after overdueFactor times the expected
	// latency of the target plus overdueOffset.
	overdueFactor = 2.5
	overdueOffset = 5 * time.Millisecond
	// latencyWeight and failureWeight are the weights of the latest request in the moving averages.
	latencyWeight = 0.15
	failureWeight = 0.25
	// decayHalfLife is the half-life of a target's failure rate and latency deviation while it gets no requests.
	decayHalfLife = 1500 * time.Millisecond
	// maxLoadAge is the maximum age of a load report that is taken into account.
	maxLoadAge = 150 * time.Millisecond
	// maxRelativeLatency and minRelativeLatency limit the latency of a target relative to other targets.
	maxRelativeLatency = 20
	minRelativeLatency = 0.25
	// coldLatencyFactor is the expected latency of a cold target relative to a warm one.
	coldLatencyFactor = 1.6
	// defaultSlots is assumed for targets that do not announce their number of slots.
	defaultSlots = 2
	// usableConnectionShare is the share of a target's connections that all instances together may use. The rest is
	// left for restarted instances.
	usableConnectionShare = 0.85
	// defaultConnectionLimit is the connection limit for targets of services that do not set one.
	defaultConnectionLimit = 8
	// sufficientConnections is the number of connections per target that is sufficient for any instance.
	sufficientConnections = 4
	// requestsPerSlot is the maximum number of requests in flight for each slot of a target over all instances: one
	// running, one waiting while the previous answer is in transit, and half a request in reserve for uneven load
	// among instances.
	requestsPerSlot = 2.5
	// minLimit allows another request to a target while its answer to a previous one is overdue.
	minLimit = 2
	// jitter is the random share of a score, which spreads requests over equal targets. It also weights the load of a
	// target in its score.
	jitter = 0.1
)

// ColdLimits adjusts the warm-up rate of a service: the allowed rate to a cold target is the warm-up rate times
// Factor plus Slack.
type ColdLimits struct {
	Factor float64
	Slack  float64
}

// Fleet provides the instances that send to the same targets, including this one. Estimates must not be too low,
// because limits are shared among the instances.
type Fleet interface {
	InstanceEstimate() int
	// InstancesIn returns the number of instances in a failure domain.
	InstancesIn(domain string) int
	// CountPreceding returns the number of instances that rank before this one in the rendezvous order for the key.
	CountPreceding(key string) int
}

// Picker holds the observations of each target and selects targets by them.
type Picker struct {
	coldLimits ColdLimits
	fleet      Fleet
	// domain is the failure domain of this instance.
	domain string
	// records holds a *record for each target ID.
	records sync.Map
}

// New returns a Picker for an instance in the given failure domain.
func New(coldLimits ColdLimits, fleet Fleet, domain string) *Picker {
	return &Picker{coldLimits: coldLimits, fleet: fleet, domain: domain}
}

// record holds the observations of one target.
type record struct {
	mu sync.Mutex
	// inFlight holds the requests in flight.
	inFlight map[*Attempt]struct{}
	// relativeLatency is the moving average of the latency relative to the median of all targets, as of
	// relativeLatencyAt.
	relativeLatency   float64
	relativeLatencyAt time.Time
	// failureShare is the share of recent requests that failed, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// downUntil is the time until which the target is considered down. downTime doubles with each failed connection
	// attempt, up to maxDownTime.
	downUntil time.Time
	downTime  time.Duration
	load      transporter.Load
	loadAt    time.Time
	coldUntil time.Time
	// coldRequests holds the start times of requests within the last second while the target was cold.
	coldRequests []time.Time
}

// Attempt is a request in flight to a target.
type Attempt struct {
	record *record
	// median is the median latency of this kind of request.
	median time.Duration
	// due is the time from which the answer is overdue.
	due time.Time
}

func (p *Picker) record(id string) *record {
	if r, found := p.records.Load(id); found {
		return r.(*record)
	}
	r, _ := p.records.LoadOrStore(id, &record{inFlight: make(map[*Attempt]struct{}), relativeLatency: 1})
	return r.(*record)
}

// Retain drops the records of targets that are not wanted.
func (p *Picker) Retain(wanted func(target string) bool) {
	p.records.Range(func(id, _ any) bool {
		if !wanted(id.(string)) {
			p.records.Delete(id)
		}
		return true
	})
}

// Limit returns the maximum number of requests that this instance may have in flight to a target, each on a
// connection of its own. Requests beyond the slots only queue at the target, and a target with a long queue accepts
// fewer connections.
func (p *Picker) Limit(t registrar.Target, service mapper.Service) int {
	useful := max(int(math.Ceil(requestsPerSlot*float64(slots(t))/float64(p.instances()))), minLimit)
	return min(p.ConnectionLimit(t, service), useful)
}

// ConnectionLimit returns the maximum number of connections that this instance may have to a target of the service.
// If there are not enough for all instances, each instance of another failure domain gets one. The instances in the
// domain of the target, which also send for the others, share the rest.
func (p *Picker) ConnectionLimit(t registrar.Target, service mapper.Service) int {
	if service.MaxConnections <= 0 {
		return defaultConnectionLimit
	}
	usable := int(float64(service.MaxConnections) * usableConnectionShare)
	instances := p.instances()
	if evenShare := usable / instances; evenShare >= sufficientConnections {
		return evenShare
	}
	if t.FailureDomain != p.domain {
		return 1
	}
	domainInstances := max(p.fleet.InstancesIn(p.domain), 1)
	return max((usable-(instances-domainInstances))/domainInstances, 1)
}

func (p *Picker) instances() int { return max(p.fleet.InstanceEstimate(), 1) }

func slots(t registrar.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// Pick returns the target with the lowest score among those that have capacity and are not excluded. The median is
// that of this kind of request. Targets in the given failure domain are preferred.
func (p *Picker) Pick(targets []registrar.Target, service mapper.Service, median time.Duration, domain string, excluded func(id string) bool) (registrar.Target, bool) {
	now := time.Now()
	best, bestScore := -1, math.Inf(1)
	for i := range targets {
		if excluded(targets[i].ID) {
			continue
		}
		r := p.record(targets[i].ID)
		score, hasRoom := r.score(now, targets[i], median, p.Limit(targets[i], service), p.coldAllowance(targets[i], service, now))
		if !hasRoom {
			continue
		}
		if targets[i].FailureDomain != domain {
			score += float64(crossDomainPenalty)
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return registrar.Target{}, false
	}
	return targets[best], true
}

// Healthy reports whether the target has no overdue answer and can be connected to.
func (p *Picker) Healthy(id string) bool {
	r := p.record(id)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.hasOverdue(now) && now.After(r.downUntil)
}

// unlimited is the allowance for targets that are warm or have no warm-up rate.
const unlimited = math.MaxInt

// Down reports whether the target is considered down after a failed connection attempt.
func (p *Picker) Down(id string) bool {
	r := p.record(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.downUntil)
}

// TargetUsage describes the requests of this instance to a target.
type TargetUsage struct {
	// Limit is the maximum number of requests in flight.
	Limit    int
	InFlight int
	// IsDown reports whether the target could not be connected to.
	IsDown bool
	IsCold bool
}

// TargetUsage returns a description of the requests to a target.
func (p *Picker) TargetUsage(t registrar.Target, service mapper.Service) TargetUsage {
	r, now := p.record(t.ID), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return TargetUsage{Limit: p.Limit(t, service), InFlight: len(r.inFlight), IsDown: now.Before(r.downUntil), IsCold: r.expectedCold(now, t)}
}

// coldAllowance returns the number of requests that this instance may send to a target within a second. If the rate
// of a cold target is lower than one request from each instance, only the first instances in its rendezvous order
// send one each.
func (p *Picker) coldAllowance(t registrar.Target, service mapper.Service, now time.Time) int {
	if service.WarmupRate <= 0 || !p.isCold(t, now) {
		return unlimited
	}
	total := int(service.WarmupRate*p.coldLimits.Factor + p.coldLimits.Slack)
	if share := total / p.instances(); share >= 1 {
		return share
	}
	if p.fleet.CountPreceding(t.ID) < total {
		return 1
	}
	return 0
}

func (p *Picker) isCold(t registrar.Target, now time.Time) bool {
	r := p.record(t.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expectedCold(now, t)
}

// score returns the expected latency in nanoseconds including all penalties, and whether the target has capacity.
func (r *record) score(now time.Time, t registrar.Target, median time.Duration, limit, coldAllowance int) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight) >= limit {
		return 0, false
	}
	expected := r.currentRelativeLatency(now) * float64(median)
	if r.expectedCold(now, t) {
		if r.recentColdRequests(now) >= coldAllowance {
			return 0, false
		}
		expected *= coldLatencyFactor
	}
	score := expected * (1 + r.expectedWait(now, t) + jitter*rand.Float64())
	if r.hasOverdue(now) {
		score += float64(overduePenalty)
	}
	if now.Before(r.downUntil) {
		score += float64(downPenalty)
	}
	return score + r.failureRate(now)*float64(failurePenalty), true
}

// expectedCold reports whether the target is expected to be cold.
func (r *record) expectedCold(now time.Time, t registrar.Target) bool {
	return now.Before(t.ColdUntil) || now.Before(r.coldUntil)
}

// expectedWait returns the expected wait for a slot in multiples of the median latency.
func (r *record) expectedWait(now time.Time, t registrar.Target) float64 {
	slots := slots(t)
	load := len(r.inFlight)
	if now.Sub(r.loadAt) < maxLoadAge {
		load = max(load, r.load.Running+r.load.Waiting)
	}
	return float64(max(load-slots+1, 0))/float64(slots) + jitter*float64(load)
}

func (r *record) hasOverdue(now time.Time) bool {
	for a := range r.inFlight {
		if now.After(a.due) {
			return true
		}
	}
	return false
}

func (r *record) failureRate(now time.Time) float64 {
	if r.failureShare == 0 {
		return 0
	}
	return r.failureShare * math.Exp2(-float64(now.Sub(r.failureShareAt))/float64(decayHalfLife))
}

// recentColdRequests returns the number of requests within the last second while the target was cold.
func (r *record) recentColdRequests(now time.Time) int {
	keep := r.coldRequests[:0]
	for _, at := range r.coldRequests {
		if now.Sub(at) < time.Second {
			keep = append(keep, at)
		}
	}
	r.coldRequests = keep
	return len(keep)
}

// Begin records a request that is about to be sent.
func (p *Picker) Begin(t registrar.Target, median time.Duration) *Attempt {
	r := p.record(t.ID)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	overdueAfter := time.Duration(overdueFactor*r.currentRelativeLatency(now)*float64(median)) + overdueOffset
	a := &Attempt{record: r, median: median, due: now.Add(overdueAfter)}
	r.inFlight[a] = struct{}{}
	if r.expectedCold(now, t) {
		r.coldRequests = append(r.coldRequests, now)
	}
	return a
}

// End records the result of the request.
func (a *Attempt) End(result transporter.Result) {
	r := a.record
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, a)
	if result.Load != nil {
		r.load, r.loadAt = *result.Load, now
	}
	if result.ColdFor > 0 {
		r.coldUntil = now.Add(result.ColdFor)
	}
	switch result.Outcome {
	case transporter.Unsent:
		r.recordUnsent(now, result.Err)
		return
	case transporter.Answered:
		r.downUntil, r.downTime = time.Time{}, 0
		r.recordLatency(now, result.Latency, a.median)
		r.recordOutcome(now, !result.Reply.Success() && result.Reply.Status >= minFailureStatus)
	case transporter.Lost:
		// A request that was canceled before its answer was due is no evidence of a failure.
		r.recordOutcome(now, now.After(a.due) || !abandonedByCaller(result.Err))
	default:
		r.recordOutcome(now, true)
	}
}

// minFailureStatus is the lowest status that counts as a failure of the target instead of the request.
const minFailureStatus = 500

// recordLatency adds a latency to the moving average of the relative latency.
func (r *record) recordLatency(now time.Time, latency, median time.Duration) {
	if median <= 0 {
		return
	}
	ratio := min(max(float64(latency)/float64(median), minRelativeLatency), maxRelativeLatency)
	relativeLatency := r.currentRelativeLatency(now)
	r.relativeLatency, r.relativeLatencyAt = relativeLatency+latencyWeight*(ratio-relativeLatency), now
}

// currentRelativeLatency returns the relative latency, which decays towards 1 while the target gets no requests.
func (r *record) currentRelativeLatency(now time.Time) float64 {
	return 1 + (r.relativeLatency-1)*math.Exp2(-float64(now.Sub(r.relativeLatencyAt))/float64(decayHalfLife))
}

// recordOutcome adds the outcome of a request to the failure share.
func (r *record) recordOutcome(now time.Time, failed bool) {
	rate := r.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	r.failureShare, r.failureShareAt = rate, now
}

// recordUnsent marks the target as down if the connection attempt failed. Exhausted connections or an expired
// deadline are not faults of the target.
func (r *record) recordUnsent(now time.Time, err error) {
	var dial *transporter.DialError
	if !errors.As(err, &dial) || errors.Is(err, context.Canceled) {
		return
	}
	r.downTime = min(max(2*r.downTime, minDownTime), maxDownTime)
	r.downUntil = now.Add(r.downTime)
}

// abandonedByCaller reports whether the request ended because its context was canceled or its deadline expired.
func abandonedByCaller(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
