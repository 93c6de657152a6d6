package allotter

import (
	"sync"
	"time"
)

// suspensionTime is the time for which an instance that has not answered is not asked for tokens.
const suspensionTime = 500 * time.Millisecond

// Peers holds which instances have not answered lately, for all tenants of an instance. It is safe for concurrent use.
type Peers struct {
	mu sync.Mutex
	// suspendedUntil holds when an instance may be asked again.
	suspendedUntil map[string]time.Duration
}

// NewPeers returns Peers without suspensions.
func NewPeers() *Peers {
	return &Peers{suspendedUntil: make(map[string]time.Duration)}
}

// Suspend records that an instance has not answered.
func (p *Peers) Suspend(name string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.suspendedUntil {
		if until <= now {
			delete(p.suspendedUntil, other)
		}
	}
	p.suspendedUntil[name] = now + suspensionTime
}

// Resume records that an instance has answered.
func (p *Peers) Resume(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspendedUntil, name)
}

// SuspendedUntil returns until when an instance is not asked, if it is suspended.
func (p *Peers) SuspendedUntil(name string, now time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, found := p.suspendedUntil[name]
	return until, found && until > now
}
