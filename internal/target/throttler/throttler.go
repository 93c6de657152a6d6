// Package throttler keeps the request limits that targets state, in relay mode. A target in need states how many requests
// a second it takes from all instances together, in its replies for as long as the limit holds. Each instance takes an
// equal share of it, so that the instances together stay within the limit without any communication between them, and
// counts the requests that it decides on, whether it sends them itself or through a peer. The sender and the picker use
// it; which requests wait or are refused is left to the relayer.
//
// Until an instance has got a reply with the limit, it does not know it; it then has sent at most the requests that were
// in flight until that reply. It notices the end of a limit with its next reply from the target.
package throttler

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burst is the time whose requests the instances together may save up while they send none.
	burst = 1500 * time.Millisecond
	// minLimit replaces a lower limit, in requests per second over all instances: without any request, the end of a limit
	// of 0 would not be noticed.
	minLimit = 0.25
	// spareRequests is the number of saved-up requests from which an instance need not economize.
	spareRequests = 2
	// reservedFraction is the part of what can be saved up that is left to tenants that have got less, at least one request.
	reservedFraction = 0.25
)

// Allowance is what this instance may send to one target now. The zero value is that of a target without a limit.
type Allowance struct {
	limited bool
	// saved is the number of requests that may be sent at once; a fraction counts towards a later one. It is negative
	// after requests that were chosen at the same time have exceeded it.
	saved float64
	// capacity is the number of requests that can be saved up, at least 1.
	capacity float64
	// share is this instance's share of the limit, in requests per second.
	share float64
}

// Wait returns how long the instance has to wait until it may send a request; 0 if it may now.
func (a Allowance) Wait() time.Duration {
	if !a.limited || a.saved >= 1 {
		return 0
	}
	// A nanosecond more makes up for rounding down.
	return time.Duration((1-a.saved)/a.share*float64(time.Second)) + 1
}

// WaitWithReserve returns how long the instance has to wait until it may send a request and has a reserve left for others;
// 0 if it may now. There is no reserve if fewer than spareRequests can be saved up, since nobody could use the limit then.
func (a Allowance) WaitWithReserve() time.Duration {
	if !a.limited || a.capacity < spareRequests {
		return a.Wait()
	}
	a.saved -= max(reservedFraction*a.capacity, 1)
	return a.Wait()
}

// Exceeds reports whether the instance may send a request earlier than under the other allowance, or more at once.
func (a Allowance) Exceeds(other Allowance) bool {
	switch {
	case !a.limited || !other.limited:
		return !a.limited && other.limited
	case a.Wait() != other.Wait():
		return a.Wait() < other.Wait()
	}
	return a.saved > other.saved
}

// Scarcity returns the used part of what the instance may save up, from 0 to 1.
func (a Allowance) Scarcity() float64 {
	if !a.limited {
		return 0
	}
	return min(max(1-a.saved/a.capacity, 0), 1)
}

// HasSpare reports whether a request that is of use, but not needed, may be sent: a later one would not miss it.
func (a Allowance) HasSpare() bool {
	return !a.limited || a.saved >= min(spareRequests, a.capacity)
}

// Throttler holds the limits of the targets and counts the requests to them.
type Throttler struct {
	// instances returns the number of instances that share a limit. An estimate must not be too low, because the
	// instances together would exceed the limit.
	instances func() int
	// divisor returns the number by which this instance divides the limit of a target, from the number of instances.
	divisor func(target string, instances int) int
	now     func() time.Time
	random  func() float64
	// limited is the number of targets with a limit, so that nothing is locked while there are none.
	limited atomic.Int64

	mu     sync.Mutex
	usages map[string]*usage
}

// usage is the use of the limit of one target.
type usage struct {
	// limit is in requests per second over all instances.
	limit float64
	// saved is the number of requests that this instance may send at once, as of savedAt.
	saved   float64
	savedAt time.Time
}

// Option configures a Throttler.
type Option func(*Throttler)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(t *Throttler) { t.now = now }
}

// WithRandom sets the source of random numbers from 0 to 1.
func WithRandom(random func() float64) Option {
	return func(t *Throttler) { t.random = random }
}

// WithDivisor sets the function that returns the number by which this instance divides the limit of a target. By default it
// is the number of instances.
func WithDivisor(divisor func(target string, instances int) int) Option {
	return func(t *Throttler) { t.divisor = divisor }
}

// New returns a Throttler. The function instances returns the number of instances that share the limits.
func New(instances func() int, opts ...Option) *Throttler {
	t := &Throttler{instances: instances, divisor: func(_ string, n int) int { return n }, now: time.Now, random: rand.Float64, usages: make(map[string]*usage)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Observe records the limit in a reply of the target, in requests per second over all instances; nil if the reply states
// none, which ends an earlier limit.
func (t *Throttler) Observe(target string, limit *float64) {
	if limit == nil && !t.AnyLimited() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usages[target]
	switch {
	case limit == nil:
		delete(t.usages, target)
	case u == nil:
		u = &usage{limit: max(*limit, minLimit), savedAt: t.now()}
		// Instances with shares of less than one request per burst learn of the limit at about the same time; without the
		// random number they would all send their next request at the same time too.
		u.saved = max(u.share(t.divisorOf(target))*burst.Seconds(), t.random())
		t.usages[target] = u
	default:
		t.refill(target, u)
		u.limit = max(*limit, minLimit)
	}
	t.limited.Store(int64(len(t.usages)))
}

// AnyLimited reports whether any target has a limit.
func (t *Throttler) AnyLimited() bool { return t.limited.Load() > 0 }

// Allowance returns what this instance may send to the target now.
func (t *Throttler) Allowance(target string) Allowance {
	if !t.AnyLimited() {
		return Allowance{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usages[target]
	if u == nil {
		return Allowance{}
	}
	return t.refill(target, u)
}

// Take counts a request to the target that is about to be sent.
func (t *Throttler) Take(target string) {
	if !t.AnyLimited() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.usages[target]; u != nil {
		t.refill(target, u)
		u.saved--
	}
}

// Retain drops the limits of targets that are not wanted.
func (t *Throttler) Retain(wanted func(target string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.usages {
		if !wanted(target) {
			delete(t.usages, target)
		}
	}
	t.limited.Store(int64(len(t.usages)))
}

// refill saves up the requests of the time since savedAt. With many instances, a share may be less than one request per
// burst. If each instance then kept its one request for as long as it has nothing to send, all of them together could
// exceed the limit at once; so a request that is not sent within the burst is lost, and saving up starts again.
func (t *Throttler) refill(target string, u *usage) Allowance {
	now := t.now()
	share := u.share(t.divisorOf(target))
	perBurst := share * burst.Seconds()
	u.saved += share * now.Sub(u.savedAt).Seconds()
	u.savedAt = now
	if perBurst >= 1 {
		u.saved = min(u.saved, perBurst)
	} else if u.saved >= 1+perBurst {
		u.saved = math.Mod(u.saved, 1+perBurst)
	}
	return Allowance{limited: true, saved: u.saved, capacity: max(perBurst, 1), share: share}
}

func (t *Throttler) divisorOf(target string) int { return t.divisor(target, t.instances()) }

// share returns the share of one of the instances in the limit, in requests per second.
func (u *usage) share(divisor int) float64 {
	return u.limit / float64(max(divisor, 1))
}
