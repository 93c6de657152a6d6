package allotter

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// convergenceTime is the time after a change after which all instances are expected to know it. A custodian of a shorter
	// time tells the instances that may have been custodians before it.
	convergenceTime = 30 * time.Second
	// partitionWait is the time after the first inquiries from which a custodian no longer waits for peers that do not answer:
	// one on a side with half of the instances or fewer has then noticed that, and no longer issues tokens.
	partitionWait = 8 * time.Second
	// inquiryWait is announced to askers until other instances have answered this one, and objectionWait after one has
	// objected.
	inquiryWait   = 60 * time.Millisecond
	objectionWait = 500 * time.Millisecond
	// evidenceTime is the time for which it counts that a custodian could not be reached, or could.
	evidenceTime = 500 * time.Millisecond
	// staggerSteps is the number of different times that are announced to askers that find the same bucket empty, and
	// maxStagger the largest difference, so that they do not return together.
	staggerSteps = 8
	maxStagger   = 200 * time.Millisecond
	// easyPressure is the number of refused askers per second up to which they are only staggered. Above, each further one
	// defers the return of askers by pressureDelay, at most maxDeferral, so that the load of a custodian grows only with the
	// square root of the number of askers.
	easyPressure  = 20
	pressureDelay = 5 * time.Millisecond
	maxDeferral   = 5 * time.Second
	// MaxTenants is the maximum number of tenants of which state is kept.
	MaxTenants = 10_000
	// idleTime is the time without requests after which the state of a tenant may be dropped.
	idleTime = time.Minute
)

// Request asks an instance for tokens.
type Request struct {
	Tenant string
	Limit  Limit
	// Version is the version of the routing table that the limit is from.
	Version int
	Wanted  int
	// Initial reports whether the asker joins and the receiver is the initial issuer of the tenant.
	Initial bool
	// Unreached holds the custodians that the asker cannot reach, without duplicates.
	Unreached []string
}

// Reply answers a Request.
type Reply struct {
	Granted int
	// Next is the time after which the asker may find a token; 0 if there is one now.
	Next time.Duration
	// Left is the number of tokens, with a fraction, that are left after this reply.
	Left float64
}

// Inquiry is the question of an instance to a peer, before it issues tokens, whether the peer can be reached and agrees.
type Inquiry struct {
	Peer    string
	Request Request
	// Announces reports whether the instance asks whether it is a custodian; otherwise it asks only whether the peer can be
	// reached.
	Announces bool
}

// Answer is the result of an inquiry.
type Answer int

// Results of an inquiry.
const (
	// Unreached: the peer cannot be reached, or does not know quotas.
	Unreached Answer = iota
	// Agreed: the peer was reached and has no objection.
	Agreed
	// AgreedAfterIssue is like Agreed, but the peer has issued tokens of the tenant as a custodian within the window.
	AgreedAfterIssue
	// Objected: by the list of the peer, the instance is not a custodian.
	Objected
)

// NoticeKind is the kind of a Notice. The values are log messages.
type NoticeKind string

// Kinds of notices.
const (
	HolderChanged NoticeKind = "portion of a tenant has a new holder"
	CutOffStarted NoticeKind = "failure domain falls back to its part of the slack of a tenant"
)

// Notice tells operators of a change of what an instance issues.
type Notice struct {
	Kind   NoticeKind
	Tenant string
	Detail string
}

// account holds what one instance issues of a tenant's limit.
type account struct {
	limit   Limit
	version int
	plan    Plan
	usedAt  time.Duration

	// replaced reports whether the plan has changed since place was determined.
	replaced bool
	// fleet is the list that place is from; nil before the first one. resumedAt is that of the tracker then.
	fleet     *Fleet
	resumedAt time.Duration
	// refreshedAt is the latest time at which place was compared with the list in force.
	refreshedAt time.Duration
	place       Placement
	// held is the number of portions that this instance holds, and isSpare the number of spares.
	held, spares int

	// since is the time since which this instance is a custodian, and confirmed whether it may issue the tokens.
	since     time.Duration
	confirmed bool
	// openFrom is the time before which the bucket earns nothing.
	openFrom time.Duration
	// inquiring counts the unanswered inquiries. objected, unanswered and mayOverlap report whether a peer has objected, has
	// not answered, or may have issued tokens of the same portion within the window. inquiredAt is the time of the first
	// inquiries of this custody, negative before, and retryAt the time before which none are made.
	inquiring                        int
	objected, unanswered, mayOverlap bool
	inquiredAt, retryAt              time.Duration
	// issuedAt is the latest time at which tokens of the portion were issued; negative before.
	issuedAt time.Duration

	portion, spare, cutOff bucket
	// spareActive and cutOffActive report whether the bucket issues tokens.
	spareActive, cutOffActive bool
	// initial is the number of initial tokens that were issued.
	initial int
	// wasCutOff reports whether the bucket for a domain that is cut off has issued tokens before.
	wasCutOff bool
	// evidence holds what is known of the reachability of custodians, by name.
	evidence map[string]evidence
	// refusals counts the refused askers, to stagger their return. pressure is their number per second, decaying, at
	// refusedAt.
	refusals  int
	pressure  float64
	refusedAt time.Duration
}

