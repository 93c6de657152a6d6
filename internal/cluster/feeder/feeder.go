// Package feeder replicates the state of the platform's store between the instances of a failure domain in relay mode,
// so that few of them have to watch the store. The instances form a tree in the order of their names: the root watches
// the store, and each other instance follows an upstream, which is its parent unless calls to that have failed. Replies
// carry the age of the state; an instance whose state becomes too old watches the store itself. Package follower uses
// it: it calls the store, requests and applies the updates of the upstream and, when the store does not answer, a newer
// state of any other instance.
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
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/wire/encoder"
)

const (
	methodFollow = "follow"
	// fanout is the maximum number of instances that follow one directly; it limits the load of each instance.
	fanout = 8
	// minInstances is the number of instances in a failure domain below which each of them watches the store.
	minInstances = 3
	// maxAgeShare is the fraction of the propagation limit at which the state is too old. It is above the fraction within
	// which the root gets a response from the store (watchShareWithDownstream in package follower), and leaves the rest of
	// the limit for a call to the store.
	maxAgeShare = 0.6
	// minFollowTimeout is the minimum time that an instance waits for an update of its upstream.
	minFollowTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff limit how long an instance is not followed after a failed call to it.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// downstreamExpiry is how long an instance counts as downstream after its latest request.
	downstreamExpiry = 5 * time.Second
	// callTimeout limits a call for the whole state of another instance. Several are asked in turn while the store is not
	// called.
	callTimeout = 250 * time.Millisecond
)

var (
	errOlderState = errors.New("feeder: upstream has an older state")
	errTooOld     = errors.New("feeder: state of upstream is too old")
	// errWithoutTenants is returned for a routing table that an instance of an earlier version has passed on. It would allow
	// requests without a key.
	errWithoutTenants = errors.New("feeder: routing table of an earlier version, without tenants")
)

// Instances lists the known instances.
type Instances interface {
	// OwnDomainInstances returns the sorted names of the known instances in this instance's failure domain, including this
	// one.
	OwnDomainInstances() []string
	// InstancesAfter returns a few other instances that are known to have a later position of the store than the given
	// one, the latest first.
	InstancesAfter(position registrar.Position) []string
	// InstancesAboveVersion returns a few other instances that are known to have a routing table with a higher version
	// than the given one in force, the highest first.
	InstancesAboveVersion(version int) []string
}

// stateID identifies a state of another instance: the serial of its view and the number of its confirmations, which
// both count within one incarnation.
type stateID struct {
	incarnation          string
	serial, confirmation int
}

// backoff is a period during which an instance is not followed.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Feeder requests updates from an upstream, and replies to the requests of downstream instances.
type Feeder struct {
	identity  messenger.Identity
	instances Instances
	registrar *registrar.Registrar
	logger    *log.Logger
	messenger *messenger.Messenger
	// maxAge is the age at which the state no longer counts as current.
	maxAge time.Duration
	// lastFollowRequest is the time of the latest request of a downstream instance, in nanoseconds since start; 0 before
	// the first one.
	lastFollowRequest atomic.Int64
	start             time.Time

	mu sync.Mutex
	// confirmedAt is the latest time at which the state was known to be current.
	confirmedAt time.Time
	// confirmationCount is the number of times that confirmedAt was set.
	confirmationCount int
	// nextConfirmation is closed by the next confirmation.
	nextConfirmation chan struct{}
	// upstream is the instance that was followed last; empty after a failed call.
	upstream string
	// receivedState identifies the state that was received last from the upstream.
	receivedState stateID
	backoffs      map[string]backoff
	// tenantsRequired reports whether a routing table that does not know tenants is refused.
	tenantsRequired bool
	// withoutTenants holds the instances whose latest routing table was refused because it does not know tenants.
	withoutTenants map[string]bool
}

// Option configures a Feeder.
type Option func(*Feeder)

// WithTenantsRequired sets whether a routing table that does not know tenants is refused. An instance of an earlier
// version drops them from the table that it passes on, so only the receiver can tell.
func WithTenantsRequired(required bool) Option {
	return func(f *Feeder) { f.tenantsRequired = required }
}

