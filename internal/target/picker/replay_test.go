package picker_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/standin/worker"
	"apricotflow/internal/target/appraiser"
	"apricotflow/internal/target/estimator"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/transporter"
)

const (
	// oneWay is the time of a message to a target or back.
	oneWay = 200 * time.Microsecond
	// replayTime is the virtual time of a replay, and learningTime its beginning, which does not count.
	replayTime   = 30 * time.Second
	learningTime = 5 * time.Second
	// tailShare of the requests take tailRatio times as long.
	tailShare = 0.01
	tailRatio = 5
)

// replay sends two kinds of request to machines from some instances and returns the latencies of each kind.
type replay struct {
	instances int
	// usage is the used share of the slots on average.
	usage float64
	// pauses reports whether each machine pauses every 2 to 4 s.
	pauses  bool
	options func() []picker.Option
}

var replayedWork = map[string]time.Duration{"costly": 7500 * time.Microsecond, "cheap": 2500 * time.Microsecond}

func (r replay) run(t *testing.T, duration time.Duration) map[string][]time.Duration {
	latencies := make(map[string][]time.Duration)
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		var all []registrar.Target
		workers := make(map[string]*worker.Worker)
		perSecond := 0.0
		for i, slowness := range []float64{0.8, 1, 1.3} {
			all = append(all, registrar.Target{ID: strconv.Itoa(i), Service: "s", FailureDomain: "east", Slots: 2})
			workers[all[i].ID] = worker.New(2, slowness, 2*duration, r.pauses, random)
			perSecond += 2 / slowness
		}
		meanWork := 5 * time.Millisecond.Seconds() * (1 + tailShare*(tailRatio-1)) * worker.MeanWorkFactor
		perSecond *= r.usage / meanWork
		var mu sync.Mutex
		var running sync.WaitGroup
		pickers := make([]*picker.Picker, r.instances)
		windows := make([]map[string]*estimator.Window, r.instances)
		for i := range pickers {
			pickers[i] = picker.New(picker.ColdLimits{}, instances(r.instances), "east", r.options()...)
			windows[i] = map[string]*estimator.Window{"costly": estimator.NewWindow(), "cheap": estimator.NewWindow()}
		}
		for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
			route, p := "costly", random.IntN(r.instances)
			if random.IntN(2) == 0 {
				route = "cheap"
			}
			work := time.Duration(float64(replayedWork[route]) * (0.8 + 0.4*random.Float64()))
			if random.Float64() < tailShare {
				work *= tailRatio
			}
			running.Go(func() {
				began := time.Now()
				kind := picker.RequestKind{Route: route, Median: 20 * time.Millisecond}
				if median, known := windows[p][route].Percentile(50); known {
					kind.Median = median
				}
				target, found := pickers[p].Pick(all, mapper.Service{Name: "s"}, kind, "east", excludeNone)
				for ; !found; target, found = pickers[p].Pick(all, mapper.Service{Name: "s"}, kind, "east", excludeNone) {
					time.Sleep(time.Millisecond)
				}
				sent := time.Now()
				inFlight := pickers[p].Begin(target, kind)
				time.Sleep(oneWay)
				load := workers[target.ID].Run(work)
				time.Sleep(oneWay)
				inFlight.End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: http.StatusOK}, Load: &load, Latency: time.Since(sent)})
				windows[p][route].Record(time.Since(sent))
				if began.Sub(start) > learningTime {
					mu.Lock()
					defer mu.Unlock()
					latencies[route] = append(latencies[route], time.Since(began))
				}
			})
		}
		running.Wait()
	})
	for _, l := range latencies {
		slices.Sort(l)
	}
	return latencies
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[len(sorted)*percent/100]
}

// Load pattern: two kinds of request of very different cost, on targets of different speed whose machines are slow for
// 90 ms in each 600 ms. Guards against a choice by expected cost that is no better than the one by the number of requests.
// The slow requests must be faster for both kinds, and the median over both; that of one kind may be up to 2 % longer. With
// pauses, the slowest percent waits for their ends and differs from run to run.
func TestChoiceByCostIsFasterThanChoiceByCounts(t *testing.T) {
	for _, c := range []replay{{instances: 4, usage: 0.6}, {instances: 4, usage: 0.6, pauses: true}} {
		t.Run(fmt.Sprintf("%d instances, pauses %t", c.instances, c.pauses), func(t *testing.T) {
			c.options = func() []picker.Option { return nil }
			byCounts := c.run(t, replayTime)
			c.options = func() []picker.Option { return []picker.Option{picker.WithCosts(appraiser.New())} }
			byCost := c.run(t, replayTime)
			var mediansBefore, mediansAfter time.Duration
			for _, route := range []string{"costly", "cheap"} {
				for _, percent := range []int{50, 95, 99} {
					before, after := percentile(byCounts[route], percent), percentile(byCost[route], percent)
					t.Logf("%s p%d: %s by counts, %s by cost", route, percent, before.Round(10*time.Microsecond), after.Round(10*time.Microsecond))
					if percent == 50 {
						mediansBefore, mediansAfter = mediansBefore+before, mediansAfter+after
						assert.Check(t, float64(after) < 1.02*float64(before), "%s p50", route)
						continue
					}
					assert.Check(t, after < before || c.pauses && percent == 99, "%s p%d", route, percent)
				}
			}
			assert.Check(t, mediansAfter < mediansBefore)
		})
	}
}
