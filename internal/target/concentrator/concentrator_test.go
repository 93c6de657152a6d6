package concentrator_test

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// fixedPeer is the only peer in every failure domain.
type fixedPeer string

func (p fixedPeer) ConnectedIn(string) []string { return []string{string(p)} }

// fakeSender returns a reply to each request after the delay set for its target.
type fakeSender struct {
	mu     sync.Mutex
	delays map[string]time.Duration
	// failures holds the outcomes of failing requests by target. Unsent stands for no failure.
	failures map[string]transporter.Outcome
	// limits holds the request limits that targets state.
	limits map[string]float64
	// leaving holds the targets that state that they leave.
	leaving  map[string]bool
	pauses   map[string]time.Duration
	loads    map[string]*transporter.Load
	canceled int
	// sent is the number of requests.
	sent int
	// outOfReach reports whether the instance does not reach the targets.
	outOfReach bool
}

func (f *fakeSender) Reaches(string) bool { return !f.outOfReach }

func (f *fakeSender) SendForPeer(ctx context.Context, target registrar.Target, _ string, r *transporter.Request, _ time.Time) transporter.Result {
	f.mu.Lock()
	f.sent++
	delay, outcome := f.delays[target.ID], f.failures[target.ID]
	var limit *float64
	if perSecond, found := f.limits[target.ID]; found {
		limit = &perSecond
	}
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		f.mu.Lock()
		f.canceled++
		f.mu.Unlock()
		return transporter.Result{Outcome: transporter.Lost, Err: ctx.Err()}
	}
	if outcome != transporter.Unsent {
		return transporter.Result{Outcome: outcome, RequestLimit: limit, Leaving: f.leaving[target.ID], PausedFor: f.pauses[target.ID], Load: f.loads[target.ID]}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(target.Slots))
	reply := &transporter.Reply{Status: http.StatusOK, Body: append(body, r.Body()...), Signature: target.ID + "." + r.ID}
	return transporter.Result{Outcome: transporter.Answered, Reply: reply, Latency: delay, RequestLimit: limit, Leaving: f.leaving[target.ID], Load: f.loads[target.ID]}
}

// workInProgress is the work that each instance reports.
const workInProgress = 17

// pair is an instance that sends batches and one that serves them.
type pair struct {
	requester  *concentrator.Concentrator
	fakeSender *fakeSender
	targets    []registrar.Target
	state      *registrar.Registrar
	addresses  map[string]string
	opts       []concentrator.Option
	// stop stops the serving instance.
	stop func()

	mu sync.Mutex
	// work holds the work that peers have reported.
	work map[string]int
}

func startPair(t testing.TB, targets int, opts ...concentrator.Option) *pair {
	t.Helper()
	p := &pair{opts: opts, work: make(map[string]int), fakeSender: &fakeSender{delays: make(map[string]time.Duration), failures: make(map[string]transporter.Outcome)}, state: registrar.New()}
	for i := range targets {
		p.targets = append(p.targets, registrar.Target{ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: "127.0.0.1:9", Slots: i})
	}
	p.state.Apply(registrar.Change{Put: p.targets}, true)
	p.addresses = map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	p.requester, _ = p.start(t, "a", "a1", p.addresses["a"])
	_, p.stop = p.start(t, "b", "b1", p.addresses["b"])
	return p
}

// start starts a process of an instance at the address.
func (p *pair) start(t testing.TB, name, incarnation, address string) (c *concentrator.Concentrator, stop func()) {
	t.Helper()
	m := p.newMessenger(name, incarnation, address)
	opts := append([]concentrator.Option{
		concentrator.WithWork(func() int { return workInProgress }), concentrator.WithWorkRecorder(func(peer string, inProgress int) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.work[peer] = inProgress
		}),
	}, p.opts...)
	c = concentrator.New(fixedPeer("b"), p.state, p.fakeSender, log.New(io.Discard), tally.NoopScope, opts...)
	c.Attach(m)
	return c, run(t, m)
}