// evidence is the result of the latest inquiry at a custodian.
type evidence struct {
	at        time.Duration
	reached   bool
	inquiring bool
}

// Issuer issues tokens as a custodian, a spare or on behalf of a failure domain that is cut off. It is not safe for
// concurrent use.
type Issuer struct {
	bounds   Bounds
	tracker  *Tracker
	accounts map[string]*account
	// droppedAt is the latest time at which a bucket was dropped that was not full. New buckets hold nothing earned before.
	droppedAt time.Duration
	notices   []Notice
}

// NewIssuer returns an issuer that has issued nothing.
func NewIssuer(bounds Bounds, tracker *Tracker) *Issuer {
	return &Issuer{bounds: bounds, tracker: tracker, accounts: make(map[string]*account), droppedAt: -1}
}

// Take issues tokens. It returns the inquiries that have to be made before more can be issued; their results are passed to
// Answered.
func (i *Issuer) Take(now time.Duration, r Request) (Reply, []Inquiry) {
	i.tracker.Observe(now)
	a := i.account(now, r)
	a.usedAt = now
	i.refresh(now, r.Tenant, a)
	granted, next, left := 0, unknownWait, 0.0
	var inquiries []Inquiry
	if a.held > 0 && i.tracker.mayHold(now) {
		if !a.confirmed {
			inquiries = i.confirm(now, r.Tenant, a)
			next = inquiryWait
		}
		if a.confirmed {
			rate, capacity := float64(a.held)*a.plan.Rate, float64(a.held)*a.plan.Capacity
			a.portion.fill(now, rate, capacity)
			if granted = a.portion.take(r.Wanted); granted > 0 {
				a.issuedAt = now
			}
			next, left = a.portion.next(rate), a.portion.tokens
		}
	}
	if a.spares > 0 && len(r.Unreached) > 0 && granted < r.Wanted && i.tracker.mayHold(now) {
		more, wait, questions := i.takeSpare(now, r, a, r.Wanted-granted)
		granted, next, inquiries = granted+more, min(next, wait), append(inquiries, questions...)
	}
	if a.place.CutOff == i.tracker.own && granted < r.Wanted {
		more, wait := i.takeCutOff(now, r.Tenant, a, r.Wanted-granted)
		granted, next = granted+more, min(next, wait)
	}
	if r.Initial && granted < r.Wanted && i.tracker.isJoining(now) && i.droppedAt < 0 {
		more := min(r.Wanted-granted, max(a.plan.Initial-a.initial, 0))
		a.initial += more
		granted += more
	}
	if granted < r.Wanted {
		next += a.stagger(now)
	}
	return Reply{Granted: granted, Next: next, Left: left}, inquiries
}

// stagger returns what is added to the time that is announced to an asker whose wish was not fulfilled.
func (a *account) stagger(now time.Duration) time.Duration {
	a.pressure = a.pressure*math.Exp(-(now-a.refusedAt).Seconds()) + 1
	a.refusedAt = now
	a.refusals++
	if a.plan.Rate <= 0 {
		return 0
	}
	interval := min(time.Duration(float64(time.Second)/a.plan.Rate), maxStagger)
	deferral := time.Duration(max(0, a.pressure-easyPressure) * float64(pressureDelay))
	return interval*time.Duration((a.refusals-1)%staggerSteps)/staggerSteps + min(deferral, maxDeferral)
}

// account returns the account of a tenant, with the limit of the newest version known.
func (i *Issuer) account(now time.Duration, r Request) *account {
	a := i.accounts[r.Tenant]
	if a == nil {
		i.makeRoom(now)
		a = &account{limit: r.Limit, version: r.Version, plan: Divide(r.Limit, i.bounds), evidence: make(map[string]evidence), issuedAt: -1}
		i.accounts[r.Tenant] = a
	}
	if r.Version > a.version {
		a.version = r.Version
		if a.limit != r.Limit {
			i.settle(now, a)
			a.limit, a.plan, a.replaced = r.Limit, Divide(r.Limit, i.bounds), true
		}
	}
	return a
}

