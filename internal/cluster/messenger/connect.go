package messenger

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

const (
	methodHello     = "hello"
	methodHeartbeat = "heartbeat"
)

// dial is a connection attempt in progress, shared by all callers that wait for the connection.
type dial struct {
	// done is closed when the attempt ends; err is set before.
	done chan struct{}
	err  error
}

// dialFailure is the time and error of a failed dial.
type dialFailure struct {
	at  time.Time
	err error
}

// acquireLink returns the connection to an instance, dialling if there is none. The caller must release it.
func (m *Messenger) acquireLink(ctx context.Context, instance string) (*link, error) {
	for range maxDialAttempts {
		l, d, err := m.findLink(ctx, instance)
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, &ClosedError{}
}

// findLink returns the open connection to an instance, acquired for the caller, or else the dial in progress, which it
// starts if needed.
func (m *Messenger) findLink(ctx context.Context, instance string) (*link, *dial, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, &ClosedError{}
	}
	if l := m.preferred[instance]; l != nil {
		l.acquire()
		return l, nil, nil
	}
	if f, found := m.dialFailures[instance]; found && time.Since(f.at) < dialRetryDelay {
		return nil, nil, f.err
	}
	d := m.dials[instance]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		m.dials[instance] = d
		m.background.Go(func() { m.dial(instance, d) })
	}
	return nil, d, nil
}

// dial connects to an instance and ends the dial for all who wait for it.
func (m *Messenger) dial(instance string, d *dial) {
	address, found := m.lookupAddress(instance)
	if found {
		_, d.err = m.connect(m.ctx, address, instance)
	} else {
		d.err = &AddressError{Instance: instance}
	}
	m.mu.Lock()
	delete(m.dials, instance)
	if d.err != nil {
		m.dialFailures[instance] = dialFailure{at: time.Now(), err: d.err}
	} else {
		delete(m.dialFailures, instance)
	}
	m.mu.Unlock()
	close(d.done)
}

// lookupAddress returns the address of an instance from the resolver or, if it has none, from an earlier hello.
func (m *Messenger) lookupAddress(instance string) (string, bool) {
	if address, found := m.resolver.PeerAddress(instance); found {
		return address, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	address, found := m.helloAddresses[instance]
	return address, found
}

// connect opens a connection and exchanges hello messages. It fails if the peer is not the expected instance; an empty
// name accepts any other instance.
func (m *Messenger) connect(ctx context.Context, address, expected string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := m.addLink(conn, true)
	if l == nil {
		return nil, &ClosedError{}
	}
	var hello encoder.HelloMessage
	err = l.rpc.Call(ctx, methodHello, m.hello(), &hello)
	if err == nil && expected != "" && hello.Instance != expected {
		err = &IdentityError{Expected: expected, Actual: hello.Instance}
	}
	if err == nil && hello.Instance == m.identity.Instance {
		err = &IdentityError{Expected: "another instance", Actual: hello.Instance}
	}
	if err != nil {
		_ = l.rpc.Close()
		return nil, err
	}
	m.activateLink(l, hello)
	return l, nil
}

// addLink starts to use a new connection. If the messenger is closed, it closes the connection and returns nil.
func (m *Messenger) addLink(conn net.Conn, dialled bool) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		// The error does not matter, since the connection was never used.
		_ = conn.Close()
		return nil
	}
	l := newLink(m, conn, dialled)
	m.links[l] = true
	return l
}

// answerHello handles hello, the first request on an accepted connection.
func (l *link) answerHello(params json.RawMessage) (any, *jsonrpc2.Error) {
	var hello encoder.HelloMessage
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: err.Error()}
	}
	if hello.Instance == "" || l.dialled {
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: "hello without a name or on a dialled connection"}
	}
	// A connection of this instance to itself is refused by the dialling end.
	if hello.Instance != l.messenger.identity.Instance {
		l.messenger.activateLink(l, hello)
	}
	return l.messenger.hello(), nil
}

// hello returns the message that introduces this instance to a peer.
func (m *Messenger) hello() encoder.HelloMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	hello := encoder.HelloMessage{
		Instance: m.identity.Instance, Incarnation: m.identity.Incarnation, FailureDomain: m.identity.FailureDomain,
		PeerAddress: m.advertised, Joining: m.joining(), Clock: m.clock.Now(),
	}
	if m.identity.CPUCapacity > 0 {
		hello.CpuCapacity = &m.identity.CPUCapacity
	}
	return hello
}

// activateLink makes a connection available for calls after hello. Of two connections between the same two
// incarnations, both ends prefer the one dialled by the instance whose name sorts first. A connection to a new
// incarnation replaces that to the old one.
func (m *Messenger) activateLink(l *link, hello encoder.HelloMessage) {
	m.clock.Observe(hello.Clock)
	peer := &Peer{Instance: hello.Instance, Incarnation: hello.Incarnation, FailureDomain: hello.FailureDomain}
	if !l.peer.CompareAndSwap(nil, peer) {
		return
	}
	defer m.onHello(hello)
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(l.helloDone)
	if hello.PeerAddress != "" {
		m.helloAddresses[peer.Instance] = hello.PeerAddress
	}
	if !m.links[l] || l.retired {
		// The connection is closed, or its monitor has already retired it, which it may do as soon as peer is set.
		return
	}
	delete(m.dialFailures, peer.Instance)
	old := m.preferred[peer.Instance]
	if old != nil && old.peer.Load().Incarnation == peer.Incarnation && m.hasPrecedence(old) && !m.hasPrecedence(l) {
		return
	}
	m.preferred[peer.Instance] = l
	if m.connectedIncarnations[peer.Instance] != peer.Incarnation {
		m.connectedIncarnations[peer.Instance] = peer.Incarnation
		m.events.Record(recorder.KindPeerConnected, peer.Instance, "", peer.Incarnation)
	}
}

// hasPrecedence reports whether the connection was dialled by the end whose name sorts first.
func (m *Messenger) hasPrecedence(l *link) bool {
	return l.dialled == (m.identity.Instance < l.peer.Load().Instance)
}

// isReplaced reports whether calls to the peer now use another connection.
func (m *Messenger) isReplaced(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.preferred[l.peer.Load().Instance]
	return current != nil && current != l
}

// removeLink removes a closed connection; another open one to the same incarnation takes its place.
func (m *Messenger) removeLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, l)
	peer := l.peer.Load()
	if peer == nil || m.preferred[peer.Instance] != l {
		return
	}
	delete(m.preferred, peer.Instance)
	if m.preferOther(*peer) {
		return
	}
	delete(m.connectedIncarnations, peer.Instance)
	kind := recorder.KindPeerLost
	if l.silent.Load() {
		kind = recorder.KindConnectionSilent
	}
	m.events.Record(kind, peer.Instance, "", peer.Incarnation)
}
