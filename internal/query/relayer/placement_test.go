package relayer_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/transporter"
)

// helper is another instance that is asked to run a query.
type helper struct {
	// delay is the time until it answers or fails with err.
	delay  time.Duration
	err    error
	answer relayer.Answer
	// repeats reports whether it announces that it repeats parts, and frozen whether it answers no messages.
	repeats, frozen bool
}

// fakeHelpers records the queries that are handed over. The instances are in another failure domain the more, the later
// they are to be chosen.
type fakeHelpers struct {
	helpers map[string]helper

	mu       sync.Mutex
	asked    []string
	requests []relayer.Request
	canceled []string
}

func (h *fakeHelpers) Capacities() []enroller.Capacity {
	return []enroller.Capacity{
		{Instance: "first", FailureDomain: domain, Thousandths: 800},
		{Instance: "second", FailureDomain: "west", Thousandths: 800},
		{Instance: "small", FailureDomain: domain, Thousandths: 10},
	}
}

func (h *fakeHelpers) HandTo(ctx context.Context, instance string, request relayer.Request, events relayer.HelperEvents) (relayer.Answer, error) {
	h.mu.Lock()
	h.asked, h.requests = append(h.asked, instance), append(h.requests, request)
	h.mu.Unlock()
	events.Work(0)
	events.Begun(func(ctx context.Context) (bool, error) {
		if h.helpers[instance].frozen {
			<-ctx.Done()
			return false, ctx.Err()
		}
		return !h.helpers[instance].repeats, nil
	})
	if h.helpers[instance].repeats {
		events.Repeats()
	}
	select {
	case <-time.After(h.helpers[instance].delay):
	case <-ctx.Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		h.canceled = append(h.canceled, instance)
		return relayer.Answer{}, ctx.Err()
	}
	return h.helpers[instance].answer, h.helpers[instance].err
}

var (
	errLost        = errors.New("connection lost")
	errNotAccepted = &relayer.NotAcceptedError{Reason: "busy"}
	errNotReceived = &relayer.NotReceivedError{Cause: errLost}
	placedAnswer   = relayer.Answer{Outcome: relayer.Merged, Signatures: []string{"placed"}}
)

// wideServices are the shards of a query that is too wide for the instance of the fixture.
var wideServices = []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11"}

func newPlacement(h *fakeHelpers) relayer.Option {
	return relayer.WithPlacement(placer.New(enroller.Capacity{Instance: "a", FailureDomain: domain, Thousandths: 10}), h, h)
}

// newPlacedFixture returns a relayer for which queries to wideServices are too wide, and the other instances.
func newPlacedFixture(t *testing.T, helpers map[string]helper) (*fixture, *fakeHelpers) {
	t.Helper()
	h := &fakeHelpers{helpers: helpers}
	f := newFixture(t, 3, wideServices...)
	f.placement = newPlacement(h)
	f.buildRelayer()
	return f, h
}

// expectCounts checks the counters of the placement, of those given.
func (f *fixture) expectCounts(t *testing.T, want map[string]int64) {
	t.Helper()
	got := make(map[string]int64)
	for name := range want {
		if c, found := f.scope.Snapshot().Counters()["placement-"+name+"+"]; found {
			got[name] = c.Value()
		}
	}
	assert.DeepEqual(t, got, want)
}

// Guards against queries that are too wide for this instance and run here, and against others that are handed over: those
// that have been delegated already, must not run twice, or are no queries.
func TestOnlyTooWideQueriesAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {answer: placedAnswer}})
		answer, _ := f.relay(shardedRoute(1, wideServices...), "r1")
		assert.DeepEqual(t, answer.Signatures, []string{"placed"})
		assert.DeepEqual(t, h.asked, []string{"first"})
		assert.Assert(t, h.requests[0].Wide && h.requests[0].PriorRuns == 0)
		assert.Equal(t, f.runsOfS0(), 0)
		f.expectCounts(t, map[string]int64{"delegated": 1, "answered": 1})

		_, _ = f.relay(singleRoute(true), "r2")
		route := shardedRoute(1, wideServices...)
		route.Idempotent = false
		_, _ = f.relay(route, "r3")
		request := f.request(shardedRoute(1, wideServices...), "r4")
		request.Delegated = true
		assert.Equal(t, f.relayer.Relay(t.Context(), request).Outcome, relayer.Merged)
		assert.Equal(t, len(h.asked), 1)
		assert.Equal(t, f.runsOfS0(), 3)
	})
}