// callAsEarlierVersion sends a batch with the head and the fields of earlier versions, and returns the reply.
func (p *pair) callAsEarlierVersion(t testing.TB, head string) encoder.PartsReply {
	t.Helper()
	address := freeAddress(t)
	m := p.newMessenger("c", "c1", address)
	run(t, m)
	message := encoder.PartsRequest{Batch: "1", RequestId: "r1", Method: http.MethodGet, Head: head, Kind: "search", FlushUs: 1_000_000, LeftMs: 2000}
	for _, target := range p.targets {
		message.Targets += target.ID + " "
	}
	reply, err := messenger.Call[encoder.PartsRequest, encoder.PartsReply](t.Context(), m, "b", "relay-parts", message)
	assert.NilError(t, err)
	return reply
}

func (p *pair) newMessenger(name, incarnation, address string) *messenger.Messenger {
	resolver := messenger.ResolverFunc(func(name string) (string, bool) { return p.addresses[name], true })
	clock := timekeeper.NewHybridClock(time.Now)
	return messenger.New(messenger.Identity{Instance: name, Incarnation: incarnation}, address, resolver, clock, recorder.New(name, clock, 10))
}

// run starts the messenger and returns a function that stops it, which the end of the test does too.
func run(t testing.TB, m *messenger.Messenger) (stop func()) {
	t.Helper()
	assert.NilError(t, m.Start())
	stop = sync.OnceFunc(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = m.Close(ctx)
	})
	t.Cleanup(stop)
	return stop
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func (p *pair) batch(flush time.Duration) concentrator.Batch {
	r := transporter.NewRequest("r1", http.MethodPost, "/x", "a.example", http.Header{"X-Other": {"1"}}, []byte("tail-000"))
	return concentrator.Batch{Peer: "b", Request: r, Route: "search", MaxRecords: 3, FlushAfter: flush, Deadline: time.Now().Add(2 * time.Second), Targets: p.targets}
}

// deliveredResults holds the delivered results.
type deliveredResults struct {
	results    map[int]transporter.Result
	records    []string
	deliveries int
}

func (p *pair) send(ctx context.Context, batch concentrator.Batch) deliveredResults {
	ctx, cancel := context.WithDeadline(ctx, batch.Deadline)
	defer cancel()
	delivered := deliveredResults{results: make(map[int]transporter.Result)}
	p.requester.Send(ctx, batch, func(partial concentrator.PartialResults) {
		delivered.deliveries++
		for i, r := range partial.Results {
			delivered.results[i] = r
		}
		delivered.records = append(delivered.records, string(partial.Records))
	})
	return delivered
}

// Guards against an instance that sends through another one and never learns what the targets take.
func TestRequestLimitsArriveThroughPeer(t *testing.T) {
	p := startPair(t, 4)
	p.fakeSender.limits = map[string]float64{"i-00000001": 24.5, "i-00000002": 0}
	p.fakeSender.failures["i-00000002"] = transporter.Refused
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, *delivered.results[1].RequestLimit, 24.5)
	assert.Equal(t, *delivered.results[2].RequestLimit, 0.0)
	assert.Assert(t, delivered.results[0].RequestLimit == nil && delivered.results[3].RequestLimit == nil)
}

// Guards against an instance that sends through another one and goes on sending to a target that leaves or wants to be
// spared.
func TestNoticesOfTargetsAreKnownThroughPeer(t *testing.T) {
	p := startPair(t, 4)
	p.fakeSender.pauses = map[string]time.Duration{"i-00000002": 1500 * time.Millisecond}
	p.fakeSender.leaving = map[string]bool{"i-00000001": true, "i-00000002": true}
	p.fakeSender.failures["i-00000002"] = transporter.Refused
	delivered := p.send(t.Context(), p.batch(time.Second))
	for i := range 4 {
		assert.Equal(t, delivered.results[i].Leaving, i == 1 || i == 2)
	}
	assert.Equal(t, delivered.results[2].PausedFor, 1500*time.Millisecond)
	assert.Equal(t, delivered.results[1].PausedFor, time.Duration(0))
}

// Guards against separate deliveries or lost signatures: results that arrive in time must come as one merged reply
// with the signature of each target.
func TestRepliesAreMergedAtPeer(t *testing.T) {
	p := startPair(t, 20)
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, delivered.deliveries, 1)
	assert.Equal(t, len(delivered.results), 20)
	assert.Equal(t, delivered.results[7].Reply.Signature, "i-00000007.r1")
	assert.Equal(t, len(delivered.records[0]), 3*16)
	assert.Equal(t, binary.BigEndian.Uint64([]byte(delivered.records[0])), uint64(19))
}

