// Package discoverer finds the other instances in relay mode, through a few seeds and by gossip. It regularly exchanges
// updates of the instance list with one other instance, which also detects failed ones. Other packages use it to list
// instances and to look up their addresses; package enroller holds the instance list. In native mode, the platform's
// member list and package gossiper replace it.
package discoverer

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

const (
	methodDiscover = "discover"
	// exchangeInterval is the time between two exchanges. Each exchange informs one other instance and shows whether it is
	// alive; on average, each instance is contacted once per interval, regardless of the size of the fleet.
	exchangeInterval = 2 * time.Second
	// joinInterval replaces exchangeInterval for joinPeriod after the start, so that an instance knows the others before
	// the first callers connect.
	joinInterval = 500 * time.Millisecond
	joinPeriod   = 8 * time.Second
	// fullListInterval is the minimum time between two requests for the full instance list of another instance.
	fullListInterval = 10 * time.Second
	// searchInterval replaces exchangeInterval while no other instance is known.
	searchInterval = 300 * time.Millisecond
	// seedInterval is the minimum time between attempts to reach the seeds that are not known as instances.
	seedInterval = 6 * time.Second
	// callTimeout limits one call to another instance.
	callTimeout = time.Second
	// maxNewerInstances is the maximum number of instances that InstancesAfter and InstancesAboveVersion return.
	maxNewerInstances = 3
)

// Quarantine holds what the instances know of requests under which targets end.
type Quarantine interface {
	// Records returns what this instance knows.
	Records() []encoder.QuarantineRecord
	// Merge adds what another instance knows.
	Merge(records []encoder.QuarantineRecord)
}

// Discoverer maintains the list of instances.
type Discoverer struct {
	identity  messenger.Identity
	address   string
	messenger *messenger.Messenger
	registrar *registrar.Registrar
	logger    *log.Logger
	// quarantine is nil if nothing about requests is exchanged.
	quarantine Quarantine

	started time.Time

	mu           sync.Mutex
	seeds        []string
	seedsTriedAt time.Time
	roster       *enroller.Roster
	// lastContacted is the name of the instance that was contacted last in the order of names; contacts to unlisted
	// instances do not count.
	lastContacted string
	// fullListRequestedAt is the time of the latest request for a full instance list.
	fullListRequestedAt time.Time
	// fullListDue reports whether to request a full instance list: at the start, when another instance knows a different
	// number of instances, and after a failed request.
	fullListDue bool
	// unlisted holds the known instances that the full instance list of another one lacked. They are contacted first,
	// because the update about their failure may have been lost.
	unlisted []string
}

// New creates a discoverer for an instance that accepts connections of other instances at the address.
func New(identity messenger.Identity, address string, seeds []string, r *registrar.Registrar, logger *log.Logger) *Discoverer {
	own := encoder.DiscoveryMember{
		Instance: identity.Instance, Incarnation: identity.Incarnation, FailureDomain: identity.FailureDomain, PeerAddress: address,
	}
	if identity.CPUCapacity > 0 {
		own.CpuCapacity = &identity.CPUCapacity
	}
	return &Discoverer{
		identity: identity, address: address, seeds: seeds, registrar: r, logger: logger, started: time.Now(), roster: enroller.New(own), fullListDue: true,
	}
}

// Attach sets the messenger and registers the discoverer's method on it. It must be called before the messenger starts.
func (d *Discoverer) Attach(m *messenger.Messenger) {
	d.messenger = m
	messenger.Handle(m, methodDiscover, d.handleExchange)
	m.SetHello(func() bool { return false }, func(hello encoder.HelloMessage) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.learnDirect(encoder.DiscoveryMember{
			Instance: hello.Instance, Incarnation: hello.Incarnation, FailureDomain: hello.FailureDomain, PeerAddress: hello.PeerAddress,
			CpuCapacity: hello.CpuCapacity,
		})
	})
}

// SetQuarantine sets what goes along with each exchange. It must be called before the messenger starts.
func (d *Discoverer) SetQuarantine(q Quarantine) { d.quarantine = q }

// SetSeeds replaces the seeds.
func (d *Discoverer) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// PeerAddress returns the address of another instance, if it is known.
func (d *Discoverer) PeerAddress(instance string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, found := d.roster.Member(instance)
	return m.Address, found
}

// InstanceEstimate returns an estimate of the number of live instances that errs on the high side: it is at least the
// number of seeds, plus one if this instance is no seed.
func (d *Discoverer) InstanceEstimate() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.roster.Len() + 1
	listed := len(d.seeds)
	if !slices.Contains(d.seeds, d.address) {
		listed++
	}
	return max(known, listed)
}

// SeedsReached returns how many of the seeds are this instance or known ones that are not suspected, and the number of
// seeds.
func (d *Discoverer) SeedsReached() (reached, total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := map[string]bool{d.address: true}
	for _, name := range d.roster.Names() {
		if m, _ := d.roster.Member(name); !m.Suspected() {
			live[m.Address] = true
		}
	}
	for _, seed := range d.seeds {
		if live[seed] {
			reached++
		}
	}
	return reached, len(d.seeds)
}