// Guards against a query that fails with its helper, that counts as run where it has not, or that runs more often than once
// more.
func TestQueryRunsElsewhereWhenItsHelperFails(t *testing.T) {
	for _, c := range []struct {
		name     string
		helpers  map[string]helper
		asked    []string
		priorRun int
		counts   map[string]int64
		// local reports whether it ends here, and after which time.
		local bool
		after time.Duration
	}{
		{"refused", map[string]helper{"first": {err: errNotAccepted}, "second": {answer: placedAnswer}}, []string{"first", "second"}, 0, map[string]int64{"refused": 1, "answered": 1}, false, 0},
		{"unreached", map[string]helper{"first": {err: errNotReceived}, "second": {answer: placedAnswer}}, []string{"first", "second"}, 0, map[string]int64{"unreached": 1, "answered": 1}, false, 0},
		{"lost", map[string]helper{"first": {err: errLost}, "second": {answer: placedAnswer}}, []string{"first", "second"}, 1, map[string]int64{"lost": 1, "repeated-elsewhere": 1, "answered-by-second": 1}, false, 0},
		{"frozen", map[string]helper{"first": {delay: time.Hour, frozen: true}, "second": {answer: placedAnswer}}, []string{"first", "second"}, 1, map[string]int64{"late": 1, "answered-by-second": 1}, false, 170 * time.Millisecond},
		{"slow", map[string]helper{"first": {delay: time.Hour}, "second": {answer: placedAnswer}}, []string{"first", "second"}, 1, map[string]int64{"late": 1, "canceled": 1, "answered-by-second": 1}, false, 70 * time.Millisecond},
		{"slow, but first", map[string]helper{"first": {delay: 80 * time.Millisecond, answer: placedAnswer}, "second": {delay: time.Hour}}, []string{"first", "second"}, 1, map[string]int64{"late": 1, "canceled": 1, "answered": 1}, false, 80 * time.Millisecond},
		{"slow, but repeating", map[string]helper{"first": {delay: 80 * time.Millisecond, answer: placedAnswer, repeats: true}}, []string{"first"}, 0, map[string]int64{"answered": 1}, false, 80 * time.Millisecond},
		{"late, then refused", map[string]helper{"first": {delay: time.Hour}, "second": {err: errNotAccepted}}, []string{"first", "second"}, 1, map[string]int64{"late": 1, "refused": 1, "repeated-here": 1, "answered-by-second": 1}, true, 70 * time.Millisecond},
		{"all refuse", map[string]helper{"first": {err: errNotAccepted}, "second": {err: errNotAccepted}}, []string{"first", "second"}, 0, map[string]int64{"refused": 2, "kept": 1}, true, 0},
		{"lost twice", map[string]helper{"first": {err: errLost}, "second": {err: errLost}}, []string{"first", "second"}, 1, map[string]int64{"lost": 2}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, h := newPlacedFixture(t, c.helpers)
				answer, took := f.relay(shardedRoute(1, wideServices...), "r1")
				synctest.Wait()
				f.expectCounts(t, c.counts)
				assert.DeepEqual(t, h.asked, c.asked)
				assert.Equal(t, h.requests[len(h.requests)-1].PriorRuns, c.priorRun)
				switch {
				case c.counts["lost"] == 2:
					assert.Equal(t, answer.Outcome, relayer.Failed)
				case c.local:
					assert.Equal(t, answer.Outcome, relayer.Merged)
					assert.Equal(t, f.runsOfS0(), 1)
				default:
					assert.DeepEqual(t, answer.Signatures, []string{"placed"})
					assert.Equal(t, f.runsOfS0(), 0)
				}
				assert.Assert(t, took >= c.after && took < c.after+20*time.Millisecond, took)
				if c.counts["late"] > 0 {
					assert.Equal(t, len(h.canceled), 1)
				}
				// A helper that was lost or late, and has not answered after all, gets nothing more for a while.
				suspended := c.counts["lost"]+c.counts["late"]+c.counts["unreached"] > 0 && c.counts["answered"]*c.counts["late"] == 0
				_, _ = f.relay(shardedRoute(1, wideServices...), "r2")
				synctest.Wait()
				assert.Equal(t, len(h.asked) > len(c.asked) && h.asked[len(c.asked)] == "first", !suspended)
			})
		})
	}
}