// Guards against a slow target that delays the results of others: its result must follow later with its own records.
func TestSlowReplyIsDeliveredLate(t *testing.T) {
	p := startPair(t, 4)
	p.fakeSender.delays["i-00000002"] = 150 * time.Millisecond
	delivered := p.send(t.Context(), p.batch(30*time.Millisecond))
	assert.Equal(t, delivered.deliveries, 2)
	assert.Equal(t, len(delivered.results), 4)
	assert.Equal(t, binary.BigEndian.Uint64([]byte(delivered.records[1])), uint64(2))
}

// Guards against unsafe retries of requests that were sent through a peer. Only a refused, misdirected or unsent
// outcome states that the target has not run the request, so every outcome must be returned unchanged.
func TestOutcomesAtPeerAreReturnedUnchanged(t *testing.T) {
	p := startPair(t, 3)
	p.fakeSender.failures["i-00000000"] = transporter.Refused
	p.fakeSender.failures["i-00000001"] = transporter.Lost
	batch := p.batch(time.Second)
	batch.Targets = append(batch.Targets, registrar.Target{ID: "unknown"})
	delivered := p.send(t.Context(), batch)
	outcomes := []transporter.Outcome{transporter.Refused, transporter.Lost, transporter.Answered, transporter.Unsent}
	for i, want := range outcomes {
		assert.Equal(t, delivered.results[i].Outcome, want)
	}
	assert.Equal(t, len(delivered.records[0]), 16)
}

// Guards against unsafe retries when the peer stops, since it may have sent all requests: all results must be lost,
// and the peer must be suspended.
func TestResultsAreLostWhenPeerStops(t *testing.T) {
	p := startPair(t, 3)
	for _, target := range p.targets {
		p.fakeSender.delays[target.ID] = time.Minute
	}
	time.AfterFunc(50*time.Millisecond, p.stop)
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, len(delivered.results), 3)
	for _, r := range delivered.results {
		assert.Equal(t, r.Outcome, transporter.Lost)
	}
	_, found := p.requester.ChoosePeer("east", 3, p.batch(0).Request)
	assert.Assert(t, !found)
}

// Guards against giving up requests that may be retried: an unreachable peer cannot have sent any.
func TestResultsAreUnsentWhenPeerIsUnreachable(t *testing.T) {
	p := startPair(t, 3)
	p.stop()
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, len(delivered.results), 3)
	assert.Equal(t, delivered.results[0].Outcome, transporter.Unsent)
}

// Guards against wasted work at the targets: requests of a canceled batch must be canceled at the peer, after the first
// results have arrived and before.
func TestRequestsAtPeerAreCanceledWhenBatchIsCanceled(t *testing.T) {
	for _, flush := range []time.Duration{20 * time.Millisecond, time.Second} {
		p := startPair(t, 3)
		for _, target := range p.targets {
			p.fakeSender.delays[target.ID] = time.Minute
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		delivered := p.send(ctx, p.batch(flush))
		assert.Equal(t, delivered.results[0].Outcome, transporter.Lost)
		for begin := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			p.fakeSender.mu.Lock()
			canceled := p.fakeSender.canceled
			p.fakeSender.mu.Unlock()
			if canceled == 3 {
				break
			}
			assert.Assert(t, time.Since(begin) < 300*time.Millisecond, "flush after %s: %d of 3 requests canceled", flush, canceled)
		}
	}
}

// Guards against a batch that is served because its cancellation was handled before it: messages are handled in any order.
func TestBatchIsNotSentWhenCancellationOvertakesIt(t *testing.T) {
	p := startPair(t, 3)
	raw := p.newMessenger("c", "c1", freeAddress(t))
	run(t, raw)
	assert.NilError(t, messenger.Notify(t.Context(), raw, "b", "end-parts", encoder.EndParts{Batch: "c1.1"}))
	time.Sleep(50 * time.Millisecond)
	message := encoder.PartsRequest{Batch: "c1.1", RequestId: "r1", Method: http.MethodGet, FlushUs: 1_000_000, LeftMs: 1000, Targets: p.targets[0].ID}
	_, err := messenger.Call[encoder.PartsRequest, encoder.PartsReply](t.Context(), raw, "b", "relay-parts", message)
	assert.ErrorContains(t, err, "canceled before its requests were sent")
	assert.Equal(t, p.fakeSender.sent, 0)
}

