// Package feeder replicates the state of the platform's store between the instances of a failure domain, so that few of
// them have to watch the store. The instances form a tree in the order of their names: the root watches the store, and
// each other instance follows its parent. Replies carry the age of the state; an instance whose state becomes too old
// watches the store itself. Package follower calls the store and applies the changes.
package feeder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/wire/encoder"
)

const (
	methodFollow = "follow"
	// fanout is the maximum number of instances that follow one directly; it limits the load of each instance.
	fanout = 8
	// minInstances is the number of instances in a failure domain below which each of them watches the store.
	minInstances = 3
	// maxAgeShare is the fraction of the propagation limit at which the state is too old. It is above the fraction within
	// which the root gets a response from the store, and leaves the rest of the limit for a call to the store.
	maxAgeShare = 0.6
	// minFollowTimeout is the minimum time that an instance waits for its parent.
	minFollowTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff limit how long an instance is not followed after a failed call.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// followerExpiry is the time after a request of a follower at which it no longer counts as one.
	followerExpiry = 5 * time.Second
	// callTimeout limits a call for the whole state of another instance.
	callTimeout = time.Second
)

var (
	errBehind = errors.New("feeder: upstream has an older state")
	errStale  = errors.New("feeder: state of upstream is too old")
)

// Members lists the known instances.
type Members interface {
	// InDomain returns the sorted names of the known instances in this instance's failure domain, including its own.
	InDomain() []string
	// Ahead returns a few instances that are known to have a revision above the given one, the highest first.
	Ahead(above int) []string
}

// position identifies the state of another instance that was received last.
type position struct {
	incarnation          string
	serial, confirmation int
}

// backoff is a period during which an instance is not followed.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Feeder follows other instances and serves those that follow this one.
type Feeder struct {
	identity  messenger.Identity
	members   Members
	registrar *registrar.Registrar
	logger    *log.Logger
	messenger *messenger.Messenger
	// maxAge is the age at which the state no longer counts as current.
	maxAge time.Duration
	// lastRequest is the time of the latest request of a follower, in nanoseconds since start; 0 before the first one.
	lastRequest atomic.Int64
	start       time.Time

	mu sync.Mutex
	// confirmed is the latest time at which the state was known to be current; confirmation counts the confirmations.
	confirmed    time.Time
	confirmation int
	// nextConfirmation is closed by the next confirmation.
	nextConfirmation chan struct{}
	// upstream is the instance that was followed last, and pos identifies the state that was received from it.
	upstream string
	pos      position
	backoffs map[string]backoff
}

// New creates a feeder. The propagation limit is the maximum time until a change of the store is in force.
func New(identity messenger.Identity, members Members, r *registrar.Registrar, propagationLimit time.Duration, logger *log.Logger) *Feeder {
	return &Feeder{
		maxAge:   time.Duration(maxAgeShare * float64(propagationLimit)),
		identity: identity, members: members, registrar: r, logger: logger, start: time.Now(), nextConfirmation: make(chan struct{}), backoffs: make(map[string]backoff),
	}
}

// Attach sets the messenger and registers the feeder's method on it. It must be called before the messenger starts.
func (f *Feeder) Attach(m *messenger.Messenger) {
	f.messenger = m
	messenger.Handle(m, methodFollow, f.handleFollow)
}

// Confirm records a time at which the state was known to be current. Times before the latest one are ignored.
func (f *Feeder) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !at.After(f.confirmed) {
		return
	}
	f.confirmed = at
	f.confirmation++
	close(f.nextConfirmation)
	f.nextConfirmation = make(chan struct{})
}

// Age returns the time since the state was last known to be current, or since New if it never was.
func (f *Feeder) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return time.Since(f.start)
	}
	return time.Since(f.confirmed)
}

// HasFollowers reports whether another instance has followed this one within followerExpiry.
func (f *Feeder) HasFollowers() bool {
	last := f.lastRequest.Load()
	return last > 0 && time.Since(f.start)-time.Duration(last) < followerExpiry
}

