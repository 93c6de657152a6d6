// Package concentrator sends one request to many targets of a failure domain through a peer there, in relay mode. The
// peer merges the replies, so that one merged reply crosses between the failure domains instead of each reply on its
// own. Within its own failure domain, an instance uses it to divide the processor time of many requests among peers.
// The package also serves the batches of peers. The relayer uses it; it selects the targets and decides on hedges and
// retries.
package concentrator

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/canceler"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

const (
	// Methods of the messages between instances.

	methodSendBatch   = "relay-parts"
	methodLateResults = "late-parts"
	methodCancelBatch = "end-parts"
	// minTargets is the minimum number of targets for which the merged reply is smaller than the separate replies.
	minTargets = 3
	// suspendTime is how long a peer gets no batches after a call to it failed or its reply was overdue.
	suspendTime = 2 * time.Second
	// suspendLogInterval is the minimum time between two log lines about suspensions of a peer.
	suspendLogInterval = 10 * time.Second
	// maxEmptyReplies is the number of replies in a row without any result after which a peer gets no batches: it may
	// have lost its targets and not know it yet.
	maxEmptyReplies = 2
	// replyMargin is the time after the flush within which the reply must arrive. It covers a round trip between
	// failure domains and scheduling delays on a small machine.
	replyMargin = 25 * time.Millisecond
	// lateResultsInterval is the time over which late results are collected into one message.
	lateResultsInterval = 8 * time.Millisecond
	// cancellationCheckTime is how long a batch that was read after a standstill waits for its cancellation, which may be
	// among the messages that were read with it.
	cancellationCheckTime = 5 * time.Millisecond
	// notifyTimeout limits the sending of a message that has no reply.
	notifyTimeout = 500 * time.Millisecond
)

// Causes of a suspension besides failed calls.
var (
	errReplyOverdue = errors.New("concentrator: peer did not reply to the batch in time")
	errEmptyReplies = errors.New("concentrator: peer has had no result for its latest batches")
)

// Peers provides the connected peers in a failure domain.
type Peers interface {
	ConnectedIn(domain string) []string
}

// LocalSender sends a request to one target on behalf of a peer.
type LocalSender interface {
	// Reaches reports whether the failure domain is reachable.
	Reaches(domain string) bool
	SendForPeer(ctx context.Context, target registrar.Target, route string, r *transporter.Request, deadline time.Time) transporter.Result
}

// Batch is one request to several targets of a failure domain, sent through a peer.
type Batch struct {
	Peer    string
	Request *transporter.Request
	// Route is the name of the route, by which latencies are recorded.
	Route string
	// MaxRecords is the maximum number of records to keep from all replies.
	MaxRecords int
	// FlushAfter is the time after which the peer returns the results that are available.
	FlushAfter time.Duration
	Deadline   time.Time
	Targets    []registrar.Target
	// Tenant is the name of the tenant of the request, KeyDigest the digest of its key and Version that of the routing table
	// by which they were determined; zero if the request has no tenant.
	Tenant    string
	KeyDigest authenticator.Digest
	Version   int
}

// PartialResults holds some results of a batch. The records are merged from the replies of the mergeable results.
type PartialResults struct {
	// Results holds the results by the index of the target in the batch.
	Results map[int]transporter.Result
	Records []byte
}

// Concentrator sends batches through peers and serves the batches of peers.
type Concentrator struct {
	peers       Peers
	messenger   *messenger.Messenger
	registrar   *registrar.Registrar
	local       LocalSender
	logger      *log.Logger
	scope       tally.Scope
	lastBatchID atomic.Int64
	// served holds the batches that this instance serves for peers.
	served *canceler.Canceler

	mu sync.Mutex
	// sent holds the batches that this instance has sent and waits for, by their ids. An id is never used again, also not by
	// another process of the same name.
	sent map[string]sentBatch
	// suspendedUntil holds the time until which a peer gets no batches.
	suspendedUntil map[string]time.Time
	// suspensionLoggedAt holds when the latest suspension of a peer was logged.
	suspensionLoggedAt map[string]time.Time
	// emptyReplies holds the number of latest replies of a peer without any result, by its name.
	emptyReplies map[string]int
	nextPeer     int
	// justResumed reports whether a standstill of the process has ended within the last moments.
	justResumed func() bool
	// tenantHeader is the name of the header that tells targets the tenant; empty if it is not checked.
	tenantHeader string
	// inProgress returns the number of requests to targets that this instance has in progress, which goes along with replies;
	// nil if it is not reported.
	inProgress func() int
	// recordWork gets the numbers that peers report.
	recordWork func(peer string, inProgress int)
}

// sentBatch is a batch that waits for late results.
type sentBatch struct {
	// peer is the instance that serves the batch, the only one whose results count.
	peer string
	// late has room for one message for each target, so that the receiver of messages never waits.
	late chan encoder.MergedParts
}

// Option configures a Concentrator.
type Option func(*Concentrator)

// WithStandstills sets the function that reports whether a standstill of the process has ended within the last moments.
func WithStandstills(justResumed func() bool) Option {
	return func(c *Concentrator) { c.justResumed = justResumed }
}

