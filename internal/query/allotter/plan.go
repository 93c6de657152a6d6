// Package allotter decides how the limits of tenants are shared among the instances in relay mode: which instances issue
// the tokens of a limit (Tracker, Placement), how many each of them issues (Issuer), and which of them an instance asks for
// the requests that arrive there (Asker). A token admits one request. Package rationer exchanges the messages. Nothing here
// does input or output or reads a clock; times are durations since an arbitrary instant, including suspensions.
package allotter

import (
	"math"
	"time"
)

const (
	// TokenLifetime is the time after which an issued token can no longer be used, counted from its request by the clock of
	// the asker.
	TokenLifetime = 500 * time.Millisecond
	// portionSize is the maximum number of requests in a window that one portion allows, up to maxPortions portions. Two
	// instances that both hold a portion of this size stay within the usual slack of 20.
	portionSize = 10
	// maxPortions limits the number of instances that are asked before a request is refused.
	maxPortions = 12
	// minCapacity is the least capacity of the bucket of a portion, and minTotalCapacity that of all together. With 1, a
	// bucket would lose what it earns until an asker comes back for the only token: with a single bucket of 2, a limit of 1
	// per second and requests at random times that are 1.5 times as many, 0.85 to 0.93 of the limit were used.
	minCapacity      = 2
	minTotalCapacity = 4
	// capacityTime is the time whose tokens a bucket can hold in addition to one, so that an asker of a high rate does not
	// have to call for each token.
	capacityTime = 200 * time.Millisecond
	// initialTokens is the number of tokens of a tenant that an instance issues in all while it joins, without regard to
	// portions. Until the instances know each other, about two seconds after a start of all of them, there are no others. The
	// bound has room for initialRestarts such starts in a window.
	initialTokens   = 4
	initialRestarts = 2
)

// Bounds is the upper bound on the requests of a tenant over all instances: in each window at most (rate x window + burst) x
// (1 + Overrun) + Slack.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// Limit is the limit of a tenant: Rate requests per second, and Burst in addition.
type Limit struct {
	Rate, Burst float64
}

// Plan is the division of a limit among the buckets that issue its tokens.
type Plan struct {
	// Portions is the number of portions, at least 1.
	Portions int
	// Rate and Capacity are those of the bucket of one portion.
	Rate, Capacity float64
	// Spares is the number of further buckets with the same rate and capacity that issue only in place of portions that
	// cannot be reached.
	Spares int
	// CutOff is the number of tokens per window that all failure domains that are cut off issue together.
	CutOff float64
	// Initial is the number of tokens that the initial issuer issues while it joins.
	Initial int
	window  float64
}

// Divide returns the plan for a limit. All buckets together, with the tokens that askers may still hold from before the
// window, stay within the bounds: the overrun and the slack are divided among the tokens held by askers, the capacity in
// excess of the burst, the spares and the failure domains that are cut off.
func Divide(l Limit, b Bounds) Plan {
	window := b.Window.Seconds()
	total := l.Rate*window + l.Burst
	n := float64(min(max(int(math.Ceil(total/portionSize)), 1), maxPortions))
	p := Plan{Portions: int(n), Rate: l.Rate / n, window: window}
	p.Capacity = max(l.Burst/n, minCapacity, minTotalCapacity/n, 1+p.Rate*capacityTime.Seconds())
	room := b.Overrun*total + b.Slack - l.Rate*TokenLifetime.Seconds() - max(0, n*p.Capacity-l.Burst)
	perPortion := p.Rate*window + p.Capacity
	// A spare may use more than half of the room, because for large limits half of it is less than one portion.
	p.Spares = min(max(int(room/2/perPortion), 0), p.Portions)
	if p.Spares == 0 && perPortion <= room {
		p.Spares = 1
	}
	p.CutOff = max(0, room-float64(p.Spares)*perPortion)
	p.Initial = int(min(initialTokens, p.CutOff/initialRestarts))
	p.CutOff -= initialRestarts * float64(p.Initial)
	return p
}

// cutOffRate returns the rate at which a failure domain with the given fraction of all instances issues tokens while it is
// cut off. Each domain has a bucket with a capacity of 1, which is taken off CutOff.
func (p Plan) cutOffRate(fraction float64, domains int) float64 {
	return max(0, p.CutOff-float64(domains)) * fraction / p.window
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	// at is the time up to which the tokens were earned.
	at time.Duration
}

// fill adds what the bucket has earned until now, up to the capacity.
func (b *bucket) fill(now time.Duration, rate, capacity float64) {
	if now > b.at {
		b.tokens += (now - b.at).Seconds() * rate
		b.at = now
	}
	b.tokens = min(b.tokens, capacity)
}

// take takes up to n whole tokens.
func (b *bucket) take(n int) int {
	granted := min(n, int(b.tokens+roundingMargin))
	b.tokens -= float64(granted)
	return granted
}

// roundingMargin is added to the number of tokens, so that a token is there at the time that was announced for it.
const roundingMargin = 1e-6

// next returns the time until the bucket holds a whole token.
func (b *bucket) next(rate float64) time.Duration {
	if b.tokens+roundingMargin >= 1 {
		return 0
	}
	if rate <= 0 {
		return unknownWait
	}
	return min(time.Duration((1-b.tokens)/rate*float64(time.Second)), maxWait)
}

const (
	// unknownWait is the time after which an instance without a portion of the limit may be asked again.
	unknownWait = 500 * time.Millisecond
	// maxWait is the maximum time that is announced for the next token.
	maxWait = time.Hour
)
