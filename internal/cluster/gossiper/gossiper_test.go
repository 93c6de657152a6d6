package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/configurer"
	"apricotflow/internal/cluster/gossiper"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errDown = errors.New("platform is down")

// parse reads a generation.
func parse(raw []byte) (*resolver.Manifest, error) {
	wire := encoder.Manifest{Limits: encoder.Limits{LeaseMs: 600}}
	if _, err := fmt.Sscan(string(raw), &wire.Generation); err != nil {
		return nil, err
	}
	m, _ := resolver.New(wire, string(raw))
	return m, nil
}

// platformFunc is a Platform.
type platformFunc func() error

func (f platformFunc) Fetch(context.Context) error { return f() }

// targets notes which instance each fact is learnt from.
type targets struct {
	facts  atomic.Pointer[encoder.TargetFact]
	learnt atomic.Int64
	from   sync.Map
}

func (s *targets) Facts() []encoder.TargetFact {
	if fact := s.facts.Load(); fact != nil {
		return []encoder.TargetFact{*fact}
	}
	return nil
}

func (s *targets) Learn(fact encoder.TargetFact, from string) {
	s.learnt.Add(1)
	s.from.Store(fact, from)
}

// everything is an ownership under which each instance may own each target.
type everything struct{ *owner.Owner }

func (everything) MayOwn(string, string) bool { return true }

type node struct {
	*gossiper.Gossiper
	messenger *messenger.Messenger
	config    *configurer.Configurer
	targets   *targets
	events    *recorder.Recorder
	settled   atomic.Bool
	stop      func()
}

// cluster is a set of instances with one member list.
type cluster struct {
	t     *testing.T
	nodes map[string]*node
	list  encoder.MemberList
}

// add creates an instance that runs after run.
func (c *cluster) add(name string, platform func(*node) error, seeds ...string) *node {
	c.t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	events := recorder.New(name, clock, 1000)
	n := &node{targets: &targets{}, events: events}
	n.settled.Store(true)
	n.config = configurer.New(parse, timekeeper.BootTime, events, checker.New(events, tally.NoopScope.Counter("violations"), true))
	incarnation := fmt.Sprint(name, clock.Now())
	resolve := messenger.ResolverFunc(func(instance string) (string, bool) {
		i, found := n.config.Members().Instance(instance)
		return i.PeerAddress, found
	})
	n.messenger = messenger.New(messenger.Identity{Instance: name, Incarnation: incarnation}, "127.0.0.1:0", resolve, clock, events)
	n.Gossiper = gossiper.New(name, incarnation, n.messenger, n.config,
		timekeeper.BootTime, gossiper.WithSeeds(seeds...), gossiper.WithTargets(n.targets), gossiper.WithEvents(events))
	n.Attach(platformFunc(func() error { return platform(n) }), everything{owner.New(name, n.config, n)}, n.settled.Load)
	assert.NilError(c.t, n.messenger.Start())
	c.nodes[name] = n
	c.list.Revision++
	c.list.Instances = append(c.list.Instances, encoder.MemberInstance{Name: name, PeerAddress: n.messenger.Address(), State: "live"})
	return n
}

func (c *cluster) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		closing, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Check(c.t, n.messenger.Close(closing))
	})
	c.t.Cleanup(n.stop)
}

func down(*node) error { return errDown }

// serve returns a platform with a manifest and the cluster's member list.
func (c *cluster) serve(manifest string) func(*node) error {
	return func(n *node) error {
		if _, err := n.config.ApplyManifest([]byte(manifest), "platform"); err != nil {
			return err
		}
		_, err := n.config.ApplyMembers(encoder.Encode(c.list), "platform")
		return err
	}
}

// start creates and runs instances that know one another and hold the manifest.
func start(t *testing.T, manifest string, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, nodes: make(map[string]*node), list: encoder.MemberList{Targets: []encoder.MemberTarget{}}}
	for _, name := range names {
		c.add(name, c.serve(manifest))
	}
	for _, name := range names {
		c.run(c.nodes[name])
	}
	for _, name := range names {
		eventually(t, c.nodes[name].Ready)
	}
	return c
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition does not hold in time")
}

