// Package concentrator sends a request to many targets of another failure domain through an instance there, which merges
// the replies, so that one merged answer crosses between the failure domains instead of all replies. All decisions stay
// with the instance that asks: which targets, hedges and retries.
package concentrator

import (
	"context"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

const (
	methodParts = "relay-parts"
	methodLate  = "late-parts"
	methodEnd   = "end-parts"
	// leastTargets is the number of targets from which on one merged answer is smaller than their replies.
	leastTargets = 3
	// restTime is how long an instance is not asked after it has failed to answer in time.
	restTime = 2 * time.Second
	// replyMargin is the time after the flush by which a reply has to be there: two ways between failure domains, and
	// scheduling on a small machine.
	replyMargin = 25 * time.Millisecond
	// lateInterval is the time in which late parts gather into one message.
	lateInterval = 8 * time.Millisecond
	// notifyTimeout bounds a message that is not answered.
	notifyTimeout = 500 * time.Millisecond
)

// errNoAnswer reports an instance that has not answered in time.
var errNoAnswer = errors.New("concentrator: the instance has not answered")

// Peers provides the connected instances of a failure domain.
type Peers interface {
	Near(domain string) []string
}

// Local sends a request of another instance to one target.
type Local interface {
	SendForPeer(ctx context.Context, target registrar.Target, kind string, r *transporter.Request, deadline time.Time) transporter.Result
}

// Batch is one request to several targets of a failure domain.
type Batch struct {
	Peer    string
	Request *transporter.Request
	// Kind is the kind of request, by which latencies are kept.
	Kind string
	// Top is the number of records to keep of all parts.
	Top int
	// Flush is the time after which the parts that are in are returned.
	Flush    time.Duration
	Deadline time.Time
	Targets  []registrar.Target
}

// Parts are results of a batch. The records are merged from the replies of the results that succeeded.
type Parts struct {
	// Results holds results by the position of the target in the batch.
	Results map[int]transporter.Result
	Records []byte
}

// Concentrator asks instances of other failure domains, and serves those that ask.
type Concentrator struct {
	peers     Peers
	messenger *messenger.Messenger
	registrar *registrar.Registrar
	local     Local
	logger    *log.Logger
	scope     tally.Scope
	counter   atomic.Int64

	mu sync.Mutex
	// waiting receives the late parts of the batches that this instance has asked for.
	waiting map[string]chan encoder.LateParts
	// running ends the work for the batches of other instances.
	running map[string]context.CancelFunc
	// resting holds until when an instance is not asked.
	resting map[string]time.Time
	next    int
}

// New creates a concentrator.
func New(peers Peers, r *registrar.Registrar, local Local, logger *log.Logger, scope tally.Scope) *Concentrator {
	return &Concentrator{
		peers: peers, registrar: r, local: local, logger: logger, scope: scope, waiting: make(map[string]chan encoder.LateParts),
		running: make(map[string]context.CancelFunc), resting: make(map[string]time.Time),
	}
}

// Attach sets the messenger and registers the methods on it; it is called before the messenger starts.
func (c *Concentrator) Attach(m *messenger.Messenger) {
	c.messenger = m
	messenger.Handle(m, methodParts, c.answerParts)
	messenger.Handle(m, methodLate, c.takeLate)
	messenger.Handle(m, methodEnd, c.endParts)
}

// Choose returns an instance of the failure domain for a request to some targets there, if that saves bytes.
func (c *Concentrator) Choose(domain string, targets int, r *transporter.Request) (string, bool) {
	if targets < leastTargets || !utf8.Valid(r.Head()) {
		return "", false
	}
	names := c.peers.Near(domain)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for range names {
		c.next++
		name := names[c.next%len(names)]
		if now.After(c.resting[name]) {
			return name, true
		}
	}
	return "", false
}

// Send sends the batch and delivers each result once. It returns when all are delivered or the context has ended, which
// ends the work for the rest; the rest is lost.
func (c *Concentrator) Send(ctx context.Context, batch Batch, deliver func(Parts)) {
	id := strconv.FormatInt(c.counter.Add(1), 36)
	late := make(chan encoder.LateParts, len(batch.Targets))
	c.mu.Lock()
	c.waiting[id] = late
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	start := time.Now()
	open := newOpenParts(len(batch.Targets))
	c.scope.Counter("concentrator-batches").Inc(1)
	watch := time.AfterFunc(batch.Flush+replyMargin, func() { c.rest(batch.Peer, errNoAnswer) })
	reply, err := messenger.Call[encoder.PartsRequest, encoder.PartsReply](ctx, c.messenger, batch.Peer, methodParts, request(id, batch))
	watch.Stop()
	if err != nil {
		c.failed(ctx, batch, err)
		deliver(open.rest(outcomeOf(err), err, time.Since(start)))
		return
	}
	deliver(open.take(reply.Parts))
	for open.left > 0 {
		select {
		case parts := <-late:
			deliver(open.take(parts.Parts))
		case <-ctx.Done():
			notify(c, batch.Peer, methodEnd, encoder.EndParts{Batch: id})
			deliver(open.rest(transporter.Lost, ctx.Err(), time.Since(start)))
			return
		}
	}
}

func request(id string, batch Batch) encoder.PartsRequest {
	message := encoder.PartsRequest{
		Batch: id, RequestId: batch.Request.ID, Method: batch.Request.Method, Head: string(batch.Request.Head()),
		Body: base64.StdEncoding.EncodeToString(batch.Request.Body()), Kind: batch.Kind, Top: batch.Top,
		FlushUs: int(batch.Flush.Microseconds()), LeftMs: int(time.Until(batch.Deadline).Milliseconds()),
	}
	ids := make([]string, 0, len(batch.Targets))
	for _, t := range batch.Targets {
		ids = append(ids, t.ID)
	}
	message.Targets = strings.Join(ids, " ")
	return message
}

// outcomeOf tells what is known of the requests of a batch whose call failed.
func outcomeOf(err error) transporter.Outcome {
	var unreachable *messenger.UnreachableError
	if errors.As(err, &unreachable) {
		return transporter.Unsent
	}
	return transporter.Lost
}

// failed lets the instance rest, unless the caller gave up first.
func (c *Concentrator) failed(ctx context.Context, batch Batch, err error) {
	if ctx.Err() == nil {
		c.rest(batch.Peer, err)
	}
}

func (c *Concentrator) rest(peer string, cause error) {
	c.mu.Lock()
	rested := time.Now().Before(c.resting[peer])
	c.resting[peer] = time.Now().Add(restTime)
	c.mu.Unlock()
	c.scope.Counter("concentrator-failures").Inc(1)
	if !rested {
		c.logger.Warn("instance not asked for parts for a while", "peer", peer, "for", restTime, "error", cause)
	}
}

// notify sends a message that is not answered.
func notify[M any](c *Concentrator, peer, method string, message M) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := messenger.Notify(ctx, c.messenger, peer, method, message); err != nil {
		c.logger.Debug("message not sent", "peer", peer, "method", method, "error", err)
	}
}

// takeLate hands late parts to the batch that waits for them; those of a batch that has ended are dropped.
func (c *Concentrator) takeLate(_ context.Context, _ messenger.Peer, message encoder.LateParts) (struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if late, found := c.waiting[message.Batch]; found {
		select {
		case late <- message:
		default:
			// More messages than targets cannot be honest.
			c.scope.Counter("concentrator-surplus").Inc(1)
		}
	}
	return struct{}{}, nil
}
