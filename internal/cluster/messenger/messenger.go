// Package messenger carries requests and notifications between instances over JSON-RPC 2.0 on TCP. It keeps one
// connection per peer for both directions, detects silent connections by heartbeats, and tells callers whether a failed
// request may have been sent. It serves native and relay mode: packages such as gossiper, lessor, feeder and discoverer
// register their methods here. Retries are left to them.
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
	// With defaultHeartbeatInterval and defaultSilenceTimeout, a silent connection is detected within about 1 s.
	defaultHeartbeatInterval = 200 * time.Millisecond
	defaultSilenceTimeout    = 800 * time.Millisecond
	// defaultDialTimeout limits the time to connect and exchange hello.
	defaultDialTimeout = time.Second
	// defaultSizeLimit is the maximum size of a message in bytes. A manifest of 1 MB fits as an escaped JSON string, with
	// margin.
	defaultSizeLimit = 8 << 20
	// dialRetryDelay is the time after a failed dial during which calls fail without dialling again. It is also the pause
	// after a failed accept.
	dialRetryDelay = 100 * time.Millisecond
	// maxDialAttempts is the maximum number of dials for one call, if connections close before it can use them.
	maxDialAttempts = 3
	// helloDeadline is the age after which a connection without hello is closed.
	helloDeadline = 2 * time.Second
	// defaultIdleTimeout is the time without calls after which a connection is closed. Exchanges with random peers open
	// many connections, and each costs heartbeats.
	defaultIdleTimeout = 5 * time.Second
)

// Resolver looks up the peer addresses of instances.
type Resolver interface {
	PeerAddress(instance string) (string, bool)
}

// ResolverFunc is an adapter that uses a function as a Resolver.
type ResolverFunc func(instance string) (string, bool)

// PeerAddress calls f(instance).
func (f ResolverFunc) PeerAddress(instance string) (string, bool) {
	return f(instance)
}

// Events records connections that are established and lost.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Identity is what hello tells peers about this instance.
type Identity struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	// CPUCapacity is the CPU capacity of the instance in thousandths of a core; 0 if unknown.
	CPUCapacity int
}

// Option configures a Messenger.
type Option func(*Messenger)

// WithAdvertised sets the address that is advertised to other instances; the default is the listener's address.
func WithAdvertised(address string) Option {
	return func(m *Messenger) { m.advertised = address }
}

// WithHeartbeat sets the heartbeat interval and the time without received bytes after which a connection is closed.
func WithHeartbeat(interval, silenceTimeout time.Duration) Option {
	return func(m *Messenger) { m.heartbeatInterval, m.silenceTimeout = interval, silenceTimeout }
}

// WithIdleTimeout sets the time without calls after which a connection is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(m *Messenger) { m.idleTimeout = timeout }
}

// WithSizeLimit sets the maximum size of a message in bytes.
func WithSizeLimit(limit int) Option {
	return func(m *Messenger) { m.sizeLimit = limit }
}

// WithScope sets the metrics scope for the counters of messages and bytes by method.
func WithScope(scope tally.Scope) Option {
	return func(m *Messenger) { m.scope = scope }
}

// Messenger holds the connections of one instance to its peers. It is safe for concurrent use.
type Messenger struct {
	identity          Identity
	address           string
	advertised        string
	resolver          Resolver
	clock             Clock
	events            Events
	heartbeatInterval time.Duration
	silenceTimeout    time.Duration
	sizeLimit         int
	idleTimeout       time.Duration
	scope             tally.Scope
	// traffic counts by method only after Start, when all methods are known.
	traffic *traffic

	// joining and onHello are set before Start; see SetHello.
	joining func() bool
	onHello func(encoder.HelloMessage)

	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	// background holds the accept loop, the dials and the monitors of connections.
	background sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	handlers map[string]handler
	// links holds all open connections; preferred maps each peer to the one that calls use.
	links     map[*link]bool
	preferred map[string]*link
	dials     map[string]*dial
	// dialFailures maps peers to their last failed dial, until a connection succeeds.
	dialFailures map[string]dialFailure
	// helloAddresses maps peers to the addresses that they advertised in hello.
	helloAddresses map[string]string
	// connectedIncarnations maps peers to the incarnation that was recorded as connected and not as lost since.
	connectedIncarnations map[string]string
	closed                bool
	// runningHandlers is the number of running handlers; handlersDone is closed when it is 0 after draining began.
	runningHandlers int
	// draining reports whether Close has begun, after which no connection is accepted.
	draining     bool
	handlersDone chan struct{}
}

