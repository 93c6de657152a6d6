package transporter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxReplyBytes bounds the body of one reply, which is held in memory until it is whole.
	maxReplyBytes = 8 << 20
	// maxForeign is the number of replies to other requests that are skipped on a connection.
	maxForeign = 2
	// bufferSize holds a usual reply, so that it is read at once.
	bufferSize = 4 << 10
)

// errForeign reports replies that belong to other requests.
var errForeign = errors.New("replies belong to other requests")

// exchange is the one request in flight on a connection.
type exchange struct {
	id     string
	method string
	// large requests are written beside the wait for the reply.
	large bool
	// written is set after the whole request was written.
	written atomic.Bool
	// done receives the result; it has room for it.
	done chan Result
}

// connection is one connection to a target.
type connection struct {
	pool   *pool
	conn   net.Conn
	reader *bufio.Reader
	closed atomic.Bool
	// writing is held while a request is written.
	writing sync.Mutex

	mu sync.Mutex
	// waiting is nil while no request is in flight.
	waiting *exchange
	// tainted connections are not used again, because something unexpected arrived on them.
	tainted bool

	// idleSince and idleLimit are guarded by the pool.
	idleSince time.Time
	idleLimit time.Duration
}

func newConnection(p *pool, conn net.Conn) *connection {
	c := &connection{pool: p, conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}
	go c.read()
	return c
}

// begin makes the exchange the one in flight; it fails if the connection has ended.
func (c *connection) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() || c.tainted || c.waiting != nil {
		return false
	}
	c.waiting = x
	return true
}

// end takes the exchange in flight off the connection.
func (c *connection) end() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.waiting
	c.waiting = nil
	return x
}

func (c *connection) current() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

func (c *connection) taint() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tainted = true
}

func (c *connection) isTainted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tainted
}

// close ends the connection; a request in flight is lost.
func (c *connection) close(cause error) {
	if !c.closed.CompareAndSwap(false, true) {
		return
	}
	// Nothing is left to do for a connection that cannot be closed.
	_ = c.conn.Close()
	c.pool.forget(c)
	if x := c.end(); x != nil {
		x.done <- Result{Outcome: Lost, Err: cause}
	}
}

// read receives replies until the connection ends. Bytes that arrive while no request is in flight belong to none, and
// end the connection.
func (c *connection) read() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.close(fmt.Errorf("connection ended: %w", err))
			return
		}
		x := c.current()
		if x == nil {
			c.close(errors.New("unexpected bytes on an idle connection"))
			return
		}
		result, keep, idleLimit, err := c.receive(x)
		if err != nil {
			c.close(err)
			return
		}
		if !c.deliver(result, keep, idleLimit) {
			return
		}
	}
}

// deliver ends the exchange and returns the connection to the pool; it reports whether the connection is still open.
func (c *connection) deliver(result Result, keep bool, idleLimit time.Duration) bool {
	x := c.end()
	if x != nil && !x.large {
		// The reply can be read before the writer has noted that its write has returned.
		c.writing.Lock()
		c.writing.Unlock() //nolint:staticcheck // Waits for the writer only.
	}
	keep = keep && x != nil && x.written.Load() && c.reader.Buffered() == 0 && !c.isTainted()
	if keep {
		c.pool.release(c, idleLimit)
	}
	if x != nil {
		x.done <- result
	}
	if !keep {
		c.close(errors.New("not reusable"))
	}
	return keep
}

// receive reads the reply to the exchange, skipping replies to other requests.
func (c *connection) receive(x *exchange) (result Result, keep bool, idleLimit time.Duration, err error) {
	for range maxForeign + 1 {
		reply, last, err := c.readReply(x.method)
		if err != nil {
			return Result{}, false, 0, err
		}
		reading := c.pool.transporter.dialect.Read(reply.Status, reply.Header)
		if reading.RequestID == "" || reading.RequestID == x.id {
			return newResult(reply, reading), !last, reading.IdleLimit, nil
		}
		c.taint()
		if last {
			break
		}
	}
	return Result{}, false, 0, errForeign
}

func newResult(reply *Reply, reading Reading) Result {
	result := Result{Load: reading.Load, Cold: reading.Cold}
	switch {
	case reading.Misdirected:
		result.Outcome = Misdirected
	case reading.Refused:
		result.Outcome = Refused
	default:
		reply.Signature = reading.Signature
		result.Outcome, result.Reply = Answered, reply
	}
	return result
}

// readReply reads the next final reply with its whole body, and tells whether the connection ends with it.
func (c *connection) readReply(method string) (reply *Reply, last bool, err error) {
	for {
		reply, last, err = readOne(c.reader, method)
		if err != nil || reply.Status >= http.StatusOK {
			return reply, last, err
		}
	}
}

func readOne(reader *bufio.Reader, method string) (reply *Reply, last bool, err error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, false, fmt.Errorf("read reply: %w", err)
	}
	// Closing the body of a response that was read to its end does nothing.
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		return nil, false, fmt.Errorf("read body: %w", err)
	}
	return &Reply{Status: response.StatusCode, Header: response.Header, Body: body}, response.Close, nil
}

func readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		// The length of a reply to HEAD is that of another reply.
		return nil, nil
	}
	if response.ContentLength > maxReplyBytes {
		return nil, fmt.Errorf("%d bytes are more than %d", response.ContentLength, maxReplyBytes)
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		return nil, fmt.Errorf("more than %d bytes", maxReplyBytes)
	}
	return body, err
}
