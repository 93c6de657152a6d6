package allotter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CallTimeout is the time after which an instance that was asked for tokens counts as unreachable.
	CallTimeout = 50 * time.Millisecond
	// DecisionTime is the maximum time that a request waits for tokens.
	DecisionTime = 60 * time.Millisecond
	// slowTime is the time after which a request no longer counts on an unanswered call, and other instances are asked too.
	slowTime = 20 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller may return.
	minRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is the time announced to callers if no instance has announced one.
	defaultRetryAfter = 100 * time.Millisecond
	// demandTime is the time whose requests predict those of the next such time.
	demandTime = 100 * time.Millisecond
	// minPrefetchDemand is the number of requests in demandTime from which tokens are fetched in advance. Below, most tokens
	// would expire unused.
	minPrefetchDemand = 2
	// scarcityTime is the time after a refusal for lack of tokens during which none are fetched in advance, so that no scarce
	// token expires unused.
	scarcityTime = 5 * time.Second
)

// Waiter is a request that waits for a token.
type Waiter struct {
	since time.Duration
	// decide receives the decision, once.
	decide func(admitted bool, retryAfter time.Duration)
}

// Call is a request for tokens that has to be sent to an instance, which may be this one.
type Call struct {
	Instance  string
	Request   Request
	startedAt time.Duration
}

// batch holds tokens that expire together.
type batch struct {
	n       int
	expires time.Duration
}

// holder is what an asker knows of an instance that issues tokens of its tenant.
type holder struct {
	// call is the unanswered call; nil if there is none.
	call *Call
	// emptyUntil is the time before which the instance has no token.
	emptyUntil time.Duration
	// left is the number of tokens that the instance had left at leftAt, if it is known.
	left    float64
	leftAt  time.Duration
	isKnown bool
}

// Asker decides for the requests of one tenant at one instance which are admitted, and which instances are asked for tokens.
// It is not safe for concurrent use.
type Asker struct {
	own    string
	tenant string
	bounds Bounds
	peers  *Peers

	limit   Limit
	version int
	plan    Plan
	fleet   *Fleet
	place   Placement
	// issuers holds the distinct names of place.Custodians, the own one first and the others from a place that depends on
	// this instance, so that the askers do not all ask the same one first.
	issuers []string
	// initialIssuer is the initial issuer of the tenant while this instance joins; empty otherwise or if it is unknown.
	initialIssuer string

	tokens  []batch
	waiters []*Waiter
	holders map[string]*holder
	// demand holds the number of requests in the current and the previous demandTime.
	demand      [2]int
	demandSlot  int64
	scarceUntil time.Duration
	usedAt      time.Duration

	asked, granted, refused int
}

// NewAsker returns an asker without tokens.
func NewAsker(own, tenant string, bounds Bounds, peers *Peers) *Asker {
	return &Asker{own: own, tenant: tenant, bounds: bounds, peers: peers, holders: make(map[string]*holder)}
}

// Configure sets the limit of the tenant, the version of the table that it is from, and the list of instances.
func (a *Asker) Configure(limit Limit, version int, fleet *Fleet, ownDomain string) {
	a.version = version
	if a.fleet == fleet && a.limit == limit {
		return
	}
	a.limit, a.fleet, a.plan = limit, fleet, Divide(limit, a.bounds)
	a.place = fleet.Place(a.tenant, a.plan, ownDomain)
	a.issuers = slices.Clone(a.place.Custodians)
	slices.Sort(a.issuers)
	a.issuers = slices.Compact(a.issuers)
	first := int(xxhash.Sum64String(a.tenant+"\x00"+a.own) % uint64(len(a.issuers)))
	a.issuers = slices.Concat(a.issuers[first:], a.issuers[:first])
	slices.SortStableFunc(a.issuers, func(x, y string) int { return cmp.Compare(a.rankOwn(x), a.rankOwn(y)) })
	for name, h := range a.holders {
		if h.call == nil && !slices.Contains(a.issuers, name) && !slices.Contains(a.place.Spares, name) && a.place.CutOff != name {
			delete(a.holders, name)
		}
	}
}

func (a *Asker) rankOwn(name string) int {
	if name == a.own {
		return 0
	}
	return 1
}

// SetInitialIssuer sets the initial issuer of the tenant; empty if this instance does not join or does not know it.
func (a *Asker) SetInitialIssuer(name string) { a.initialIssuer = name }

// Admit admits a request with a token of this instance, if there is one and no other request waits.
func (a *Asker) Admit(now time.Duration) bool {
	a.count(now)
	if len(a.waiters) > 0 || !a.spend(now) {
		return false
	}
	a.granted++
	return true
}