// Seeds returns the addresses of the seeds with the names of the instances there, as far as these are known.
func (d *Discoverer) Seeds() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := map[string]string{d.address: d.identity.Instance}
	for _, name := range d.roster.Names() {
		m, _ := d.roster.Member(name)
		names[m.Address] = name
	}
	seeds := make(map[string]string, len(d.seeds))
	for _, seed := range d.seeds {
		seeds[seed] = names[seed]
	}
	return seeds
}

// CountInstancesIn returns the number of known instances in a failure domain, including this one.
func (d *Discoverer) CountInstancesIn(domain string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	if domain == d.identity.FailureDomain {
		n++
	}
	return n + len(d.roster.OthersIn(domain))
}

// Capacities returns the CPU capacities of the other known instances in the order of names. The caller must not modify the
// slice.
func (d *Discoverer) Capacities() []enroller.Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Capacities()
}

// Statuses returns the status of the other instances. A suspected instance is reported as unreachable. The state is
// always live, because the instance list has no other states.
func (d *Discoverer) Statuses() []encoder.MemberStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	statuses := make([]encoder.MemberStatus, 0, d.roster.Len())
	for _, name := range d.roster.Names() {
		m, _ := d.roster.Member(name)
		statuses = append(statuses, encoder.MemberStatus{
			Instance: name, FailureDomain: m.FailureDomain, Reachable: !m.Suspected(), State: string(encoder.MemberInstanceStateLive),
		})
	}
	return statuses
}

// CountPreceding returns the number of known instances that precede this one in the rendezvous order for the key.
func (d *Discoverer) CountPreceding(key string) int {
	return owner.CountPreceding(key, d.identity.Instance, d.OtherInstances())
}

// OtherInstances returns the sorted names of the other known instances.
func (d *Discoverer) OtherInstances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Names()
}

// ConnectedIn returns the sorted names of the other instances in a failure domain that are connected.
func (d *Discoverer) ConnectedIn(domain string) []string {
	d.mu.Lock()
	names := slices.Clone(d.roster.OthersIn(domain))
	d.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool { return !d.messenger.Connected(name) })
}

// Run exchanges updates with other instances until the context ends.
func (d *Discoverer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.connectSeeds(ctx)
		d.exchange(ctx)
		d.expire()
		timekeeper.Sleep(ctx, d.exchangePause())
	}
}

// exchangePause returns the delay before the next exchange.
func (d *Discoverer) exchangePause() time.Duration {
	switch {
	case len(d.OtherInstances()) == 0:
		return searchInterval
	case d.Joining():
		return joinInterval
	}
	return exchangeInterval
}

// Joining reports whether this instance has started so recently that it may not know most of the others.
func (d *Discoverer) Joining() bool { return time.Since(d.started) < joinPeriod }

// connectSeeds connects to the seeds that are not known as instances, to find the other instances at the start or after
// a partition.
func (d *Discoverer) connectSeeds(ctx context.Context) {
	for _, seed := range d.takeDueSeeds() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.messenger.Connect(callCtx, seed)
		cancel()
		if err != nil {
			d.logger.Debug("seed not reached", "seed", seed, "error", err)
		}
	}
}

// takeDueSeeds returns the seeds that are not known as instances, and records the attempt to reach them. It returns
// none if other instances are known and the last attempt was less than seedInterval ago.
func (d *Discoverer) takeDueSeeds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roster.Len() > 0 && time.Since(d.seedsTriedAt) < seedInterval {
		return nil
	}
	d.seedsTriedAt = time.Now()
	known := map[string]bool{d.address: true}
	for _, name := range d.roster.Names() {
		m, _ := d.roster.Member(name)
		known[m.Address] = true
	}
	return slices.DeleteFunc(slices.Clone(d.seeds), func(seed string) bool { return known[seed] })
}

// exchange exchanges updates with the next instance. An instance that does not reply is suspected.
func (d *Discoverer) exchange(ctx context.Context) {
	name, found := d.nextPeer()
	if !found {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := d.newRequest(name)
	reply, err := messenger.Call[encoder.DiscoveryMessage, encoder.DiscoveryMessage](callCtx, d.messenger, name, methodDiscover, request)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.logChange(name, d.roster.Suspect(name, time.Now()), "error", err)
		if request.Whole {
			d.fullListDue, d.fullListRequestedAt = true, time.Time{}
		}
		return
	}
	d.applyMessage(reply)
	if request.Whole {
		d.updateUnlisted(reply)
	}
}

// updateUnlisted sets the unlisted instances to those that the full instance list of another one lacks.
func (d *Discoverer) updateUnlisted(full encoder.DiscoveryMessage) {
	listed := map[string]bool{full.Sender.Instance: true}
	for _, m := range full.Members {
		listed[m.Instance] = true
	}
	d.unlisted = slices.DeleteFunc(d.roster.Names(), func(name string) bool { return listed[name] })
}

