package connector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
	"apricotflow/internal/wire/reader"
)

const (
	// maxReplyBytes is the maximum size of the body of one reply.
	maxReplyBytes = 16 << 20
	// maxLargeBodyBytes limits the memory for large bodies that are read from all targets at the same time.
	maxLargeBodyBytes = 48 << 20
	// writeTimeout limits a write whose request has no deadline.
	writeTimeout = 500 * time.Millisecond
)

// largeBodies is the memory for large bodies of replies that are being read on all connections of the process.
var largeBodies = reader.NewBudget(maxLargeBodyBytes)

// pendingRequest is the one request in flight on a connection.
type pendingRequest struct {
	// body receives the body of the reply; the channel is buffered for it.
	body chan []byte
}

// reportedState is a state of the target and the boot time at which it was received.
type reportedState struct {
	state encoder.LoadState
	at    time.Duration
}

// Connection is one connection to a target. It is bound to the incarnation in the first report on it.
type Connection struct {
	conn net.Conn
	// incarnation is the incarnation of the target in the first report; empty before that.
	incarnation atomic.Pointer[string]
	// reportedState is the latest state that the target reported on this connection.
	reportedState atomic.Pointer[reportedState]
	// bytesReceived is set when bytes arrive, and cleared when a request is written.
	bytesReceived atomic.Bool
	// closed is closed once the connection can no longer be used.
	closed chan struct{}
	// onClose is called once, after closed is closed.
	onClose   func(*Connection)
	closeOnce sync.Once
	// closedByRemote is set when the target or the network has closed the connection.
	closedByRemote atomic.Bool

	mu sync.Mutex
	// pending is nil while no request is in flight.
	pending *pendingRequest

	// idleSince is guarded by the mutex of the connector.
	idleSince time.Time
}

func newConnection(conn net.Conn, onClose func(*Connection)) *Connection {
	c := &Connection{conn: conn, closed: make(chan struct{}), onClose: onClose}
	c.incarnation.Store(new(string))
	c.recordState(encoder.LoadStateCold)
	go c.readReplies()
	return c
}

// Incarnation returns the incarnation of the target that the connection leads to.
func (c *Connection) Incarnation() string {
	return *c.incarnation.Load()
}

// State returns the latest state that the target reported on this connection, and the boot time at which it was
// received.
func (c *Connection) State() (encoder.LoadState, time.Duration) {
	s := c.reportedState.Load()
	return s.state, s.at
}

func (c *Connection) recordState(state encoder.LoadState) {
	c.reportedState.Store(&reportedState{state: state, at: timekeeper.BootTime()})
}

// IsOpen reports whether neither side is known to have closed the connection.
func (c *Connection) IsOpen() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *Connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
		if c.onClose != nil {
			c.onClose(c)
		}
	})
}

// readReplies receives replies until the connection is closed. The blocked read notices at once when an idle connection
// is closed, so that a restart of the target is detected before the next sub-query is sent.
func (c *Connection) readReplies() {
	defer c.close()
	replies := reader.New(c.conn, maxReplyBytes, largeBodies)
	for {
		if err := replies.Await(); err != nil {
			c.recordRemoteClose()
			return
		}
		c.bytesReceived.Store(true)
		reply, err := replies.Read(http.MethodGet)
		if err != nil {
			c.recordRemoteClose()
			return
		}
		if !c.deliverReply(reply.Body) || reply.Closes {
			return
		}
	}
}

// recordRemoteClose records that the target or the network has closed the connection, unless this side has closed it.
func (c *Connection) recordRemoteClose() {
	select {
	case <-c.closed:
	default:
		c.closedByRemote.Store(true)
	}
}

// deliverReply passes the body to the request in flight and reports whether there was one.
func (c *Connection) deliverReply(body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return false
	}
	c.pending.body <- body
	c.pending = nil
	return true
}

// send writes one request and returns the pending request and the number of bytes written.
func (c *Connection) send(method, path string, body []byte, deadline time.Time) (*pendingRequest, int, error) {
	request, err := http.NewRequest(method, "http://"+c.conn.RemoteAddr().String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "apricotflow")
	// The request is serialised first, so that the number of bytes written is known.
	var raw bytes.Buffer
	if err := request.Write(&raw); err != nil {
		return nil, 0, fmt.Errorf("serialise request: %w", err)
	}
	p := &pendingRequest{body: make(chan []byte, 1)}
	c.mu.Lock()
	c.pending = p
	c.mu.Unlock()
	c.bytesReceived.Store(false)
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return p, 0, err
	}
	n, err := c.conn.Write(raw.Bytes())
	return p, n, err
}

// errConnectionClosed is returned when the connection was closed before the reply.
var errConnectionClosed = errors.New("connection closed before the reply")

// await waits for the reply and returns its body.
func (c *Connection) await(ctx context.Context, p *pendingRequest) ([]byte, error) {
	select {
	case body := <-p.body:
		return body, nil
	case <-c.closed:
		select {
		case body := <-p.body:
			return body, nil
		default:
			return nil, errConnectionClosed
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// roundTrip sends a control request and returns the body of its reply.
func (c *Connection) roundTrip(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	deadline, found := ctx.Deadline()
	if !found {
		deadline = time.Now().Add(writeTimeout)
	}
	p, _, err := c.send(method, path, body, deadline)
	if err != nil {
		return nil, err
	}
	return c.await(ctx, p)
}

// bind requests a report and binds the connection to the incarnation in it.
func (c *Connection) bind(ctx context.Context, target string) error {
	report, err := c.fetchReport(ctx, target)
	if err != nil {
		return err
	}
	c.incarnation.Store(&report.Incarnation)
	return nil
}

func (c *Connection) fetchReport(ctx context.Context, target string) (encoder.TargetReport, error) {
	body, err := c.roundTrip(ctx, http.MethodGet, "/v1/report", nil)
	if err != nil {
		return encoder.TargetReport{}, err
	}
	report, err := encoder.Decode[encoder.TargetReport](body)
	if err != nil {
		return report, err
	}
	if report.Target != target {
		return report, fmt.Errorf("report is from another target: %q", report.Target)
	}
	c.recordState(report.State)
	return report, nil
}