// Wait adds a request for which Admit has returned false. The decision may be made within the call.
func (a *Asker) Wait(now time.Duration, decide func(admitted bool, retryAfter time.Duration)) *Waiter {
	w := &Waiter{since: now, decide: decide}
	a.waiters = append(a.waiters, w)
	return w
}

// Leave removes a request that no longer waits. It has no effect on one that was decided.
func (a *Asker) Leave(w *Waiter) {
	before := len(a.waiters)
	a.waiters = slices.DeleteFunc(a.waiters, func(other *Waiter) bool { return other == w })
	a.refused += before - len(a.waiters)
}

// count counts a request.
func (a *Asker) count(now time.Duration) {
	a.asked++
	a.usedAt = now
	slot := int64(now / demandTime)
	switch slot - a.demandSlot {
	case 0:
	case 1:
		a.demand = [2]int{0, a.demand[0]}
	default:
		a.demand = [2]int{}
	}
	a.demandSlot = slot
	a.demand[0]++
}

// predicted returns the number of requests that are expected within the next demandTime.
func (a *Asker) predicted(now time.Duration) int {
	slot := int64(now / demandTime)
	switch slot - a.demandSlot {
	case 0:
		elapsed := float64(now%demandTime) / float64(demandTime)
		return a.demand[0] + int((1-elapsed)*float64(a.demand[1]))
	case 1:
		return a.demand[0]
	}
	return 0
}

// spend uses a token that has not expired.
func (a *Asker) spend(now time.Duration) bool {
	for len(a.tokens) > 0 {
		b := &a.tokens[0]
		if b.expires > now && b.n > 0 {
			b.n--
			return true
		}
		a.tokens = a.tokens[1:]
	}
	a.tokens = nil
	return false
}

// held returns the number of tokens that have not expired.
func (a *Asker) held(now time.Duration) int {
	n := 0
	for _, b := range a.tokens {
		if b.expires > now {
			n += b.n
		}
	}
	return n
}

// Replied records the answer to a call.
func (a *Asker) Replied(now time.Duration, c *Call, r Reply) {
	h := a.end(c)
	if r.Granted > 0 {
		a.tokens = append(a.tokens, batch{n: r.Granted, expires: c.startedAt + TokenLifetime})
		slices.SortStableFunc(a.tokens, func(x, y batch) int { return cmp.Compare(x.expires, y.expires) })
	}
	h.left, h.leftAt, h.isKnown = r.Left, now, true
	h.emptyUntil = 0
	if r.Granted < c.Request.Wanted {
		h.emptyUntil = now + max(r.Next, time.Millisecond)
	}
}

// Failed records that a call has got no answer.
func (a *Asker) Failed(now time.Duration, c *Call) {
	a.end(c).isKnown = false
	a.peers.Suspend(c.Instance, now)
}

// end ends a call and returns what is known of the instance.
func (a *Asker) end(c *Call) *holder {
	h := a.holder(c.Instance)
	if h.call == c {
		h.call = nil
	}
	return h
}

func (a *Asker) holder(name string) *holder {
	h := a.holders[name]
	if h == nil {
		h = &holder{}
		a.holders[name] = h
	}
	return h
}

// Advance gives tokens to the requests that wait, refuses those for which there are none, and returns the calls that have to
// be made. It must be called after each change, and every few milliseconds while requests wait.
func (a *Asker) Advance(now time.Duration) []*Call {
	for len(a.waiters) > 0 && a.spend(now) {
		a.granted++
		a.decideFirst(true, 0)
	}
	calls := a.callsFor(now, a.missing(now))
	if len(a.waiters) > 0 && !a.isAwaiting() {
		// All instances were asked: the requests cannot be admitted now.
		a.refuse(now, len(a.waiters))
		a.scarceUntil = now + scarcityTime
	}
	overdue := 0
	for overdue < len(a.waiters) && now-a.waiters[overdue].since >= DecisionTime {
		overdue++
	}
	a.refuse(now, overdue)
	return calls
}

// missing returns the number of tokens that have to be asked for.
func (a *Asker) missing(now time.Duration) int {
	expected := 0
	for _, h := range a.holders {
		if h.call != nil && now-h.call.startedAt < slowTime {
			expected += h.call.Request.Wanted
		}
	}
	missing := len(a.waiters) - expected
	if now < a.scarceUntil {
		return missing
	}
	// Tokens are fetched in advance when less than half of the predicted demand is left.
	demand, held := a.predicted(now), a.held(now)
	if demand >= minPrefetchDemand && 2*(held+expected-len(a.waiters)) <= demand {
		return max(missing, len(a.waiters)+demand-held-expected)
	}
	return missing
}