// WithTenantHeader sets the name of the header that tells targets the tenant. While tenants are in force, batches must
// state the tenant that they carry in it.
func WithTenantHeader(name string) Option {
	return func(c *Concentrator) { c.tenantHeader = name }
}

// WithWork sets the function that returns the number of requests to targets that this instance has in progress, which is
// reported to peers.
func WithWork(inProgress func() int) Option {
	return func(c *Concentrator) { c.inProgress = inProgress }
}

// WithWorkRecorder sets the function that gets the number of requests that peers have reported.
func WithWorkRecorder(record func(peer string, inProgress int)) Option {
	return func(c *Concentrator) { c.recordWork = record }
}

// New returns a Concentrator without a messenger; see Attach.
func New(peers Peers, r *registrar.Registrar, local LocalSender, logger *log.Logger, scope tally.Scope, opts ...Option) *Concentrator {
	c := &Concentrator{
		peers: peers, registrar: r, local: local, logger: logger, scope: scope, served: canceler.New(),
		sent: make(map[string]sentBatch), suspendedUntil: make(map[string]time.Time), suspensionLoggedAt: make(map[string]time.Time),
		emptyReplies: make(map[string]int), justResumed: func() bool { return false },
		recordWork: func(string, int) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Attach sets the messenger and registers the methods on it. It must be called before the messenger starts.
func (c *Concentrator) Attach(m *messenger.Messenger) {
	c.messenger = m
	messenger.Handle(m, methodSendBatch, c.serveBatch)
	messenger.Handle(m, methodLateResults, c.receiveLateResults)
	messenger.Handle(m, methodCancelBatch, c.cancelBatch)
}

// ChoosePeer returns a peer in the failure domain to send a batch through. It rotates among the peers that are not
// suspended. It returns none for fewer than minTargets targets, or if the head of the request is not valid UTF-8, which
// a message between instances cannot carry.
func (c *Concentrator) ChoosePeer(domain string, targets int, r *transporter.Request) (string, bool) {
	if targets < minTargets || !utf8.Valid(r.Head()) {
		return "", false
	}
	names := c.peers.ConnectedIn(domain)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for range names {
		c.nextPeer++
		name := names[c.nextPeer%len(names)]
		if now.After(c.suspendedUntil[name]) {
			return name, true
		}
	}
	return "", false
}

// UsablePeers returns the connected peers in the failure domain, and the others given, that are not suspended. It returns
// none for a request that a message between instances cannot carry; see ChoosePeer.
func (c *Concentrator) UsablePeers(domain string, others []string, r *transporter.Request) []string {
	if !utf8.Valid(r.Head()) {
		return nil
	}
	names := c.peers.ConnectedIn(domain)
	for _, other := range others {
		if !slices.Contains(names, other) {
			names = append(names, other)
		}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool { return now.Before(c.suspendedUntil[name]) })
}

// Send sends the batch and delivers each result once. It returns when all results are delivered or the context has
// ended. In the latter case, and if the call for the first results failed, the remaining results are delivered as lost, and
// the peer is told to cancel their requests.
func (c *Concentrator) Send(ctx context.Context, batch Batch, deliver func(PartialResults)) {
	id, late, forget := c.recordSent(batch)
	defer forget()
	start := time.Now()
	results := newUndeliveredResults(len(batch.Targets))
	c.scope.Counter("concentrator-batches").Inc(1)
	// A peer whose reply is overdue gets no further batches, but its reply to this one is still accepted.
	replyTimer := time.AfterFunc(batch.FlushAfter+replyMargin, func() { c.suspend(batch.Peer, errReplyOverdue) })
	reply, err := messenger.Call[encoder.PartsRequest, encoder.PartsReply](ctx, c.messenger, batch.Peer, methodSendBatch, newPartsRequest(id, batch))
	replyTimer.Stop()
	if err == nil && reply.InProgress != nil {
		c.recordWork(batch.Peer, *reply.InProgress)
	}
	if err != nil {
		c.suspendUnlessCanceled(ctx, batch, err)
		outcome := outcomeOf(err)
		deliver(results.failRemaining(outcome, err, time.Since(start)))
		if outcome != transporter.Unsent {
			c.cancelAt(batch.Peer, id)
		}
		return
	}
	if reply.OutOfReach != nil && *reply.OutOfReach {
		c.suspend(batch.Peer, sender.ErrPeerOutOfReach)
		deliver(results.failRemaining(transporter.Unsent, sender.ErrPeerOutOfReach, time.Since(start)))
		return
	}
	if reply.Refused != nil {
		c.scope.Counter("concentrator-not-accepted").Inc(1)
		deliver(results.failRemaining(transporter.Unsent, fmt.Errorf("%w: %s", sender.ErrPeerRefused, *reply.Refused), time.Since(start)))
		return
	}
	deliver(results.decode(reply.Parts))
	if len(batch.Targets) >= minTargets {
		// Of a few targets, all may be paused.
		c.countEmptyReply(batch.Peer, results.remaining == len(batch.Targets))
	}
	for results.remaining > 0 {
		select {
		case parts := <-late:
			deliver(results.decode(parts))
		case <-ctx.Done():
			deliver(results.failRemaining(transporter.Lost, ctx.Err(), time.Since(start)))
			c.cancelAt(batch.Peer, id)
			return
		}
	}
}

// recordSent records a batch that is about to be sent. It returns the id of the batch, the channel of its late results and
// a function that ends the wait for them. The id holds the incarnation of this instance, because peers up to bbfe0b9 send
// late results to any process with the name of the sender, also to one that was started after the batch was sent.
func (c *Concentrator) recordSent(batch Batch) (id string, late <-chan encoder.MergedParts, forget func()) {
	id = c.messenger.Incarnation() + "." + strconv.FormatInt(c.lastBatchID.Add(1), 36)
	sent := sentBatch{peer: batch.Peer, late: make(chan encoder.MergedParts, len(batch.Targets))}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = sent
	return id, sent.late, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.sent, id)
	}
}