// nextPeer returns and removes the first unlisted instance. If there is none, it returns the instance that follows
// lastContacted in the order of names, and records it there.
func (d *Discoverer) nextPeer() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unlisted) > 0 {
		name := d.unlisted[0]
		d.unlisted = d.unlisted[1:]
		return name, true
	}
	names := d.roster.Names()
	if len(names) == 0 {
		return "", false
	}
	i, found := slices.BinarySearch(names, d.lastContacted)
	if found {
		i++
	}
	d.lastContacted = names[i%len(names)]
	return d.lastContacted, true
}

// newRequest returns the message that begins an exchange with the receiver. It requests the full instance list if that
// is due and the latest such request is older than fullListInterval, or failed.
func (d *Discoverer) newRequest(receiver string) encoder.DiscoveryMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	// The receiver's latest counter is unknown here, so its own entry is added only if the receiver is suspected.
	message := d.newMessage(d.roster.UpdatesFor(receiver, math.MaxInt, now))
	if d.fullListDue && now.Sub(d.fullListRequestedAt) > fullListInterval {
		message.Whole, d.fullListRequestedAt, d.fullListDue = true, now, false
	}
	return message
}

// newMessage returns a message with the given entries; the lock is held.
func (d *Discoverer) newMessage(members []encoder.DiscoveryMember) encoder.DiscoveryMessage {
	view := d.registrar.View()
	message := encoder.DiscoveryMessage{
		Epoch: view.Position().Epoch, Revision: view.Position().Revision, Version: view.TableVersion(), Sender: d.roster.Own(), Known: d.roster.Len() + 1, Members: members,
	}
	if d.quarantine != nil {
		message.Quarantine = d.quarantine.Records()
	}
	return message
}

// handleExchange replies to the message with which another instance begins an exchange.
func (d *Discoverer) handleExchange(_ context.Context, _ messenger.Peer, request encoder.DiscoveryMessage) (encoder.DiscoveryMessage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyMessage(request)
	if request.Whole {
		return d.newMessage(d.roster.All(time.Now())), nil
	}
	return d.newMessage(d.roster.UpdatesFor(request.Sender.Instance, request.Sender.Counter, time.Now())), nil
}

// applyMessage applies a message of another instance; the lock is held.
func (d *Discoverer) applyMessage(message encoder.DiscoveryMessage) {
	d.learnDirect(message.Sender)
	d.roster.SetState(message.Sender.Instance, registrar.Position{Epoch: message.Epoch, Revision: message.Revision}, message.Version)
	if d.quarantine != nil && len(message.Quarantine) > 0 {
		d.quarantine.Merge(message.Quarantine)
	}
	for _, m := range message.Members {
		d.logChange(m.Instance, d.roster.Learn(m, time.Now()), "from", message.Sender.Instance)
	}
	if message.Known != d.roster.Len()+1 {
		d.fullListDue = true
	}
}

// learnDirect applies the entry that an instance has sent about itself; the lock is held.
func (d *Discoverer) learnDirect(m encoder.DiscoveryMember) {
	d.logChange(m.Instance, d.roster.LearnDirect(m, time.Now()), "from", m.Instance)
}

// logChange logs a change of an instance; the lock is held.
func (d *Discoverer) logChange(name string, c enroller.MemberChange, key string, value any) {
	if c == enroller.Unchanged {
		return
	}
	m, _ := d.roster.Member(name)
	d.logger.Info(string(c), "peer", name, "incarnation", m.Incarnation, "address", m.Address, "counter", m.Counter, "known", d.roster.Len()+1, key, value)
}

// expire removes and logs the instances that have been suspected for longer than enroller.SuspicionTimeout.
func (d *Discoverer) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.roster.Expire(time.Now()) {
		d.logger.Info("instance forgotten", "peer", name, "after", enroller.SuspicionTimeout, "known", d.roster.Len()+1)
	}
}

// OwnDomainInstances returns the sorted names of the known instances in this instance's failure domain, including this
// one.
func (d *Discoverer) OwnDomainInstances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := append(slices.Clone(d.roster.OthersIn(d.identity.FailureDomain)), d.identity.Instance)
	slices.Sort(names)
	return names
}

// InstancesAfter returns a few other instances that are known to have a later position of the store than the given one,
// the latest first.
func (d *Discoverer) InstancesAfter(position registrar.Position) []string {
	return d.newerInstances(func(m enroller.Member) bool { return position.Precedes(m.Position) },
		func(a, b enroller.Member) int { return b.Position.Compare(a.Position) })
}

// InstancesAboveVersion returns a few other instances that are known to have a routing table with a higher version than
// the given one in force, the highest first.
func (d *Discoverer) InstancesAboveVersion(version int) []string {
	return d.newerInstances(func(m enroller.Member) bool { return m.Version > version },
		func(a, b enroller.Member) int { return cmp.Compare(b.Version, a.Version) })
}

// newerInstances returns the first few of the selected instances in the given order.
func (d *Discoverer) newerInstances(selected func(enroller.Member) bool, order func(a, b enroller.Member) int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	member := func(name string) enroller.Member {
		m, _ := d.roster.Member(name)
		return m
	}
	names := slices.DeleteFunc(d.roster.Names(), func(name string) bool { return !selected(member(name)) })
	slices.SortStableFunc(names, func(a, b string) int { return order(member(a), member(b)) })
	return names[:min(len(names), maxNewerInstances)]
}
