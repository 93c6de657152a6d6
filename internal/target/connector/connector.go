// Package connector holds the connections to one target, each bound to an incarnation, and sends sub-queries on them.
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
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// openTimeout bounds a new connection with its first report; a target needs about 6 ms.
	openTimeout = 500 * time.Millisecond
	// controlTimeout bounds a report or cancellation.
	controlTimeout = 500 * time.Millisecond
	// cancelTimeout is how long a cancelled attempt may take to reply before its connection is closed.
	cancelTimeout = 50 * time.Millisecond
	// probeMin and probeMax bound the backoff of the probes of a target that is down.
	probeMin = 50 * time.Millisecond
	probeMax = 2 * time.Second
	// probeTimeoutMax bounds how long a probe waits for the report on its connection.
	probeTimeoutMax = 8 * time.Second
	// openAttempts is the number of new connections that must fail before a target is down.
	openAttempts = 2
)

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Option changes a connector.
type Option func(*Connector)

// WithLogger sets the logger for changes of state.
func WithLogger(logger *log.Logger) Option {
	return func(c *Connector) { c.logger = logger }
}

// WithScope sets the scope for counters.
func WithScope(scope tally.Scope) Option {
	return func(c *Connector) { c.scope = scope }
}

// WithOnReset sets a function that is called when the other side ends a connection.
func WithOnReset(f func(incarnation string)) Option {
	return func(c *Connector) { c.onReset = f }
}

// WithOnReachable sets a function that is called when new connections begin to fail, and when they work again. It
// must not call the connector.
func WithOnReachable(f func(reachable bool)) Option {
	return func(c *Connector) { c.onReachable = f }
}

// Connector opens and keeps the connections to one target.
type Connector struct {
	target  string
	events  Events
	logger  *log.Logger
	scope   tally.Scope
	onReset func(incarnation string)
	// onReachable is called with the mutex held.
	onReachable func(reachable bool)
	// ctx ends when the connector is closed.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	address string
	// share bounds the connections for sub-queries: open and being opened.
	share int
	// open counts connections for sub-queries, including those being opened.
	open    int
	opening int
	// generation rises when all idle connections are dropped; older connections are not kept on release.
	generation int
	// known holds every usable connection for sub-queries with its generation.
	known map[*Connection]int
	idle  []*Connection
	// changed is closed and replaced when a waiter may go on.
	changed chan struct{}
	down    bool
	cause   error
	closed  bool

	// control is the connection for control requests, protected by mu; controlMu is held during one of them.
	control *Connection
	// controlFailures counts the new control connections that failed in a row.
	controlFailures int
	controlMu       sync.Mutex
}

// New creates a connector without connections; SetShare allows them.
func New(target, address string, events Events, opts ...Option) *Connector {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Connector{
		target: target, address: address, events: events, scope: tally.NoopScope,
		logger: log.New(io.Discard), onReset: func(string) {}, onReachable: func(bool) {}, ctx: ctx, cancel: cancel,
		known: make(map[*Connection]int), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure sets the address and the share of slots; a changed address drops the idle connections.
func (c *Connector) Configure(address string, share int) {
	c.mu.Lock()
	c.share = share
	moved := c.address != address
	c.address = address
	c.wake()
	c.mu.Unlock()
	if moved {
		c.dropIdle()
		c.dropControl()
	}
}

// Acquire returns an unused connection, opening one when there is none. Nothing has been sent when it fails.
func (c *Connector) Acquire(ctx context.Context) (*Connection, error) {
	for {
		connection, changed, err := c.take()
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

// take returns an idle connection, an error, or the channel to wait on.
func (c *Connector) take() (*Connection, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, nil, &ClosedError{Target: c.target}
	case c.down:
		return nil, nil, &DownError{Target: c.target, Cause: c.cause}
	}
	for len(c.idle) > 0 {
		connection := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if !connection.Alive() {
			continue
		}
		c.openAhead()
		return connection, nil, nil
	}
	c.openAhead()
	return nil, c.changed, nil
}

// openAhead opens a connection in the background when none is idle or being opened and the share allows it.
func (c *Connector) openAhead() {
	if c.closed || c.down || len(c.idle) > 0 || c.opening > 0 || c.open >= c.share {
		return
	}
	c.open++
	c.opening++
	c.tasks.Go(c.openOne)
}

// Prepare opens a connection ahead of need when none is idle.
func (c *Connector) Prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openAhead()
}

func (c *Connector) openOne() {
	var connection *Connection
	var err error
	for range openAttempts {
		connection, err = c.dial(c.ctx, openTimeout)
		if err == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opening--
	if err != nil {
		c.open--
		c.markDown(err)
		c.wake()
		return
	}
	if c.closed {
		c.open--
		go connection.close()
		return
	}
	c.known[connection] = c.generation
	c.keep(connection)
}

// keep adds a connection to the idle ones; a connection that has already ended is forgotten.
func (c *Connector) keep(connection *Connection) {
	if !connection.Alive() {
		c.forget(connection)
		return
	}
	connection.idleSince = time.Now()
	c.idle = append(c.idle, connection)
	c.wake()
}

// forget removes a connection that has ended from the counts, once.
func (c *Connector) forget(connection *Connection) {
	if _, found := c.known[connection]; !found {
		return
	}
	delete(c.known, connection)
	c.open--
	for i := range c.idle {
		if c.idle[i] == connection {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			break
		}
	}
	c.wake()
}

// lost is called once for every connection for sub-queries that ended.
func (c *Connector) lost(connection *Connection) {
	c.mu.Lock()
	c.forget(connection)
	c.mu.Unlock()
	if connection.remote.Load() && connection.Incarnation() != "" {
		c.scope.Counter("target-connections-reset").Inc(1)
		c.onReset(connection.Incarnation())
	}
}

func (c *Connector) wake() {
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
	connection := newConnection(conn, c.lost)
	if err := connection.bind(ctx, c.target); err != nil {
		connection.close()
		return nil, err
	}
	return connection, nil
}

// Release returns a connection after its sub-query; one that must not be used again is closed.
func (c *Connector) Release(connection *Connection) {
	c.mu.Lock()
	generation, found := c.known[connection]
	if found && generation == c.generation && c.open <= c.share && !c.closed {
		c.keep(connection)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	connection.close()
}

// Discard closes a connection from Acquire that leads to an incarnation that has ended.
func (c *Connector) Discard(connection *Connection) {
	connection.close()
}

// Sweep closes connections that have been idle for too long.
func (c *Connector) Sweep() {
	c.mu.Lock()
	var old []*Connection
	kept := c.idle[:0]
	for _, connection := range c.idle {
		if time.Since(connection.idleSince) > idleTimeout || c.open-len(old) > c.share {
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

// Open returns the number of open connections.
func (c *Connector) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Down reports whether new connections fail.
func (c *Connector) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// dropIdle closes all idle connections and keeps no connection opened before now.
func (c *Connector) dropIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.generation++
	c.mu.Unlock()
	for _, connection := range idle {
		connection.close()
	}
}

// spawn runs f in the background, unless the connector is closed.
func (c *Connector) spawn(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.tasks.Go(f)
	}
	return !c.closed
}

// Close closes all connections and stops the probes. Callers finish their sub-queries first.
func (c *Connector) Close() {
	c.mu.Lock()
	c.closed = true
	c.wake()
	connections := make([]*Connection, 0, len(c.known))
	for connection := range c.known {
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
