// Package rationer keeps the limits of tenants across all instances, in relay mode. It asks other instances for tokens,
// answers theirs, and keeps requests waiting meanwhile. Which instance issues how many tokens, and who is asked, is decided
// by package allotter. The receiver asks it for each request of a tenant with a limit; knowing the tenant is left to the
// receiver.
package rationer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/allotter"
	"apricotflow/internal/wire/encoder"
)

const (
	methodTake = "quota-take"
	// updateInterval is the interval at which the list of instances is read.
	updateInterval = 250 * time.Millisecond
	// advanceInterval is the interval at which a waiting request looks for overdue calls.
	advanceInterval = 5 * time.Millisecond
	// inquiryTimeout limits an inquiry, so that the asker that waits for its result still gets an answer in time.
	inquiryTimeout = 35 * time.Millisecond
	// dropInterval is the interval at which tenants without requests are dropped.
	dropInterval = 10 * time.Second
	// recheckInterval is the interval at which instances of versions without quotas are tried again, at most maxRechecks of
	// them at a time.
	recheckInterval = 2 * time.Second
	maxRechecks     = 8
	// maxLoggedNotices is the maximum number of notices that are logged for each updateInterval.
	maxLoggedNotices = 5
	// maxShownTenants is the maximum number of tenants that operators see.
	maxShownTenants = 100
	// maxWanted limits the number of tokens in one request, and maxUnreached that of the custodians in it.
	maxWanted    = 10_000
	maxUnreached = 16
)

// Fleet lists the instances.
type Fleet interface {
	// Statuses returns the other known instances, including suspected ones, which are not reachable.
	Statuses() []encoder.MemberStatus
	// SeedsReached returns how many of the seeds are this instance or known ones that are not suspected, and the number of
	// seeds.
	SeedsReached() (reached, total int)
	// Seeds returns the addresses of the seeds with the names of the instances there, as far as these are known.
	Seeds() map[string]string
}

// Domains tells which failure domains can be reached.
type Domains interface {
	Reachable(domain string) bool
}

// Events records changes for operators.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Tables tells what this package needs to know of the routing table in force.
type Tables interface {
	TableVersion() int
	// HasTenants reports whether the table has tenants. Without them, the list of instances is followed only from the first
	// request on.
	HasTenants() bool
}

// Identity is the own identity.
type Identity struct {
	Instance, FailureDomain string
}

// Option configures a Rationer.
type Option func(*Rationer)

// WithClock sets the clock, which must include suspensions of the machine; the default is timekeeper.BootTime.
func WithClock(now func() time.Duration) Option {
	return func(r *Rationer) { r.now = now }
}

// Rationer admits requests within the limits of their tenants. It is safe for concurrent use.
type Rationer struct {
	identity Identity
	bounds   allotter.Bounds
	fleet    Fleet
	domains  Domains
	tables   Tables
	events   Events
	logger   *log.Logger
	scope    tally.Scope
	now      func() time.Duration
	// started is the start of the process.
	started   time.Duration
	messenger *messenger.Messenger
	peers     *allotter.Peers
	counters  counters
	// list is the latest list of the tracker.
	list atomic.Pointer[allotter.Fleet]
	// follows reports whether the list has been read. Before, this instance would take itself for the only one.
	follows atomic.Bool

	// issuerMu guards tracker, issuer and ignorant. It may be locked while the lock of a tenant is held, never the reverse.
	issuerMu sync.Mutex
	tracker  *allotter.Tracker
	issuer   *allotter.Issuer
	// ignorant holds the instances that run a version without quotas.
	ignorant map[string]bool

	mu      sync.RWMutex
	tenants map[string]*tenant
}

type counters struct {
	asked, granted, refused, calls, failedCalls, inquiries, changes tally.Counter
}

// tenant is the state of a tenant at this instance.
type tenant struct {
	mu    sync.Mutex
	asker *allotter.Asker
}

