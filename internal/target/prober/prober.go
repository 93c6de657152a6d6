// Package prober detects when a failure domain is unreachable, as in a network partition, and when it becomes reachable
// again, in relay mode. It tracks requests that get no reply. If none from a whole failure domain arrives, it probes
// some targets there by opening a connection to each. The sender reports its requests and skips targets in unreachable
// domains.
package prober

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/timekeeper"
)

const (
	// silenceThreshold is the time without any reply from a failure domain, while requests are pending, after which
	// the domain is probed. It is longer than the pause of a single target.
	silenceThreshold = 250 * time.Millisecond
	// checkInterval is the time between checks of which failure domains to probe.
	checkInterval = 100 * time.Millisecond
	// probeTimeout limits one round of probes. Opening a connection takes some milliseconds.
	probeTimeout = 250 * time.Millisecond
	// probedTargets is the number of targets that must all fail a probe before the domain is considered unreachable.
	// Fewer targets may all be down independently. It is also the number of requests that must have ended without a
	// reply before a domain is probed although no request is pending.
	probedTargets = 3
)

// Views provides the current view with the known targets.
type Views interface {
	View() *registrar.View
}

// domainState is the state of the network path to a failure domain.
type domainState struct {
	// pending holds the requests that wait for a reply.
	pending map[*PendingRequest]struct{}
	// repliedAt is the time of the latest reply or successful probe.
	repliedAt time.Time
	// failures is the number of requests that have ended without a reply since repliedAt.
	failures int
}

// PendingRequest is a request that has neither got a reply nor ended without one.
type PendingRequest struct {
	prober *Prober
	domain string
	start  time.Time
}

// Prober tracks the reachability of each failure domain.
type Prober struct {
	views  Views
	logger *log.Logger
	dial   func(ctx context.Context, address string) error
	// unreachable holds the unreachable failure domains and is replaced on each change. It is nil while all are
	// reachable.
	unreachable atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	domains map[string]*domainState
}

// Option configures a Prober.
type Option func(*Prober)

// WithDial sets the function that probes an address by opening a connection.
func WithDial(dial func(ctx context.Context, address string) error) Option {
	return func(p *Prober) { p.dial = dial }
}

// New returns a Prober that considers all failure domains reachable.
func New(views Views, logger *log.Logger, opts ...Option) *Prober {
	p := &Prober{views: views, logger: logger, dial: connect, domains: make(map[string]*domainState)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// connect opens a connection and closes it.
func connect(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Reachable reports whether the failure domain is considered reachable.
func (p *Prober) Reachable(domain string) bool {
	unreachable := p.unreachable.Load()
	return unreachable == nil || !(*unreachable)[domain]
}

// AllReachable reports whether all failure domains are considered reachable.
func (p *Prober) AllReachable() bool {
	return p.unreachable.Load() == nil
}

// Begin records the start of a request to a target of the failure domain.
func (p *Prober) Begin(domain string) *PendingRequest {
	r := &PendingRequest{prober: p, domain: domain, start: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(domain).pending[r] = struct{}{}
	return r
}

// End records that the request has ended. The parameter replied reports whether the target has replied to it, even if
// it only refused the request.
func (r *PendingRequest) End(replied bool) {
	p := r.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(r.domain)
	delete(s.pending, r)
	if replied {
		s.repliedAt, s.failures = time.Now(), 0
		return
	}
	s.failures++
}

// Cancel records that the request was given up by this instance before it could reach the network, which says nothing of
// the path to the failure domain.
func (r *PendingRequest) Cancel() {
	p := r.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.stateOf(r.domain).pending, r)
}

// stateOf returns the state of a failure domain and creates it if there is none. The lock must be held.
func (p *Prober) stateOf(domain string) *domainState {
	s := p.domains[domain]
	if s == nil {
		s = &domainState{pending: make(map[*PendingRequest]struct{})}
		p.domains[domain] = s
	}
	return s
}

// needsProbe reports whether there was no reply for longer than silenceThreshold although a request has been pending
// that long or several requests have ended without a reply.
func (s *domainState) needsProbe(now time.Time) bool {
	hasEvidence := s.failures >= probedTargets
	for r := range s.pending {
		hasEvidence = hasEvidence || now.Sub(r.start) > silenceThreshold
	}
	return hasEvidence && now.Sub(s.repliedAt) > silenceThreshold
}

// Run probes failure domains that need it until the context ends. Those of one round are probed at the same time: an
// instance whose failure domain is cut off loses all others at once.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var probes sync.WaitGroup
		for _, domain := range p.domainsToProbe() {
			probes.Go(func() { p.probe(ctx, domain) })
		}
		probes.Wait()
		timekeeper.Sleep(ctx, checkInterval)
	}
}

// domainsToProbe returns the failure domains that need a probe or are unreachable.
func (p *Prober) domainsToProbe() []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.domains {
		if s.needsProbe(now) || !p.Reachable(name) {
			names = append(names, name)
		}
	}
	return names
}

// probe opens connections to some targets of a failure domain. One that succeeds proves the domain reachable.
func (p *Prober) probe(ctx context.Context, domain string) {
	addresses := p.addresses(domain)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- p.dial(ctx, address) }()
	}
	var failure error
	for range addresses {
		err := <-results
		if err == nil {
			p.recordProbe(domain, true, nil)
			return
		}
		failure = err
	}
	// If there are too few targets, all of them may be down.
	if len(addresses) >= probedTargets {
		p.recordProbe(domain, false, failure)
	}
}

// addresses returns the addresses of up to probedTargets random targets of a failure domain.
func (p *Prober) addresses(domain string) []string {
	var addresses []string
	for _, t := range p.views.View().Targets() {
		if t.FailureDomain == domain && !t.Draining && !t.Withdrawn {
			addresses = append(addresses, t.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), probedTargets)]
}

// recordProbe records the result of a probe and logs a change of reachability.
func (p *Prober) recordProbe(domain string, reachable bool, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reachable {
		s := p.stateOf(domain)
		s.repliedAt, s.failures = time.Now(), 0
	}
	if p.Reachable(domain) == reachable {
		return
	}
	next := make(map[string]bool)
	if old := p.unreachable.Load(); old != nil {
		for name := range *old {
			next[name] = true
		}
	}
	if reachable {
		delete(next, domain)
		p.logger.Info("failure domain in reach again", "failure-domain", domain)
	} else {
		next[domain] = true
		p.logger.Warn("failure domain out of reach", "failure-domain", domain, "waiting", len(p.stateOf(domain).pending), "error", cause)
	}
	if len(next) == 0 {
		p.unreachable.Store(nil)
		return
	}
	p.unreachable.Store(&next)
}
