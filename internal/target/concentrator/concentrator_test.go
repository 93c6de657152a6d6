package concentrator_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
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
	"apricotflow/internal/target/transporter"
)

// near is an instance that is always near the targets.
type near string

func (n near) Near(string) []string { return []string{string(n)} }

// local answers the request to each target after a time of its own.
type local struct {
	mu     sync.Mutex
	delays map[string]time.Duration
	broken map[string]transporter.Outcome
	ended  int
}

func (l *local) SendForPeer(ctx context.Context, target registrar.Target, _ string, r *transporter.Request, _ time.Time) transporter.Result {
	l.mu.Lock()
	delay, outcome := l.delays[target.ID], l.broken[target.ID]
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		l.mu.Lock()
		l.ended++
		l.mu.Unlock()
		return transporter.Result{Outcome: transporter.Lost, Err: ctx.Err()}
	}
	if outcome != transporter.Unsent {
		return transporter.Result{Outcome: outcome}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(target.Slots))
	reply := &transporter.Reply{Status: http.StatusOK, Body: append(body, r.Body()...), Signature: target.ID + "." + r.ID}
	return transporter.Result{Outcome: transporter.Answered, Reply: reply, Latency: delay}
}

// pair is an instance that asks and one that serves.
type pair struct {
	asking  *concentrator.Concentrator
	local   *local
	targets []registrar.Target
	// stop ends the serving instance.
	stop func()
}

func start(t testing.TB, targets int) *pair {
	t.Helper()
	p := &pair{local: &local{delays: make(map[string]time.Duration), broken: make(map[string]transporter.Outcome)}}
	state := registrar.New()
	for i := range targets {
		p.targets = append(p.targets, registrar.Target{ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: "127.0.0.1:9", Slots: i})
	}
	state.Apply(registrar.Change{Put: p.targets}, true)
	addresses := map[string]string{"a": address(t), "b": address(t)}
	resolver := messenger.ResolverFunc(func(name string) (string, bool) { return addresses[name], true })
	for _, name := range []string{"a", "b"} {
		clock := timekeeper.NewHybridClock(time.Now)
		m := messenger.New(messenger.Identity{Instance: name, Incarnation: name + "1"}, addresses[name], resolver, clock, recorder.New(name, clock, 10))
		c := concentrator.New(near("b"), state, p.local, log.New(io.Discard), tally.NoopScope)
		c.Attach(m)
		assert.NilError(t, m.Start())
		p.stop = sync.OnceFunc(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_ = m.Close(ctx)
		})
		t.Cleanup(p.stop)
		if name == "a" {
			p.asking = c
		}
	}
	return p
}

func address(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func (p *pair) batch(flush time.Duration) concentrator.Batch {
	r := transporter.NewRequest("r1", http.MethodPost, "/x", "a.example", http.Header{"X-Other": {"1"}}, []byte("tail-000"))
	return concentrator.Batch{Peer: "b", Request: r, Kind: "search", Top: 3, Flush: flush, Deadline: time.Now().Add(2 * time.Second), Targets: p.targets}
}

// collected holds what was delivered.
type collected struct {
	results    map[int]transporter.Result
	records    []string
	deliveries int
}

func (p *pair) send(ctx context.Context, batch concentrator.Batch) collected {
	c := collected{results: make(map[int]transporter.Result)}
	p.asking.Send(ctx, batch, func(parts concentrator.Parts) {
		c.deliveries++
		for i, r := range parts.Results {
			c.results[i] = r
		}
		c.records = append(c.records, string(parts.Records))
	})
	return c
}

// All parts in time come as one merged answer with the signatures of its parts.
func TestPartsAreMergedNearTheTargets(t *testing.T) {
	p := start(t, 20)
	c := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, c.deliveries, 1)
	assert.Equal(t, len(c.results), 20)
	assert.Equal(t, c.results[7].Reply.Signature, "i-00000007.r1")
	assert.Equal(t, len(c.records[0]), 3*16)
	assert.Equal(t, binary.BigEndian.Uint64([]byte(c.records[0])), uint64(19))
}

// A slow part does not delay the others; it follows later with its own records.
func TestLatePartsFollow(t *testing.T) {
	p := start(t, 4)
	p.local.delays["i-00000002"] = 150 * time.Millisecond
	c := p.send(t.Context(), p.batch(30*time.Millisecond))
	assert.Equal(t, c.deliveries, 2)
	assert.Equal(t, len(c.results), 4)
	assert.Equal(t, binary.BigEndian.Uint64([]byte(c.records[1])), uint64(2))
}

// Outcomes keep their meaning on the way: only a refusal says that a target has not run the request.
func TestOutcomesArePassedOn(t *testing.T) {
	p := start(t, 3)
	p.local.broken["i-00000000"] = transporter.Refused
	p.local.broken["i-00000001"] = transporter.Lost
	batch := p.batch(time.Second)
	batch.Targets = append(batch.Targets, registrar.Target{ID: "unknown"})
	c := p.send(t.Context(), batch)
	outcomes := []transporter.Outcome{transporter.Refused, transporter.Lost, transporter.Answered, transporter.Unsent}
	for i, want := range outcomes {
		assert.Equal(t, c.results[i].Outcome, want)
	}
	assert.Equal(t, len(c.records[0]), 16)
}

// An instance that dies may have sent everything: all parts are lost, and it is not asked again for a while.
func TestDyingInstanceLosesItsParts(t *testing.T) {
	p := start(t, 3)
	for _, target := range p.targets {
		p.local.delays[target.ID] = time.Minute
	}
	time.AfterFunc(50*time.Millisecond, p.stop)
	c := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, len(c.results), 3)
	for _, r := range c.results {
		assert.Equal(t, r.Outcome, transporter.Lost)
	}
	_, found := p.asking.Choose("east", 3, p.batch(0).Request)
	assert.Assert(t, !found)
}

// An instance that cannot be reached has sent nothing.
func TestUnreachableInstanceSendsNothing(t *testing.T) {
	p := start(t, 3)
	p.stop()
	c := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, len(c.results), 3)
	assert.Equal(t, c.results[0].Outcome, transporter.Unsent)
}

// Results that are not needed any more end the work at the targets.
func TestGivenUpBatchEndsTheWork(t *testing.T) {
	p := start(t, 3)
	for _, target := range p.targets {
		p.local.delays[target.ID] = time.Minute
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	c := p.send(ctx, p.batch(20*time.Millisecond))
	assert.Equal(t, c.results[0].Outcome, transporter.Lost)
	for begin := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		p.local.mu.Lock()
		ended := p.local.ended
		p.local.mu.Unlock()
		if ended == 3 {
			return
		}
		assert.Assert(t, time.Since(begin) < 300*time.Millisecond, "%d of 3 ended", ended)
	}
}

// Few targets are asked directly: their replies are smaller than what a merged answer costs.
func TestFewTargetsAreAskedDirectly(t *testing.T) {
	p := start(t, 1)
	_, found := p.asking.Choose("east", 2, p.batch(0).Request)
	assert.Assert(t, !found)
	name, found := p.asking.Choose("east", 3, p.batch(0).Request)
	assert.Assert(t, found)
	assert.Equal(t, name, "b")
}

func BenchmarkBatch(b *testing.B) {
	p := start(b, 20)
	batch := p.batch(time.Second)
	for b.Loop() {
		batch.Deadline = time.Now().Add(time.Second)
		p.send(b.Context(), batch)
	}
}