// New returns a Rationer without a messenger; see Attach.
func New(
	identity Identity, bounds allotter.Bounds, fleet Fleet, domains Domains, tables Tables, events Events, logger *log.Logger, scope tally.Scope,
	options ...Option,
) *Rationer {
	r := &Rationer{
		identity: identity, bounds: bounds, fleet: fleet, domains: domains, tables: tables, events: events, logger: logger, scope: scope,
		now: timekeeper.BootTime, peers: allotter.NewPeers(), ignorant: make(map[string]bool), tenants: make(map[string]*tenant),
		counters: counters{
			asked: scope.Counter("quota-asked"), granted: scope.Counter("quota-granted"), refused: scope.Counter("quota-refused"),
			calls: scope.Counter("quota-calls"), failedCalls: scope.Counter("quota-failed-calls"), inquiries: scope.Counter("quota-inquiries"),
			changes: scope.Counter("quota-holder-changes"),
		},
	}
	for _, option := range options {
		option(r)
	}
	r.started = r.now()
	r.tracker = allotter.NewTracker(identity.Instance, identity.FailureDomain, r.started)
	r.issuer = allotter.NewIssuer(bounds, r.tracker)
	r.list.Store(r.tracker.Fleet())
	return r
}

// Attach sets the messenger and registers the method on it. It must be called before the messenger starts.
func (r *Rationer) Attach(m *messenger.Messenger) {
	r.messenger = m
	messenger.Handle(m, methodTake, r.serve)
}

