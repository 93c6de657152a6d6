// Package discoverer finds the other instances through a few seeds and what instances tell each other.
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
	methodExchange = "discover"
	// interval is the time between two exchanges. Each tells one other instance and shows whether it lives; on the average
	// each instance is asked once in that time, however many there are.
	interval = 2 * time.Second
	// joinInterval replaces it for joinTime after the start, so that an instance knows the others before callers come.
	joinInterval = 500 * time.Millisecond
	joinTime     = 8 * time.Second
	// wholeInterval is the least time between two questions for all that another instance knows.
	wholeInterval = 10 * time.Second
	// searchInterval replaces it while no other instance is known.
	searchInterval = 300 * time.Millisecond
	// seedInterval is the time between attempts to reach a seed that is not known as an instance.
	seedInterval = 6 * time.Second
	// callTimeout bounds one call to another instance.
	callTimeout = time.Second
	// maxAhead bounds the instances that are named as ahead of a revision.
	maxAhead = 3
)

// Discoverer keeps the list of instances.
type Discoverer struct {
	identity  messenger.Identity
	address   string
	messenger *messenger.Messenger
	registrar *registrar.Registrar
	logger    *log.Logger

	started time.Time

	mu     sync.Mutex
	seeds  []string
	seedAt time.Time
	roster *enroller.Roster
	// last is the name of the member that was told last.
	last string
	// wholeAt is when all that another instance knows was asked for; differs tells that another one knows a different
	// number of instances.
	wholeAt time.Time
	differs bool
	// doubted holds members that another instance does not know, which are asked first: news of their end may be lost.
	doubted []string
}

// New creates a discoverer for an instance that listens for others at the address.
func New(identity messenger.Identity, address string, seeds []string, r *registrar.Registrar, logger *log.Logger) *Discoverer {
	own := encoder.DiscoveryMember{
		Instance: identity.Instance, Incarnation: identity.Incarnation, FailureDomain: identity.FailureDomain, PeerAddress: address,
	}
	return &Discoverer{
		identity: identity, address: address, seeds: seeds, registrar: r, logger: logger, started: time.Now(), roster: enroller.New(own), differs: true,
	}
}

// Attach sets the messenger and registers the methods on it; it is called before the messenger starts.
func (d *Discoverer) Attach(m *messenger.Messenger) {
	d.messenger = m
	messenger.Handle(m, methodExchange, d.answerExchange)
	m.Introduce(func() bool { return false }, func(hello encoder.HelloMessage) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.meet(encoder.DiscoveryMember{
			Instance: hello.Instance, Incarnation: hello.Incarnation, FailureDomain: hello.FailureDomain, PeerAddress: hello.PeerAddress,
		})
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
	m, found := d.roster.Member(instance)
	return m.Address, found
}

// Instances returns a safe estimate of how many instances live, at least the number of seeds and this one.
func (d *Discoverer) Instances() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.roster.Len() + 1
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
	return n + len(d.roster.In(domain))
}

// Statuses describes the other instances; one that is suspected counts as out of reach.
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

// Preceding returns the number of known instances before this one in rendezvous order for the key.
func (d *Discoverer) Preceding(key string) int {
	return owner.Preceding(key, d.identity.Instance, d.Members())
}

// Members returns the names of the other instances in order.
func (d *Discoverer) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Names()
}

// Near returns the connected instances of a failure domain, in order of their names.
func (d *Discoverer) Near(domain string) []string {
	d.mu.Lock()
	names := slices.Clone(d.roster.In(domain))
	d.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool { return !d.messenger.Connected(name) })
}

// Run exchanges with other instances until the context ends.
func (d *Discoverer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.connectSeeds(ctx)
		d.exchange(ctx)
		d.expire()
		timekeeper.Sleep(ctx, d.pause())
	}
}

// pause returns the time until the next exchange.
func (d *Discoverer) pause() time.Duration {
	switch {
	case len(d.Members()) == 0:
		return searchInterval
	case time.Since(d.started) < joinTime:
		return joinInterval
	}
	return interval
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
	if d.roster.Len() > 0 && time.Since(d.seedAt) < seedInterval {
		return nil
	}
	d.seedAt = time.Now()
	known := map[string]bool{d.address: true}
	for _, name := range d.roster.Names() {
		m, _ := d.roster.Member(name)
		known[m.Address] = true
	}
	return slices.DeleteFunc(slices.Clone(d.seeds), func(seed string) bool { return known[seed] })
}

