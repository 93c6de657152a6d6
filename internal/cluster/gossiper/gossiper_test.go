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

var errPlatformDown = errors.New("platform is down")

// parse returns a manifest whose generation is the first word of raw and whose digest is raw.
func parse(raw []byte) (*resolver.Manifest, error) {
	wire := encoder.Manifest{Limits: encoder.Limits{LeaseMs: 600}}
	if _, err := fmt.Sscan(string(raw), &wire.Generation); err != nil {
		return nil, err
	}
	m, _ := resolver.New(wire, string(raw))
	return m, nil
}

// platformFunc is a gossiper.Platform that calls the function.
type platformFunc func() error

func (f platformFunc) Fetch(context.Context) error { return f() }

// targets is a source of one fact, and a sink that records the sender of each fact.
type targets struct {
	ownFact      atomic.Pointer[encoder.TargetFact]
	learnedCount atomic.Int64
	from         sync.Map
	// onLearn is called for each learned fact, unless it is nil.
	onLearn atomic.Pointer[func()]
}

func (s *targets) Facts() []encoder.TargetFact {
	if fact := s.ownFact.Load(); fact != nil {
		return []encoder.TargetFact{*fact}
	}
	return nil
}

func (s *targets) Learn(fact encoder.TargetFact, from string) {
	s.learnedCount.Add(1)
	s.from.Store(fact, from)
	if f := s.onLearn.Load(); f != nil {
		(*f)()
	}
}

// allTargetsOwnership is an ownership under which every instance may own every target.
type allTargetsOwnership struct{ *owner.Owner }

func (allTargetsOwnership) MayOwn(string, string) bool { return true }

type testInstance struct {
	*gossiper.Gossiper
	messenger *messenger.Messenger
	config    *configurer.Configurer
	targets   *targets
	events    *recorder.Recorder
	settled   atomic.Bool
	stop      func()
}

// testCluster is a set of instances that share one member list.
type testCluster struct {
	t          *testing.T
	instances  map[string]*testInstance
	memberList encoder.MemberList
}

// add creates an instance and adds it to the member list; run starts it.
func (c *testCluster) add(name string, platform func(*testInstance) error, seeds ...string) *testInstance {
	c.t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	events := recorder.New(name, clock, 1000)
	n := &testInstance{targets: &targets{}, events: events}
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
	n.SetDependencies(platformFunc(func() error { return platform(n) }), allTargetsOwnership{owner.New(name, n.config, n)}, n.settled.Load)
	assert.NilError(c.t, n.messenger.Start())
	c.instances[name] = n
	c.memberList.Revision++
	c.memberList.Instances = append(c.memberList.Instances, encoder.MemberInstance{
		Name: name, FailureDomain: "east", PeerAddress: n.messenger.Address(), AdminAddress: n.messenger.Address(), State: "live",
	})
	return n
}