func newPartsRequest(id string, batch Batch) encoder.PartsRequest {
	message := encoder.PartsRequest{
		Batch: id, RequestId: batch.Request.ID, Method: batch.Request.Method, Head: string(batch.Request.Head()),
		Body: base64.StdEncoding.EncodeToString(batch.Request.Body()), Kind: batch.Route, Top: batch.MaxRecords,
		FlushUs: int(batch.FlushAfter.Microseconds()), LeftMs: int(time.Until(batch.Deadline).Milliseconds()),
	}
	ids := make([]string, 0, len(batch.Targets))
	for _, t := range batch.Targets {
		ids = append(ids, t.ID)
	}
	message.Targets = strings.Join(ids, " ")
	if batch.Tenant != "" {
		digest := batch.KeyDigest.String()
		message.Tenant, message.KeyDigest, message.Version = &batch.Tenant, &digest, &batch.Version
	}
	return message
}

// outcomeOf returns the outcome of the requests of a batch whose call failed. If the call was not sent, the peer has
// not received the batch; otherwise it may have sent the requests.
func outcomeOf(err error) transporter.Outcome {
	var notSent *messenger.NotSentError
	if errors.As(err, &notSent) {
		return transporter.Unsent
	}
	return transporter.Lost
}

// suspendUnlessCanceled suspends the peer, unless the call failed because the context had ended.
func (c *Concentrator) suspendUnlessCanceled(ctx context.Context, batch Batch, err error) {
	if ctx.Err() == nil {
		c.suspend(batch.Peer, err)
	}
}

func (c *Concentrator) suspend(peer string, cause error) {
	now := time.Now()
	c.mu.Lock()
	c.suspendedUntil[peer] = now.Add(suspendTime)
	isLogged := now.Sub(c.suspensionLoggedAt[peer]) < suspendLogInterval
	if !isLogged {
		c.suspensionLoggedAt[peer] = now
	}
	c.mu.Unlock()
	c.scope.Counter("concentrator-failures").Inc(1)
	if !isLogged {
		c.logger.Warn("batches to peer suspended", "peer", peer, "for", suspendTime, "error", cause)
	}
}

// countEmptyReply counts the replies of the peer in a row that were empty, and suspends it after maxEmptyReplies.
func (c *Concentrator) countEmptyReply(peer string, empty bool) {
	c.mu.Lock()
	if empty {
		c.emptyReplies[peer]++
	} else {
		delete(c.emptyReplies, peer)
	}
	suspect := c.emptyReplies[peer] >= maxEmptyReplies
	c.mu.Unlock()
	if suspect {
		c.suspend(peer, errEmptyReplies)
	}
}

// notify sends a message that has no reply to a peer, by the given function.
func (c *Concentrator) notify(peer, method string, send func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	err := send(ctx)
	if err != nil {
		c.logger.Debug("message to peer not sent", "peer", peer, "method", method, "error", err)
	}
	return err
}

// cancelAt tells a peer that the results of a batch are no longer needed.
func (c *Concentrator) cancelAt(peer, batch string) {
	// The error is ignored: the peer ends the batch at its deadline.
	_ = c.notify(peer, methodCancelBatch, func(ctx context.Context) error {
		return messenger.Notify(ctx, c.messenger, peer, methodCancelBatch, encoder.EndParts{Batch: batch})
	})
}

// receiveLateResults passes late results to the batch that waits for them. It drops those of a batch that has ended, was
// sent by an earlier process of this name, or was sent to another instance.
func (c *Concentrator) receiveLateResults(_ context.Context, peer messenger.Peer, message encoder.LateParts) (struct{}, error) {
	c.mu.Lock()
	sent, found := c.sent[message.Batch]
	c.mu.Unlock()
	if !found || sent.peer != peer.Instance {
		c.scope.Counter("concentrator-unclaimed").Inc(1)
		c.logger.Debug("late results belong to no batch of this instance", "peer", peer.Instance, "incarnation", peer.Incarnation, "batch", message.Batch)
		return struct{}{}, nil
	}
	select {
	case sent.late <- message.Parts:
	default:
		// A correct peer sends no more messages than there are targets.
		c.scope.Counter("concentrator-surplus").Inc(1)
	}
	return struct{}{}, nil
}
