// Package prober detects when all targets of a failure domain are unreachable, as in a network partition, and when
// they become reachable again. It tracks requests without replies and then probes some targets of the domain. The
// sender reports its requests and skips targets in unreachable domains.
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
	// checkInterval is the time between checks of all failure domains.
	checkInterval = 100 * time.Millisecond
	// probeTimeout limits one round of probes. Opening a connection takes some milliseconds.
	probeTimeout = 250 * time.Millisecond
	// probedTargets is the number of targets that must all fail a probe before the domain is considered unreachable.
	// Fewer targets may all be down independently.
	probedTargets = 3
)

// Directory provides the known targets.
type Directory interface {
	View() *registrar.View
}

// domainState is the state of the network path to a failure domain.
type domainState struct {
	// pending holds the requests that wait for a reply.
	pending map[*Attempt]struct{}
	// repliedAt is the time of the latest reply or successful probe.
	repliedAt time.Time
	// failures is the number of requests that have ended without a reply since repliedAt.
	failures int
}

// Attempt is a request that waits for a reply.
type Attempt struct {
	prober *Prober
	domain string
	start  time.Time
}

// Prober tracks the reachability of each failure domain.
type Prober struct {
	directory Directory
	logger    *log.Logger
	dial      func(ctx context.Context, address string) error
	// unreachable holds the unreachable failure domains and is replaced on each change. It is nil while all are
	// reachable.
	unreachable atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	domains map[string]*domainState
}

// Option configures a Prober.
type Option func(*Prober)

// WithDial sets the function that sends a probe.
func WithDial(dial func(ctx context.Context, address string) error) Option {
	return func(p *Prober) { p.dial = dial }
}

// New returns a Prober that considers all failure domains reachable.
func New(directory Directory, logger *log.Logger, opts ...Option) *Prober {
	p := &Prober{directory: directory, logger: logger, dial: connect, domains: make(map[string]*domainState)}
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
func (p *Prober) Begin(domain string) *Attempt {
	a := &Attempt{prober: p, domain: domain, start: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(domain).pending[a] = struct{}{}
	return a
}

// End records that the request has got a reply or has ended without one.
func (a *Attempt) End(replied bool) {
	p := a.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(a.domain)
	delete(s.pending, a)
	if replied {
		s.repliedAt, s.failures = time.Now(), 0
		return
	}
	s.failures++
}

// state returns the state of a failure domain. The caller must hold the lock.
func (p *Prober) state(domain string) *domainState {
	s := p.domains[domain]
	if s == nil {
		s = &domainState{pending: make(map[*Attempt]struct{})}
		p.domains[domain] = s
	}
	return s
}

// isSilent reports whether there was no reply for too long while a request was pending or several requests failed.
func (s *domainState) isSilent(now time.Time) bool {
	waited := s.failures >= probedTargets
	for a := range s.pending {
		waited = waited || now.Sub(a.start) > silenceThreshold
	}
	return waited && now.Sub(s.repliedAt) > silenceThreshold
}

// Run probes failure domains until the context ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, domain := range p.domainsToProbe() {
			p.probe(ctx, domain)
		}
		timekeeper.Sleep(ctx, checkInterval)
	}
}

// domainsToProbe returns the failure domains that are silent or unreachable.
func (p *Prober) domainsToProbe() []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.domains {
		if s.isSilent(now) || !p.Reachable(name) {
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
	for _, t := range p.directory.View().Targets() {
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
		s := p.state(domain)
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
		p.logger.Warn("failure domain out of reach", "failure-domain", domain, "waiting", len(p.state(domain).pending), "error", cause)
	}
	if len(next) == 0 {
		p.unreachable.Store(nil)
		return
	}
	p.unreachable.Store(&next)
}
