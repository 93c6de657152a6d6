// Package discoverer finds the other instances through a few seeds and what instances tell each other, and hands on what
// they know of the platform while its store cannot be reached.
package discoverer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

const (
	methodExchange = "discover"
	methodSnapshot = "snapshot"
	// interval is the time between two exchanges. Each tells one other instance, so it bounds the bytes between
	// failure domains, which are priced.
	interval = 2 * time.Second
	// searchInterval replaces it while no other instance is known.
	searchInterval = 300 * time.Millisecond
	// seedInterval is the time between attempts to reach a seed that is not known as an instance.
	seedInterval = 6 * time.Second
	// callTimeout bounds one call to another instance.
	callTimeout = time.Second
	// forgetAge is the age after which an instance that nobody has heard of is gone. It covers a partition of the usual
	// length, since instances on the other side still use their share of budgets.
	forgetAge = 20 * time.Second
	// snapshotPeers bounds the instances asked for their state at one time.
	snapshotPeers = 3
)

// member is another instance.
type member struct {
	incarnation string
	domain      string
	address     string
	// heard is the time of the latest message, also through others.
	heard time.Time
	// revision is the revision that the instance reflected in its latest direct message.
	revision int
}

// Discoverer keeps the list of instances.
type Discoverer struct {
	identity  messenger.Identity
	address   string
	messenger *messenger.Messenger
	registrar *registrar.Registrar
	logger    *log.Logger

	mu      sync.Mutex
	seeds   []string
	seedAt  time.Time
	members map[string]*member
	// last is the name of the member that was told last.
	last string
}

// New creates a discoverer for an instance that listens for others at the address.
func New(identity messenger.Identity, address string, seeds []string, r *registrar.Registrar, logger *log.Logger) *Discoverer {
	return &Discoverer{identity: identity, address: address, seeds: seeds, registrar: r, logger: logger, members: make(map[string]*member)}
}

// Attach sets the messenger and registers the methods on it; it is called before the messenger starts.
func (d *Discoverer) Attach(m *messenger.Messenger) {
	d.messenger = m
	messenger.Handle(m, methodExchange, d.answerExchange)
	messenger.Handle(m, methodSnapshot, d.answerSnapshot)
	m.Introduce(func() bool { return false }, func(hello encoder.HelloMessage) {
		d.learn(hello.Instance, hello.Incarnation, hello.FailureDomain, hello.PeerAddress, 0)
	})
}

// SetSeeds replaces the seeds.
func (d *Discoverer) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// PeerAddress returns the address of an instance.
func (d *Discoverer) PeerAddress(instance string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, found := d.members[instance]
	if !found {
		return "", false
	}
	return m.address, true
}

// Instances returns a safe estimate of how many instances live, at least the number of seeds and this one.
func (d *Discoverer) Instances() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := len(d.members) + 1
	listed := len(d.seeds)
	if !slices.Contains(d.seeds, d.address) {
		listed++
	}
	return max(known, listed)
}

// InstancesIn returns the number of known instances in a failure domain, this one included.
func (d *Discoverer) InstancesIn(domain string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	if domain == d.identity.FailureDomain {
		n++
	}
	for _, m := range d.members {
		if m.domain == domain {
			n++
		}
	}
	return n
}

// Preceding returns the number of known instances before this one in rendezvous order for the key.
func (d *Discoverer) Preceding(key string) int {
	return owner.Preceding(key, d.identity.Instance, d.Members())
}

// Members returns the names of the other instances in order.
func (d *Discoverer) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.members))
}

// Near returns the connected instances of a failure domain, in order of their names.
func (d *Discoverer) Near(domain string) []string {
	d.mu.Lock()
	var names []string
	for name, m := range d.members {
		if m.domain == domain {
			names = append(names, name)
		}
	}
	d.mu.Unlock()
	slices.Sort(names)
	return slices.DeleteFunc(names, func(name string) bool { return !d.messenger.Connected(name) })
}

// Run exchanges with other instances until the context ends.
func (d *Discoverer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.connectSeeds(ctx)
		d.exchange(ctx)
		pause := interval
		if len(d.Members()) == 0 {
			pause = searchInterval
		}
		timekeeper.Sleep(ctx, pause)
	}
}

// connectSeeds connects to a seed that is not known as an instance, to join or to heal a partition.
func (d *Discoverer) connectSeeds(ctx context.Context) {
	for _, seed := range d.unknownSeeds() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.messenger.Connect(call, seed)
		cancel()
		if err != nil {
			d.logger.Debug("seed not reached", "seed", seed, "error", err)
		}
	}
}

