// Package prober detects when a failure domain is unreachable, as in a network partition, and when it becomes reachable
// again, in relay mode. It tracks requests that get no reply and connections that cannot be opened. If there is no reply
// from a whole failure domain, or several of its targets refuse connections, it probes some targets there by opening a
// connection to each. The sender reports its requests and skips targets in unreachable domains.
package prober

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
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
	// broadSilenceThreshold replaces silenceThreshold while at least broadSilenceRequests are pending that long, which are
	// too many for pauses of single targets.
	broadSilenceThreshold = 80 * time.Millisecond
	broadSilenceRequests  = 8
	// checkInterval is the time between checks of which failure domains to probe.
	checkInterval = 100 * time.Millisecond
	// probeTimeout limits one round of probes. Opening a connection takes some milliseconds.
	probeTimeout = 120 * time.Millisecond
	// acceptanceTime is how long a probe keeps its connection open, and returnTime how long that of an unreachable domain:
	// what has accepted connections in place of targets and ended them may take a while to do so.
	acceptanceTime = 20 * time.Millisecond
	returnTime     = 100 * time.Millisecond
	// probedTargets is the number of targets that must all fail a probe before the domain is considered unreachable.
	// Fewer targets may all be down independently. It is also the number of requests that must have ended without a
	// reply before a domain is probed although no request is pending.
	probedTargets = 3
	// replyingProbedTargets replaces probedTargets for a domain that still replies on open connections, where many
	// targets may have ended at once.
	replyingProbedTargets = 8
	// minUnconnectable is the number of targets of a domain without a connection within unconnectableWindow after which the
	// domain is probed although it replies on open connections. These end one by one, and no new ones replace them.
	minUnconnectable    = 3
	unconnectableWindow = 500 * time.Millisecond
	// verificationInterval is the time after a reply or a probe within which Verify takes a domain for reachable, or not,
	// without probing it again.
	verificationInterval = time.Second
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
	// unconnectable holds when the latest connection to a target could not be opened, by the id of the target.
	unconnectable map[string]time.Time
	// probedAt is the time of the latest probe.
	probedAt time.Time
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
	// dial opens a connection to an address and keeps it open for a time.
	dial func(ctx context.Context, address string, keep time.Duration) error
	// unreachable holds the unreachable failure domains and is replaced on each change. It is nil while all are
	// reachable.
	unreachable atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	domains map[string]*domainState
	// lost is closed, and replaced, when a failure domain becomes unreachable.
	lost chan struct{}
}

// Option configures a Prober.
type Option func(*Prober)

// WithDial sets the function that probes an address by opening a connection.
func WithDial(dial func(ctx context.Context, address string) error) Option {
	return func(p *Prober) {
		p.dial = func(ctx context.Context, address string, _ time.Duration) error { return dial(ctx, address) }
	}
}

// New returns a Prober that considers all failure domains reachable.
func New(views Views, logger *log.Logger, opts ...Option) *Prober {
	p := &Prober{views: views, logger: logger, dial: connect, domains: make(map[string]*domainState), lost: make(chan struct{})}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// errUnexpectedBytes is returned for a connection on which bytes arrived although no request was sent.
var errUnexpectedBytes = errors.New("prober: unexpected bytes on a new connection")

// connect opens a connection and closes it after a time. A connection that ends before is a failure: something on the way
// has accepted it in place of the target.
func connect(ctx context.Context, address string, keep time.Duration) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	err = conn.SetReadDeadline(time.Now().Add(keep))
	if err == nil {
		if _, err = conn.Read(make([]byte, 1)); err == nil {
			err = errUnexpectedBytes
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return errors.Join(err, conn.Close())
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

// Lost returns a channel that is closed when the next failure domain becomes unreachable.
func (p *Prober) Lost() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
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
		s = &domainState{pending: make(map[*PendingRequest]struct{}), unconnectable: make(map[string]time.Time)}
		p.domains[domain] = s
	}
	return s
}

// RecordUnconnectable records that no connection to the target could be opened.
func (p *Prober) RecordUnconnectable(domain, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(domain).unconnectable[target] = time.Now()
}

// hasUnconnectable reports whether at least the given number of targets could not be connected to since the latest probe and
// within unconnectableWindow.
func (s *domainState) hasUnconnectable(now time.Time, needed int) bool {
	n := 0
	for target, at := range s.unconnectable {
		if now.Sub(at) > unconnectableWindow {
			delete(s.unconnectable, target)
		} else if at.After(s.probedAt) {
			n++
		}
	}
	return n >= needed
}

// isSilent reports whether there was no reply for longer than silenceThreshold although a request has been pending that
// long or several requests have ended without a reply, or for longer than broadSilenceThreshold although many requests
// have been pending that long.
func (s *domainState) isSilent(now time.Time) bool {
	hasEvidence, pending := s.failures >= probedTargets, 0
	for r := range s.pending {
		hasEvidence = hasEvidence || now.Sub(r.start) > silenceThreshold
		if now.Sub(r.start) > broadSilenceThreshold {
			pending++
		}
	}
	silence := now.Sub(s.repliedAt)
	return hasEvidence && silence > silenceThreshold || pending >= broadSilenceRequests && silence > broadSilenceThreshold
}

// Run probes failure domains that need it until the context ends. When one has become unreachable, all others are
// verified at once: an instance that has lost its own failure domain may have lost every other.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wasReachable := p.AllReachable()
		p.probeAll(ctx, p.domainsToProbe())
		if wasReachable && !p.AllReachable() {
			p.probeAll(ctx, p.unverifiedDomains(0))
		}
		timekeeper.Sleep(ctx, checkInterval)
	}
}

