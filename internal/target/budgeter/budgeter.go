// Package budgeter bounds the repeated sub-requests to each service over all instances. Each instance spends a share
// that adds up to at most the whole, whatever the others do.
package budgeter

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// buckets is the resolution of the sliding window.
	buckets = 20
	// safety keeps a part of the allowance for requests that are counted here and in another window elsewhere.
	safety = 0.85
)

// Limits bound the repeated sub-requests to a service over all instances.
type Limits struct {
	// Ratio is the share of the requests that may be repeated.
	Ratio float64
	// Slack is the number of repetitions in a window that are allowed beside the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter holds the account of each service.
type Budgeter struct {
	limits atomic.Pointer[Limits]
	// instances returns a safe estimate of how many instances spend from the slack.
	instances func() int
	now       func() time.Time
	start     time.Time
	// accounts holds an *account for every service.
	accounts sync.Map
}

// Option changes a budgeter.
type Option func(*Budgeter)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(b *Budgeter) { b.now = now }
}

// New creates a budgeter; instances returns how many instances share the slack.
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

// Need counts a request that is sent to the service in any case.
func (b *Budgeter) Need(service string) {
	a, n, _ := b.account(service)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(n)
	a.needed[n%buckets]++
}

// Take uses the budget of the service for one repetition and reports whether it was sufficient. It leaves all but a share
// of the budget to others.
func (b *Budgeter) Take(service string, share float64) bool {
	a, n, limits := b.account(service)
	slack := limits.Slack / float64(max(b.instances(), 1))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(n)
	needed, extra := 0, 0
	for i := range buckets {
		needed += a.needed[i]
		extra += a.extra[i]
	}
	if float64(extra+1) > share*safety*(limits.Ratio*float64(needed)+slack) {
		return false
	}
	a.extra[n%buckets]++
	return true
}

func (b *Budgeter) account(service string) (*account, int, Limits) {
	limits := *b.limits.Load()
	// One bucket more than the window, so that a repetition counts for at least a whole window.
	length := limits.Window / (buckets - 1)
	n := int(b.now().Sub(b.start) / length)
	if a, found := b.accounts.Load(service); found {
		return a.(*account), n, limits
	}
	a, _ := b.accounts.LoadOrStore(service, &account{latest: n})
	return a.(*account), n, limits
}

// account counts the requests of one service by time.
type account struct {
	mu sync.Mutex
	// latest is the number of the newest bucket.
	latest int
	needed [buckets]int
	extra  [buckets]int
}

// advance clears the buckets that have left the window.
func (a *account) advance(n int) {
	for i := max(a.latest+1, n-buckets+1); i <= n; i++ {
		a.needed[i%buckets], a.extra[i%buckets] = 0, 0
	}
	a.latest = max(a.latest, n)
}
