package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/target/budgeter"
)

// Guards against exceeding the limits: over all instances and in every window, extra requests must stay within
// ratio x needed requests + slack, for any order of calls.
func TestInstancesTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		limits := budgeter.Limits{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}
		now := time.Unix(0, 0)
		var budgeters []*budgeter.Budgeter
		for range instances {
			budgeters = append(budgeters, budgeter.New(limits, func() int { return instances }, budgeter.WithClock(func() time.Time { return now })))
		}
		type step struct {
			at     time.Time
			needed int
			extra  int
		}
		var history []step
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			b := budgeters[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			m := step{at: now}
			for range rapid.IntRange(0, 20).Draw(t, "needed") {
				b.RecordNeeded("s", "")
				m.needed++
			}
			for range rapid.IntRange(0, 40).Draw(t, "wanted") {
				if b.TakeExtra("s", "", 1) {
					m.extra++
				}
			}
			history = append(history, m)
		}
		for i := range history {
			// A needed request counts in the window of an extra one or in the window before.
			needed, extra := 0, 0
			for _, m := range history {
				if d := m.at.Sub(history[i].at); d >= -limits.Window && d < limits.Window {
					needed += m.needed
					if d >= 0 {
						extra += m.extra
					}
				}
			}
			if float64(extra) > limits.Ratio*float64(needed)+limits.Slack {
				t.Fatalf("%d extra requests for %d needed requests", extra, needed)
			}
		}
	})
}

// takeAll takes extra requests until the budget is empty, and returns their number.
func takeAll(b *budgeter.Budgeter) int {
	n := 0
	for b.TakeExtra("s", "", 1) {
		n++
	}
	return n
}

// Guards against a slack that is unavailable before there are needed requests, or is not restored after the window.
func TestSlackIsRestoredAfterWindow(t *testing.T) {
	now := time.Unix(0, 0)
	b := budgeter.New(budgeter.Limits{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }, budgeter.WithClock(func() time.Time { return now }))
	take := func() int { return takeAll(b) }
	first := take()
	assert.Assert(t, first >= 8 && first <= 10, first)
	now = now.Add(9 * time.Second)
	assert.Equal(t, take(), 0)
	now = now.Add(2 * time.Second)
	assert.Equal(t, take(), first)
	b.SetLimits(budgeter.Limits{Slack: 20, Window: 10 * time.Second})
	assert.Assert(t, take() > 0)
}

// Guards against an instance that is started again and again and uses a whole share of the slack each time.
func TestStartsOfInstanceShareItsSlack(t *testing.T) {
	limits := budgeter.Limits{Slack: 40, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		taken := 0
		for until := now.Add(limits.Window); now.Before(until); {
			b := budgeter.New(limits, func() int { return 1 }, budgeter.WithClock(func() time.Time { return now }), budgeter.WithGrowingSlack())
			for range rapid.IntRange(1, 5).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "ms")) * time.Millisecond)
				if now.Before(until) {
					taken += takeAll(b)
				}
			}
		}
		if float64(taken) > limits.Slack {
			t.Fatalf("%d extra requests, the slack is %g", taken, limits.Slack)
		}
	})
	now := time.Unix(0, 0)
	b := budgeter.New(limits, func() int { return 1 }, budgeter.WithClock(func() time.Time { return now }), budgeter.WithGrowingSlack())
	now = now.Add(limits.Window)
	assert.Equal(t, takeAll(b), 34, "the whole slack after the first window, less the margin")
}

// Guards against counts that stay for good, or are forgotten at once, when a reload of the settings changes the window.
func TestExtraRequestsCountForOneWindowAfterChangeOfWindow(t *testing.T) {
	for _, window := range []time.Duration{5 * time.Second, 20 * time.Second} {
		now := time.Unix(0, 0)
		b := budgeter.New(budgeter.Limits{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }, budgeter.WithClock(func() time.Time { return now }))
		take := func() int { return takeAll(b) }
		now = now.Add(100 * time.Second)
		first := take()
		b.SetLimits(budgeter.Limits{Slack: 10, Window: window})
		now = now.Add(window * 9 / 10)
		assert.Equal(t, take(), 0, "within the window of %s", window)
		now = now.Add(window / 5)
		assert.Equal(t, take(), first, "after the window of %s", window)
	}
}

// Guards against a large instance that gets as little of the slack as the many small ones for which it sends.
func TestSlackFollowsDivisorOfService(t *testing.T) {
	divisor := func(service string, instances int) int {
		if service == "shard" {
			return 2
		}
		return instances
	}
	b := budgeter.New(budgeter.Limits{Slack: 40, Window: 10 * time.Second}, func() int { return 20 }, budgeter.WithDivisor(divisor))
	taken := func(service string) int {
		n := 0
		for b.TakeExtra(service, "", 1) {
			n++
		}
		return n
	}
	assert.Assert(t, taken("shard") > 10)
	assert.Assert(t, taken("other") <= 2)
}