// callsFor returns calls for the number of tokens, to the instances that are most likely to have some.
func (a *Asker) callsFor(now time.Duration, missing int) []*Call {
	if missing <= 0 {
		return nil
	}
	var calls []*Call
	candidates, unreached := a.candidates(now)
	perCall := int(math.Ceil(a.plan.Capacity))
	for _, name := range candidates {
		if missing <= 0 {
			break
		}
		wanted := min(missing, perCall*a.portionsOf(name))
		missing -= wanted
		c := &Call{Instance: name, startedAt: now, Request: Request{
			Tenant: a.tenant, Limit: a.limit, Version: a.version, Wanted: wanted, Unreached: unreached, Initial: name == a.initialIssuer,
		}}
		a.holder(name).call = c
		calls = append(calls, c)
	}
	return calls
}

// candidates returns the instances that may be asked now, this one first and then those that are expected to have the most
// tokens, and the custodians that cannot be reached.
func (a *Asker) candidates(now time.Duration) (names, unreached []string) {
	all := a.issuers
	for _, name := range a.issuers {
		if _, suspended := a.peers.SuspendedUntil(name, now); suspended {
			unreached = append(unreached, name)
		}
	}
	if len(unreached) > 0 {
		all = slices.Clone(all)
		for _, name := range append(slices.Clone(a.place.Spares), a.place.CutOff) {
			if name != "" && !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	if name := a.initialIssuer; name != "" && !slices.Contains(all, name) {
		all = append(slices.Clone(all), name)
	}
	for _, name := range all {
		_, suspended := a.peers.SuspendedUntil(name, now)
		h := a.holders[name]
		if !suspended && (h == nil || h.call == nil && h.emptyUntil <= now) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.rankOwn(x), a.rankOwn(y)), cmp.Compare(a.expected(y, now), a.expected(x, now)))
	})
	return names, unreached
}

// expected returns the number of tokens that an instance is expected to have, if no other one has asked it since its latest
// reply. An instance that has not replied yet is expected to have half of what it can hold.
func (a *Asker) expected(name string, now time.Duration) float64 {
	portions := float64(a.portionsOf(name))
	if h := a.holders[name]; h != nil && h.isKnown {
		return min(h.left+portions*a.plan.Rate*(now-h.leftAt).Seconds(), portions*a.plan.Capacity)
	}
	return portions * a.plan.Capacity / 2
}

// portionsOf returns the number of portions that an instance holds, at least 1 for one that is asked in place of others.
func (a *Asker) portionsOf(name string) int {
	return max(count(a.place.Custodians, func(c string) bool { return c == name }), 1)
}

// isAwaiting reports whether a call is unanswered.
func (a *Asker) isAwaiting() bool {
	for _, h := range a.holders {
		if h.call != nil {
			return true
		}
	}
	return false
}

// decideFirst decides on the request that has waited longest.
func (a *Asker) decideFirst(admitted bool, retryAfter time.Duration) {
	w := a.waiters[0]
	a.waiters = a.waiters[1:]
	w.decide(admitted, retryAfter)
}

// refuse refuses the first n requests that wait.
func (a *Asker) refuse(now time.Duration, n int) {
	if n == 0 {
		return
	}
	retryAfter := a.retryAfter(now)
	a.refused += n
	for range n {
		a.decideFirst(false, retryAfter)
	}
}

// retryAfter returns the time after which an instance may have a token again.
func (a *Asker) retryAfter(now time.Duration) time.Duration {
	first := time.Duration(-1)
	consider := func(at time.Duration) {
		if at > now && (first < 0 || at < first) {
			first = at
		}
	}
	for name, h := range a.holders {
		if until, suspended := a.peers.SuspendedUntil(name, now); suspended {
			consider(until)
			continue
		}
		consider(h.emptyUntil)
	}
	if first < 0 {
		return defaultRetryAfter
	}
	return max(first-now, minRetryAfter)
}

// IsIdle reports whether the asker had no request for idleTime and can be dropped. It holds no tokens then.
func (a *Asker) IsIdle(now time.Duration) bool {
	return now-a.usedAt > idleTime && len(a.waiters) == 0 && !a.isAwaiting()
}

// IsWaiting reports whether requests wait.
func (a *Asker) IsWaiting() bool { return len(a.waiters) > 0 }

// Usage is what operators see of the quota of a tenant at one instance.
type Usage struct {
	Tenant                  string
	Asked, Granted, Refused int
	Custodians              []string
}

// Usage returns the counts since the asker was created.
func (a *Asker) Usage() Usage {
	return Usage{Tenant: a.tenant, Asked: a.asked, Granted: a.granted, Refused: a.refused, Custodians: slices.Clone(a.place.Custodians)}
}
