package concentrator

import (
	"context"
	"encoding/base64"
	"errors"
	"slices"
	"strings"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// Reasons why nothing is sent for a batch.
var (
	errKeyInHead   = errors.New("concentrator: head of an earlier version, with a key")
	errOtherTenant = errors.New("concentrator: head of an earlier version, with another tenant")
	errRevokedKey  = errors.New("concentrator: key no longer belongs to the tenant")
)

// errUnknownTarget is returned for a target that is not in the registrar of this instance.
var errUnknownTarget = errors.New("concentrator: unknown target")

// errCanceledBeforeSend is returned for a batch that was canceled during a standstill of this instance.
var errCanceledBeforeSend = errors.New("concentrator: batch canceled before its requests were sent")

// indexedResult is the result of a request with the index of its target in the batch.
type indexedResult struct {
	index  int
	result transporter.Result
}

// serveBatch sends the request of a peer to its targets. It returns the results that are available at the flush time;
// the others follow as late results.
func (c *Concentrator) serveBatch(ctx context.Context, peer messenger.Peer, message encoder.PartsRequest) (encoder.PartsReply, error) {
	body, err := base64.StdEncoding.DecodeString(message.Body)
	if err != nil {
		return encoder.PartsReply{}, err
	}
	c.scope.Counter("concentrator-served").Inc(1)
	ids := strings.Fields(message.Targets)
	r := transporter.RestoreRequest(message.RequestId, message.Method, []byte(message.Head), body)
	if refusal := c.checkTenant(message, r); refusal != nil {
		c.scope.Counter("concentrator-refused").Inc(1)
		return refusedReply(refusal, len(ids)), nil
	}
	if !c.reachesAll(ids) {
		c.scope.Counter("concentrator-out-of-reach").Inc(1)
		outOfReach := true
		return encoder.PartsReply{OutOfReach: &outOfReach}, nil
	}
	deadline := time.Now().Add(time.Duration(message.LeftMs) * time.Millisecond)
	ctx, end := c.served.Begin(ctx, batchKey(peer, message.Batch))
	batchCtx, cancel := context.WithDeadline(ctx, deadline)
	finish := func() {
		cancel()
		end()
	}
	if c.justResumed() {
		timekeeper.Sleep(ctx, cancellationCheckTime)
	}
	if ctx.Err() != nil {
		finish()
		return encoder.PartsReply{}, errCanceledBeforeSend
	}
	results := make(chan indexedResult, len(ids))
	for i, id := range ids {
		go func() {
			results <- indexedResult{index: i, result: c.sendToTarget(batchCtx, id, message.Kind, r, deadline)}
		}()
	}
	timer := time.NewTimer(time.Duration(message.FlushUs) * time.Microsecond)
	defer timer.Stop()
	collector := newResultCollector(message.Top)
	remaining := len(ids)
	for remaining > 0 {
		select {
		case received := <-results:
			collector.add(received)
			remaining--
			continue
		case <-timer.C:
		}
		go func() {
			defer finish()
			c.sendLateResults(peer, message, results, remaining)
		}()
		return c.newReply(collector), nil
	}
	finish()
	return c.newReply(collector), nil
}

func (c *Concentrator) newReply(collector *resultCollector) encoder.PartsReply {
	reply := encoder.PartsReply{Parts: collector.encode()}
	if c.inProgress != nil {
		inProgress := c.inProgress()
		reply.InProgress = &inProgress
	}
	return reply
}

// checkTenant returns why nothing may be sent for a batch by the routing table in force here: its head comes from an
// instance of an earlier version, which forwards keys, or its key no longer belongs to its tenant. It does not check keys
// against a table that is not newer than that of the sender.
func (c *Concentrator) checkTenant(message encoder.PartsRequest, r *transporter.Request) error {
	table := c.registrar.View().Table()
	if table == nil || table.Tenants() == nil {
		return nil
	}
	hasTenant := message.Tenant != nil && message.KeyDigest != nil && message.Version != nil
	switch {
	case r.HasCredentials():
		return errKeyInHead
	case !c.statesTenant(r, message.Tenant, hasTenant):
		return errOtherTenant
	case !hasTenant || *message.Version >= table.Version():
		return nil
	}
	digest, err := authenticator.ParseDigest(*message.KeyDigest)
	if err != nil {
		return err
	}
	if tenant, found := table.Tenants().Find(digest); !found || tenant.Name != *message.Tenant {
		return errRevokedKey
	}
	return nil
}

// statesTenant reports whether the head states the tenant of the batch, and none if the batch has none.
func (c *Concentrator) statesTenant(r *transporter.Request, tenant *string, hasTenant bool) bool {
	if c.tenantHeader == "" {
		return true
	}
	stated := r.HeaderValues(c.tenantHeader)
	if !hasTenant {
		return len(stated) == 0
	}
	return len(stated) == 1 && stated[0] == strings.TrimSpace(*tenant)
}

// refusedReply returns the reply to a batch of which nothing was sent. It states this in a form that instances of earlier
// versions know too.
func refusedReply(reason error, targets int) encoder.PartsReply {
	collector := newResultCollector(0)
	for i := range targets {
		collector.add(indexedResult{index: i, result: transporter.Result{Outcome: transporter.Unsent, Err: reason}})
	}
	text := reason.Error()
	return encoder.PartsReply{Parts: collector.encode(), Refused: &text}
}

// reachesAll reports whether this instance reaches the failure domains of all known targets.
func (c *Concentrator) reachesAll(ids []string) bool {
	view := c.registrar.View()
	return !slices.ContainsFunc(ids, func(id string) bool {
		t, found := view.Target(id)
		return found && !c.local.Reaches(t.FailureDomain)
	})
}

func (c *Concentrator) sendToTarget(ctx context.Context, id, route string, r *transporter.Request, deadline time.Time) transporter.Result {
	target, found := c.registrar.View().Target(id)
	if !found {
		return transporter.Result{Outcome: transporter.Unsent, Err: errUnknownTarget}
	}
	return c.local.SendForPeer(ctx, target, route, r, deadline)
}

// batchKey is the key of a batch of a peer. Instances up to bbfe0b9 number their batches from 1 in each incarnation.
func batchKey(peer messenger.Peer, batch string) string {
	return peer.Instance + " " + peer.Incarnation + " " + batch
}

// sendLateResults sends the results that arrived after the reply, several in one message. It ends when the process that
// has sent the batch is gone: the next one of the same name may number its batches alike.
func (c *Concentrator) sendLateResults(peer messenger.Peer, message encoder.PartsRequest, results <-chan indexedResult, remaining int) {
	for remaining > 0 {
		collector := newResultCollector(message.Top)
		collector.add(<-results)
		remaining--
		remaining -= collector.addWithin(lateResultsInterval, results, remaining)
		err := c.notify(peer.Instance, methodLateResults, func(ctx context.Context) error {
			late := encoder.LateParts{Batch: message.Batch, Parts: collector.encode()}
			return messenger.NotifyIncarnation(ctx, c.messenger, peer, methodLateResults, late)
		})
		var replaced *messenger.IncarnationError
		if errors.As(err, &replaced) {
			c.scope.Counter("concentrator-replaced").Inc(1)
			return
		}
	}
}

// cancelBatch cancels a batch of a peer that no longer needs the results.
func (c *Concentrator) cancelBatch(_ context.Context, peer messenger.Peer, message encoder.EndParts) (struct{}, error) {
	c.served.Cancel(batchKey(peer, message.Batch))
	return struct{}{}, nil
}