// New creates a feeder. The propagation limit is the maximum time until a change of the store is in force.
func New(identity messenger.Identity, instances Instances, r *registrar.Registrar, propagationLimit time.Duration, logger *log.Logger, opts ...Option) *Feeder {
	f := &Feeder{
		maxAge:   time.Duration(maxAgeShare * float64(propagationLimit)),
		identity: identity, instances: instances, registrar: r, logger: logger, start: time.Now(), nextConfirmation: make(chan struct{}), backoffs: make(map[string]backoff),
		withoutTenants: make(map[string]bool),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Attach sets the messenger and registers the feeder's method on it. It must be called before the messenger starts.
func (f *Feeder) Attach(m *messenger.Messenger) {
	f.messenger = m
	messenger.Handle(m, methodFollow, f.handleFollow)
}

// ConfirmCurrent records a time at which the state was known to be current. Times before the latest one are ignored.
func (f *Feeder) ConfirmCurrent(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !at.After(f.confirmedAt) {
		return
	}
	f.confirmedAt = at
	f.confirmationCount++
	close(f.nextConfirmation)
	f.nextConfirmation = make(chan struct{})
}

// Age returns the time since the state was last known to be current, or since New if it never was.
func (f *Feeder) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return time.Since(f.start)
	}
	return time.Since(f.confirmedAt)
}

// HasDownstreamInstances reports whether another instance has followed this one within downstreamExpiry.
func (f *Feeder) HasDownstreamInstances() bool {
	last := f.lastFollowRequest.Load()
	return last > 0 && time.Since(f.start)-time.Duration(last) < downstreamExpiry
}

// Upstream returns the closest ancestor in the tree that is not in backoff; none if this instance has to watch the
// store.
func (f *Feeder) Upstream() (string, bool) {
	names := f.instances.OwnDomainInstances()
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
// error, the upstream is not followed for a backoff period.
func (f *Feeder) Follow(ctx context.Context, upstream string) (follower.Update, error) {
	f.mu.Lock()
	if f.upstream != upstream {
		f.upstream, f.receivedState = upstream, stateID{}
	}
	receivedState, timeout := f.receivedState, max(f.maxAge-time.Since(f.confirmedAt), minFollowTimeout)
	f.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, next, err := f.requestUpdate(callCtx, upstream, receivedState)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		delay := min(max(2*f.backoffs[upstream].delay, minBackoff), maxBackoff)
		f.backoffs[upstream] = backoff{until: time.Now().Add(delay), delay: delay}
		f.upstream = ""
		return follower.Update{}, err
	}
	delete(f.backoffs, upstream)
	f.receivedState = next
	return update, nil
}

// requestUpdate requests one update and checks that it is neither older than the state of this instance nor too old.
func (f *Feeder) requestUpdate(ctx context.Context, upstream string, receivedState stateID) (follower.Update, stateID, error) {
	view := f.registrar.View()
	request := encoder.FollowRequest{Incarnation: receivedState.incarnation, Serial: receivedState.serial, Confirmation: receivedState.confirmation, Epoch: view.Position().Epoch, Revision: view.Position().Revision}
	reply, err := messenger.Call[encoder.FollowRequest, encoder.FollowReply](ctx, f.messenger, upstream, methodFollow, request)
	switch {
	case err != nil:
		return follower.Update{}, receivedState, err
	case positionOf(reply).Precedes(view.Position()):
		return follower.Update{}, receivedState, errOlderState
	case time.Duration(reply.AgeMs)*time.Millisecond >= f.maxAge:
		return follower.Update{}, receivedState, errTooOld
	}
	now := time.Now()
	change, err := decodeChange(reply, view.ClosedDomains(), now)
	if err == nil {
		err = f.checkTenants(upstream, change.Table)
	}
	if err != nil {
		return follower.Update{}, receivedState, err
	}
	update := follower.Update{Change: change, ConfirmedAt: now.Add(-time.Duration(reply.AgeMs) * time.Millisecond), Settled: !reply.Unsettled}
	return update, stateID{incarnation: reply.Incarnation, serial: reply.Serial, confirmation: reply.Confirmation}, nil
}

