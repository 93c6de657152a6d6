// Package feeder passes the state of the platform's store from instance to instance inside a failure domain, so that few
// of them have to watch the store. The instances of a domain form a tree by their names: the first one watches, and each
// other one follows the instance above it. How old its knowledge is goes along with it; an instance whose knowledge
// becomes too old watches the store itself.
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
	// fanout is the number of instances that follow one directly, so that the load of each is bounded.
	fanout = 8
	// leastInstances is the number of instances of a failure domain below which each watches the store.
	leastInstances = 3
	// ageShare is the part of the time in which a change has to be in force at which knowledge is too old. It is above the
	// part in which the first instance hears from the store, and leaves the rest for a call to the store.
	ageShare = 0.6
	// leastPatience is how long an instance waits for the one above it at least.
	leastPatience = 300 * time.Millisecond
	// firstRest and lastRest bound how long an instance that did not help is not followed.
	firstRest = time.Second
	lastRest  = 16 * time.Second
	// followerMemory is how long an instance that was asked expects to be asked again.
	followerMemory = 5 * time.Second
	// callTimeout bounds the call for the whole state of another instance.
	callTimeout = time.Second
)

var (
	errBehind = errors.New("feeder: the instance knows an older state")
	errStale  = errors.New("feeder: the instance has not heard from the store")
)

// Members provides the other instances.
type Members interface {
	// InDomain returns the names of the known instances of the own failure domain in order, this one included.
	InDomain() []string
	// Ahead returns a few instances that are known to reflect a higher revision, the highest first.
	Ahead(above int) []string
}

// position is how far the state of another instance is known.
type position struct {
	incarnation          string
	serial, confirmation int
}

// rest is how long an instance is not followed.
type rest struct {
	until  time.Time
	length time.Duration
}

// Feeder follows other instances, and answers those that follow this one.
type Feeder struct {
	identity  messenger.Identity
	members   Members
	registrar *registrar.Registrar
	logger    *log.Logger
	messenger *messenger.Messenger
	// maxAge is the age of knowledge at which it no longer counts as current.
	maxAge time.Duration
	// askedAt is when another instance has asked last, in nanoseconds since start.
	askedAt atomic.Int64
	start   time.Time

	mu sync.Mutex
	// confirmed is when the state was known to be current; confirmation counts.
	confirmed    time.Time
	confirmation int
	// news is closed with the next confirmation.
	news chan struct{}
	// upstream is the instance that was followed last, and at how far its state is known.
	upstream string
	at       position
	rests    map[string]rest
}

// New creates a feeder; a change of the store has to be in force within the time.
func New(identity messenger.Identity, members Members, r *registrar.Registrar, inForce time.Duration, logger *log.Logger) *Feeder {
	return &Feeder{
		maxAge:   time.Duration(ageShare * float64(inForce)),
		identity: identity, members: members, registrar: r, logger: logger, start: time.Now(), news: make(chan struct{}), rests: make(map[string]rest),
	}
}

// Attach sets the messenger and registers the method on it; it is called before the messenger starts.
func (f *Feeder) Attach(m *messenger.Messenger) {
	f.messenger = m
	messenger.Handle(m, methodFollow, f.answer)
}

// Confirm notes when the state was known to be current.
func (f *Feeder) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !at.After(f.confirmed) {
		return
	}
	f.confirmed = at
	f.confirmation++
	close(f.news)
	f.news = make(chan struct{})
}

// Age returns the time since the state was known to be current, or since the start.
func (f *Feeder) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return time.Since(f.start)
	}
	return time.Since(f.confirmed)
}

// Feeding reports whether other instances follow this one.
func (f *Feeder) Feeding() bool {
	at := f.askedAt.Load()
	return at > 0 && time.Since(f.start)-time.Duration(at) < followerMemory
}