func (d *Discoverer) unknownSeeds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.members) > 0 && time.Since(d.seedAt) < seedInterval {
		return nil
	}
	d.seedAt = time.Now()
	known := map[string]bool{d.address: true}
	for _, m := range d.members {
		known[m.address] = true
	}
	return slices.DeleteFunc(slices.Clone(d.seeds), func(seed string) bool { return known[seed] })
}

// exchange tells the next member what this instance knows, and learns what the member knows.
func (d *Discoverer) exchange(ctx context.Context) {
	name, found := d.next()
	if !found {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := messenger.Call[encoder.DiscoveryMessage, encoder.DiscoveryMessage](call, d.messenger, name, methodExchange, d.message())
	if err != nil {
		d.logger.Debug("instance not reached", "peer", name, "error", err)
		return
	}
	d.take(name, reply)
}

// next returns the member after the one that was told last.
func (d *Discoverer) next() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Sorted(maps.Keys(d.members))
	if len(names) == 0 {
		return "", false
	}
	i, found := slices.BinarySearch(names, d.last)
	if found {
		i++
	}
	d.last = names[i%len(names)]
	return d.last, true
}

func (d *Discoverer) message() encoder.DiscoveryMessage {
	message := encoder.DiscoveryMessage{Revision: d.registrar.View().Revision(), Members: []encoder.DiscoveryMember{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, m := range d.members {
		message.Members = append(message.Members, encoder.DiscoveryMember{
			Instance: name, Incarnation: m.incarnation, FailureDomain: m.domain, PeerAddress: m.address, AgeMs: int(time.Since(m.heard).Milliseconds()),
		})
	}
	return message
}

func (d *Discoverer) answerExchange(_ context.Context, peer messenger.Peer, request encoder.DiscoveryMessage) (encoder.DiscoveryMessage, error) {
	d.take(peer.Instance, request)
	return d.message(), nil
}

// take learns from a message of an instance.
func (d *Discoverer) take(name string, message encoder.DiscoveryMessage) {
	for _, m := range message.Members {
		if m.Instance != d.identity.Instance {
			d.learn(m.Instance, m.Incarnation, m.FailureDomain, m.PeerAddress, time.Duration(m.AgeMs)*time.Millisecond)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, found := d.members[name]; found {
		m.heard = time.Now()
		m.revision = message.Revision
	}
	for other, m := range d.members {
		if time.Since(m.heard) > forgetAge {
			delete(d.members, other)
			d.logger.Info("instance forgotten", "peer", other, "age", time.Since(m.heard))
		}
	}
}

// learn notes that an instance lived an age ago.
func (d *Discoverer) learn(name, incarnation, domain, address string, age time.Duration) {
	if age > forgetAge || name == d.identity.Instance {
		return
	}
	heard := time.Now().Add(-age)
	d.mu.Lock()
	defer d.mu.Unlock()
	m, found := d.members[name]
	if !found {
		d.members[name] = &member{incarnation: incarnation, domain: domain, address: address, heard: heard}
		d.logger.Info("instance found", "peer", name, "incarnation", incarnation, "address", address, "age", age)
		return
	}
	if heard.After(m.heard) {
		if m.incarnation != incarnation {
			d.logger.Info("instance restarted", "peer", name, "incarnation", incarnation)
		}
		m.incarnation, m.domain, m.address, m.heard = incarnation, domain, address, heard
	}
}

// Newest returns the state of the peer with the highest revision above the given one.
func (d *Discoverer) Newest(ctx context.Context, above int) (registrar.Change, bool) {
	for _, name := range d.ahead(above) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := messenger.Call[encoder.SnapshotRequest, encoder.SnapshotReply](call, d.messenger, name, methodSnapshot, encoder.SnapshotRequest{})
		cancel()
		if err != nil {
			d.logger.Warn("state of an instance not read", "peer", name, "error", err)
			continue
		}
		if reply.Revision <= above {
			continue
		}
		change, err := decodeSnapshot(reply)
		if err != nil {
			d.logger.Warn("state of an instance refused", "peer", name, "error", err)
			continue
		}
		return change, true
	}
	return registrar.Change{}, false
}

// ahead returns a few members that are known to reflect a higher revision, the highest first.
func (d *Discoverer) ahead(above int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, m := range d.members {
		if m.revision > above {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.members[b].revision, d.members[a].revision), cmp.Compare(a, b))
	})
	return names[:min(len(names), snapshotPeers)]
}