// NewerState returns the complete state of a peer with a later position than the given one, preferably the latest,
// regardless of its age. It returns false if no such peer replies.
func (f *Feeder) NewerState(ctx context.Context, after registrar.Position) (registrar.Change, bool) {
	for _, name := range f.instances.InstancesAfter(after) {
		change, found := f.requestState(ctx, name)
		if found && after.Precedes(change.Position) && change.Complete {
			return change, true
		}
	}
	return registrar.Change{}, false
}

// NewerTable returns the routing table of a peer with a higher version than the given one; false if none is known or
// replies.
func (f *Feeder) NewerTable(ctx context.Context, after int) (*mapper.Table, bool) {
	for _, name := range f.instances.InstancesAboveVersion(after) {
		change, found := f.requestState(ctx, name)
		if found && change.Table != nil && change.Table.Version() > after {
			return change.Table, true
		}
	}
	return nil, false
}

// requestState requests the complete state of a peer; it returns false if that fails.
func (f *Feeder) requestState(ctx context.Context, name string) (registrar.Change, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := messenger.Call[encoder.FollowRequest, encoder.FollowReply](callCtx, f.messenger, name, methodFollow, encoder.FollowRequest{})
	if err != nil {
		f.logger.Warn("state of another instance not read", "peer", name, "error", err)
		return registrar.Change{}, false
	}
	change, err := decodeChange(reply, f.registrar.View().ClosedDomains(), time.Now())
	if err == nil && f.checkTenants(name, change.Table) != nil {
		// The targets are left out too: after their position the store would not tell the table again.
		return registrar.Change{}, false
	}
	if err != nil {
		f.logger.Warn("state of another instance refused", "peer", name, "error", err)
		return registrar.Change{}, false
	}
	return change, true
}

// checkTenants returns an error if the routing table of another instance must not be used, because tenants are required
// and it does not know them. It logs the first such table of an instance. The table may be nil.
func (f *Feeder) checkTenants(name string, table *mapper.Table) error {
	if !f.tenantsRequired || table == nil {
		return nil
	}
	f.mu.Lock()
	known := f.withoutTenants[name]
	if table.KnowsTenants() {
		delete(f.withoutTenants, name)
	} else {
		f.withoutTenants[name] = true
	}
	f.mu.Unlock()
	if table.KnowsTenants() {
		return nil
	}
	if !known {
		f.logger.Warn("routing tables of an instance are not used", "peer", name, "version", table.Version(), "error", errWithoutTenants)
	}
	return errWithoutTenants
}

// handleFollow replies to a downstream instance as soon as the state here differs from the one that it has, was
// confirmed again, or is too old.
func (f *Feeder) handleFollow(ctx context.Context, _ messenger.Peer, request encoder.FollowRequest) (encoder.FollowReply, error) {
	f.lastFollowRequest.Store(int64(time.Since(f.start)))
	for {
		changed := f.registrar.Changed()
		f.mu.Lock()
		nextConfirmation, confirmedAt, confirmationCount := f.nextConfirmation, f.confirmedAt, f.confirmationCount
		f.mu.Unlock()
		view, age := f.registrar.View(), time.Since(confirmedAt)
		known := request.Incarnation == f.identity.Incarnation && request.Serial == view.Serial() && request.Confirmation == confirmationCount
		if !known || age >= f.maxAge || view.Position().Precedes(positionOfRequest(request)) {
			return f.newReply(request, view, confirmationCount, age), nil
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

// newReply builds the reply to a request. It holds no state if the downstream instance has a later position.
func (f *Feeder) newReply(request encoder.FollowRequest, view *registrar.View, confirmationCount int, age time.Duration) encoder.FollowReply {
	reply := encoder.FollowReply{
		Incarnation: f.identity.Incarnation, Serial: view.Serial(), Confirmation: confirmationCount, AgeMs: int(age.Milliseconds()),
		Epoch: view.Position().Epoch, Revision: view.Position().Revision, Unsettled: !view.IsSettled(),
	}
	if view.Position().Precedes(positionOfRequest(request)) {
		return reply
	}
	serial := 0
	if request.Incarnation == f.identity.Incarnation {
		serial = request.Serial
	}
	encodeChange(&reply, view.ChangeSince(serial), time.Now())
	return reply
}
