// Package picker chooses the target of a request by what this instance has seen of each target: its speed, its
// failures, answers that are overdue, and its load.
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
	// domainPenalty is what an answer from another failure domain must be faster to be preferred: the time of the way
	// and the price of its bytes.
	domainPenalty = 3 * time.Millisecond
	// overduePenalty is the expected rest of a pause. Targets pause for 150 to 200 ms.
	overduePenalty = 120 * time.Millisecond
	// failurePenalty is added for a target that fails every request.
	failurePenalty = 400 * time.Millisecond
	// downPenalty keeps a target that cannot be connected to behind all others.
	downPenalty = 2 * time.Second
	// firstDown and lastDown bound how long a target that cannot be connected to is left alone.
	firstDown = 200 * time.Millisecond
	lastDown  = 400 * time.Millisecond
	// overdueFactor and overdueFloor define when an answer is overdue: after that multiple of the usual latency of the
	// target and that time more.
	overdueFactor = 2.5
	overdueFloor  = 5 * time.Millisecond
	// speedWeight and failureWeight are the weights of the latest request in the moving averages.
	speedWeight   = 0.15
	failureWeight = 0.25
	// forgetTime is the time in which what speaks against a target halves without requests to it.
	forgetTime = 1500 * time.Millisecond
	// loadAge is how long a reported load says something.
	loadAge = 150 * time.Millisecond
	// slowest and fastest bound the speed of a target relative to others.
	slowest = 20
	fastest = 0.25
	// coldSlowdown is how much slower a target is expected to be while it is cold.
	coldSlowdown = 1.6
	// defaultSlots is assumed for targets whose slots are unknown.
	defaultSlots = 2
	// connectionShare is the part of a target's connections that all instances together use, so that a restarted
	// instance finds some left.
	connectionShare = 0.85
	// defaultConnections is the limit for targets of services that do not tell theirs.
	defaultConnections = 8
	// amplePerInstance is the number of connections to a target with which an instance needs no more.
	amplePerInstance = 4
	// slotShare is the number of requests in flight for each slot of a target over all instances: one that runs and one
	// that waits while the answer before it is on its way, and half of one as a reserve for uneven instances.
	slotShare = 2.5
	// leastLimit lets an instance send to a target while its answer to a request before is overdue.
	leastLimit = 2
	// jitter is the random part of a score, which spreads requests among equal targets.
	jitter = 0.1
)

// ColdLimits adjust the rate that a cold target bears.
type ColdLimits struct {
	Factor float64
	Slack  float64
}

// Fleet is what is known of the instances that send to the same targets, this one included. Numbers err to the high side.
type Fleet interface {
	Instances() int
	// InstancesIn returns the number of instances in a failure domain.
	InstancesIn(domain string) int
	// Preceding returns the number of instances before this one in the rendezvous order of a key.
	Preceding(key string) int
}

// Picker keeps a record of each target.
type Picker struct {
	cold  ColdLimits
	fleet Fleet
	// domain is the failure domain of this instance.
	domain string
	// records holds a *record for every target by id.
	records sync.Map
}

// New creates a picker for an instance in a failure domain.
func New(cold ColdLimits, fleet Fleet, domain string) *Picker {
	return &Picker{cold: cold, fleet: fleet, domain: domain}
}

// record is what this instance has seen of one target.
type record struct {
	mu sync.Mutex
	// flying holds the requests in flight.
	flying map[*Attempt]struct{}
	// speed is the usual latency relative to other targets, as seen at speedAt.
	speed   float64
	speedAt time.Time
	// failures is the share of recent requests that failed, at failedAt.
	failures float64
	failedAt time.Time
	// downUntil is when a target that could not be connected to is tried again; downFor grows with each failure.
	downUntil time.Time
	downFor   time.Duration
	load      transporter.Load
	loadAt    time.Time
	coldUntil time.Time
	// sent holds the times of the requests to a cold target in the last second.
	sent []time.Time
}

// Attempt is a request to a target that is in flight.
type Attempt struct {
	record *record
	// usual is the median latency of requests of this kind.
	usual time.Duration
	// due is when the answer becomes overdue.
	due time.Time
}

func (p *Picker) record(id string) *record {
	if r, found := p.records.Load(id); found {
		return r.(*record)
	}
	r, _ := p.records.LoadOrStore(id, &record{flying: make(map[*Attempt]struct{}), speed: 1})
	return r.(*record)
}

