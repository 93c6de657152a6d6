// Package prober notices when all targets of a failure domain are out of reach, as during a network partition, and when
// they can be reached again.
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
	// silence is the time without any reply from a failure domain, with requests waiting for one, after which its path is
	// probed. A pause of a single target is shorter.
	silence = 250 * time.Millisecond
	// interval is the time between two looks.
	interval = 100 * time.Millisecond
	// probeTimeout bounds one probe; opening a connection takes some milliseconds.
	probeTimeout = 250 * time.Millisecond
	// probedTargets is the number of targets that must all fail to answer a probe. Fewer could be down on their own.
	probedTargets = 3
)

// Directory provides the targets that are known.
type Directory interface {
	View() *registrar.View
}

// domainState is what is known of the path to a failure domain.
type domainState struct {
	// waiting holds the start of each request that waits for a reply.
	waiting map[*Attempt]struct{}
	// repliedAt is the time of the latest reply.
	repliedAt time.Time
	// failed is the number of requests that ended without a reply since then.
	failed int
}

// Attempt is a request that waits for a reply.
type Attempt struct {
	prober *Prober
	domain string
	start  time.Time
}

// Prober keeps the state of each failure domain.
type Prober struct {
	directory Directory
	logger    *log.Logger
	dial      func(ctx context.Context, address string) error
	// unreachable is replaced with each change; it is nil while all failure domains can be reached.
	unreachable atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	domains map[string]*domainState
}

// Option changes a prober.
type Option func(*Prober)

// WithDial sets how a probe is sent.
func WithDial(dial func(ctx context.Context, address string) error) Option {
	return func(p *Prober) { p.dial = dial }
}

// New creates a prober.
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

// Reachable reports whether targets of the failure domain may be reached.
func (p *Prober) Reachable(domain string) bool {
	unreachable := p.unreachable.Load()
	return unreachable == nil || !(*unreachable)[domain]
}

// AllReachable reports whether no failure domain is out of reach.
func (p *Prober) AllReachable() bool {
	return p.unreachable.Load() == nil
}

// Begin notes a request to a target of the failure domain.
func (p *Prober) Begin(domain string) *Attempt {
	a := &Attempt{prober: p, domain: domain, start: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(domain).waiting[a] = struct{}{}
	return a
}

// End notes that the request has a reply, or has ended without one.
func (a *Attempt) End(replied bool) {
	p := a.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(a.domain)
	delete(s.waiting, a)
	if replied {
		s.repliedAt, s.failed = time.Now(), 0
		return
	}
	s.failed++
}

// state returns the state of a failure domain; the lock is held.
func (p *Prober) state(domain string) *domainState {
	s := p.domains[domain]
	if s == nil {
		s = &domainState{waiting: make(map[*Attempt]struct{})}
		p.domains[domain] = s
	}
	return s
}

// silent reports whether requests have waited for a reply for too long, or have failed without any reply between.
func (s *domainState) silent(now time.Time) bool {
	waited := s.failed >= probedTargets
	for a := range s.waiting {
		waited = waited || now.Sub(a.start) > silence
	}
	return waited && now.Sub(s.repliedAt) > silence
}

// Run probes failure domains until the context ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, domain := range p.suspects() {
			p.probe(ctx, domain)
		}
		timekeeper.Sleep(ctx, interval)
	}
}

// suspects returns the failure domains that are silent or out of reach.
func (p *Prober) suspects() []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.domains {
		if s.silent(now) || !p.Reachable(name) {
			names = append(names, name)
		}
	}
	return names
}

// probe opens connections to some targets of a failure domain; one that succeeds shows that the path works.
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
			p.set(domain, true, nil)
			return
		}
		failure = err
	}
	// Too few targets may all be down.
	if len(addresses) >= probedTargets {
		p.set(domain, false, failure)
	}
}

// addresses returns those of some random targets of a failure domain.
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

// set notes the result of a probe.
func (p *Prober) set(domain string, reachable bool, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reachable {
		s := p.state(domain)
		s.repliedAt, s.failed = time.Now(), 0
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
		p.logger.Warn("failure domain out of reach", "failure-domain", domain, "waiting", len(p.state(domain).waiting), "error", cause)
	}
	if len(next) == 0 {
		p.unreachable.Store(nil)
		return
	}
	p.unreachable.Store(&next)
}
