package selector_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/target/selector"
	"apricotflow/internal/wire/encoder"
)

func init() {
	// A fixed seed makes property failures repeatable; the command line can set another one.
	_ = flag.Set("rapid.seed", "1")
}

type configuration struct {
	manifest *resolver.Manifest
	members  *resolver.Members
}

func (c *configuration) Manifest() *resolver.Manifest { return c.manifest }
func (c *configuration) Members() *resolver.Members   { return c.members }

// configure returns a configuration with targets t0 to t3 in failure domain a, t4 and t5 in b, and t6 and t7 in c,
// which is closed.
func configure(t assert.TestingT, leavingInManifest string, leavingInMembers ...string) *configuration {
	targets := make([]encoder.Target, 0, 8)
	for n := range 8 {
		state, domain := encoder.TargetStateServing, "aaaabbcc"[n:n+1]
		name := fmt.Sprint("t", n)
		if name == leavingInManifest {
			state = encoder.TargetStateLeaving
		}
		targets = append(targets, encoder.Target{
			Name: name, Address: fmt.Sprint("127.0.0.1:", n+1), FailureDomain: domain, State: state, Slots: 2, Connections: 25, ColdLimit: 1,
		})
	}
	m, problems := resolver.New(encoder.Manifest{
		Generation: 1, Deployment: "test",
		FailureDomains: []encoder.FailureDomain{{Name: "a", Region: "r", State: "open"}, {Name: "b", Region: "r", State: "open"}, {Name: "c", Region: "r", State: "closed"}},
		Services:       []encoder.Service{{Name: "s", Targets: targets}},
		Limits:         encoder.Limits{Owners: 2, LeaseMs: 3000},
	}, "d")
	assert.Equal(t, len(problems), 0)
	list := encoder.MemberList{}
	for _, name := range leavingInMembers {
		list.Targets = append(list.Targets, encoder.MemberTarget{Name: name, State: encoder.MemberTargetStateLeaving})
	}
	return &configuration{manifest: m, members: resolver.NewMembers(list)}
}

func reply(target string, outcome encoder.Outcome, reason encoder.Reason) encoder.SubReply {
	return encoder.SubReply{Target: target, Incarnation: "i", State: encoder.LoadStateWarm, Outcome: outcome, Reason: reason}
}

func observe(s *selector.Selector, target string, latency time.Duration) {
	s.AddInFlight(target)
	s.ObserveReply(reply(target, encoder.OutcomeAnswered, encoder.ReasonNone), latency)
}

// Every policy must return exactly the replicas that may get new work, whatever was observed before.
func TestOrderReturnsAllowedReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "unknown"}
		policy := rapid.SampledFrom([]encoder.PolicySelection{"least-loaded", "two-choices", "random"}).Draw(t, "policy")
		s := selector.New("a", configure(t, "t1", "t2"), selector.WithPolicy(policy))
		refused := map[string]bool{"t1": true, "t2": true, "t6": true, "t7": true, "unknown": true}
		for _, name := range rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "observed") {
			s.AddInFlight(name)
			reason := rapid.SampledFrom([]encoder.Reason{"none", "shed", "target-down", "draining"}).Draw(t, "reason")
			if reason == encoder.ReasonNone {
				continue
			}
			s.ObserveReply(reply(name, encoder.OutcomeNotRun, reason), time.Millisecond)
			if reason != encoder.ReasonShed {
				refused[name] = true
			}
		}
		replicas := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "replicas")
		var expected []string
		for _, name := range replicas {
			if !refused[name] {
				expected = append(expected, name)
			}
		}
		actual := s.Order(replicas)
		slices.Sort(actual)
		slices.Sort(expected)
		assert.Assert(t, slices.Equal(actual, expected), "%v is not %v", actual, expected)
	})
}

// Slow and busy targets must come after the others, and among equals the own failure domain must come first.
func TestOrderPutsSlowAndBusyTargetsLast(t *testing.T) {
	s := selector.New("b", configure(t, ""))
	for _, name := range []string{"t0", "t1", "t2", "t4"} {
		observe(s, name, 4*time.Millisecond)
	}
	observe(s, "t1", 100*time.Millisecond)
	s.AddInFlight("t2")
	assert.DeepEqual(t, s.Order([]string{"t0", "t1", "t2", "t4"}), []string{"t4", "t0", "t2", "t1"})
}

// A target that fails fast must not be preferred for its short latency.
func TestFastFailureIsNotPreferred(t *testing.T) {
	s := selector.New("a", configure(t, ""))
	for range 10 {
		observe(s, "t0", 4*time.Millisecond)
		s.AddInFlight("t1")
		s.ObserveReply(reply("t1", encoder.OutcomeNotRun, encoder.ReasonShed), 100*time.Microsecond)
	}
	s.AddInFlight("t0")
	assert.DeepEqual(t, s.Order([]string{"t1", "t0"}), []string{"t0", "t1"})
}

// An old latency, load report or target-down reply must not keep work away from a target forever.
func TestTargetIsPreferredAgainWhenBadObservationsAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := selector.New("a", configure(t, ""))
		observe(s, "t0", time.Second)
		s.AddInFlight("t1")
		s.ObserveReply(reply("t1", encoder.OutcomeNotRun, encoder.ReasonTargetDown), time.Millisecond)
		assert.DeepEqual(t, s.Order([]string{"t0", "t1"}), []string{"t0"})
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, s.Order([]string{"t0", "t1"}), []string{"t1", "t0"})
		observe(s, "t2", 4*time.Millisecond)
		observe(s, "t3", 5*time.Millisecond)
		s.ObserveReport(encoder.TargetReport{Target: "t2", InFlight: 2, State: encoder.LoadStateWarm})
		assert.DeepEqual(t, s.Order([]string{"t2", "t3"}), []string{"t3", "t2"})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, s.Order([]string{"t2", "t3"}), []string{"t2", "t3"})
		time.Sleep(time.Minute)
		observe(s, "t3", 20*time.Millisecond)
		assert.DeepEqual(t, s.Order([]string{"t0", "t3"}), []string{"t0", "t3"})
	})
}

// The two-choices policy must put the better of two random replicas first, and must not send everything to the best of
// all.
func TestTwoChoicesPrefersBetterOfTwoRandomReplicas(t *testing.T) {
	s := selector.New("a", configure(t, ""), selector.WithPolicy(encoder.PolicySelectionTwoChoices))
	for n := range 4 {
		observe(s, fmt.Sprint("t", n), time.Duration(n+1)*4*time.Millisecond)
	}
	first := make(map[string]int)
	for range 2000 {
		first[s.Order([]string{"t0", "t1", "t2", "t3"})[0]]++
	}
	assert.Equal(t, first["t3"], 0)
	assert.Assert(t, first["t0"] > first["t1"] && first["t1"] > first["t2"] && first["t2"] > 100, "%v", first)
}

// A target that this instance cannot connect to must get no work. It must get work again once it is up, or when the
// state is not renewed because this instance no longer owns the target.
func TestTargetGetsNoWorkWhileDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := selector.New("a", configure(t, ""))
		replicas := []string{"t0", "t1"}
		s.SetTargetUp("t0", false)
		assert.DeepEqual(t, s.Order(replicas), []string{"t1"})
		s.SetTargetUp("t0", true)
		assert.Equal(t, len(s.Order(replicas)), 2)
		s.SetTargetUp("t0", false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(s.Order(replicas)), 2)
	})
}
