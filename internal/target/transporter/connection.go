package transporter

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/wire/reader"
)

const (
	// maxReplyBytes limits the body of a reply, which is buffered as a whole.
	maxReplyBytes = 8 << 20
	// maxLargeBodyBytes limits the memory for large bodies that are read from all targets at the same time.
	maxLargeBodyBytes = 32 << 20
	// rememberedIDs is the number of latest requests of a connection whose ids it remembers.
	rememberedIDs = 16
	// maxForeignReplies is the maximum number of replies to other requests that are skipped before an exchange fails.
	maxForeignReplies = 2
)

// errForeignReplies is returned when only replies to other requests were received.
var errForeignReplies = errors.New("received replies belong to other requests")

// exchange is a request on a connection and the wait for its reply.
type exchange struct {
	id     string
	method string
	// large requests are written concurrently with the wait for the reply.
	large bool
	// written is set once the whole request has been written.
	written atomic.Bool
	// done receives the result. It is buffered, so that sending does not block.
	done chan Result
}

// connection is a connection to a target. It carries one request at a time.
type connection struct {
	pool   *pool
	conn   net.Conn
	reader *reader.Reader
	closed atomic.Bool
	// hasReplied is set by the first reply.
	hasReplied atomic.Bool
	// writeMu is held while a request is written.
	writeMu sync.Mutex

	mu sync.Mutex
	// inFlight is nil while no request is in flight.
	inFlight *exchange
	// carriedIDs holds the ids of the latest requests on the connection. A second copy of a reply may arrive late, when the
	// next request is in flight, and the id alone tells them apart. So no request may be sent twice on one connection.
	carriedIDs [rememberedIDs]string
	// carriedCount is the number of requests that the connection has carried.
	carriedCount int
	// gotForeignReply reports whether a reply to another request was received; the connection is then not reused.
	gotForeignReply bool

	// idleSince and idleLimit are guarded by the mutex of the pool.
	idleSince time.Time
	idleLimit time.Duration
}

func newConnection(p *pool, conn net.Conn) *connection {
	c := &connection{pool: p, conn: conn, reader: reader.New(conn, maxReplyBytes, p.transporter.largeBodies)}
	go c.receiveReplies()
	return c
}

// startExchange puts the exchange in flight and reports whether the connection can carry it. It cannot if it is closed,
// has another exchange in flight, has received a reply to another request or has carried the same request before.
func (c *connection) startExchange(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() || c.gotForeignReply || c.inFlight != nil || c.hasCarriedLocked(x.id) {
		return false
	}
	c.carriedIDs[c.carriedCount%rememberedIDs] = x.id
	c.carriedCount++
	c.inFlight = x
	return true
}

// hasCarried reports whether the connection has carried a request with the id.
func (c *connection) hasCarried(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasCarriedLocked(id)
}

// hasCarriedLocked is hasCarried with the lock held.
func (c *connection) hasCarriedLocked(id string) bool {
	return slices.Contains(c.carriedIDs[:min(c.carriedCount, rememberedIDs)], id)
}

// takeExchange removes the exchange in flight from the connection and returns it, or nil if there is none.
func (c *connection) takeExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.inFlight
	c.inFlight = nil
	return x
}

func (c *connection) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *connection) markForeignReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gotForeignReply = true
}

func (c *connection) hasForeignReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotForeignReply
}

// close closes the connection. A request in flight is lost, with the cause as its error; the cause is unused if there
// is none.
func (c *connection) close(cause error) {
	if !c.closed.CompareAndSwap(false, true) {
		return
	}
	// A connection that fails to close is abandoned.
	_ = c.conn.Close()
	c.pool.remove(c)
	if x := c.takeExchange(); x != nil {
		x.done <- Result{Outcome: Lost, Err: cause, OnNewConnection: !c.hasReplied.Load()}
	}
}

// receiveReplies receives replies until the connection ends. Bytes that arrive while no request is in flight belong to
// none, so the connection is closed.
func (c *connection) receiveReplies() {
	for {
		if err := c.reader.Await(); err != nil {
			c.close(fmt.Errorf("read from connection: %w", err))
			return
		}
		x := c.currentExchange()
		if x == nil {
			c.close(errors.New("unexpected bytes on an idle connection"))
			return
		}
		result, reusable, idleLimit, err := c.receive(x)
		if err != nil {
			c.close(err)
			return
		}
		c.hasReplied.Store(true)
		if !c.deliver(result, reusable, idleLimit) {
			return
		}
	}
}

// deliver ends the exchange, returns the connection to the pool if it is reusable and reports whether it is.
func (c *connection) deliver(result Result, reusable bool, idleLimit time.Duration) bool {
	x := c.takeExchange()
	if x != nil && !x.large {
		// The reply may be read before the writer has recorded that its write has returned.
		c.writeMu.Lock()
		c.writeMu.Unlock() //nolint:staticcheck // Waits for the writer only.
	}
	reusable = reusable && x != nil && x.written.Load() && !c.reader.HasUnread() && !c.hasForeignReply()
	// Before the result, so that the next request does not find all connections in use.
	if reusable {
		c.pool.release(c, idleLimit)
	} else {
		c.close(errors.New("connection is not reusable"))
	}
	if x != nil {
		x.done <- result
	}
	return reusable
}

// receive reads the reply to the exchange and skips replies to other requests. One without an id is among these: targets
// return the id of the request with every reply, but a faulty one may send additional bytes that read like a reply.
func (c *connection) receive(x *exchange) (result Result, reusable bool, idleLimit time.Duration, err error) {
	for range maxForeignReplies + 1 {
		reply, err := c.reader.Read(x.method)
		var limit *reader.LimitError
		if errors.As(err, &limit) {
			err = &ExcessError{Target: c.pool.target, Cause: limit}
		}
		if err != nil {
			return Result{}, false, 0, err
		}
		info := c.pool.transporter.codec.ParseReply(reply.Status, reply.Header)
		if info.RequestID == x.id {
			return newResult(reply, info), !reply.Closes, info.IdleLimit, nil
		}
		c.markForeignReply()
		if reply.Closes {
			break
		}
	}
	return Result{}, false, 0, errForeignReplies
}

func newResult(reply reader.Reply, info ReplyInfo) Result {
	result := Result{Load: info.Load, ColdFor: info.ColdFor, RequestLimit: info.RequestLimit, Leaving: info.Leaving && !info.Misdirected}
	if !info.Misdirected {
		result.PausedFor = info.PausedFor
	}
	switch {
	case info.Misdirected:
		result.Outcome = Misdirected
	case info.Refused:
		result.Outcome = Refused
	default:
		result.Outcome = Answered
		result.Reply = &Reply{Status: reply.Status, Header: reply.Header, Body: reply.Body, Signature: info.Signature}
	}
	return result
}