// Guards against a batch that costs more than it saves: the replies of few targets are smaller than a merged reply.
func TestChoosePeerReturnsNoneForFewTargets(t *testing.T) {
	p := startPair(t, 1)
	_, found := p.requester.ChoosePeer("east", 2, p.batch(0).Request)
	assert.Assert(t, !found)
	name, found := p.requester.ChoosePeer("east", 3, p.batch(0).Request)
	assert.Assert(t, found)
	assert.Equal(t, name, "b")
}

func BenchmarkBatch(b *testing.B) {
	p := startPair(b, 20)
	batch := p.batch(time.Second)
	for b.Loop() {
		batch.Deadline = time.Now().Add(time.Second)
		p.send(b.Context(), batch)
	}
}

// Guards against parts that are sent through a peer that reaches none of their targets: it must say so at once, so that
// they can be sent another way, and get no more.
func TestBatchIsReturnedUnsentWhenPeerDoesNotReachTargets(t *testing.T) {
	p := startPair(t, 4)
	p.fakeSender.outOfReach = true
	for _, target := range p.targets {
		p.fakeSender.delays[target.ID] = time.Minute
	}
	begin := time.Now()
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Assert(t, time.Since(begin) < 500*time.Millisecond)
	assert.Equal(t, len(delivered.results), 4)
	for _, r := range delivered.results {
		assert.Equal(t, r.Outcome, transporter.Unsent)
		assert.Assert(t, errors.Is(r.Err, sender.ErrPeerOutOfReach))
	}
	_, found := p.requester.ChoosePeer("east", 4, p.batch(0).Request)
	assert.Assert(t, !found)
}

// Guards against parts that are sent through a peer that has lost its targets and has not noticed yet.
func TestPeerIsSuspendedWhenItsBatchesStayEmpty(t *testing.T) {
	p := startPair(t, 4)
	for _, target := range p.targets {
		p.fakeSender.delays[target.ID] = 100 * time.Millisecond
	}
	usable := func() bool {
		_, found := p.requester.ChoosePeer("east", 4, p.batch(0).Request)
		return found
	}
	p.send(t.Context(), p.batch(10*time.Millisecond))
	assert.Assert(t, usable())
	p.send(t.Context(), p.batch(10*time.Millisecond))
	assert.Assert(t, !usable())
}

// sendAs is like send, for a batch of another process and request.
func (p *pair) sendAs(ctx context.Context, c *concentrator.Concentrator, id string, flush time.Duration) deliveredResults {
	batch := p.batch(flush)
	batch.Request = transporter.NewRequest(id, http.MethodGet, "/x", "a.example", nil, []byte("tail-000"))
	other := &pair{requester: c}
	return other.send(ctx, batch)
}