// A new instance that believes a stale platform would send work to a failure domain taken out long ago.
func TestFreshInstanceWithStalePlatform(t *testing.T) {
	c := start(t, "5", "a", "b")
	fresh := c.add("z", c.serve("3"))
	c.run(fresh)
	eventually(t, fresh.Ready)
	assert.Equal(t, fresh.config.Manifest().Generation(), 5)
}

// Without the platform, a new instance must get the configuration from its seeds alone.
func TestFreshInstanceWithSeedsOnly(t *testing.T) {
	c := start(t, "5", "a", "b")
	fresh := c.add("z", down, "127.0.0.1:1", c.nodes["b"].messenger.Address())
	c.run(fresh)
	eventually(t, fresh.Ready)
	assert.Equal(t, fresh.config.Manifest().Generation(), 5)
	assert.Equal(t, fresh.config.Members().Revision(), 2)
}

// An instance without any configuration must not serve.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	c := &cluster{t: t, nodes: make(map[string]*node)}
	alone := c.add("a", down)
	c.run(alone)
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !alone.Ready())
}

// A change must reach all instances well within 5 s, and no instance may go back.
func TestChangeReachesAllInstances(t *testing.T) {
	c := start(t, "1", "a", "b", "c", "d", "e")
	began := time.Now()
	for generation := 2; generation <= 4; generation++ {
		_, err := c.nodes["c"].config.ApplyManifest(fmt.Append(nil, generation), "platform")
		assert.NilError(t, err)
	}
	for _, n := range c.nodes {
		eventually(t, func() bool { return n.config.Manifest().Generation() == 4 })
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Two manifests of one generation must end as the same one everywhere.
func TestConflictingManifestsConverge(t *testing.T) {
	c := start(t, "1", "a", "b", "c")
	_, err := c.nodes["a"].config.ApplyManifest([]byte("2 x"), "platform")
	assert.NilError(t, err)
	_, err = c.nodes["b"].config.ApplyManifest([]byte("2 y"), "platform")
	assert.NilError(t, err)
	for _, n := range c.nodes {
		eventually(t, func() bool { return n.config.Manifest().Digest() == "2 y" })
	}
}

// Ownership must move before the member list shows that an instance leaves, and a lost one must be noticed.
func TestLeavingLossAndRestart(t *testing.T) {
	c := start(t, "1", "a", "b")
	a, b := c.nodes["a"], c.nodes["b"]
	eventually(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	version := a.AnnouncementVersion()
	b.Leave(context.Background())
	assert.Assert(t, b.Leaving("b"))
	eventually(t, func() bool { return a.Leaving("b") })
	assert.Assert(t, a.AnnouncementVersion() != version)
	// Without the event, a planned stop looks like a loss in the time line.
	announced := func() int {
		events, _ := a.events.Events(0)
		return len(slices.DeleteFunc(events, func(e encoder.Event) bool { return e.Kind != string(recorder.KindPeerLeaving) || e.Subject != "b" }))
	}
	eventually(t, func() bool { return announced() == 1 })
	before := timekeeper.BootTime()
	b.AnnounceReleased(t.Context())
	eventually(t, func() bool { return a.Released("b") && a.ReleasedAt("b") >= before })
	b.stop()
	eventually(t, func() bool { return !a.Reachable("b") })
	old, _ := a.Peer("b")
	c.list.Instances = c.list.Instances[:1]
	again := c.add("b", c.serve("1"))
	c.run(again)
	eventually(t, func() bool { return a.Reachable("b") && !a.Leaving("b") && !a.Released("b") && a.ReleasedAt("b") == 0 })
	restarted, _ := a.Peer("b")
	assert.Assert(t, restarted.Incarnation != old.Incarnation)
}

// Groups that go to an instance that has just started have no holder; it must be known as joining until it settles.
func TestJoiningUntilSettled(t *testing.T) {
	c := start(t, "1", "a")
	a, fresh := c.nodes["a"], c.add("z", c.serve("1"))
	fresh.settled.Store(false)
	c.run(fresh)
	eventually(t, func() bool { return a.Joining("z") && fresh.Joining("z") && !fresh.Joining("a") })
	version := a.AnnouncementVersion()
	fresh.settled.Store(true)
	eventually(t, func() bool { return !a.Joining("z") && !fresh.Joining("z") })
	assert.Assert(t, a.AnnouncementVersion() != version)
}

// Another owner that does not learn of a draining target sends it new work.
func TestFactsReachOtherInstances(t *testing.T) {
	c := start(t, "1", "a", "b")
	fact := encoder.TargetFact{Target: "t", Incarnation: "1", State: encoder.LoadStateDraining}
	source := c.add("z", c.serve("1"))
	source.targets.facts.Store(&fact)
	c.run(source)
	for _, name := range []string{"a", "b"} {
		eventually(t, func() bool {
			from, _ := c.nodes[name].targets.from.Load(fact)
			return from == "z"
		})
	}
}

// A message under another name than that of its connection must not change the state of that instance.
func TestExchangeUnderAnotherNameIsRefused(t *testing.T) {
	c := start(t, "1", "a", "b")
	message := encoder.ExchangeMessage{Instance: "a", Leaving: true, Targets: []encoder.TargetFact{}}
	_, err := messenger.Call[encoder.ExchangeMessage, encoder.ExchangeMessage](context.Background(), c.nodes["b"].messenger, "a", "exchange", message)
	var remote *messenger.RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.Assert(t, !c.nodes["a"].Leaving("a"))
}

// A peer that misses a change, or gets everything with every message, has stale facts or costs bytes.
func TestOnlyChangedFactsAreSent(t *testing.T) {
	c := start(t, "1", "a", "b")
	source, sink := c.nodes["a"].targets, c.nodes["b"].targets
	for _, state := range []encoder.LoadState{encoder.LoadStateWarm, encoder.LoadStateCold} {
		fact := encoder.TargetFact{Target: "t", Incarnation: "1", State: state}
		source.facts.Store(&fact)
		eventually(t, func() bool { _, found := sink.from.Load(fact); return found })
	}
	// Each instance exchanges with the other about once a second, and gets everything again each 3 s.
	before := sink.learnt.Load()
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, sink.learnt.Load()-before <= 4, "%d", sink.learnt.Load()-before)
}

// One instance that tells all others takes too long at 3,100, and a bounded fan-out must not leave any out for long, with
// one message in ten lost.
func TestPushReachesAllInstances(t *testing.T) {
	const count, tick, hop = 3100, 10 * time.Millisecond, 50 * time.Millisecond
	names := make([]string, count)
	index := make(map[string]int, count)
	for i := range names {
		names[i] = fmt.Sprint(i)
		index[names[i]] = i
	}
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 0))
		lost := func() bool { return random.IntN(10) == 0 }
		has, reached, most := make([]bool, count), 0, 0
		arrivals := map[time.Duration][]int{0: {0}}
		now := time.Duration(0)
		for ; reached < count; now += tick {
			assert.Assert(t, now < 2*time.Second, "%d reached", reached)
			for _, i := range arrivals[now] {
				if has[i] {
					continue
				}
				has[i] = true
				reached++
				others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == names[i] })
				targets := gossiper.PushTargets(others, func(string) bool { return false }, random.Shuffle)
				most = max(most, len(targets))
				for _, name := range targets {
					if !lost() {
						arrivals[now+hop] = append(arrivals[now+hop], index[name])
					}
				}
			}
			// Each instance exchanges with a random one each second, which informs either end.
			for i := range names {
				if other := random.IntN(count); i%100 == int(now/tick)%100 && has[i] != has[other] && !lost() {
					arrivals[now+hop] = append(arrivals[now+hop], i, other)
				}
			}
		}
		t.Log("reached after", now, "fan-out", most)
		assert.Assert(t, most <= 16)
	}
}