// Retain forgets targets that are not wanted any more.
func (p *Picker) Retain(wanted func(target string) bool) {
	p.records.Range(func(id, _ any) bool {
		if !wanted(id.(string)) {
			p.records.Delete(id)
		}
		return true
	})
}

// Limit returns the requests that this instance may have in flight to a target, each on its own connection. More than
// the slots can take only wait there, and a target with a long queue accepts fewer connections.
func (p *Picker) Limit(t registrar.Target, service mapper.Service) int {
	useful := max(int(math.Ceil(slotShare*float64(slots(t))/float64(p.instances()))), leastLimit)
	return min(p.ConnectionLimit(t, service), useful)
}

// ConnectionLimit returns the connections to a target of the service that this instance may have. Where there are too few
// for all, an instance of another failure domain gets one and those of the target's own domain, which also send for
// others, share the rest.
func (p *Picker) ConnectionLimit(t registrar.Target, service mapper.Service) int {
	if service.MaxConnections <= 0 {
		return defaultConnections
	}
	all := int(float64(service.MaxConnections) * connectionShare)
	instances := p.instances()
	if even := all / instances; even >= amplePerInstance {
		return even
	}
	if t.FailureDomain != p.domain {
		return 1
	}
	near := max(p.fleet.InstancesIn(p.domain), 1)
	return max((all-(instances-near))/near, 1)
}

func (p *Picker) instances() int { return max(p.fleet.Instances(), 1) }

