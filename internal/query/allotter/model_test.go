package allotter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotflow/internal/query/allotter"
)

// maxConfigurationLag is the time within which all instances know a new limit.
const maxConfigurationLag = 5 * time.Second

// Guards against more requests than the bound allows, over all instances and in any window, under loss, delays, freezes,
// restarts, joins, leaves, partitions and lowered limits, with lists of instances that differ and lag.
func TestBoundHoldsInAnyOrderOfFaults(t *testing.T) {
	for _, limit := range limits {
		t.Run(fmt.Sprintf("%v per second", limit.Rate), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { runModel(rt, limit) })
		})
	}
}

func runModel(t *rapid.T, limit allotter.Limit) {
	size := rapid.IntRange(3, 24).Draw(t, "instances")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), size, limit, false)
	w.lag = time.Duration(rapid.IntRange(200, 6000).Draw(t, "lag in ms")) * time.Millisecond
	start := w.now
	steps := rapid.IntRange(1, 8).Draw(t, "steps")
	lowered, loweredFrom := limit, time.Duration(-1)
	w.load(min(4*limit.Rate, limit.Rate+60), start+10*time.Minute, w.pickAny)
	w.load(min(limit.Rate, 10), start+10*time.Minute, func() *instance {
		// A burst shows what is saved up.
		for range int(limit.Rate/4) + 3 {
			w.pickAny().request()
		}
		return w.pickAny()
	})
	for range steps {
		w.runUntil(w.now + time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause in ms"))*time.Millisecond)
		action := rapid.SampledFrom([]string{
			"freeze", "freeze many", "restart", "restart all", "end", "join", "partition", "partition domain", "heal", "loss", "delay", "lower",
		}).Draw(t, "action")
		switch action {
		case "freeze":
			w.freeze(w.pickAny(), drawTime(t, 100, 30_000))
		case "freeze many":
			for range rapid.IntRange(2, 6).Draw(t, "frozen") {
				w.freeze(w.pickAny(), drawTime(t, 100, 30_000))
			}
		case "restart":
			w.pickAny().start()
		case "restart all":
			for _, in := range w.instances {
				in.start()
			}
		case "end":
			w.pickAny().alive = false
		case "join":
			in := w.newInstance(len(w.instances), limit)
			if loweredFrom >= 0 {
				in.limit, in.version = lowered, 2
			}
			w.instances = append(w.instances, in)
			in.start()
		case "partition":
			groups := rapid.IntRange(2, 4).Draw(t, "groups")
			for _, in := range w.instances {
				in.group = w.random.IntN(groups)
			}
		case "partition domain":
			for i, in := range w.instances {
				in.group = 0
				if i%3 == 0 {
					in.group = 1
				}
			}
		case "heal":
			for _, in := range w.instances {
				in.group = 0
			}
		case "loss":
			w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		case "delay":
			w.delay = drawTime(t, 1, 60)
		case "lower":
			if loweredFrom >= 0 {
				break
			}
			lowered = allotter.Limit{Rate: limit.Rate / 4, Burst: limit.Burst / 4}
			loweredFrom = w.now + maxConfigurationLag + bounds.Window
			for _, in := range w.instances {
				w.at(w.now+w.upTo(maxConfigurationLag), func() { in.limit, in.version = lowered, 2 })
			}
		}
	}
	w.runUntil(w.now + drawTime(t, 5000, 30_000))
	w.checkBound(t, limit, 0, w.now)
	if loweredFrom >= 0 {
		w.checkBound(t, lowered, loweredFrom, w.now)
	}
}

func drawTime(t *rapid.T, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, "time in ms")) * time.Millisecond
}

func (w *world) pickAny() *instance {
	return w.instances[w.random.IntN(len(w.instances))]
}

func (w *world) freeze(in *instance, duration time.Duration) {
	in.frozenUntil = max(in.frozenUntil, w.now+duration)
}