// Verify probes the failure domains of which nothing is known from the last verificationInterval, so that an instance
// without requests does not take itself for one that reaches them.
func (p *Prober) Verify(ctx context.Context) {
	p.probeAll(ctx, p.unverifiedDomains(verificationInterval))
}

// probeAll probes the failure domains at the same time and waits for the results.
func (p *Prober) probeAll(ctx context.Context, domains []string) {
	var probes sync.WaitGroup
	for _, domain := range domains {
		probes.Go(func() { p.probe(ctx, domain) })
	}
	probes.Wait()
}

// domainsToProbe returns the failure domains that need a probe or are unreachable.
func (p *Prober) domainsToProbe() []string {
	now, needed := time.Now(), minUnconnectable
	if !p.AllReachable() {
		// The others may be out of reach too, and small ones have too few targets.
		needed = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.domains {
		if s.isSilent(now) || s.hasUnconnectable(now, needed) || !p.Reachable(name) {
			names = append(names, name)
		}
	}
	return names
}

// unverifiedDomains returns the reachable failure domains with targets, without those that have replied or were probed
// within the given time.
func (p *Prober) unverifiedDomains(within time.Duration) []string {
	now := time.Now()
	names := make(map[string]bool)
	for _, t := range p.views.View().Targets() {
		names[t.FailureDomain] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(names, func(name string, _ bool) bool {
		s := p.stateOf(name)
		return !p.Reachable(name) || now.Sub(s.repliedAt) < within || now.Sub(s.probedAt) < within
	})
	return slices.Collect(maps.Keys(names))
}

// beginProbe records a probe of the failure domain. It returns how many targets must fail it.
func (p *Prober) beginProbe(domain string) int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(domain)
	s.probedAt = now
	if now.Sub(s.repliedAt) > broadSilenceThreshold {
		return probedTargets
	}
	return replyingProbedTargets
}

// probe opens connections to some targets of a failure domain. One that succeeds proves the domain reachable.
func (p *Prober) probe(parent context.Context, domain string) {
	addresses, keep := p.addresses(domain, p.beginProbe(domain)), acceptanceTime
	if !p.Reachable(domain) {
		keep = returnTime
	}
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- p.dial(ctx, address, keep) }()
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
	// If there are too few targets, all of them may be down, unless other failure domains are unreachable too.
	if failure != nil && parent.Err() == nil && (len(addresses) >= probedTargets || !p.AllReachable()) {
		p.recordProbe(domain, false, failure)
	}
}

// addresses returns the addresses of up to n random targets of a failure domain.
func (p *Prober) addresses(domain string, n int) []string {
	var addresses []string
	for _, t := range p.views.View().Targets() {
		if t.FailureDomain == domain && !t.Draining && !t.Withdrawn {
			addresses = append(addresses, t.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), n)]
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
	if !reachable {
		close(p.lost)
		p.lost = make(chan struct{})
	}
}