// exchange tells the next member what is new, and learns what is new there. A member that does not answer is suspected.
func (d *Discoverer) exchange(ctx context.Context) {
	name, found := d.next()
	if !found {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	question := d.question(name)
	reply, err := messenger.Call[encoder.DiscoveryMessage, encoder.DiscoveryMessage](call, d.messenger, name, methodExchange, question)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.note(name, d.roster.Suspect(name, time.Now()), "error", err)
		if question.Whole {
			d.differs, d.wholeAt = true, time.Time{}
		}
		return
	}
	d.take(reply)
	if question.Whole {
		d.doubt(reply)
	}
}

// doubt notes the members that the sender of everything it knows does not know.
func (d *Discoverer) doubt(whole encoder.DiscoveryMessage) {
	listed := map[string]bool{whole.Sender.Instance: true}
	for _, m := range whole.Members {
		listed[m.Instance] = true
	}
	d.doubted = slices.DeleteFunc(d.roster.Names(), func(name string) bool { return listed[name] })
}

// next returns a doubted member, or the one after the member that was told last.
func (d *Discoverer) next() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.doubted) > 0 {
		name := d.doubted[0]
		d.doubted = d.doubted[1:]
		return name, true
	}
	names := d.roster.Names()
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

// question returns the message that begins an exchange.
func (d *Discoverer) question(receiver string) encoder.DiscoveryMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	message := d.message(d.roster.Pass(receiver, math.MaxInt, now))
	if d.differs && now.Sub(d.wholeAt) > wholeInterval {
		message.Whole, d.wholeAt, d.differs = true, now, false
	}
	return message
}

func (d *Discoverer) message(members []encoder.DiscoveryMember) encoder.DiscoveryMessage {
	return encoder.DiscoveryMessage{
		Revision: d.registrar.View().Revision(), Sender: d.roster.Own(), Known: d.roster.Len() + 1, Members: members,
	}
}

func (d *Discoverer) answerExchange(_ context.Context, _ messenger.Peer, request encoder.DiscoveryMessage) (encoder.DiscoveryMessage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(request)
	if request.Whole {
		return d.message(d.roster.All(time.Now())), nil
	}
	return d.message(d.roster.Pass(request.Sender.Instance, request.Sender.Counter, time.Now())), nil
}

// take learns from a message of an instance; the lock is held.
func (d *Discoverer) take(message encoder.DiscoveryMessage) {
	d.meet(message.Sender)
	d.roster.Reflect(message.Sender.Instance, message.Revision)
	for _, m := range message.Members {
		d.note(m.Instance, d.roster.Learn(m, time.Now()), "from", message.Sender.Instance)
	}
	if message.Known != d.roster.Len()+1 {
		d.differs = true
	}
}

// meet takes up what an instance says of itself; the lock is held.
func (d *Discoverer) meet(m encoder.DiscoveryMember) {
	d.note(m.Instance, d.roster.Meet(m, time.Now()), "from", m.Instance)
}

// note logs what has changed of an instance; the lock is held.
func (d *Discoverer) note(name string, c enroller.Change, key string, value any) {
	if c == enroller.Unchanged {
		return
	}
	m, _ := d.roster.Member(name)
	d.logger.Info(string(c), "peer", name, "incarnation", m.Incarnation, "address", m.Address, "counter", m.Counter, "known", d.roster.Len()+1, key, value)
}

// expire forgets instances that have been suspected for too long.
func (d *Discoverer) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.roster.Expire(time.Now()) {
		d.logger.Info("instance forgotten", "peer", name, "after", enroller.ForgetAge, "known", d.roster.Len()+1)
	}
}

// InDomain returns the names of the known instances of the own failure domain in order, this one included.
func (d *Discoverer) InDomain() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := append(slices.Clone(d.roster.In(d.identity.FailureDomain)), d.identity.Instance)
	slices.Sort(names)
	return names
}

// Ahead returns a few instances that are known to reflect a higher revision, the highest first.
func (d *Discoverer) Ahead(above int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision := func(name string) int {
		m, _ := d.roster.Member(name)
		return m.Revision
	}
	names := slices.DeleteFunc(d.roster.Names(), func(name string) bool { return revision(name) <= above })
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(revision(b), revision(a)) })
	return names[:min(len(names), maxAhead)]
}
