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

// messengerNetwork implements Network over a messenger.
type messengerNetwork struct {
	messenger *messenger.Messenger
}

// NewNetwork returns a Network that sends over the messenger.
func NewNetwork(m *messenger.Messenger) Network {
	return messengerNetwork{messenger: m}
}

func (n messengerNetwork) RequestGrant(ctx context.Context, instance string, request encoder.GrantRequest) (encoder.GrantReply, error) {
	return messenger.Call[encoder.GrantRequest, encoder.GrantReply](ctx, n.messenger, instance, methodGrant, request)
}

func (n messengerNetwork) SendRelease(ctx context.Context, instance string, message encoder.ReleaseMessage) error {
	return messenger.Notify(ctx, n.messenger, instance, methodRelease, message)
}

// Register registers the handlers for lease requests and releases of other instances.
func (l *Lessor) Register(m *messenger.Messenger) {
	messenger.Handle(m, methodGrant, func(_ context.Context, _ messenger.Peer, request encoder.GrantRequest) (encoder.GrantReply, error) {
		return l.HandleGrant(request), nil
	})
	messenger.Handle(m, methodRelease, func(_ context.Context, _ messenger.Peer, message encoder.ReleaseMessage) (struct{}, error) {
		l.HandleRelease(message)
		return struct{}{}, nil
	})
}

// Run renews leases until the context ends. A request fails if it has no reply within the interval between two rounds.
func (l *Lessor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		interval := l.leaseDuration() / roundsPerLease
		requests, releases := l.BeginRound()
		l.sendAll(ctx, &wg, requests, releases, interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// ReleaseAll stops the use of all leases and static shares and releases them before they expire. A group is released
// when the last time passed to Allowance for it is over, because no sub-query can be in flight after that. ReleaseAll
// returns when all are released, or early when the context ends.
func (l *Lessor) ReleaseAll(ctx context.Context) {
	for {
		releases, wait := l.BeginRelease()
		var wg sync.WaitGroup
		l.sendAll(ctx, &wg, nil, releases, l.leaseDuration()/roundsPerLease)
		wg.Wait()
		if wait == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// BeginRelease stops the use of all leases and static shares. It returns the releases to send now and the time to wait
// before the next call, or 0 if none is needed.
func (l *Lessor) BeginRelease() ([]OutgoingRelease, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	now := l.bootTime()
	var wait time.Duration
	groupsByGrantor := make(map[string][]string)
	for _, group := range slices.Sorted(maps.Keys(l.holdings)) {
		h := l.holdings[group]
		if h.selfGrantUntil <= now && len(h.grantedUntil) == 0 {
			continue
		}
		if h.allowedUntil > now {
			h.selfGrantUntil = min(h.selfGrantUntil, h.allowedUntil)
			if wait == 0 || h.allowedUntil-now < wait {
				wait = h.allowedUntil - now
			}
			continue
		}
		h.drop(l.round)
		for _, grantor := range h.grantors {
			groupsByGrantor[grantor] = append(groupsByGrantor[grantor], group)
		}
	}
	return l.outgoingReleases(groupsByGrantor), wait
}

// Retire makes this incarnation refuse all further requests, and reports whether it did; it is called after ReleaseAll.
// It does so only if no sub-query under a lease or static share of this instance can be in flight. Other instances can
// then do without its grant, even if it has granted the group before: of two possible holders with the same member
// list, at least one needs the grant of the other, and an instance neither grants what it uses nor uses what it has
// granted. For holders with different member lists, package owner adds grantors outside the failure domain while an
// instance is released.
func (l *Lessor) Retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
	// Until Settled, sub-queries of the previous incarnation may be in flight, for up to one lease duration after the
	// start.
	if !l.stopped || !l.Settled() {
		return false
	}
	for _, h := range l.holdings {
		if max(h.selfGrantUntil, h.allowedUntil) > now {
			return false
		}
	}
	l.retired = true
	return true
}

// sendAll sends the requests and releases in parallel and passes the outcome of each request to FinishRequest.
func (l *Lessor) sendAll(ctx context.Context, wg *sync.WaitGroup, requests []OutgoingRequest, releases []OutgoingRelease, timeout time.Duration) {
	for _, release := range releases {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			// If the release is lost, the grant expires on its own.
			_ = l.network.SendRelease(ctx, release.Grantor, release.Message)
		})
	}
	for _, request := range requests {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			reply, err := l.network.RequestGrant(ctx, request.Grantor, request.Request)
			l.FinishRequest(request, reply, err)
		})
	}
}
