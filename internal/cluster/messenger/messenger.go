// Package messenger carries requests between instances over JSON-RPC 2.0 on TCP.
package messenger

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

const (
	// defaultHeartbeat and defaultSilence detect a silent connection within about 1 s.
	defaultHeartbeat = 200 * time.Millisecond
	defaultSilence   = 800 * time.Millisecond
	// defaultDial bounds connecting and hello.
	defaultDial = time.Second
	// defaultSize is the largest message in bytes: a manifest of 1 MB as a JSON string with escapes, with margin.
	defaultSize = 8 << 20
	// dialPause is the time after a failed dial in which calls fail without a new one.
	dialPause = 100 * time.Millisecond
	// dialAttempts bounds the connections dialled for one call that close before it can use them.
	dialAttempts = 3
	// redundantAge is the age at which a connection without hello is closed.
	redundantAge = 2 * time.Second
	// defaultIdle is the time without calls after which a connection is closed. Exchanges with random peers open many, and
	// each costs heartbeats.
	defaultIdle = 5 * time.Second
)

// Resolver finds the peer addresses of instances.
type Resolver interface {
	PeerAddress(instance string) (string, bool)
}

// ResolverFunc is a function that is a Resolver.
type ResolverFunc func(instance string) (string, bool)

// PeerAddress calls the function.
func (f ResolverFunc) PeerAddress(instance string) (string, bool) {
	return f(instance)
}

// Events records connections made and lost.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Identity describes this instance to others.
type Identity struct {
	Instance      string
	Incarnation   string
	FailureDomain string
}

// Option changes a messenger.
type Option func(*Messenger)

// WithAdvertised sets the address told to other instances; by default it is that of the listener.
func WithAdvertised(address string) Option {
	return func(m *Messenger) { m.advertised = address }
}

// WithHeartbeat sets the heartbeat interval and the silence after which a connection is closed.
func WithHeartbeat(interval, silence time.Duration) Option {
	return func(m *Messenger) { m.heartbeat, m.silence = interval, silence }
}

// WithIdleLimit sets the time without calls after which a connection is closed.
func WithIdleLimit(limit time.Duration) Option {
	return func(m *Messenger) { m.idleLimit = limit }
}

// WithSizeLimit sets the size of the largest message in bytes.
func WithSizeLimit(limit int) Option {
	return func(m *Messenger) { m.sizeLimit = limit }
}

// WithScope sets the scope for the counters of messages and bytes by method.
func WithScope(scope tally.Scope) Option {
	return func(m *Messenger) { m.scope = scope }
}

// Messenger holds the connections of one instance to others, one for each peer.
type Messenger struct {
	identity   Identity
	address    string
	advertised string
	resolver   Resolver
	clock      Clock
	events     Events
	heartbeat  time.Duration
	silence    time.Duration
	sizeLimit  int
	idleLimit  time.Duration
	scope      tally.Scope
	// traffic knows the methods after Start.
	traffic *traffic

	// joining and heard are set before Start; see Introduce.
	joining func() bool
	heard   func(encoder.HelloMessage)

	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	// background holds the accept loop and the monitors of connections.
	background sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	handlers map[string]handler
	// links holds all open connections; preferred holds the one used for each peer.
	links     map[*link]bool
	preferred map[string]*link
	dials     map[string]*dial
	// failures holds the last failed dial of each peer.
	failures map[string]dialFailure
	// addresses holds the addresses that peers told in hello.
	addresses map[string]string
	// known holds the incarnation of each peer that was recorded as connected and not as lost since.
	known  map[string]string
	closed bool
	// running counts handlers; idle is closed when it reaches 0 after draining began.
	running  int
	draining bool
	idle     chan struct{}
}

// New creates a messenger that will listen at the address.
func New(identity Identity, address string, resolver Resolver, clock Clock, events Events, options ...Option) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{
		identity: identity, address: address, resolver: resolver, clock: clock, events: events,
		heartbeat: defaultHeartbeat, silence: defaultSilence, sizeLimit: defaultSize, idleLimit: defaultIdle,
		joining: func() bool { return false }, heard: func(encoder.HelloMessage) {},
		scope: tally.NoopScope, ctx: ctx, cancel: cancel,
		handlers: make(map[string]handler), links: make(map[*link]bool), preferred: make(map[string]*link),
		dials: make(map[string]*dial), failures: make(map[string]dialFailure), addresses: make(map[string]string), known: make(map[string]string),
		idle: make(chan struct{}),
	}
	for _, option := range options {
		option(m)
	}
	m.traffic = newTraffic(m.scope, nil)
	return m
}

// Introduce sets what hello tells of this instance, and the function that takes the hello of others. It is called
// before Start.
func (m *Messenger) Introduce(joining func() bool, heard func(encoder.HelloMessage)) {
	m.joining, m.heard = joining, heard
}

// Start listens.
func (m *Messenger) Start() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return &ListenError{Address: m.address, Cause: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener = listener
	m.traffic = newTraffic(m.scope, slices.Collect(maps.Keys(m.handlers)))
	m.advertised = cmp.Or(m.advertised, listener.Addr().String())
	m.background.Go(func() { m.accept(listener) })
	return nil
}

// Address returns the address that the messenger listens at, after Start.
func (m *Messenger) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener == nil {
		return m.address
	}
	return m.listener.Addr().String()
}

// Connected reports whether a connection to the instance is open.
func (m *Messenger) Connected(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.preferred[instance] != nil
}

// Connections returns the number of open connections.
func (m *Messenger) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Connect opens a connection to a raw address, such as a seed, and returns the instance found there. Calls by the
// name of that instance use the connection.
func (m *Messenger) Connect(ctx context.Context, address string) (Peer, error) {
	l, err := m.connect(ctx, address, "")
	if err != nil {
		return Peer{}, &UnreachableError{Instance: address, Method: methodHello, Cause: err}
	}
	return *l.peer.Load(), nil
}

// Close stops accepting connections, waits for the running handlers until the context ends, and then closes all
// connections.
func (m *Messenger) Close(ctx context.Context) error {
	if !m.beginClose() {
		return nil
	}
	select {
	case <-m.idle:
	case <-ctx.Done():
	}
	m.mu.Lock()
	m.closed = true
	links := make([]*link, 0, len(m.links))
	for l := range m.links {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.stream.flush(m.heartbeat)
	}
	m.cancel()
	m.background.Wait()
	for _, l := range links {
		<-l.stream.written
	}
	return nil
}

// beginClose closes the listener and reports whether this is the first call.
func (m *Messenger) beginClose() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return false
	}
	m.draining = true
	if m.listener != nil {
		// The accept loop ends whatever Close returns.
		_ = m.listener.Close()
	}
	if m.running == 0 {
		close(m.idle)
	}
	return true
}

// begin counts a handler and reports whether it may run.
func (m *Messenger) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running++
	return true
}

func (m *Messenger) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	if !m.draining || m.running > 0 {
		return
	}
	select {
	case <-m.idle:
	default:
		close(m.idle)
	}
}

func (m *Messenger) handle(method string, h handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

func (m *Messenger) handler(method string) handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[method]
}

func (m *Messenger) panicked(method string, value any) {
	log.Error("handler panicked", "method", method, "panic", value)
}

func (m *Messenger) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err == nil {
			m.add(conn, false)
			continue
		}
		m.mu.Lock()
		draining := m.draining
		m.mu.Unlock()
		if draining {
			return
		}
		// Accept fails for a while when the process is out of file descriptors.
		time.Sleep(dialPause)
	}
}
