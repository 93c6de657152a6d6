// Package budgeter limits the repeated sub-requests to each service over all instances within a sliding window. Each
// instance may use a share, and the shares add up to at most the limit without any communication between the
// instances. The sender uses it for retries and hedges.
package budgeter

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bucketCount is the number of buckets in the sliding window.
	bucketCount = 20
	// safetyFactor scales the allowance down for requests that are counted in one window here and in another one
	// elsewhere.
	safetyFactor = 0.85
)

// Limits limits the repeated sub-requests to a service over all instances.
type Limits struct {
	// Ratio is the maximum number of repeated requests per needed request.
	Ratio float64
	// Slack is the number of repeated requests per window that are allowed in addition to the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter counts the requests to each service and allows repeated ones within the limits.
type Budgeter struct {
	limits atomic.Pointer[Limits]
	// instances returns the number of instances that share the slack. The estimate must not be too low.
	instances func() int
	now       func() time.Time
	start     time.Time
	// usages holds a *usage for each service.
	usages sync.Map
}

// Option configures a Budgeter.
type Option func(*Budgeter)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(b *Budgeter) { b.now = now }
}

// New returns a Budgeter. The function instances returns the number of instances that share the slack.
func New(limits Limits, instances func() int, opts ...Option) *Budgeter {
	b := &Budgeter{instances: instances, now: time.Now}
	for _, opt := range opts {
		opt(b)
	}
	b.limits.Store(&limits)
	b.start = b.now()
	return b
}

// SetLimits replaces the limits.
func (b *Budgeter) SetLimits(limits Limits) {
	b.limits.Store(&limits)
}

// RecordRequest counts a needed request to the service, as opposed to a repeated one.
func (b *Budgeter) RecordRequest(service string) {
	u, bucket, _ := b.usage(service)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(bucket)
	u.needed[bucket%bucketCount]++
}

// Take takes one repeated request from the budget of the service and reports whether the budget allowed it. Only the
// given share of the budget is available to it.
func (b *Budgeter) Take(service string, share float64) bool {
	u, bucket, limits := b.usage(service)
	slack := limits.Slack / float64(max(b.instances(), 1))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(bucket)
	needed, repeated := 0, 0
	for i := range bucketCount {
		needed += u.needed[i]
		repeated += u.repeated[i]
	}
	if float64(repeated+1) > share*safetyFactor*(limits.Ratio*float64(needed)+slack) {
		return false
	}
	u.repeated[bucket%bucketCount]++
	return true
}

func (b *Budgeter) usage(service string) (*usage, int, Limits) {
	limits := *b.limits.Load()
	// The buckets span one bucket more than the window, so that a repeated request counts for at least a whole
	// window.
	bucketLength := limits.Window / (bucketCount - 1)
	bucket := int(b.now().Sub(b.start) / bucketLength)
	if u, found := b.usages.Load(service); found {
		return u.(*usage), bucket, limits
	}
	u, _ := b.usages.LoadOrStore(service, &usage{latestBucket: bucket})
	return u.(*usage), bucket, limits
}

// usage counts the needed and repeated requests to one service in each bucket.
type usage struct {
	mu sync.Mutex
	// latestBucket is the number of the newest bucket.
	latestBucket int
	needed       [bucketCount]int
	repeated     [bucketCount]int
}

// advance clears the buckets that have left the window.
func (u *usage) advance(bucket int) {
	for i := max(u.latestBucket+1, bucket-bucketCount+1); i <= bucket; i++ {
		u.needed[i%bucketCount], u.repeated[i%bucketCount] = 0, 0
	}
	u.latestBucket = max(u.latestBucket, bucket)
}