// settle credits what the buckets have earned under the plan so far, before it changes.
func (i *Issuer) settle(now time.Duration, a *account) {
	if a.confirmed {
		a.portion.fill(now, float64(a.held)*a.plan.Rate, float64(a.held)*a.plan.Capacity)
	}
	a.spare.fill(now, float64(a.spares)*a.plan.Rate, float64(a.spares)*a.plan.Capacity)
	a.cutOff.fill(now, 0, 1)
}

// refresh adapts the account to a changed list of instances or plan.
func (i *Issuer) refresh(now time.Duration, tenant string, a *account) {
	t := i.tracker
	lastRefresh := a.refreshedAt
	a.refreshedAt = now
	if a.fleet == t.fleet && !a.replaced && a.resumedAt == t.resumedAt {
		return
	}
	isNew, before := a.fleet == nil, a.held
	if !isNew {
		i.settle(now, a)
	}
	a.fleet, a.resumedAt, a.replaced = t.fleet, t.resumedAt, false
	a.place = t.fleet.Place(tenant, a.plan, t.ownDomain)
	isOwn := func(name string) bool { return name == t.own }
	a.held, a.spares = count(a.place.Custodians, isOwn), count(a.place.Spares, isOwn)
	maps.DeleteFunc(a.evidence, func(name string, _ evidence) bool { return !slices.Contains(a.place.Custodians, name) })
	if a.held == 0 {
		a.confirmed = false
		return
	}
	a.since = t.custodySince(tenant, a.plan.Portions)
	switch {
	case isNew:
		a.openFrom, a.inquiredAt = max(a.since, i.droppedAt), -1
	case a.since > lastRefresh || a.held > before:
		// Others may have held these portions instead of this instance.
		a.confirmed, a.inquiredAt, a.openFrom = false, -1, now
		if a.since > lastRefresh {
			a.openFrom = a.since
		}
	}
}

// count returns the number of names that satisfy the condition.
func count(names []string, condition func(string) bool) int {
	n := 0
	for _, name := range names {
		if condition(name) {
			n++
		}
	}
	return n
}

// confirm confirms the custody if it is old enough for all instances to know it. Otherwise it returns the inquiries that
// make it known to the instances that may have been custodians before.
func (i *Issuer) confirm(now time.Duration, tenant string, a *account) []Inquiry {
	if now-max(a.since, a.openFrom) > convergenceTime {
		i.open(a, a.openFrom)
		return nil
	}
	if a.inquiring > 0 || now < a.retryAt {
		return nil
	}
	a.objected, a.unanswered, a.mayOverlap = false, false, false
	if a.inquiredAt < 0 {
		a.inquiredAt = now
	}
	peers := slices.Concat(a.place.Custodians, a.place.successors)
	slices.Sort(peers)
	var inquiries []Inquiry
	for _, peer := range slices.Compact(peers) {
		if peer != i.tracker.own {
			inquiries = append(inquiries, Inquiry{
				Peer: peer, Announces: true, Request: Request{Tenant: tenant, Limit: a.limit, Version: a.version},
			})
		}
	}
	a.inquiring = len(inquiries)
	if a.inquiring == 0 {
		i.open(a, a.openFrom)
	}
	return inquiries
}

// open lets the bucket of the portions issue what it has earned since a time.
func (i *Issuer) open(a *account, since time.Duration) {
	a.confirmed, a.portion = true, bucket{at: since}
}

// Answered records the result of an inquiry.
func (i *Issuer) Answered(now time.Duration, q Inquiry, answer Answer) {
	i.tracker.Observe(now)
	a := i.accounts[q.Request.Tenant]
	if a == nil {
		return
	}
	if !q.Announces {
		a.evidence[q.Peer] = evidence{at: now, reached: answer != Unreached}
		return
	}
	a.objected = a.objected || answer == Objected
	a.unanswered = a.unanswered || answer == Unreached
	a.mayOverlap = a.mayOverlap || answer == AgreedAfterIssue
	a.inquiring = max(a.inquiring-1, 0)
	i.refresh(now, q.Request.Tenant, a)
	switch {
	case a.inquiring > 0 || a.held == 0 || a.confirmed:
	case a.objected:
		a.retryAt = now + objectionWait
	case a.unanswered && now-a.inquiredAt < partitionWait:
		a.retryAt = now + objectionWait
	case a.unanswered || a.mayOverlap:
		i.open(a, now)
		i.notify(HolderChanged, q.Request.Tenant, i.tracker.own)
	default:
		i.open(a, a.openFrom)
	}
}

