package sender_test

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
	"apricotflow/platform"
)

// alone is a fleet of one instance.
type alone struct{}

func (alone) Instances() int { return 1 }

func (alone) InstancesIn(string) int { return 1 }

func (alone) Preceding(string) int { return 0 }

func newSender() *sender.Sender {
	state, logger := registrar.New(), log.New(io.Discard)
	return sender.New("east", state, picker.New(picker.ColdLimits{}, alone{}, "east"), budgeter.New(budgeter.Limits{Window: time.Second}, alone{}.Instances),
		transporter.New(platform.Targets{}), prober.New(state, logger), logger, tally.NoopScope)
}

// answer records answers of a kind with a latency.
func answer(s *sender.Sender, n int, latency time.Duration) {
	for range n {
		end := s.Track(registrar.Target{ID: "t"}, "search", sender.Pace{Usual: latency}, "r")
		end(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}, Latency: latency})
	}
}

// Many slow answers must not delay hedges to the time that slow answers take.
func TestSlowAnswersDoNotDelayHedges(t *testing.T) {
	s := newSender()
	answer(s, 80, 8*time.Millisecond)
	answer(s, 20, 90*time.Millisecond)
	pace := s.Pace("search")
	assert.Assert(t, pace.Usual > 7*time.Millisecond && pace.Usual < 9*time.Millisecond, pace)
	assert.Assert(t, pace.Hedge < 25*time.Millisecond, pace)
}

// Where answers hardly vary, a hedge is due soon after the usual latency.
func TestSteadyAnswersAreHedgedByTheirQuantile(t *testing.T) {
	s := newSender()
	answer(s, 100, 20*time.Millisecond)
	pace := s.Pace("search")
	assert.Assert(t, pace.Hedge < 22*time.Millisecond, pace)
	assert.Equal(t, pace.WithHedge(5*time.Millisecond).Hedge, 5*time.Millisecond)
}