func slots(t registrar.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// Pick returns the target with the best prospects among those that have room and are not excluded. The usual latency is
// that of requests of this kind, and targets of the failure domain are preferred.
func (p *Picker) Pick(targets []registrar.Target, service mapper.Service, usual time.Duration, domain string, excluded func(id string) bool) (registrar.Target, bool) {
	now := time.Now()
	best, bestScore := -1, math.Inf(1)
	for i := range targets {
		if excluded(targets[i].ID) {
			continue
		}
		r := p.record(targets[i].ID)
		score, room := r.score(now, targets[i], usual, p.Limit(targets[i], service), p.coldAllowance(targets[i], service, now))
		if !room {
			continue
		}
		if targets[i].FailureDomain != domain {
			score += float64(domainPenalty)
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

// Healthy reports whether nothing speaks against a further request to the target: no answer is overdue, and it can be
// connected to.
func (p *Picker) Healthy(id string) bool {
	r := p.record(id)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.overdue(now) && now.After(r.downUntil)
}

// unlimited is the allowance for a target that is warm or bears any load.
const unlimited = math.MaxInt

// Down reports whether the target could not be connected to a moment ago.
func (p *Picker) Down(id string) bool {
	r := p.record(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.downUntil)
}

// Report is what this instance knows of its requests to a target.
type Report struct {
	// Limit is the number of requests that may be in flight.
	Limit    int
	InFlight int
	// Down targets could not be connected to.
	Down bool
	Cold bool
}

// Report describes the requests to a target.
func (p *Picker) Report(t registrar.Target, service mapper.Service) Report {
	r, now := p.record(t.ID), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{Limit: p.Limit(t, service), InFlight: len(r.flying), Down: now.Before(r.downUntil), Cold: r.cold(now, t)}
}

// coldAllowance returns the requests that this instance may send to a target in a second. Where a cold target bears less
// than one from each instance, the first in its rendezvous order send one each.
func (p *Picker) coldAllowance(t registrar.Target, service mapper.Service, now time.Time) int {
	if service.WarmupRate <= 0 || !p.isCold(t, now) {
		return unlimited
	}
	total := int(service.WarmupRate*p.cold.Factor + p.cold.Slack)
	if share := total / p.instances(); share >= 1 {
		return share
	}
	if p.fleet.Preceding(t.ID) < total {
		return 1
	}
	return 0
}

func (p *Picker) isCold(t registrar.Target, now time.Time) bool {
	r := p.record(t.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold(now, t)
}

// score returns the expected latency in nanoseconds with all penalties, and whether the target has room.
func (r *record) score(now time.Time, t registrar.Target, usual time.Duration, limit, coldAllowance int) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.flying) >= limit {
		return 0, false
	}
	expected := r.currentSpeed(now) * float64(usual)
	if r.cold(now, t) {
		if r.recent(now) >= coldAllowance {
			return 0, false
		}
		expected *= coldSlowdown
	}
	score := expected * (1 + r.queue(now, t) + jitter*rand.Float64())
	if r.overdue(now) {
		score += float64(overduePenalty)
	}
	if now.Before(r.downUntil) {
		score += float64(downPenalty)
	}
	return score + r.failureRate(now)*float64(failurePenalty), true
}

// cold reports whether the target is expected to be cold.
func (r *record) cold(now time.Time, t registrar.Target) bool {
	return now.Before(t.ColdUntil) || now.Before(r.coldUntil)
}

// queue returns the expected wait for a slot in multiples of the usual latency.
func (r *record) queue(now time.Time, t registrar.Target) float64 {
	slots := slots(t)
	load := len(r.flying)
	if now.Sub(r.loadAt) < loadAge {
		load = max(load, r.load.Running+r.load.Waiting)
	}
	return float64(max(load-slots+1, 0))/float64(slots) + jitter*float64(load)
}

func (r *record) overdue(now time.Time) bool {
	for a := range r.flying {
		if now.After(a.due) {
			return true
		}
	}
	return false
}

func (r *record) failureRate(now time.Time) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(forgetTime))
}

// recent returns the number of requests in the last second.
func (r *record) recent(now time.Time) int {
	keep := r.sent[:0]
	for _, at := range r.sent {
		if now.Sub(at) < time.Second {
			keep = append(keep, at)
		}
	}
	r.sent = keep
	return len(keep)
}

// Begin records a request that is about to be sent.
func (p *Picker) Begin(t registrar.Target, usual time.Duration) *Attempt {
	r := p.record(t.ID)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	patience := time.Duration(overdueFactor*r.currentSpeed(now)*float64(usual)) + overdueFloor
	a := &Attempt{record: r, usual: usual, due: now.Add(patience)}
	r.flying[a] = struct{}{}
	if r.cold(now, t) {
		r.sent = append(r.sent, now)
	}
	return a
}

// End records what became of the request.
func (a *Attempt) End(result transporter.Result) {
	r := a.record
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flying, a)
	if result.Load != nil {
		r.load, r.loadAt = *result.Load, now
	}
	if result.Cold > 0 {
		r.coldUntil = now.Add(result.Cold)
	}
	switch result.Outcome {
	case transporter.Unsent:
		r.noteUnsent(now, result.Err)
		return
	case transporter.Answered:
		r.downUntil, r.downFor = time.Time{}, 0
		r.observe(now, result.Latency, a.usual)
		r.fail(now, !result.Reply.Success() && result.Reply.Status >= failureStatus)
	case transporter.Lost:
		// A request that was given up before its answer was due says nothing.
		r.fail(now, now.After(a.due) || !givenUp(result.Err))
	default:
		r.fail(now, true)
	}
}

// failureStatus is the lowest status that speaks against a target and not against the request.
const failureStatus = 500

// observe takes a latency into the relative speed.
func (r *record) observe(now time.Time, latency, usual time.Duration) {
	if usual <= 0 {
		return
	}
	ratio := min(max(float64(latency)/float64(usual), fastest), slowest)
	speed := r.currentSpeed(now)
	r.speed, r.speedAt = speed+speedWeight*(ratio-speed), now
}

// currentSpeed returns the relative speed, which approaches that of other targets without requests.
func (r *record) currentSpeed(now time.Time) float64 {
	return 1 + (r.speed-1)*math.Exp2(-float64(now.Sub(r.speedAt))/float64(forgetTime))
}

// fail takes the outcome of a request into the share of failures.
func (r *record) fail(now time.Time, failed bool) {
	rate := r.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	r.failures, r.failedAt = rate, now
}

// noteUnsent leaves a target alone that could not be connected to. A lack of connections or time says nothing about it.
func (r *record) noteUnsent(now time.Time, err error) {
	var dial *transporter.DialError
	if !errors.As(err, &dial) || errors.Is(err, context.Canceled) {
		return
	}
	r.downFor = min(max(2*r.downFor, firstDown), lastDown)
	r.downUntil = now.Add(r.downFor)
}

// givenUp reports whether a request ended because its caller did not wait any longer.
func givenUp(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
