package transporter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"apricotflow/internal/wire/dialer"
	"apricotflow/internal/wire/reader"
)

const (
	// dialTimeout limits opening a connection, which takes a few milliseconds if the target is up.
	dialTimeout = 300 * time.Millisecond
	// refusalTimeout limits the check of whether an address refuses connections, for which requests wait.
	refusalTimeout = 100 * time.Millisecond
	// maxFreshIdle is the maximum idle time of a connection for a request that cannot be repeated.
	maxFreshIdle = 500 * time.Millisecond
	// idleMargin is subtracted from the idle limit of the target, so that the target does not close a connection
	// while a request is sent.
	idleMargin = time.Second
	// defaultIdleLimit is used for targets that do not announce an idle limit.
	defaultIdleLimit = 4 * time.Second
	// largeRequestBytes is the size above which a request is written concurrently with the wait for its reply, since
	// the target may reply before it has read the whole request.
	largeRequestBytes = 16 << 10
)

// BusyError is returned when this instance already has the maximum number of connections to the target in use.
type BusyError struct {
	Target string
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("transporter: connect to %s: all connections are in use", e.Target)
}

// DialError is returned when no connection to the target could be opened.
type DialError struct {
	Target string
	// Cause is never nil.
	Cause error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("transporter: connect to %s: %v", e.Target, e.Cause)
}

func (e *DialError) Unwrap() error { return e.Cause }

// ExcessError is returned when a target sent a reply that exceeds a limit, such as one without end.
type ExcessError struct {
	Target string
	// Cause is never nil.
	Cause error
}

func (e *ExcessError) Error() string {
	return fmt.Sprintf("transporter: receive from %s: %v", e.Target, e.Cause)
}

func (e *ExcessError) Unwrap() error { return e.Cause }

// Transporter sends requests and manages the connections to targets.
type Transporter struct {
	codec HeaderCodec
	// dial opens a connection to an address.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// largeBodies is the memory for large bodies of replies that are being read.
	largeBodies *reader.Budget

	mu    sync.Mutex
	pools map[string]*pool
}

// Option configures a Transporter.
type Option func(*Transporter)

// WithDial sets the function that opens connections. By default they are TCP connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(t *Transporter) { t.dial = dial }
}

// New returns a Transporter without connections.
func New(codec HeaderCodec, opts ...Option) *Transporter {
	d := dialer.New(dialTimeout)
	t := &Transporter{codec: codec, largeBodies: reader.NewBudget(maxLargeBodyBytes), pools: make(map[string]*pool)}
	t.dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// pool holds the connections to one start of a target.
type pool struct {
	transporter *Transporter
	target      string
	address     string

	mu sync.Mutex
	// idle holds the connections without a request, the most recently used one last.
	idle []*connection
	// openCount is the number of idle and busy connections and of those being opened.
	openCount int
	// isClosed reports whether connections are closed after their request instead of being reused.
	isClosed bool
}

// Send sends a request to a target over one of at most limit connections and waits for the outcome until the context
// ends. A request that is then still in flight is lost. The time left is sent with the request.
func (t *Transporter) Send(ctx context.Context, target, address string, limit int, r *Request, timeLeft time.Duration) Result {
	start := time.Now()
	p := t.pool(target, address)
	result := p.send(ctx, limit, r, timeLeft)
	result.Latency = time.Since(start)
	return result
}

// IsRefused reports whether a connection to the address is refused: nothing listens there, or something on the way refuses
// connections. An address that does not answer may be out of reach instead, and is not refused.
func (t *Transporter) IsRefused(ctx context.Context, address string) bool {
	return errors.Is(t.checkAddress(ctx, address), syscall.ECONNREFUSED)
}

// Accepts reports whether the address accepts a connection.
func (t *Transporter) Accepts(ctx context.Context, address string) bool {
	return t.checkAddress(ctx, address) == nil
}

// checkAddress opens a connection to the address and closes it.
func (t *Transporter) checkAddress(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	conn, err := t.dial(ctx, address)
	if err != nil {
		return err
	}
	// Closing a connection that was opened as a check has no effect worth reporting.
	_ = conn.Close()
	return nil
}

func (t *Transporter) pool(target, address string) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[target]
	if p == nil || p.address != address {
		if p != nil {
			go p.close()
		}
		p = &pool{transporter: t, target: target, address: address}
		t.pools[target] = p
	}
	return p
}

// Retain keeps only the connections to wanted targets. It closes the others, busy ones after their request.
func (t *Transporter) Retain(wanted func(target string) bool) {
	t.mu.Lock()
	var removed []*pool
	for id, p := range t.pools {
		if !wanted(id) {
			removed = append(removed, p)
			delete(t.pools, id)
		}
	}
	t.mu.Unlock()
	for _, p := range removed {
		p.close()
	}
}

// CloseIdle closes the connections that have reached their idle limit.
func (t *Transporter) CloseIdle() {
	t.mu.Lock()
	pools := make([]*pool, 0, len(t.pools))
	for _, p := range t.pools {
		pools = append(pools, p)
	}
	t.mu.Unlock()
	for _, p := range pools {
		p.closeExpired()
	}
}