// Guards against repetitions beyond the runs that the route allows, and beyond the budget of each service.
func TestRepetitionOfPlacedQueryKeepsRunsAndBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {err: errLost}, "second": {answer: placedAnswer}})
		route := shardedRoute(1, wideServices...)
		route.MaxRuns = 1
		answer, _ := f.relay(route, "r1")
		assert.Equal(t, answer.Outcome, relayer.Failed)
		assert.DeepEqual(t, h.asked, []string{"first"})

		route.MaxRuns = 2
		h.helpers["first"] = helper{err: errLost, delay: 20 * time.Millisecond, repeats: true}
		f.placement = newPlacement(h)
		f.buildRelayer()
		answer, _ = f.relay(route, "r2")
		assert.Equal(t, answer.Outcome, relayer.Failed)
		assert.DeepEqual(t, h.asked, []string{"first", "first"})

		h.helpers["first"] = helper{err: errLost}
		f.limits.Ratio, f.limits.Slack = 0, 0
		f.placement = newPlacement(h)
		h.helpers["second"] = helper{err: errNotAccepted}
		f.buildRelayer()
		answer, _ = f.relay(shardedRoute(1, wideServices...), "r3")
		assert.Assert(t, answer.Outcome != relayer.Merged)
		assert.Equal(t, f.runsOfS0(), 0)
	})
}

// Guards against an answer that promises that a query has not run although a lost instance may have run it, and against a
// failed answer of a helper that is repeated.
func TestFailureOfHelperIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notRun := relayer.Answer{Outcome: relayer.NotRun, RetryAfter: time.Second}
		f, h := newPlacedFixture(t, map[string]helper{"first": {answer: notRun}, "second": {answer: placedAnswer}})
		answer, _ := f.relay(shardedRoute(1, wideServices...), "r1")
		assert.Equal(t, answer.Outcome, relayer.NotRun)
		assert.Equal(t, answer.RetryAfter, time.Second)
		assert.DeepEqual(t, h.asked, []string{"first"})
		h.helpers["first"], h.helpers["second"] = helper{err: errLost}, helper{answer: notRun}
		answer, _ = f.relay(shardedRoute(1, wideServices...), "r2")
		assert.Equal(t, answer.Outcome, relayer.Failed)
	})
}

// Guards against work for a caller that has left, at the helper and here.
func TestPlacedQueryIsCanceledWhenItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {delay: time.Hour}, "second": {delay: time.Hour}})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		answer := f.relayer.Relay(ctx, f.request(shardedRoute(1, wideServices...), "r1"))
		synctest.Wait()
		assert.Equal(t, answer.Outcome, relayer.Abandoned)
		assert.Equal(t, len(h.canceled), 2)
	})
}

// Guards against a query that ends targets and is started on several instances.
func TestSuspectedQueryIsNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {err: errNotAccepted}, "second": {err: errNotAccepted}})
		request := f.request(shardedRoute(1, wideServices...), "r1")
		f.quarantine.RecordEnd(quarantiner.NewFingerprint(request.Outbound.Properties()...), "s0-0", false)
		_ = f.relayer.Relay(t.Context(), request)
		assert.Equal(t, len(h.asked), 0)
	})
}

// recordingPeers are peers that record the batches that they get, and report all their requests as unsent.
type recordingPeers struct {
	unsendingPeers
	// rotated is the number of peers chosen without regard to their capacity.
	rotated int

	mu    sync.Mutex
	parts map[string]int
}

func (p *recordingPeers) ChoosePeer(string, int, *transporter.Request) (string, bool) {
	p.rotated++
	return "", false
}

func (p *recordingPeers) UsablePeers(domain string, others []string, _ *transporter.Request) []string {
	return append(others, domain+"-small")
}

func (p *recordingPeers) Send(ctx context.Context, batch concentrator.Batch, deliver func(concentrator.PartialResults)) {
	p.mu.Lock()
	p.parts[batch.Peer] += len(batch.Targets)
	p.mu.Unlock()
	p.unsendingPeers.Send(ctx, batch, deliver)
}

// capacities lists instances.
type capacities []enroller.Capacity

func (c capacities) Capacities() []enroller.Capacity { return c }

