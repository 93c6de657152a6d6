// Package budgeter limits the extra requests (hedges and retries) to each service over all instances within a sliding
// window, in relay mode. An instance may send extra requests in the ratio to its own needed requests, and an equal
// share of the slack, so that the instances together stay within the limit without any communication between
// them. The share of an instance grows from nothing over the first window of its process if it may have been started again:
// the process before has used up to a whole share, of which the next one knows nothing. The sender uses it.
//
// A part of what each tenant has earned by its needed requests is reserved for it, so that a tenant whose requests fail or
// are slow does not use up the extra requests of the others. The rest is for whoever asks first.
package budgeter

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bucketCount is the number of buckets in the sliding window.
	bucketCount = 20
	// safetyFactor scales the allowance down, because whoever checks the limit has windows that start at other times
	// and may count a request in another window.
	safetyFactor = 0.85
)

// Limits limits the extra requests to a service over all instances.
type Limits struct {
	// Ratio is the maximum number of extra requests per needed request.
	Ratio float64
	// Slack is the number of extra requests per window that are allowed in addition to the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter counts the requests to each service and allows extra ones within the limits.
type Budgeter struct {
	limits atomic.Pointer[Limits]
	// instances returns the number of instances that share the slack. An estimate must not be too low, because the
	// instances together would exceed the slack.
	instances func() int
	// divisor returns the number by which this instance divides the slack of a service, from the number of instances.
	divisor func(service string, instances int) int
	now     func() time.Time
	start   time.Time
	// growingSlack reports whether the slack grows over the first window.
	growingSlack bool
	// usages holds a *usage for each service.
	usages sync.Map
}

// Option configures a Budgeter.
type Option func(*Budgeter)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(b *Budgeter) { b.now = now }
}

// WithGrowingSlack makes the slack grow from nothing over the first window. However often a process is started again, its
// starts within a window then use at most one share of the slack.
func WithGrowingSlack() Option {
	return func(b *Budgeter) { b.growingSlack = true }
}

// WithDivisor sets the function that returns the number by which this instance divides the slack of a service. By default it
// is the number of instances.
func WithDivisor(divisor func(service string, instances int) int) Option {
	return func(b *Budgeter) { b.divisor = divisor }
}

// New returns a Budgeter. The function instances returns the number of instances that share the slack.
func New(limits Limits, instances func() int, opts ...Option) *Budgeter {
	b := &Budgeter{instances: instances, divisor: func(_ string, n int) int { return n }, now: time.Now}
	for _, opt := range opts {
		opt(b)
	}
	b.limits.Store(&limits)
	b.start = b.now()
	return b
}

// SetLimits replaces the limits. After a change of the window, the extra requests counted so far count for a whole new
// window, and the needed ones no longer count.
func (b *Budgeter) SetLimits(limits Limits) {
	b.limits.Store(&limits)
	b.usages.Range(func(service, _ any) bool {
		u, bucket, limits := b.currentUsage(service.(string))
		u.mu.Lock()
		defer u.mu.Unlock()
		u.advance(bucket, limits.Window)
		return true
	})
}

// RecordNeeded counts a needed request of the tenant to the service, one that is neither a hedge nor a retry. The tenant is
// empty without tenants and for anonymous requests.
func (b *Budgeter) RecordNeeded(service, tenant string) {
	u, bucket, limits := b.currentUsage(service)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(bucket, limits.Window)
	u.total.needed[bucket%bucketCount]++
	if t := u.tenant(tenant); t != nil {
		t.needed[bucket%bucketCount]++
	}
}

// TakeExtra takes one extra request of the tenant from the budget of the service and reports whether the budget allowed
// it. It is refused once the given fraction of the budget is used, or if it would use what is reserved for other tenants.
func (b *Budgeter) TakeExtra(service, tenant string, fraction float64) bool {
	u, bucket, limits := b.currentUsage(service)
	slack := b.slackShare(service, limits)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(bucket, limits.Window)
	needed, extra := u.total.sums()
	allowed := fraction * safetyFactor * (limits.Ratio*float64(needed) + slack)
	if float64(extra+1) > allowed {
		return false
	}
	if len(u.tenants) > 0 && !u.leavesReserves(tenant, allowed-float64(extra), fraction*safetyFactor, limits.Ratio, slack) {
		return false
	}
	u.total.extra[bucket%bucketCount]++
	if t := u.tenant(tenant); t != nil {
		t.extra[bucket%bucketCount]++
	}
	return true
}

// slackShare returns the part of the slack of a service that this instance may use now.
func (b *Budgeter) slackShare(service string, limits Limits) float64 {
	share := limits.Slack / float64(max(b.divisor(service, b.instances()), 1))
	if age := b.now().Sub(b.start); b.growingSlack && age < limits.Window {
		share *= float64(age) / float64(limits.Window)
	}
	return share
}

// currentUsage returns the usage of the service, the number of the current bucket and the limits. It adds the usage if
// there is none.
func (b *Budgeter) currentUsage(service string) (*usage, int, Limits) {
	limits := *b.limits.Load()
	// The buckets span one bucket more than the window, so that an extra request counts for at least a whole
	// window.
	bucketLength := limits.Window / (bucketCount - 1)
	bucket := int(b.now().Sub(b.start) / bucketLength)
	if u, found := b.usages.Load(service); found {
		return u.(*usage), bucket, limits
	}
	u, _ := b.usages.LoadOrStore(service, &usage{window: limits.Window, latestBucket: bucket})
	return u.(*usage), bucket, limits
}

// usage counts the needed and extra requests to one service.
type usage struct {
	mu sync.Mutex
	// window is the length of the window that the buckets divide.
	window time.Duration
	// latestBucket is the number of the newest bucket.
	latestBucket int
	total        counts
	// tenants holds the part of each tenant; empty without tenants. The rest of the total is that of anonymous requests.
	tenants map[string]*counts
}

// advance clears the buckets that have left the window. Under another window the buckets have other numbers, so that
// the counts of the old ones cannot be kept apart.
func (u *usage) advance(bucket int, window time.Duration) {
	if window != u.window {
		u.window, u.latestBucket = window, bucket
		u.total.merge(bucket)
		for _, t := range u.tenants {
			t.merge(bucket)
		}
	}
	if bucket <= u.latestBucket {
		return
	}
	u.total.clear(u.latestBucket, bucket)
	for name, t := range u.tenants {
		t.clear(u.latestBucket, bucket)
		if t.isIdle() {
			delete(u.tenants, name)
		}
	}
	u.latestBucket = bucket
}
