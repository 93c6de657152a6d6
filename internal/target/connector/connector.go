// Package connector manages the connections to one target, each bound to an incarnation of it, and sends sub-queries on
// them. Reports and cancellations are control requests, which have a connection of their own. The connector detects
// silent connections and targets that are down. In native mode the dispatcher uses one connector per owned target; how
// many sub-queries may be in flight is left to the limiter. The tests are in package loopback.
package connector

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/recorder"
)

const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// openTimeout limits the opening of a connection including its first report. Both together normally take about 6 ms.
	openTimeout = 500 * time.Millisecond
	// controlTimeout limits a report request or a cancellation.
	controlTimeout = 500 * time.Millisecond
	// cancelTimeout is how long the target may take to reply to a cancelled attempt before the connection is closed.
	cancelTimeout = 50 * time.Millisecond
	// probeDelayMin and probeDelayMax limit the backoff between probes of a target that is down.
	probeDelayMin = 50 * time.Millisecond
	probeDelayMax = 2 * time.Second
	// probeTimeoutMax is the maximum time that a probe waits for the report on its connection.
	probeTimeoutMax = 8 * time.Second
	// maxConnectFailures is the number of consecutive new connections that must fail before a target is considered down.
	// It is also the number of tries to cancel an attempt on a silent connection before that.
	maxConnectFailures = 2
)

// Events records state changes.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Option configures a Connector.
type Option func(*Connector)

// WithLogger sets the logger for state changes.
func WithLogger(logger *log.Logger) Option {
	return func(c *Connector) { c.logger = logger }
}

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(c *Connector) { c.scope = scope }
}

// WithOnRemoteClose sets a function that is called when the target or the network has closed a connection to the
// incarnation.
func WithOnRemoteClose(f func(incarnation string)) Option {
	return func(c *Connector) { c.onRemoteClose = f }
}

// WithOnUpChange sets a function that is called when the target goes down and when it is up again. The function must
// not call the connector.
func WithOnUpChange(f func(up bool)) Option {
	return func(c *Connector) { c.onUpChange = f }
}

// Connector manages the connections to one target.
type Connector struct {
	target        string
	events        Events
	logger        *log.Logger
	scope         tally.Scope
	onRemoteClose func(incarnation string)
	// onUpChange is called with the mutex held.
	onUpChange func(up bool)
	// ctx ends when the connector is closed.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	address string
	// share is the maximum number of connections for sub-queries, including those being opened.
	share int
	// openCount is the number of connections for sub-queries, including those being opened; openingCount is the number
	// of the latter.
	openCount    int
	openingCount int
	// epoch is incremented when all idle connections are dropped. Connections of an earlier epoch are closed on release.
	epoch int
	// epochs holds the epoch of every open connection for sub-queries.
	epochs map[*Connection]int
	idle   []*Connection
	// changed is closed and replaced when the calls that wait in Acquire have to check again.
	changed   chan struct{}
	down      bool
	downCause error
	closed    bool

	// control is the connection for control requests, guarded by mu. controlMu is held during a control request.
	control *Connection
	// controlFailures is the number of consecutive control connections that could not be opened.
	controlFailures int
	controlMu       sync.Mutex
}