// Guards against parts that go to instances too small for them, and against changes where no instance is too small.
func TestPartsAreDividedByCapacityWherePlacementIsActive(t *testing.T) {
	for _, active := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			services := make([]string, 90)
			for i := range services {
				services[i] = "s" + strconv.Itoa(i)
			}
			f := newFixture(t, 2, services...)
			others := capacities{{Instance: "east-large", FailureDomain: domain, Thousandths: 800}, {Instance: "west-large", FailureDomain: "west", Thousandths: 800}}
			if active {
				others = append(others, enroller.Capacity{Instance: "east-small", FailureDomain: domain, Thousandths: 50}, enroller.Capacity{Instance: "west-small", FailureDomain: "west", Thousandths: 50})
			}
			change := registrar.Change{Position: registrar.Position{Revision: 2}}
			for i := range 30 {
				id := "west-" + strconv.Itoa(i)
				far := f.startTarget(id, records(100, 10))
				change.Put = append(change.Put, registrar.Target{ID: id, Service: "s" + strconv.Itoa(i), Address: far.Address(), FailureDomain: "west", Slots: 4})
				change.Removed = append(change.Removed, "s"+strconv.Itoa(i)+"-0", "s"+strconv.Itoa(i)+"-1")
			}
			f.registrar.Apply(change, true)
			peers := &recordingPeers{unsendingPeers: unsendingPeers{batches: make(chan int, len(services))}, parts: make(map[string]int)}
			f.peers = peers
			own := enroller.Capacity{Instance: "a", FailureDomain: domain, Thousandths: 800}
			f.placement = relayer.WithPlacement(placer.New(own), others, &fakeHelpers{})
			f.buildRelayer()
			answer, _ := f.relay(shardedRoute(1, services...), "r1")
			assert.Equal(t, answer.Missing, 0)
			if !active {
				assert.Equal(t, len(peers.parts), 0)
				assert.Assert(t, peers.rotated > 0)
				return
			}
			assert.DeepEqual(t, peers.parts, map[string]int{"east-large": 30, "west-large": 30})
			assert.Equal(t, peers.rotated, 0)
		})
	}
}

// largeHolders holds that only instances with at least 800 thousandths of a core have connections, to none of which this
// instance belongs.
type largeHolders struct{}

func (largeHolders) Connections(registrar.Target, int, int) (int, bool) { return 0, true }

func (largeHolders) Divisor(_ string, instances int) int { return instances }

func (largeHolders) ColdAllowance(registrar.Target, int, int) (int, bool) { return 0, false }

func (largeHolders) Holders(registrar.Target, int, []enroller.Capacity) []enroller.Capacity {
	return nil
}

func (largeHolders) IsLarge(c enroller.Capacity) bool { return c.Thousandths >= 800 }

// servingPeers answer each request of a batch.
type servingPeers struct{ recordingPeers }

func (p *servingPeers) Send(_ context.Context, batch concentrator.Batch, deliver func(concentrator.PartialResults)) {
	p.mu.Lock()
	p.parts[batch.Peer] += len(batch.Targets)
	p.mu.Unlock()
	parts := concentrator.PartialResults{Results: make(map[int]transporter.Result)}
	for i, target := range batch.Targets {
		parts.Results[i] = transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200, Signature: target.ID}}
	}
	deliver(parts)
}

// Guards against connections of an instance to which none are assigned, and against its queries failing: all parts must go
// through an instance that holds connections, also those that are few. Where there is none, nothing may be sent.
func TestPartsGoThroughHoldersWhenNoConnectionIsAssigned(t *testing.T) {
	for _, others := range []capacities{{{Instance: "west-large", FailureDomain: "west", Thousandths: 800}}, nil} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 2, "s0", "s1")
			peers := &servingPeers{recordingPeers{parts: make(map[string]int)}}
			f.peers, f.assignment = peers, largeHolders{}
			own := enroller.Capacity{Instance: "a", FailureDomain: domain, Thousandths: 100}
			f.placement = func(r *relayer.Relayer) {
				relayer.WithPlacement(placer.New(own), others, &fakeHelpers{})(r)
				relayer.WithHolders(largeHolders{})(r)
			}
			f.buildRelayer()
			answer, _ := f.relay(shardedRoute(1, "s0", "s1"), "r1")
			assert.Equal(t, f.runsOfS0(), 0)
			if others == nil {
				assert.Equal(t, answer.Outcome, relayer.NotRun)
				return
			}
			assert.Equal(t, answer.Outcome, relayer.Merged)
			assert.Equal(t, len(answer.Signatures), 2)
			assert.DeepEqual(t, peers.parts, map[string]int{"west-large": 2})
		})
	}
}

