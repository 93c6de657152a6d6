package picker_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
)

// Guards against an explanation that differs from the choice: a reason for a target that is picked, none for one that is
// not, or another order.
func TestCandidatesAgreeWithPick(t *testing.T) {
	now := time.Now()
	cold := registrar.Target{ID: "cold", FailureDomain: "east", Slots: 2, ColdUntil: now.Add(time.Hour)}
	target := func(id string) registrar.Target {
		return registrar.Target{ID: id, FailureDomain: "east", Slots: 2}
	}
	all := []registrar.Target{target("good"), target("slow"), target("paused"), target("down"), target("full"), target("busy"), target("limited"), cold}
	limits, low := throttler.New(func() int { return 1 }, throttler.WithRandom(func() float64 { return 0 })), 0.5
	limits.Observe("limited", &low)
	p := picker.New(picker.ColdLimits{Factor: 1}, fleet{total: 1, inEast: 1, preceding: 5}, "east", picker.WithLimits(limits))
	p.Begin(target("slow"), medianLatency).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}, Latency: 20 * medianLatency.Median})
	p.Begin(target("paused"), medianLatency).End(transporter.Result{Outcome: transporter.Refused, PausedFor: time.Hour})
	p.Begin(target("down"), medianLatency).End(transporter.Result{Outcome: transporter.Unsent, Err: &transporter.DialError{Cause: errors.New("refused")}})
	p.Begin(target("full"), medianLatency).End(transporter.Result{Outcome: transporter.Refused})
	service := mapper.Service{Name: "s", MaxConnections: 50, WarmupRate: 0.5}
	for range p.RequestLimit(target("busy"), service) {
		p.Begin(target("busy"), medianLatency)
	}
	reasons := make(map[string]string)
	for _, c := range p.Explain(all, service, medianLatency, "east", excludeNone) {
		reasons[c.Target.ID] = c.LeftOut
		assert.Equal(t, c.Score() > 0, c.LeftOut == "", c.Target.ID)
		_, found := p.Pick([]registrar.Target{c.Target}, service, medianLatency, "east", excludeNone)
		assert.Equal(t, found, c.LeftOut == "", c.Target.ID)
	}
	assert.DeepEqual(t, reasons, map[string]string{
		"good": "", "slow": "", "paused": picker.ReasonPaused, "down": picker.ReasonDown,
		"full": picker.ReasonFull, "busy": picker.ReasonInFlight,
		"limited": picker.ReasonRequestLimit, "cold": picker.ReasonCold,
	})
	scores := p.Explain(all[:2], service, medianLatency, "east", excludeNone)
	assert.Assert(t, scores[0].Score() < scores[1].Score())
	assert.DeepEqual(t, pickCounts(p, all, service), map[string]int{"good": 200})
}