// Run follows the list of instances, tells operators of changes and drops tenants without requests, until the context ends.
func (r *Rationer) Run(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	droppedAt, recheckedAt := r.now(), r.now()
	for {
		if r.follows.Load() || r.tables.HasTenants() {
			r.update()
		}
		r.report()
		if now := r.now(); now-droppedAt >= dropInterval {
			droppedAt = now
			r.dropIdle()
		}
		if now := r.now(); now-recheckedAt >= recheckInterval {
			recheckedAt = now
			r.recheckIgnorant(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update reads the list of instances.
func (r *Rationer) update() {
	statuses := r.fleet.Statuses()
	reached, total := r.fleet.SeedsReached()
	r.issuerMu.Lock()
	defer r.issuerMu.Unlock()
	members := []allotter.Member{{Name: r.identity.Instance, FailureDomain: r.identity.FailureDomain}}
	for _, s := range statuses {
		members = append(members, allotter.Member{
			Name: s.Instance, FailureDomain: s.FailureDomain, Ignorant: r.ignorant[s.Instance],
			Suspected: !s.Reachable || s.FailureDomain != r.identity.FailureDomain && !r.domains.Reachable(s.FailureDomain),
		})
	}
	r.tracker.Update(r.now(), members, allotter.Seeds{Total: total, Reached: reached})
	r.list.Store(r.tracker.Fleet())
	r.follows.Store(true)
}

// report logs and records what has changed.
func (r *Rationer) report() {
	r.issuerMu.Lock()
	notices := r.issuer.Notices()
	r.issuerMu.Unlock()
	for i, n := range notices {
		kind := recorder.KindQuotaHolderChanged
		if n.Kind == allotter.CutOffStarted {
			kind = recorder.KindQuotaCutOff
		}
		r.counters.changes.Inc(1)
		r.events.Record(kind, n.Tenant, "", n.Detail)
		if i < maxLoggedNotices {
			r.logger.Warn(string(n.Kind), "tenant", n.Tenant, "holder", n.Detail, "more", max(0, len(notices)-maxLoggedNotices))
		}
	}
}

// dropIdle drops the state of tenants without requests.
func (r *Rationer) dropIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropIdleLocked()
}

func (r *Rationer) dropIdleLocked() {
	now := r.now()
	for name, t := range r.tenants {
		t.mu.Lock()
		if t.asker.IsIdle(now) {
			delete(r.tenants, name)
		}
		t.mu.Unlock()
	}
}

// tenant returns the state of a tenant and creates it if there is none.
func (r *Rationer) tenant(name string) *tenant {
	r.mu.RLock()
	t := r.tenants[name]
	r.mu.RUnlock()
	if t != nil {
		return t
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tenants[name]; t != nil {
		return t
	}
	if len(r.tenants) >= allotter.MaxTenants {
		r.dropIdleLocked()
	}
	for other := range r.tenants {
		if len(r.tenants) < allotter.MaxTenants {
			break
		}
		// Its requests that wait are still decided on, and its tokens are lost.
		delete(r.tenants, other)
	}
	t = &tenant{asker: allotter.NewAsker(r.identity.Instance, name, r.bounds, r.peers)}
	r.tenants[name] = t
	return t
}

// decision is the decision on a request.
type decision struct {
	admitted   bool
	retryAfter time.Duration
}

// Admit takes one request of the tenant's limit, or returns after which time there is room. A tenant without a rate has no
// limit. It waits for other instances at most for allotter.DecisionTime.
func (r *Rationer) Admit(ctx context.Context, tenantName string, rate, burst float64) (admitted bool, retryAfter time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	if !r.follows.Load() {
		r.update()
	}
	t := r.tenant(tenantName)
	r.counters.asked.Inc(1)
	t.mu.Lock()
	now := r.now()
	t.asker.Configure(allotter.Limit{Rate: rate, Burst: burst}, r.tables.TableVersion(), r.list.Load(), r.identity.FailureDomain)
	t.asker.SetInitialIssuer(r.initialIssuer(tenantName, now))
	if t.asker.Admit(now) {
		r.advance(t, now)
		t.mu.Unlock()
		r.counters.granted.Inc(1)
		return true, 0
	}
	decided := make(chan decision, 1)
	waiter := t.asker.Wait(now, func(admitted bool, retryAfter time.Duration) { decided <- decision{admitted, retryAfter} })
	r.advance(t, now)
	t.mu.Unlock()
	d := r.await(ctx, t, waiter, decided)
	if d.admitted {
		r.counters.granted.Inc(1)
	} else {
		r.counters.refused.Inc(1)
	}
	return d.admitted, d.retryAfter
}

// initialIssuer returns the initial issuer of the tenant while this instance joins.
func (r *Rationer) initialIssuer(tenant string, now time.Duration) string {
	if now-r.started > allotter.JoinTime {
		return ""
	}
	return allotter.InitialIssuer(tenant, r.fleet.Seeds())
}

// await waits for the decision on a request. If the context ends before, the request is refused.
func (r *Rationer) await(ctx context.Context, t *tenant, waiter *allotter.Waiter, decided chan decision) decision {
	select {
	case d := <-decided:
		return d
	default:
	}
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-decided:
			return d
		case <-ctx.Done():
			t.mu.Lock()
			t.asker.Leave(waiter)
			t.mu.Unlock()
			select {
			case d := <-decided:
				return d
			default:
				return decision{retryAfter: advanceInterval}
			}
		case <-ticker.C:
			t.mu.Lock()
			r.advance(t, r.now())
			t.mu.Unlock()
		}
	}
}

// advance makes the calls that the asker needs. Tokens of this instance itself are taken at once. The lock of the tenant is
// held.
func (r *Rationer) advance(t *tenant, now time.Duration) {
	for own := true; own; {
		own = false
		for _, c := range t.asker.Advance(now) {
			if c.Instance == r.identity.Instance {
				reply, inquiries := r.take(c.Request)
				if len(inquiries) > 0 && reply.Granted == 0 {
					go r.takeAfterInquiries(t, c, inquiries)
					continue
				}
				own = true
				t.asker.Replied(now, c, reply)
				if len(inquiries) > 0 {
					go r.inquire(inquiries)
				}
				continue
			}
			go r.call(t, c)
		}
	}
}

func (r *Rationer) take(request allotter.Request) (allotter.Reply, []allotter.Inquiry) {
	r.issuerMu.Lock()
	defer r.issuerMu.Unlock()
	return r.issuer.Take(r.now(), request)
}

// takeAfterInquiries takes tokens of this instance itself when other instances have answered.
func (r *Rationer) takeAfterInquiries(t *tenant, c *allotter.Call, inquiries []allotter.Inquiry) {
	r.inquire(inquiries)
	reply, _ := r.take(c.Request)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := r.now()
	t.asker.Replied(now, c, reply)
	r.advance(t, now)
}

// call asks another instance for tokens.
func (r *Rationer) call(t *tenant, c *allotter.Call) {
	r.counters.calls.Inc(1)
	reply, err := r.send(c.Instance, allotter.CallTimeout, encodeRequest(c.Request))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := r.now()
	if err != nil {
		r.counters.failedCalls.Inc(1)
		t.asker.Failed(now, c)
	} else {
		r.peers.Resume(c.Instance)
		t.asker.Replied(now, c, decodeReply(reply, c.Request.Wanted))
	}
	r.advance(t, now)
}

// send sends a request to another instance and waits for the reply.
func (r *Rationer) send(instance string, timeout time.Duration, request encoder.QuotaRequest) (encoder.QuotaReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := messenger.Call[encoder.QuotaRequest, encoder.QuotaReply](ctx, r.messenger, instance, methodTake, request)
	var remote *messenger.RemoteError
	isIgnorant := errors.As(err, &remote) && remote.Code == messenger.CodeUnknownMethod
	r.issuerMu.Lock()
	changed := (isIgnorant || err == nil) && r.ignorant[instance] != isIgnorant
	switch {
	case changed && isIgnorant:
		r.ignorant[instance] = true
	case changed:
		delete(r.ignorant, instance)
	}
	r.issuerMu.Unlock()
	if changed {
		r.logger.Info("whether an instance knows quotas has changed", "peer", instance, "knows", !isIgnorant)
		r.update()
	}
	return reply, err
}

// recheckIgnorant asks some of the instances that run a version without quotas whether they still do.
func (r *Rationer) recheckIgnorant(ctx context.Context) {
	known := make(map[string]bool)
	for _, s := range r.fleet.Statuses() {
		known[s.Instance] = true
	}
	var names []string
	r.issuerMu.Lock()
	for name := range r.ignorant {
		if !known[name] {
			delete(r.ignorant, name)
		} else if len(names) < maxRechecks {
			names = append(names, name)
		}
	}
	r.issuerMu.Unlock()
	var checks sync.WaitGroup
	for _, name := range names {
		checks.Go(func() {
			if ctx.Err() == nil {
				_, _ = r.send(name, allotter.CallTimeout, encoder.QuotaRequest{})
			}
		})
	}
	checks.Wait()
}

// Usage returns what operators see of the quotas: the tenants with the most requests at this instance, the busiest first.
func (r *Rationer) Usage() []encoder.QuotaStatus {
	r.mu.RLock()
	tenants := make([]*tenant, 0, len(r.tenants))
	for _, t := range r.tenants {
		tenants = append(tenants, t)
	}
	r.mu.RUnlock()
	statuses := make([]encoder.QuotaStatus, 0, len(tenants))
	for _, t := range tenants {
		t.mu.Lock()
		u := t.asker.Usage()
		t.mu.Unlock()
		statuses = append(statuses, encoder.QuotaStatus{Tenant: u.Tenant, Asked: u.Asked, Granted: u.Granted, Refused: u.Refused, Custodians: u.Custodians})
	}
	slices.SortFunc(statuses, func(a, b encoder.QuotaStatus) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Tenant, b.Tenant))
	})
	return statuses[:min(len(statuses), maxShownTenants)]
}
