package concentrator_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// Guards against an instance that knows nothing of the load of targets that it reaches through another one, and against
// loads of three fields, which would change how requests to these targets are placed.
func TestLoadsWithWorkFactorArriveThroughPeer(t *testing.T) {
	p := startPair(t, 4)
	busy, refusing := &transporter.Load{Running: 2, Waiting: 3, Slots: 2, WorkFactor: 2.5}, &transporter.Load{Running: 1, Slots: 2, WorkFactor: 1}
	p.fakeSender.loads = map[string]*transporter.Load{"i-00000001": busy, "i-00000002": refusing, "i-00000003": {Running: 1, Waiting: 2, Slots: 3}}
	p.fakeSender.failures["i-00000002"] = transporter.Refused
	delivered := p.send(t.Context(), p.batch(time.Second))
	assert.DeepEqual(t, delivered.results[1].Load, busy)
	assert.Assert(t, delivered.results[1].ThroughPeer && delivered.results[2].ThroughPeer)
	assert.DeepEqual(t, delivered.results[2].Load, refusing)
	assert.Assert(t, delivered.results[0].Load == nil && delivered.results[3].Load == nil)
}

// Guards against malformed loads of another instance that fail a result or count as loads.
func TestMalformedLoadsAreSkipped(t *testing.T) {
	p := startPair(t, 4)
	p.stop()
	faulty := p.newMessenger("b", "b2", p.addresses["b"])
	messenger.Handle(faulty, "relay-parts", func(context.Context, messenger.Peer, encoder.PartsRequest) (encoder.PartsReply, error) {
		loads := "0 1 1\n1 -1 0 2 100\n2 1 0 2 9999999999\nx 1 1 1 100\n7 1 1 1 100\n3 1 0 2 250\n"
		return encoder.PartsReply{Parts: encoder.MergedParts{Answered: "0 1 a\n1 1 b\n2 1 c\n3 1 d\n", Loads: &loads}}, nil
	})
	run(t, faulty)
	delivered := p.send(t.Context(), p.batch(time.Second))
	for i := range 3 {
		assert.Assert(t, delivered.results[i].Outcome == transporter.Answered && delivered.results[i].Load == nil)
	}
	assert.DeepEqual(t, delivered.results[3].Load, &transporter.Load{Running: 1, Slots: 2, WorkFactor: 2.5})
}

// Guards against a result with the status 000 that counts as an answer of the target, or that is waited for until the
// deadline.
func TestResultWithInvalidStatusIsLost(t *testing.T) {
	p := startPair(t, 4)
	p.stop()
	faulty := p.newMessenger("b", "b2", p.addresses["b"])
	messenger.Handle(faulty, "relay-parts", func(context.Context, messenger.Peer, encoder.PartsRequest) (encoder.PartsReply, error) {
		answered := int(transporter.Answered)
		failed := fmt.Sprintf("0 100 %d 0 \n1 100 %d 99 \n2 100 %d -5 \n3 100 %d 500 \n", answered, answered, answered, answered)
		return encoder.PartsReply{Parts: encoder.MergedParts{Failed: failed}}, nil
	})
	run(t, faulty)
	delivered := p.send(t.Context(), p.batch(time.Second))
	for i := range 3 {
		assert.Equal(t, delivered.results[i].Outcome, transporter.Lost)
		assert.Equal(t, delivered.results[i].Latency, 100*time.Microsecond)
	}
	assert.Equal(t, delivered.results[3].Reply.Status, http.StatusInternalServerError)
}