// ConnectionCount returns the number of open connections, including those being opened.
func (t *Transporter) ConnectionCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pools {
		p.mu.Lock()
		n += p.openCount
		p.mu.Unlock()
	}
	return n
}

func (p *pool) send(ctx context.Context, limit int, r *Request, timeLeft time.Duration) Result {
	start := time.Now()
	x := &exchange{id: r.ID, method: r.Method, large: len(r.head)+len(r.body) > largeRequestBytes, done: make(chan Result, 1)}
	c, err := p.acquire(ctx, limit, x, r.RequireFreshConnection)
	if err != nil {
		return Result{Outcome: Unsent, Err: err}
	}
	timeLeft -= time.Since(start)
	if timeLeft <= 0 || ctx.Err() != nil {
		c.takeExchange()
		p.release(c, 0)
		return Result{Outcome: Unsent, Err: context.DeadlineExceeded}
	}
	raw := r.serialize(p.transporter.codec, p.target, timeLeft)
	if x.large {
		go c.writeLarge(x, raw, time.Now().Add(timeLeft))
	} else if n, err := c.write(x, raw, time.Now().Add(timeLeft)); err != nil && n == 0 {
		c.takeExchange()
		c.close(err)
		return Result{Outcome: Unsent, Err: err}
	}
	select {
	case result := <-x.done:
		return result
	case <-ctx.Done():
	}
	c.close(ctx.Err())
	return <-x.done
}

// writeLarge writes the request concurrently with the wait for its reply. A failure closes the connection, which ends
// the wait.
func (c *connection) writeLarge(x *exchange, raw []byte, deadline time.Time) {
	if _, err := c.write(x, raw, deadline); err != nil {
		c.close(fmt.Errorf("write request: %w", err))
	}
}

// write writes the request and returns the number of bytes written. If it fails after some bytes were written, it
// closes the connection. If nothing was written, the request has not reached the target, and closing is left to the
// calling function.
func (c *connection) write(x *exchange, raw []byte, deadline time.Time) (int, error) {
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.conn.Write(raw)
	if err == nil {
		x.written.Store(true)
		return n, nil
	}
	if n > 0 {
		c.close(fmt.Errorf("write request: %w", err))
	}
	return n, err
}

// acquire puts the exchange in flight on an idle connection or a new one.
func (p *pool) acquire(ctx context.Context, limit int, x *exchange, fresh bool) (*connection, error) {
	for {
		c, replaced, err := p.takeIdleOrReserve(limit, x.id, fresh)
		if err != nil {
			return nil, err
		}
		if replaced != nil {
			// Closed before the new connection is opened, so that the target never has more than the limit.
			replaced.close(errors.New("replaced"))
		}
		if c == nil {
			break
		}
		if c.startExchange(x) {
			return c, nil
		}
		c.close(errors.New("connection ended while idle"))
	}
	conn, err := p.transporter.dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, &DialError{Target: p.target, Cause: err}
	}
	c := newConnection(p, conn)
	if !c.startExchange(x) {
		return nil, &DialError{Target: p.target, Cause: errors.New("new connection ended before it was used")}
	}
	return c, nil
}

// takeIdleOrReserve removes an idle connection that is suitable for the request from the pool and returns it. If there is
// none, it returns nil and counts a new connection in openCount, which must then be opened, or openCount decremented. If
// the new connection replaces an idle one, that one is returned too and must be closed first; both count until then.
func (p *pool) takeIdleOrReserve(limit int, id string, fresh bool) (taken, replaced *connection, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for n, c := range slices.Backward(p.idle) {
		age := now.Sub(c.idleSince)
		if age >= c.idleLimit || fresh && age > maxFreshIdle {
			// Those before it are older.
			break
		}
		if !c.hasCarried(id) {
			p.idle = slices.Delete(p.idle, n, n+1)
			return c, nil, nil
		}
	}
	if p.openCount >= limit {
		if len(p.idle) == 0 {
			return nil, nil, &BusyError{Target: p.target}
		}
		// The idle connections are too old for this request or have carried it.
		replaced = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.openCount++
	return nil, replaced, nil
}

// release returns a connection without a request to the pool. The idle limit is what the target has announced, or 0 if
// unknown.
func (p *pool) release(c *connection, idleLimit time.Duration) {
	if idleLimit <= 0 {
		idleLimit = defaultIdleLimit
	} else {
		idleLimit = max(idleLimit-idleMargin, idleLimit/2)
	}
	p.mu.Lock()
	c.idleSince, c.idleLimit = time.Now(), idleLimit
	isClosed := p.isClosed
	if !isClosed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if isClosed {
		go c.close(errors.New("target removed or moved to another address"))
	}
}

// remove removes a closed connection from the pool.
func (p *pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// close closes the idle connections and has the busy ones closed after their request.
func (p *pool) close() {
	p.mu.Lock()
	p.isClosed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(errors.New("target removed or moved to another address"))
	}
}

func (p *pool) closeExpired() {
	p.mu.Lock()
	var expired []*connection
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		if now.Sub(c.idleSince) < c.idleLimit {
			return false
		}
		expired = append(expired, c)
		return true
	})
	p.mu.Unlock()
	for _, c := range expired {
		c.close(errors.New("idle limit reached"))
	}
}
