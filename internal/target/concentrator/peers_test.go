package concentrator_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/target/transporter"
)

// Guards against batches for peers that are suspended or cannot get them, and against work of peers that stays unknown.
func TestUsablePeersAreThoseNotSuspendedAndReportTheirWork(t *testing.T) {
	p := startPair(t, 3)
	usable := func() []string { return p.requester.UsablePeers("east", []string{"c"}, p.batch(0).Request) }
	assert.DeepEqual(t, usable(), []string{"b", "c"})
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.Equal(t, len(delivered.results), 3)
	p.mu.Lock()
	assert.DeepEqual(t, p.work, map[string]int{"b": workInProgress})
	p.mu.Unlock()
	p.stop()
	_ = p.send(t.Context(), p.batch(time.Second))
	assert.DeepEqual(t, usable(), []string{"c"})
	invalid := transporter.NewRequest("r1", http.MethodGet, "/", "h", http.Header{"X-Other": {"caf\xe9"}}, nil)
	assert.Equal(t, len(p.requester.UsablePeers("east", []string{"c"}, invalid)), 0)
}

// Guards against a peer that gets no batches because the only target of two small ones was paused.
func TestPeerIsNotSuspendedWhenBatchesOfOneStayEmpty(t *testing.T) {
	p := startPair(t, 1)
	p.fakeSender.delays[p.targets[0].ID] = 100 * time.Millisecond
	for range 3 {
		batch := p.batch(time.Second)
		batch.FlushAfter = 20 * time.Millisecond
		_ = p.send(t.Context(), batch)
	}
	_, found := p.requester.ChoosePeer("east", 3, p.batch(0).Request)
	assert.Assert(t, found)
}