// Upstream returns the instance to follow; none if this one has to watch the store.
func (f *Feeder) Upstream() (string, bool) {
	names := f.members.InDomain()
	if len(names) < leastInstances {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := slices.Index(names, f.identity.Instance); i > 0; {
		i = (i - 1) / fanout
		if now.After(f.rests[names[i]].until) {
			return names[i], true
		}
	}
	return "", false
}

// Follow waits for news of the instance: a change, or that its state is still current. An error lets it rest.
func (f *Feeder) Follow(ctx context.Context, upstream string) (follower.Update, error) {
	f.mu.Lock()
	if f.upstream != upstream {
		f.upstream, f.at = upstream, position{}
	}
	at, patience := f.at, max(f.maxAge-time.Since(f.confirmed), leastPatience)
	f.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	update, next, err := f.ask(call, upstream, at)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		length := min(max(2*f.rests[upstream].length, firstRest), lastRest)
		f.rests[upstream] = rest{until: time.Now().Add(length), length: length}
		f.upstream = ""
		return follower.Update{}, err
	}
	delete(f.rests, upstream)
	f.at = next
	return update, nil
}

// ask performs one call for news and checks that they are current.
func (f *Feeder) ask(ctx context.Context, upstream string, at position) (follower.Update, position, error) {
	view := f.registrar.View()
	request := encoder.FollowRequest{Incarnation: at.incarnation, Serial: at.serial, Confirmation: at.confirmation, Revision: view.Revision()}
	reply, err := messenger.Call[encoder.FollowRequest, encoder.FollowReply](ctx, f.messenger, upstream, methodFollow, request)
	switch {
	case err != nil:
		return follower.Update{}, at, err
	case reply.Revision < view.Revision():
		return follower.Update{}, at, errBehind
	case time.Duration(reply.AgeMs)*time.Millisecond >= f.maxAge:
		return follower.Update{}, at, errStale
	}
	now := time.Now()
	change, err := decode(reply, view.ClosedDomains(), now)
	if err != nil {
		return follower.Update{}, at, err
	}
	update := follower.Update{Change: change, Confirmed: now.Add(-time.Duration(reply.AgeMs) * time.Millisecond), Unsettled: reply.Unsettled}
	return update, position{incarnation: reply.Incarnation, serial: reply.Serial, confirmation: reply.Confirmation}, nil
}

// Newest returns the state of an instance with a higher revision than the given one, whatever its age.
func (f *Feeder) Newest(ctx context.Context, above int) (registrar.Change, bool) {
	for _, name := range f.members.Ahead(above) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := messenger.Call[encoder.FollowRequest, encoder.FollowReply](call, f.messenger, name, methodFollow, encoder.FollowRequest{Revision: above})
		cancel()
		if err != nil {
			f.logger.Warn("state of an instance not read", "peer", name, "error", err)
			continue
		}
		if reply.Revision <= above || !reply.Complete {
			continue
		}
		change, err := decode(reply, f.registrar.View().ClosedDomains(), time.Now())
		if err != nil {
			f.logger.Warn("state of an instance refused", "peer", name, "error", err)
			continue
		}
		return change, true
	}
	return registrar.Change{}, false
}

// answer tells another instance what it does not know, as soon as there is something, or when the state here is no longer
// current.
func (f *Feeder) answer(ctx context.Context, _ messenger.Peer, request encoder.FollowRequest) (encoder.FollowReply, error) {
	f.askedAt.Store(int64(time.Since(f.start)))
	for {
		changed := f.registrar.Changed()
		f.mu.Lock()
		news, confirmed, confirmation := f.news, f.confirmed, f.confirmation
		f.mu.Unlock()
		view, age := f.registrar.View(), time.Since(confirmed)
		known := request.Incarnation == f.identity.Incarnation && request.Serial == view.Serial() && request.Confirmation == confirmation
		if !known || age >= f.maxAge || view.Revision() < request.Revision {
			return f.reply(request, view, confirmation, age), nil
		}
		timer := time.NewTimer(f.maxAge - age)
		select {
		case <-changed:
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return encoder.FollowReply{}, ctx.Err()
		}
		timer.Stop()
	}
}

func (f *Feeder) reply(request encoder.FollowRequest, view *registrar.View, confirmation int, age time.Duration) encoder.FollowReply {
	reply := encoder.FollowReply{
		Incarnation: f.identity.Incarnation, Serial: view.Serial(), Confirmation: confirmation, AgeMs: int(age.Milliseconds()),
		Revision: view.Revision(), Unsettled: view.Missing() > 0,
	}
	if view.Revision() < request.Revision {
		return reply
	}
	serial := 0
	if request.Incarnation == f.identity.Incarnation {
		serial = request.Serial
	}
	encode(&reply, view.Since(serial), time.Now())
	return reply
}