// New creates a connector without connections; Configure allows them.
func New(target, address string, events Events, opts ...Option) *Connector {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Connector{
		target: target, address: address, events: events, scope: tally.NoopScope,
		logger: log.New(io.Discard), onRemoteClose: func(string) {}, onUpChange: func(bool) {}, ctx: ctx, cancel: cancel,
		epochs: make(map[*Connection]int), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure sets the address and the share of slots, which also limits the connections. A changed address drops the
// idle connections and the control connection.
func (c *Connector) Configure(address string, share int) {
	c.mu.Lock()
	c.share = share
	moved := c.address != address
	c.address = address
	c.wakeWaiters()
	c.mu.Unlock()
	if moved {
		c.dropIdle()
		c.dropControl()
	}
}

// Acquire returns an idle connection. If there is none, it waits for one that is opened or released. If it fails,
// nothing has been sent.
func (c *Connector) Acquire(ctx context.Context) (*Connection, error) {
	for {
		connection, changed, err := c.takeIdle()
		if connection != nil || err != nil {
			return connection, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeIdle returns an idle connection, an error, or the channel to wait on.
func (c *Connector) takeIdle() (*Connection, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, nil, &ClosedError{Target: c.target}
	case c.down:
		return nil, nil, &DownError{Target: c.target, Cause: c.downCause}
	}
	for len(c.idle) > 0 {
		connection := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if !connection.IsOpen() {
			continue
		}
		c.openIfNoneIdle()
		return connection, nil, nil
	}
	c.openIfNoneIdle()
	return nil, c.changed, nil
}

// openIfNoneIdle opens a connection in the background if none is idle or being opened and the share allows it. c.mu
// must be held.
func (c *Connector) openIfNoneIdle() {
	if c.closed || c.down || len(c.idle) > 0 || c.openingCount > 0 || c.openCount >= c.share {
		return
	}
	c.openCount++
	c.openingCount++
	c.tasks.Go(c.openConnection)
}

// OpenIfNoneIdle opens a connection in the background if none is idle or being opened and the share allows it, so that
// the next sub-query need not wait for it.
func (c *Connector) OpenIfNoneIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openIfNoneIdle()
}

func (c *Connector) openConnection() {
	var connection *Connection
	var err error
	for range maxConnectFailures {
		connection, err = c.dial(c.ctx, openTimeout)
		if err == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openingCount--
	if err != nil {
		c.openCount--
		c.markDown(err)
		c.wakeWaiters()
		return
	}
	if c.closed {
		c.openCount--
		go connection.close()
		return
	}
	c.epochs[connection] = c.epoch
	c.addIdle(connection)
}

// addIdle adds a connection to the idle ones, or removes it if it is already closed. c.mu must be held.
func (c *Connector) addIdle(connection *Connection) {
	if !connection.IsOpen() {
		c.remove(connection)
		return
	}
	connection.idleSince = time.Now()
	c.idle = append(c.idle, connection)
	c.wakeWaiters()
}

// remove removes a closed connection from the counts and from the idle ones, once. c.mu must be held.
func (c *Connector) remove(connection *Connection) {
	if _, found := c.epochs[connection]; !found {
		return
	}
	delete(c.epochs, connection)
	c.openCount--
	for i := range c.idle {
		if c.idle[i] == connection {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			break
		}
	}
	c.wakeWaiters()
}

// handleClosed is called once for every closed connection.
func (c *Connector) handleClosed(connection *Connection) {
	c.mu.Lock()
	c.remove(connection)
	c.mu.Unlock()
	if connection.closedByRemote.Load() && connection.Incarnation() != "" {
		c.scope.Counter("target-connections-reset").Inc(1)
		c.onRemoteClose(connection.Incarnation())
	}
}

func (c *Connector) wakeWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// dial opens a connection and binds it to the incarnation in its first report.
func (c *Connector) dial(ctx context.Context, timeout time.Duration) (*Connection, error) {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.scope.Counter("target-connections-opened").Inc(1)
	connection := newConnection(conn, c.handleClosed)
	if err := connection.bind(ctx, c.target); err != nil {
		connection.close()
		return nil, err
	}
	return connection, nil
}

// Release returns a connection to the idle ones after its sub-query, or closes it if it must not be used again.
func (c *Connector) Release(connection *Connection) {
	c.mu.Lock()
	epoch, found := c.epochs[connection]
	if found && epoch == c.epoch && c.openCount <= c.share && !c.closed {
		c.addIdle(connection)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	connection.close()
}

// Discard closes a connection from Acquire whose incarnation has ended.
func (c *Connector) Discard(connection *Connection) {
	connection.close()
}

// CloseIdle closes connections that have been idle for longer than idleTimeout, and idle connections in excess of the
// share.
func (c *Connector) CloseIdle() {
	c.mu.Lock()
	var old []*Connection
	kept := c.idle[:0]
	for _, connection := range c.idle {
		if time.Since(connection.idleSince) > idleTimeout || c.openCount-len(old) > c.share {
			old = append(old, connection)
			continue
		}
		kept = append(kept, connection)
	}
	c.idle = kept
	c.mu.Unlock()
	for _, connection := range old {
		connection.close()
	}
}

// OpenConnections returns the number of connections for sub-queries, including those being opened.
func (c *Connector) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount
}

// IsDown reports whether the target is down, because new connections to it fail.
func (c *Connector) IsDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// dropIdle closes all idle connections. Those that are in use now are closed on release.
func (c *Connector) dropIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.epoch++
	c.mu.Unlock()
	for _, connection := range idle {
		connection.close()
	}
}

// startTask runs f in the background and reports whether it did; a closed connector runs nothing.
func (c *Connector) startTask(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.tasks.Go(f)
	}
	return !c.closed
}

// Close closes all connections and stops the probes. No call of Execute may be running.
func (c *Connector) Close() {
	c.mu.Lock()
	c.closed = true
	c.wakeWaiters()
	connections := make([]*Connection, 0, len(c.epochs))
	for connection := range c.epochs {
		connections = append(connections, connection)
	}
	c.mu.Unlock()
	c.cancel()
	for _, connection := range connections {
		connection.close()
	}
	c.dropControl()
	c.tasks.Wait()
	// A control request that was opening its connection may have set it after the first call.
	c.controlMu.Lock()
	defer c.controlMu.Unlock()
	c.dropControl()
}