func (c *testCluster) run(n *testInstance) {
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

func platformDown(*testInstance) error { return errPlatformDown }

// servePlatform returns a platform that serves the manifest and the member list of the cluster.
func (c *testCluster) servePlatform(manifest string) func(*testInstance) error {
	return func(n *testInstance) error {
		if _, err := n.config.ApplyManifest([]byte(manifest), "platform"); err != nil {
			return err
		}
		_, err := n.config.ApplyMembers(encoder.Encode(c.memberList), "platform")
		return err
	}
}

// start creates and runs instances that have the manifest and know each other, and waits until they are ready.
func start(t *testing.T, manifest string, names ...string) *testCluster {
	t.Helper()
	c := &testCluster{t: t, instances: make(map[string]*testInstance), memberList: encoder.MemberList{Targets: []encoder.MemberTarget{}}}
	for _, name := range names {
		c.add(name, c.servePlatform(manifest))
	}
	for _, name := range names {
		c.run(c.instances[name])
	}
	for _, name := range names {
		eventually(t, c.instances[name].Ready)
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

// Guards against a new instance that uses the manifest of a stale platform and sends work to a failure domain that was
// closed long ago.
func TestNewInstanceTakesNewerManifestFromPeersWhenPlatformIsStale(t *testing.T) {
	c := start(t, "5", "a", "b")
	added := c.add("z", c.servePlatform("3"))
	c.run(added)
	eventually(t, added.Ready)
	assert.Equal(t, added.config.Manifest().Generation(), 5)
}

// Guards against a new instance that cannot start from its seeds alone while the platform is down.
func TestNewInstanceGetsConfigurationFromSeedsWhenPlatformIsDown(t *testing.T) {
	c := start(t, "5", "a", "b")
	added := c.add("z", platformDown, "127.0.0.1:1", c.instances["b"].messenger.Address())
	c.run(added)
	eventually(t, added.Ready)
	assert.Equal(t, added.config.Manifest().Generation(), 5)
	assert.Equal(t, added.config.Members().Revision(), 2)
}

// Guards against an instance that serves without any configuration.
func TestInstanceIsNotReadyWithoutConfiguration(t *testing.T) {
	c := &testCluster{t: t, instances: make(map[string]*testInstance)}
	alone := c.add("a", platformDown)
	c.run(alone)
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !alone.Ready())
}

// Guards against changes of the configuration that spread slowly. They must reach all instances well within 5 s.
func TestChangeReachesAllInstances(t *testing.T) {
	c := start(t, "1", "a", "b", "c", "d", "e")
	began := time.Now()
	for generation := 2; generation <= 4; generation++ {
		_, err := c.instances["c"].config.ApplyManifest(fmt.Append(nil, generation), "platform")
		assert.NilError(t, err)
	}
	for _, n := range c.instances {
		eventually(t, func() bool { return n.config.Manifest().Generation() == 4 })
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against instances that keep different manifests of the same generation.
func TestConflictingManifestsConverge(t *testing.T) {
	c := start(t, "1", "a", "b", "c")
	_, err := c.instances["a"].config.ApplyManifest([]byte("2 x"), "platform")
	assert.NilError(t, err)
	_, err = c.instances["b"].config.ApplyManifest([]byte("2 y"), "platform")
	assert.NilError(t, err)
	for _, n := range c.instances {
		eventually(t, func() bool { return n.config.Manifest().Digest() == "2 y" })
	}
}

// Guards against ownership that stays with a leaving instance until the member list shows that it leaves, against a
// lost instance that is not detected, and against announcements that outlast a restart.
func TestPeersDetectStateChangesOfInstance(t *testing.T) {
	c := start(t, "1", "a", "b")
	a, b := c.instances["a"], c.instances["b"]
	eventually(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	version := a.AnnouncementVersion()
	b.AnnounceLeaving(context.Background())
	assert.Assert(t, b.Leaving("b"))
	eventually(t, func() bool { return a.Leaving("b") })
	assert.Assert(t, a.AnnouncementVersion() != version)
	// Without the event, a planned stop looks like a loss in the timeline.
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
	c.memberList.Instances = c.memberList.Instances[:1]
	again := c.add("b", c.servePlatform("1"))
	c.run(again)
	eventually(t, func() bool { return a.Reachable("b") && !a.Leaving("b") && !a.Released("b") && a.ReleasedAt("b") == 0 })
	restarted, _ := a.Peer("b")
	assert.Assert(t, restarted.Incarnation != old.Incarnation)
}

// Guards against groups without a lease holder: an instance that has just started cannot hold leases, so it must be
// known as joining until it may.
func TestInstanceIsJoiningUntilSettled(t *testing.T) {
	c := start(t, "1", "a")
	a, fresh := c.instances["a"], c.add("z", c.servePlatform("1"))
	fresh.settled.Store(false)
	c.run(fresh)
	eventually(t, func() bool { return a.Joining("z") && fresh.Joining("z") && !fresh.Joining("a") })
	version := a.AnnouncementVersion()
	fresh.settled.Store(true)
	eventually(t, func() bool { return !a.Joining("z") && !fresh.Joining("z") })
	assert.Assert(t, a.AnnouncementVersion() != version)
}

// Guards against another owner that does not learn of a draining target and sends it new work.
func TestTargetFactsReachOtherInstances(t *testing.T) {
	c := start(t, "1", "a", "b")
	fact := encoder.TargetFact{Target: "t", Incarnation: "1", State: encoder.LoadStateDraining}
	source := c.add("z", c.servePlatform("1"))
	source.targets.ownFact.Store(&fact)
	c.run(source)
	for _, name := range []string{"a", "b"} {
		eventually(t, func() bool {
			from, _ := c.instances[name].targets.from.Load(fact)
			return from == "z"
		})
	}
}

// Guards against a grantor that counts as having confirmed a release that it does not know of, because the release came
// while its exchange was handled: the stopping instance would end before the grantor knows.
func TestExchangeThatConfirmsReleaseAnnouncesIt(t *testing.T) {
	c := start(t, "1", "a", "b")
	a, b := c.instances["a"], c.instances["b"]
	eventually(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	released := make(chan bool, 1)
	release := func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		a.AnnounceReleased(ended)
		released <- true
	}
	release = sync.OnceFunc(release)
	a.targets.onLearn.Store(&release)
	b.targets.ownFact.Store(&encoder.TargetFact{Target: "t", Incarnation: "1", State: encoder.LoadStateDraining})
	for len(released) == 0 {
		assert.Assert(t, b.ExchangeWith(t.Context(), []string{"a"}))
	}
	assert.Assert(t, b.Released("a"))
}

// Guards against a message that changes the state of an instance other than the peer of its connection.
func TestExchangeIsRefusedWhenSenderIsNotThePeer(t *testing.T) {
	c := start(t, "1", "a", "b")
	message := encoder.ExchangeMessage{Instance: "a", Leaving: true, Targets: []encoder.TargetFact{}}
	_, err := messenger.Call[encoder.ExchangeMessage, encoder.ExchangeMessage](context.Background(), c.instances["b"].messenger, "a", "exchange", message)
	var remote *messenger.RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.Assert(t, !c.instances["a"].Leaving("a"))
}

// Guards against peers with stale facts because a change was not sent, and against traffic from facts that are sent in
// every exchange without a change. Only facts about draining targets are always sent.
func TestUnchangedFactsAreSentOnlyOnRefresh(t *testing.T) {
	c := start(t, "1", "a", "b")
	source, receiver := c.instances["a"].targets, c.instances["b"].targets
	for _, state := range []encoder.LoadState{encoder.LoadStateWarm, encoder.LoadStateCold} {
		fact := encoder.TargetFact{Target: "t", Incarnation: "1", State: state}
		source.ownFact.Store(&fact)
		eventually(t, func() bool { _, found := receiver.from.Load(fact); return found })
	}
	// Each instance exchanges with the other about once a second, and is sent all facts again every 3 s.
	before := receiver.learnedCount.Load()
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, receiver.learnedCount.Load()-before <= 4, "%d", receiver.learnedCount.Load()-before)
}

// Guards against a push that is slow because one of 3,100 instances tells all others, and against a limited fan-out
// that leaves instances out for long. One message in ten is lost.
func TestPushReachesAllInstancesWhenMessagesAreLost(t *testing.T) {
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
		informed, reached, maxFanout := make([]bool, count), 0, 0
		arrivals := map[time.Duration][]int{0: {0}}
		now := time.Duration(0)
		for ; reached < count; now += tick {
			assert.Assert(t, now < 2*time.Second, "%d reached", reached)
			for _, i := range arrivals[now] {
				if informed[i] {
					continue
				}
				informed[i] = true
				reached++
				others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == names[i] })
				peers := gossiper.SelectPushPeers(others, func(string) bool { return false }, random.Shuffle)
				maxFanout = max(maxFanout, len(peers))
				for _, name := range peers {
					if !lost() {
						arrivals[now+hop] = append(arrivals[now+hop], index[name])
					}
				}
			}
			// Each instance exchanges with a random one every second, which informs both ends.
			for i := range names {
				if other := random.IntN(count); i%100 == int(now/tick)%100 && informed[i] != informed[other] && !lost() {
					arrivals[now+hop] = append(arrivals[now+hop], i, other)
				}
			}
		}
		t.Log("reached after", now, "fan-out", maxFanout)
		assert.Assert(t, maxFanout <= 16)
	}
}