// Review answers the inquiry of an instance that announces itself as a custodian.
func (i *Issuer) Review(now time.Duration, name string, r Request) Answer {
	i.tracker.Observe(now)
	_, listed := i.tracker.fleet.domains[name]
	if listed && !i.tracker.fleet.holds(name, r.Tenant, Divide(r.Limit, i.bounds).Portions) {
		return Objected
	}
	if a := i.accounts[r.Tenant]; a != nil && a.issuedAt >= 0 && now-a.issuedAt <= i.bounds.Window {
		i.refresh(now, r.Tenant, a)
		if a.held == 0 {
			return AgreedAfterIssue
		}
	}
	return Agreed
}

// takeSpare issues tokens in place of custodians that neither the asker nor this instance can reach.
func (i *Issuer) takeSpare(now time.Duration, r Request, a *account, wanted int) (int, time.Duration, []Inquiry) {
	lost, wait := 0, unknownWait
	var inquiries []Inquiry
	if i.tracker.inMajority() {
		for _, name := range r.Unreached {
			portions := count(a.place.Custodians, func(c string) bool { return c == name })
			if portions == 0 || name == i.tracker.own {
				continue
			}
			e, known := a.evidence[name]
			if !e.inquiring && (!known || now-e.at > evidenceTime) {
				e.inquiring = true
				a.evidence[name] = e
				inquiries = append(inquiries, Inquiry{Peer: name, Request: Request{Tenant: r.Tenant}})
			}
			if known && !e.reached {
				lost += portions
			}
		}
		if len(inquiries) > 0 {
			wait = inquiryWait
		}
	}
	active := min(lost, a.spares)
	switch {
	case active == 0:
		a.spareActive = false
		return 0, wait, inquiries
	case !a.spareActive:
		a.spareActive, a.spare = true, bucket{at: now}
		i.notify(HolderChanged, r.Tenant, fmt.Sprintf("%s in place of %s", i.tracker.own, strings.Join(r.Unreached, " ")))
	}
	rate := float64(active) * a.plan.Rate
	a.spare.fill(now, rate, float64(active)*a.plan.Capacity)
	return a.spare.take(wanted), min(wait, a.spare.next(rate)), inquiries
}

// takeCutOff issues tokens of the own failure domain's part of the slack, while this instance reaches half of the instances
// or fewer.
func (i *Issuer) takeCutOff(now time.Duration, tenant string, a *account, wanted int) (int, time.Duration) {
	rate := a.plan.cutOffRate(i.tracker.domainFraction(), a.fleet.domainCount)
	if i.tracker.inMajority() || rate <= 0 {
		a.cutOffActive = false
		return 0, unknownWait
	}
	if !a.cutOffActive {
		// The bucket has a capacity of 1, which the bound has room for in any window, so that it may have earned a token before
		// the domain was cut off: the first request of each tenant is admitted then.
		if a.cutOffActive = true; !a.wasCutOff {
			a.wasCutOff, a.cutOff = true, bucket{at: i.tracker.started}
		}
		a.cutOff.fill(now, rate, 1)
		i.notify(CutOffStarted, tenant, i.tracker.ownDomain)
	}
	a.cutOff.fill(now, rate, 1)
	return a.cutOff.take(wanted), a.cutOff.next(rate)
}

// makeRoom drops accounts that were not used for idleTime and whose buckets are full, and, if there are still too many, the
// one that was not used for the longest time.
func (i *Issuer) makeRoom(now time.Duration) {
	if len(i.accounts) < MaxTenants {
		return
	}
	for tenant, a := range i.accounts {
		if now-a.usedAt > idleTime && i.isFull(now, a) {
			delete(i.accounts, tenant)
		}
	}
	if len(i.accounts) < MaxTenants {
		return
	}
	oldest := ""
	for tenant, a := range i.accounts {
		if oldest == "" || cmp.Or(cmp.Compare(a.usedAt, i.accounts[oldest].usedAt), strings.Compare(tenant, oldest)) < 0 {
			oldest = tenant
		}
	}
	if !i.isFull(now, i.accounts[oldest]) {
		i.droppedAt = now
	}
	delete(i.accounts, oldest)
}

// isFull reports whether a new account would hold no more than this one.
func (i *Issuer) isFull(now time.Duration, a *account) bool {
	if a.held == 0 {
		return true
	}
	rate, capacity := float64(a.held)*a.plan.Rate, float64(a.held)*a.plan.Capacity
	a.portion.fill(now, rate, capacity)
	return a.confirmed && a.portion.tokens >= capacity
}

func (i *Issuer) notify(kind NoticeKind, tenant, detail string) {
	i.notices = append(i.notices, Notice{Kind: kind, Tenant: tenant, Detail: detail})
}

// Notices returns the notices since the last call.
func (i *Issuer) Notices() []Notice {
	notices := i.notices
	i.notices = nil
	return notices
}
