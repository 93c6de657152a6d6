package sender_test

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
	"apricotflow/platform"
)

// singleInstance is a fleet of one instance.
type singleInstance struct{}

func (singleInstance) InstanceEstimate() int { return 1 }

func (singleInstance) CountInstancesIn(string) int { return 1 }

func (singleInstance) CountPreceding(string) int { return 0 }

func newSender() *sender.Sender { return newSenderOf(registrar.New()) }

func newSenderOf(state *registrar.Registrar) *sender.Sender {
	logger := log.New(io.Discard)
	return sender.New("east", state, picker.New(picker.ColdLimits{}, singleInstance{}, "east"), budgeter.New(budgeter.Limits{Window: time.Second}, singleInstance{}.InstanceEstimate),
		throttler.New(singleInstance{}.InstanceEstimate),
		transporter.New(platform.TargetHeaders{}), prober.New(state, logger), logger, tally.NoopScope)
}

// recordReplies records n successful replies with the given latency.
func recordReplies(s *sender.Sender, n int, latency time.Duration) {
	for range n {
		end := s.Track(registrar.Target{ID: "t"}, "search", sender.LatencyEstimate{Median: latency}, "r")
		end(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}, Latency: latency})
	}
}

// Guards against a hedge delay that follows the slow replies: if a fifth of them is slow, the percentile alone lies
// at their latency.
func TestHedgeDelayStaysNearMedianWhenSomeRepliesAreSlow(t *testing.T) {
	s := newSender()
	recordReplies(s, 80, 8*time.Millisecond)
	recordReplies(s, 20, 90*time.Millisecond)
	estimate := s.LatencyEstimate("search")
	assert.Assert(t, estimate.Median > 7*time.Millisecond && estimate.Median < 9*time.Millisecond, estimate)
	assert.Assert(t, estimate.HedgeDelay < 25*time.Millisecond, estimate)
}

// Guards against hedging too late when latency hardly varies: the percentile then lies close to the median.
func TestHedgeDelayFollowsPercentileWhenLatencyIsSteady(t *testing.T) {
	s := newSender()
	recordReplies(s, 100, 20*time.Millisecond)
	estimate := s.LatencyEstimate("search")
	assert.Assert(t, estimate.HedgeDelay < 22*time.Millisecond, estimate)
	assert.Equal(t, estimate.WithMaxHedgeDelay(5*time.Millisecond).HedgeDelay, 5*time.Millisecond)
}

// Guards against an explanation that says nothing of targets which are no candidates at all.
func TestExplanationNamesTargetsThatAreNotServing(t *testing.T) {
	state := registrar.New()
	state.Apply(registrar.Change{Put: []registrar.Target{
		{ID: "a", Service: "s", FailureDomain: "east"}, {ID: "b", Service: "s", FailureDomain: "east", Draining: true}, {ID: "c", Service: "other"},
	}}, true)
	s := newSenderOf(state)
	candidates := s.Explain(mapper.Service{Name: "s"}, s.LatencyEstimate("search"), "east", func(string) bool { return false })
	assert.Equal(t, len(candidates), 2)
	assert.Equal(t, candidates[0].Target.ID+candidates[0].LeftOut, "a")
	assert.Equal(t, candidates[1].Target.ID+candidates[1].LeftOut, "b"+picker.ReasonNotServing)
}
