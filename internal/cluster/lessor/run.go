package lessor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/wire/encoder"
)

const (
	methodGrant   = "grant"
	methodRelease = "release"
)

// peers is the network between instances.
type peers struct {
	messenger *messenger.Messenger
}

// NewNetwork returns the network over a messenger.
func NewNetwork(m *messenger.Messenger) Network {
	return peers{messenger: m}
}

func (p peers) Grant(ctx context.Context, instance string, request encoder.GrantRequest) (encoder.GrantReply, error) {
	return messenger.Call[encoder.GrantRequest, encoder.GrantReply](ctx, p.messenger, instance, methodGrant, request)
}

func (p peers) Release(ctx context.Context, instance string, message encoder.ReleaseMessage) error {
	return messenger.Notify(ctx, p.messenger, instance, methodRelease, message)
}

// Register answers the requests of other instances that arrive at the messenger.
func (l *Lessor) Register(m *messenger.Messenger) {
	messenger.Handle(m, methodGrant, func(_ context.Context, _ messenger.Peer, request encoder.GrantRequest) (encoder.GrantReply, error) {
		return l.Grant(request), nil
	})
	messenger.Handle(m, methodRelease, func(_ context.Context, _ messenger.Peer, message encoder.ReleaseMessage) (struct{}, error) {
		l.Released(message)
		return struct{}{}, nil
	})
}

// Run renews leases until the context ends.
func (l *Lessor) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		interval := l.lease() / roundsPerLease
		asks, releases := l.Begin()
		l.send(ctx, &running, asks, releases, interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// Release stops all use of leases and ends them early: at once where no sub-query may be in flight, and otherwise
// when the last allowance has ended, unless the context ends before.
func (l *Lessor) Release(ctx context.Context) {
	for {
		releases, next := l.BeginRelease()
		var running sync.WaitGroup
		l.send(ctx, &running, nil, releases, l.lease()/roundsPerLease)
		running.Wait()
		if next == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}

// BeginRelease stops all use of leases; it returns the releases to send now and the time until the next ones, or 0.
func (l *Lessor) BeginRelease() ([]Release, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	now := l.clock()
	var next time.Duration
	groups := make(map[string][]string)
	for _, group := range slices.Sorted(maps.Keys(l.holdings)) {
		h := l.holdings[group]
		if h.own <= now && len(h.grants) == 0 {
			continue
		}
		if h.exposed > now {
			h.own = min(h.own, h.exposed)
			if next == 0 || h.exposed-now < next {
				next = h.exposed - now
			}
			continue
		}
		h.drop(l.round)
		for _, rival := range h.rivals {
			groups[rival] = append(groups[rival], group)
		}
	}
	return l.releases(groups), next
}

// Retire ends the grants of this incarnation for good, after Release, and reports whether it did. Afterwards its rivals
// need no grant from it: whatever it granted before, two possible holders also ask each other.
func (l *Lessor) Retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	// Sub-queries of the predecessor may be in flight for one lease time.
	if !l.closed || !l.Settled() {
		return false
	}
	for _, h := range l.holdings {
		if max(h.own, h.exposed) > now {
			return false
		}
	}
	l.retired = true
	return true
}

func (l *Lessor) send(ctx context.Context, running *sync.WaitGroup, asks []Ask, releases []Release, timeout time.Duration) {
	for _, release := range releases {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			// A lost release only means that the grant ends by its own time.
			_ = l.network.Release(ctx, release.Rival, release.Message)
		})
	}
	for _, ask := range asks {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			reply, err := l.network.Grant(ctx, ask.Rival, ask.Request)
			l.Finish(ask, reply, err)
		})
	}
}