// Guards against queries that are all started twice because a few of their targets are slow, after the first one has shown how
// long they take.
func TestQueryIsNotRepeatedWhileItsAnswerIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {delay: 100 * time.Millisecond, answer: placedAnswer, repeats: true}, "second": {delay: time.Hour}})
		_, _ = f.relay(shardedRoute(1, wideServices...), "r1")
		synctest.Wait()
		assert.DeepEqual(t, h.asked, []string{"first"})
		time.Sleep(3 * time.Second)
		h.helpers["first"] = helper{delay: 95 * time.Millisecond, answer: placedAnswer}
		_, _ = f.relay(shardedRoute(1, wideServices...), "r2")
		synctest.Wait()
		assert.DeepEqual(t, h.asked, []string{"first", "first"})
		f.expectCounts(t, map[string]int64{"answered": 2})
	})
}

// hedgedPeers answer batches with records. Of the first batch, one part is answered at once and the others late, so that they
// are hedged.
type hedgedPeers struct {
	recordingPeers
	sent int
}

func (p *hedgedPeers) Send(_ context.Context, batch concentrator.Batch, deliver func(concentrator.PartialResults)) {
	p.mu.Lock()
	p.sent++
	sent := p.sent
	p.mu.Unlock()
	answer := func(from, to int) {
		parts := concentrator.PartialResults{Results: make(map[int]transporter.Result)}
		for i := from; i < to; i++ {
			target := batch.Targets[i]
			parts.Results[i] = transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200, Signature: target.ID}}
			parts.Records = append(parts.Records, records(100*int(target.ID[1]-'0'), 1)...)
		}
		deliver(parts)
	}
	switch sent {
	case 1:
		answer(0, 1)
		time.Sleep(100 * time.Millisecond)
		answer(1, len(batch.Targets))
	case 2:
		time.Sleep(10 * time.Millisecond)
		answer(0, 1)
	default:
		// The query waits for the first batch, which has the part that another hedge has answered.
		time.Sleep(time.Second)
		answer(0, 1)
	}
}

// Guards against records that appear twice in an answer: parts that were sent in a batch are hedged through holders one by one,
// so that both replies to a part come through peers.
func TestRecordsOfHedgesThroughHoldersCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0", "s1", "s2")
		peers := &hedgedPeers{recordingPeers: recordingPeers{parts: make(map[string]int)}}
		f.peers, f.assignment = peers, largeHolders{}
		own := enroller.Capacity{Instance: "a", FailureDomain: domain, Thousandths: 3}
		f.placement = func(r *relayer.Relayer) {
			relayer.WithPlacement(placer.New(own), capacities{{Instance: "west-large", FailureDomain: "west", Thousandths: 800}}, &fakeHelpers{})(r)
			relayer.WithHolders(largeHolders{})(r)
		}
		f.buildRelayer()
		route := shardedRoute(1, "s0", "s1", "s2")
		request := f.request(route, "r1")
		answer := f.relayer.Relay(t.Context(), request)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, answer.Outcome, relayer.Merged)
		assert.Assert(t, peers.sent > 1, "no hedge was sent")
		const recordBytes = 16
		seen := make(map[string]bool)
		for i := 0; i < len(answer.Records); i += recordBytes {
			seen[string(answer.Records[i:i+recordBytes])] = true
		}
		assert.Equal(t, len(seen), 3)
		assert.Equal(t, len(answer.Records), 3*recordBytes)
	})
}

// Guards against an explanation that does not say that another instance would run the query, or that hands it over.
func TestExplanationNamesInstanceThatWouldRunTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {answer: placedAnswer}})
		e := f.relayer.Explain(f.request(shardedRoute(1, wideServices...), "r1"))
		assert.DeepEqual(t, e.Notes, []string{"too wide for the CPU capacity here: instance first would run it"})
		assert.Equal(t, len(h.asked), 0)
		assert.Equal(t, len(f.relayer.Explain(f.request(singleRoute(true), "r2")).Notes), 0)
	})
}

// Guards against a wide query of an instance that is cut off from targets which goes to a large instance of its own failure
// domain, cut off too, or to an able one that is too small for it.
func TestWideQueryOfCutOffInstanceRunsInOtherDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newPlacedFixture(t, map[string]helper{"first": {err: errNotAccepted}, "second": {answer: placedAnswer}})
		f.delegator.takes = true
		f.strandNoticed(t)
		h.asked = nil
		answer, _ := f.relay(shardedRoute(1, wideServices...), "r1")
		assert.DeepEqual(t, answer.Signatures, []string{"placed"})
		assert.DeepEqual(t, h.asked, []string{"second"})
	})
}
