package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

const (
	// maxReplyBytes bounds the body of one reply.
	maxReplyBytes = 16 << 20
	// writeTimeout bounds a write that is not already bounded by the deadline of its request.
	writeTimeout = 500 * time.Millisecond
)

// exchange is the state of the one request in flight on a connection.
type exchange struct {
	// body receives the reply; the channel has room for it.
	body chan []byte
}

// seen is a state of the target with the boot time at which it was received.
type seen struct {
	state encoder.LoadState
	at    time.Duration
}

// Connection is one connection to a target, bound to the incarnation that answered its first request.
type Connection struct {
	conn net.Conn
	// incarnation is empty until the first report.
	incarnation atomic.Pointer[string]
	// seen is the latest state that the target reported on this connection.
	seen atomic.Pointer[seen]
	// received is set when bytes arrive after a request was written.
	received atomic.Bool
	// closed is closed when the connection can no longer be used.
	closed chan struct{}
	// onClose runs once, after closed was closed.
	onClose func(*Connection)
	once    sync.Once
	// remote is set when the other side or the network ended the connection.
	remote atomic.Bool

	mu sync.Mutex
	// waiting is nil while no request is in flight.
	waiting *exchange

	// idleSince is protected by the mutex of the connector.
	idleSince time.Time
}

func newConnection(conn net.Conn, onClose func(*Connection)) *Connection {
	c := &Connection{conn: conn, closed: make(chan struct{}), onClose: onClose}
	c.incarnation.Store(new(string))
	c.see(encoder.LoadStateCold)
	go c.read()
	return c
}

// Incarnation returns the incarnation of the target that the connection leads to.
func (c *Connection) Incarnation() string {
	return *c.incarnation.Load()
}

// State returns the latest state that the target reported on this connection, and the boot time of its arrival.
func (c *Connection) State() (encoder.LoadState, time.Duration) {
	s := c.seen.Load()
	return s.state, s.at
}

func (c *Connection) see(state encoder.LoadState) {
	c.seen.Store(&seen{state: state, at: timekeeper.BootTime()})
}

// Alive reports whether the connection has not been closed by either side, as far as is known.
func (c *Connection) Alive() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *Connection) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
		if c.onClose != nil {
			c.onClose(c)
		}
	})
}

// read receives replies until the connection ends. A blocked read notices the end of an idle connection at once,
// so that a restarted target is known before the next write.
func (c *Connection) read() {
	defer c.close()
	reader := bufio.NewReader(c.conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			c.noteEnd()
			return
		}
		c.received.Store(true)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.noteEnd()
			return
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
		_ = response.Body.Close()
		if err != nil {
			c.noteEnd()
			return
		}
		if !c.pass(body) || response.Close {
			return
		}
	}
}

// noteEnd records that the other side ended the connection, unless it was closed here.
func (c *Connection) noteEnd() {
	select {
	case <-c.closed:
	default:
		c.remote.Store(true)
	}
}

// pass hands the body to the request in flight and reports whether there was one.
func (c *Connection) pass(body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		return false
	}
	c.waiting.body <- body
	c.waiting = nil
	return true
}

// send writes one request and returns its exchange and the number of bytes written.
func (c *Connection) send(method, path string, body []byte, deadline time.Time) (*exchange, int, error) {
	request, err := http.NewRequest(method, "http://"+c.conn.RemoteAddr().String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "apricotflow")
	// The request is serialised first, so that it is known whether any byte of it was written.
	var raw bytes.Buffer
	if err := request.Write(&raw); err != nil {
		return nil, 0, fmt.Errorf("serialise request: %w", err)
	}
	x := &exchange{body: make(chan []byte, 1)}
	c.mu.Lock()
	c.waiting = x
	c.mu.Unlock()
	c.received.Store(false)
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return x, 0, err
	}
	n, err := c.conn.Write(raw.Bytes())
	return x, n, err
}

// errConnectionEnded reports that the connection ended before the reply.
var errConnectionEnded = errors.New("connection ended before the reply")

// await returns the body of the reply.
func (c *Connection) await(ctx context.Context, x *exchange) ([]byte, error) {
	select {
	case body := <-x.body:
		return body, nil
	case <-c.closed:
		select {
		case body := <-x.body:
			return body, nil
		default:
			return nil, errConnectionEnded
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// roundTrip sends a control request and decodes its reply.
func (c *Connection) roundTrip(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	deadline, found := ctx.Deadline()
	if !found {
		deadline = time.Now().Add(writeTimeout)
	}
	x, _, err := c.send(method, path, body, deadline)
	if err != nil {
		return nil, err
	}
	return c.await(ctx, x)
}

// bind reads the report that the connection is bound to.
func (c *Connection) bind(ctx context.Context, target string) error {
	report, err := c.report(ctx, target)
	if err != nil {
		return err
	}
	c.incarnation.Store(&report.Incarnation)
	return nil
}

func (c *Connection) report(ctx context.Context, target string) (encoder.TargetReport, error) {
	body, err := c.roundTrip(ctx, http.MethodGet, "/v1/report", nil)
	if err != nil {
		return encoder.TargetReport{}, err
	}
	report, err := encoder.Decode[encoder.TargetReport](body)
	if err != nil {
		return report, err
	}
	if report.Target != target {
		return report, fmt.Errorf("report of target %q", report.Target)
	}
	c.see(report.State)
	return report, nil
}