// Upstream returns the closest ancestor in the tree that is not in backoff; none if this instance has to watch the
// store.
func (f *Feeder) Upstream() (string, bool) {
	names := f.members.InDomain()
	if len(names) < minInstances {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := slices.Index(names, f.identity.Instance); i > 0; {
		i = (i - 1) / fanout
		if now.After(f.backoffs[names[i]].until) {
			return names[i], true
		}
	}
	return "", false
}

// Follow waits for an update of the upstream: a change, or a confirmation that its state is still current. After an
// error, the upstream is in backoff.
func (f *Feeder) Follow(ctx context.Context, upstream string) (follower.Update, error) {
	f.mu.Lock()
	if f.upstream != upstream {
		f.upstream, f.pos = upstream, position{}
	}
	pos, timeout := f.pos, max(f.maxAge-time.Since(f.confirmed), minFollowTimeout)
	f.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, next, err := f.requestUpdate(callCtx, upstream, pos)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		delay := min(max(2*f.backoffs[upstream].delay, minBackoff), maxBackoff)
		f.backoffs[upstream] = backoff{until: time.Now().Add(delay), delay: delay}
		f.upstream = ""
		return follower.Update{}, err
	}
	delete(f.backoffs, upstream)
	f.pos = next
	return update, nil
}

// requestUpdate requests one update and checks that it is neither older than the state of this instance nor too old.
func (f *Feeder) requestUpdate(ctx context.Context, upstream string, pos position) (follower.Update, position, error) {
	view := f.registrar.View()
	request := encoder.FollowRequest{Incarnation: pos.incarnation, Serial: pos.serial, Confirmation: pos.confirmation, Revision: view.Revision()}
	reply, err := messenger.Call[encoder.FollowRequest, encoder.FollowReply](ctx, f.messenger, upstream, methodFollow, request)
	switch {
	case err != nil:
		return follower.Update{}, pos, err
	case reply.Revision < view.Revision():
		return follower.Update{}, pos, errBehind
	case time.Duration(reply.AgeMs)*time.Millisecond >= f.maxAge:
		return follower.Update{}, pos, errStale
	}
	now := time.Now()
	change, err := decodeChange(reply, view.ClosedDomains(), now)
	if err != nil {
		return follower.Update{}, pos, err
	}
	update := follower.Update{Change: change, Confirmed: now.Add(-time.Duration(reply.AgeMs) * time.Millisecond), Unsettled: reply.Unsettled}
	return update, position{incarnation: reply.Incarnation, serial: reply.Serial, confirmation: reply.Confirmation}, nil
}

// Newest returns the state of an instance with a revision above the given one, regardless of its age.
func (f *Feeder) Newest(ctx context.Context, above int) (registrar.Change, bool) {
	for _, name := range f.members.Ahead(above) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := messenger.Call[encoder.FollowRequest, encoder.FollowReply](callCtx, f.messenger, name, methodFollow, encoder.FollowRequest{Revision: above})
		cancel()
		if err != nil {
			f.logger.Warn("state of another instance not read", "peer", name, "error", err)
			continue
		}
		if reply.Revision <= above || !reply.Complete {
			continue
		}
		change, err := decodeChange(reply, f.registrar.View().ClosedDomains(), time.Now())
		if err != nil {
			f.logger.Warn("state of another instance refused", "peer", name, "error", err)
			continue
		}
		return change, true
	}
	return registrar.Change{}, false
}

// handleFollow answers a follower as soon as the state here differs from the one that it has, was confirmed again, or
// is no longer current.
func (f *Feeder) handleFollow(ctx context.Context, _ messenger.Peer, request encoder.FollowRequest) (encoder.FollowReply, error) {
	f.lastRequest.Store(int64(time.Since(f.start)))
	for {
		changed := f.registrar.Changed()
		f.mu.Lock()
		nextConfirmation, confirmed, confirmation := f.nextConfirmation, f.confirmed, f.confirmation
		f.mu.Unlock()
		view, age := f.registrar.View(), time.Since(confirmed)
		known := request.Incarnation == f.identity.Incarnation && request.Serial == view.Serial() && request.Confirmation == confirmation
		if !known || age >= f.maxAge || view.Revision() < request.Revision {
			return f.newReply(request, view, confirmation, age), nil
		}
		timer := time.NewTimer(f.maxAge - age)
		select {
		case <-changed:
		case <-nextConfirmation:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return encoder.FollowReply{}, ctx.Err()
		}
		timer.Stop()
	}
}

// newReply builds the reply to a request. It holds no state if the follower has a higher revision.
func (f *Feeder) newReply(request encoder.FollowRequest, view *registrar.View, confirmation int, age time.Duration) encoder.FollowReply {
	reply := encoder.FollowReply{
		Incarnation: f.identity.Incarnation, Serial: view.Serial(), Confirmation: confirmation, AgeMs: int(age.Milliseconds()),
		Revision: view.Revision(), Unsettled: view.MissingCount() > 0,
	}
	if view.Revision() < request.Revision {
		return reply
	}
	serial := 0
	if request.Incarnation == f.identity.Incarnation {
		serial = request.Serial
	}
	encodeChange(&reply, view.Since(serial), time.Now())
	return reply
}