// Guards against a process that takes the late results of a batch of its predecessor, which had the same name and has lost
// its power, for those of its own first batch. The serving instance keeps the connection to the predecessor for a while.
func TestLateResultsOfPredecessorAreNotDelivered(t *testing.T) {
	p := startPair(t, 3)
	p.fakeSender.delays["i-00000002"] = 300 * time.Millisecond
	go p.sendAs(t.Context(), p.requester, "old", 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	successor, _ := p.start(t, "a", "a2", freeAddress(t))
	delivered := p.sendAs(t.Context(), successor, "new", 10*time.Millisecond)
	assert.Equal(t, len(delivered.results), 3)
	for i, r := range delivered.results {
		assert.Equal(t, r.Reply.Signature, p.targets[i].ID+".new")
	}
}

// lateSender serves batches like an instance that sends late results by the name of the sender and the number of the batch
// alone, as instances up to bbfe0b9 do.
type lateSender struct {
	messenger *messenger.Messenger
	// foreign is the batch id of the results that it sends first.
	foreign string
}

func (l *lateSender) serve(_ context.Context, peer messenger.Peer, r encoder.PartsRequest) (encoder.PartsReply, error) {
	go func() {
		for _, late := range []struct{ batch, request string }{{l.foreign, "old"}, {r.Batch, r.RequestId}} {
			parts := encoder.MergedParts{Records: base64.StdEncoding.EncodeToString([]byte(late.request + "-record-0000000")[:16])}
			for i, id := range strings.Fields(r.Targets) {
				parts.Answered += fmt.Sprintf("%d 100 %s.%s\n", i, id, late.request)
			}
			_ = messenger.Notify(context.Background(), l.messenger, peer.Instance, "late-parts", encoder.LateParts{Batch: late.batch, Parts: parts})
			// Messages that arrive together are handled in any order.
			time.Sleep(30 * time.Millisecond)
		}
	}()
	return encoder.PartsReply{}, nil
}

// Guards against late results of another batch when the instance that sends them does not tell processes of the same name
// apart.
func TestLateResultsOfOtherBatchesAreDropped(t *testing.T) {
	p := startPair(t, 3)
	p.stop()
	old := &lateSender{messenger: p.newMessenger("b", "b2", p.addresses["b"]), foreign: "1"}
	messenger.Handle(old.messenger, "relay-parts", old.serve)
	run(t, old.messenger)
	delivered := p.sendAs(t.Context(), p.requester, "new", time.Second)
	assert.Equal(t, len(delivered.results), 3)
	for i, r := range delivered.results {
		assert.Equal(t, r.Reply.Signature, p.targets[i].ID+".new")
	}
}

// Guards against late results of an instance to which the batch was not sent.
func TestLateResultsOfOtherInstancesAreDropped(t *testing.T) {
	p := startPair(t, 3)
	p.stop()
	other := p.newMessenger("c", "c1", freeAddress(t))
	run(t, other)
	relayed := &lateSender{messenger: p.newMessenger("b", "b2", p.addresses["b"])}
	messenger.Handle(relayed.messenger, "relay-parts", func(ctx context.Context, peer messenger.Peer, r encoder.PartsRequest) (encoder.PartsReply, error) {
		parts := encoder.MergedParts{Answered: "0 100 foreign\n1 100 foreign\n2 100 foreign\n"}
		assert.Check(t, messenger.Notify(ctx, other, peer.Instance, "late-parts", encoder.LateParts{Batch: r.Batch, Parts: parts}))
		time.Sleep(50 * time.Millisecond)
		return relayed.serve(ctx, peer, r)
	})
	run(t, relayed.messenger)
	delivered := p.sendAs(t.Context(), p.requester, "new", time.Second)
	for i, r := range delivered.results {
		assert.Equal(t, r.Reply.Signature, p.targets[i].ID+".new")
	}
}

// Guards against records of a part in an answer that does not name it, or names it once and holds them twice: the records of
// one message cannot be told apart, so a message with results that were delivered before must not add any.
func TestRecordsOfResultsDeliveredBeforeAreDropped(t *testing.T) {
	p := startPair(t, 3)
	p.stop()
	copying := p.newMessenger("b", "b2", p.addresses["b"])
	record := func(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
	messenger.Handle(copying, "relay-parts", func(ctx context.Context, peer messenger.Peer, r encoder.PartsRequest) (encoder.PartsReply, error) {
		reply := encoder.MergedParts{Answered: "0 100 s0\n", Records: record("record-of-part-0")}
		for _, parts := range []encoder.MergedParts{
			{Answered: "0 100 s0\n1 100 s1\n", Records: record("record-of-part-0record-of-part-1")},
			{Answered: "x 100 s2\n", Records: record("record-of-part-2")},
			{Answered: "2 100 s2\n", Records: record("record-of-part-2")},
		} {
			assert.Check(t, messenger.Notify(ctx, copying, peer.Instance, "late-parts", encoder.LateParts{Batch: r.Batch, Parts: parts}))
		}
		return encoder.PartsReply{Parts: reply}, nil
	})
	run(t, copying)
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, delivered.results[0].Reply.Signature, "s0")
	assert.Equal(t, delivered.results[1].Outcome, transporter.Lost)
	assert.Equal(t, delivered.results[2].Reply.Signature, "s2")
	assert.Equal(t, strings.Join(delivered.records, ""), "record-of-part-0record-of-part-2")
}
