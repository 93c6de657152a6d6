package concentrator

import (
	"context"
	"encoding/base64"
	"errors"
	"strings"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// errUnknownTarget reports a target that this instance does not know.
var errUnknownTarget = errors.New("concentrator: unknown target")

// indexed is the result of one request of a batch.
type indexed struct {
	target int
	result transporter.Result
}

// answerParts sends the request of another instance to targets near this one. It returns what is in at the flush time;
// the rest follows as late parts.
func (c *Concentrator) answerParts(ctx context.Context, peer messenger.Peer, message encoder.PartsRequest) (encoder.PartsReply, error) {
	body, err := base64.StdEncoding.DecodeString(message.Body)
	if err != nil {
		return encoder.PartsReply{}, err
	}
	c.scope.Counter("concentrator-served").Inc(1)
	r := transporter.RestoreRequest(message.RequestId, message.Method, []byte(message.Head), body)
	deadline := time.Now().Add(time.Duration(message.LeftMs) * time.Millisecond)
	key := peer.Instance + " " + peer.Incarnation + " " + message.Batch
	work, cancel := context.WithDeadline(ctx, deadline)
	c.begin(key, cancel)
	ids := strings.Fields(message.Targets)
	results := make(chan indexed, len(ids))
	for i, id := range ids {
		go func() { results <- indexed{target: i, result: c.send(work, id, message.Kind, r, deadline)} }()
	}
	timer := time.NewTimer(time.Duration(message.FlushUs) * time.Microsecond)
	defer timer.Stop()
	g := newGathered(message.Top)
	left := len(ids)
	for left > 0 {
		select {
		case one := <-results:
			g.add(one)
			left--
			continue
		case <-timer.C:
		}
		go c.sendLate(peer.Instance, key, message, results, left)
		return encoder.PartsReply{Parts: g.encode()}, nil
	}
	c.finish(key)
	return encoder.PartsReply{Parts: g.encode()}, nil
}

func (c *Concentrator) send(ctx context.Context, id, kind string, r *transporter.Request, deadline time.Time) transporter.Result {
	target, found := c.registrar.View().Target(id)
	if !found {
		return transporter.Result{Outcome: transporter.Unsent, Err: errUnknownTarget}
	}
	return c.local.SendForPeer(ctx, target, kind, r, deadline)
}

// sendLate sends the results that came after the reply, several in one message.
func (c *Concentrator) sendLate(peer, key string, message encoder.PartsRequest, results <-chan indexed, left int) {
	defer c.finish(key)
	for left > 0 {
		g := newGathered(message.Top)
		g.add(<-results)
		left--
		left -= g.addWithin(lateInterval, results, left)
		notify(c, peer, methodLate, encoder.LateParts{Batch: message.Batch, Parts: g.encode()})
	}
}

func (c *Concentrator) begin(key string, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[key] = cancel
}

// finish ends the work of a batch.
func (c *Concentrator) finish(key string) {
	c.mu.Lock()
	cancel, found := c.running[key]
	delete(c.running, key)
	c.mu.Unlock()
	if found {
		cancel()
	}
}

// endParts ends the work for a batch whose results are not needed any more.
func (c *Concentrator) endParts(_ context.Context, peer messenger.Peer, message encoder.EndParts) (struct{}, error) {
	key := peer.Instance + " " + peer.Incarnation + " " + message.Batch
	c.mu.Lock()
	cancel, found := c.running[key]
	c.mu.Unlock()
	if found {
		cancel()
	}
	return struct{}{}, nil
}