// New creates a Messenger that listens on the address after Start.
func New(identity Identity, address string, resolver Resolver, clock Clock, events Events, options ...Option) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{
		identity: identity, address: address, resolver: resolver, clock: clock, events: events,
		heartbeatInterval: defaultHeartbeatInterval, silenceTimeout: defaultSilenceTimeout, sizeLimit: defaultSizeLimit, idleTimeout: defaultIdleTimeout,
		joining: func() bool { return false }, onHello: func(encoder.HelloMessage) {},
		scope: tally.NoopScope, ctx: ctx, cancel: cancel,
		handlers: make(map[string]handler), links: make(map[*link]bool), preferred: make(map[string]*link),
		dials: make(map[string]*dial), dialFailures: make(map[string]dialFailure), helloAddresses: make(map[string]string), connectedIncarnations: make(map[string]string),
		handlersDone: make(chan struct{}),
	}
	for _, option := range options {
		option(m)
	}
	m.traffic = newTraffic(m.scope, nil)
	return m
}

// SetHello sets the function that tells whether this instance is joining, for its hello, and the function that
// receives the hello of peers. It must be called before Start.
func (m *Messenger) SetHello(joining func() bool, onHello func(encoder.HelloMessage)) {
	m.joining, m.onHello = joining, onHello
}

// Incarnation returns the incarnation of this instance, which its peers know from hello.
func (m *Messenger) Incarnation() string { return m.identity.Incarnation }

// Instance returns the name of this instance.
func (m *Messenger) Instance() string { return m.identity.Instance }

// Start listens on the address and accepts connections in the background.
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
	m.background.Go(func() { m.acceptLoop(listener) })
	return nil
}

// Address returns the address of the listener after Start, and the configured one before.
func (m *Messenger) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener == nil {
		return m.address
	}
	return m.listener.Addr().String()
}

// Connected reports whether a connection to the instance is open and in use.
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

// Connect opens a connection to an address, such as that of a seed, and returns the instance found there. Later calls
// to that instance use the connection.
func (m *Messenger) Connect(ctx context.Context, address string) (Peer, error) {
	l, err := m.connect(ctx, address, "")
	if err != nil {
		return Peer{}, &NotSentError{Instance: address, Method: methodHello, Cause: err}
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
	case <-m.handlersDone:
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
		l.stream.flush(m.heartbeatInterval)
	}
	m.cancel()
	m.background.Wait()
	for _, l := range links {
		<-l.stream.writerDone
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
		// The error is ignored: the accept loop ends in any case.
		_ = m.listener.Close()
	}
	if m.runningHandlers == 0 {
		close(m.handlersDone)
	}
	return true
}

// beginHandler counts a handler as running and reports whether it may run.
func (m *Messenger) beginHandler() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.runningHandlers++
	return true
}

// endHandler ends a handler that beginHandler has counted.
func (m *Messenger) endHandler() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningHandlers--
	if !m.draining || m.runningHandlers > 0 {
		return
	}
	select {
	case <-m.handlersDone:
	default:
		close(m.handlersDone)
	}
}

func (m *Messenger) addHandler(method string, h handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

func (m *Messenger) handler(method string) handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[method]
}

func (m *Messenger) logPanic(method string, value any) {
	log.Error("handler panicked", "method", method, "panic", value)
}

func (m *Messenger) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err == nil {
			m.addLink(conn, false)
			continue
		}
		m.mu.Lock()
		draining := m.draining
		m.mu.Unlock()
		if draining {
			return
		}
		// Accept may fail temporarily, for example when the process has no free file descriptors.
		time.Sleep(dialRetryDelay)
	}
}
