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

// dial is a connection attempt that several callers wait for.
type dial struct {
	// done is closed after the dial; err is set before.
	done chan struct{}
	err  error
}

// dialFailure is the outcome of a failed dial.
type dialFailure struct {
	at  time.Time
	err error
}

// link returns the connection to an instance, dialling if there is none. The caller releases it.
func (m *Messenger) link(ctx context.Context, instance string) (*link, error) {
	for range dialAttempts {
		l, d, err := m.find(ctx, instance)
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

// find returns the open connection to an instance, or the dial in progress.
func (m *Messenger) find(ctx context.Context, instance string) (*link, *dial, error) {
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
	if f, found := m.failures[instance]; found && time.Since(f.at) < dialPause {
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

func (m *Messenger) dial(instance string, d *dial) {
	address, found := m.lookup(instance)
	if found {
		_, d.err = m.connect(m.ctx, address, instance)
	} else {
		d.err = &AddressError{Instance: instance}
	}
	m.mu.Lock()
	delete(m.dials, instance)
	if d.err != nil {
		m.failures[instance] = dialFailure{at: time.Now(), err: d.err}
	} else {
		delete(m.failures, instance)
	}
	m.mu.Unlock()
	close(d.done)
}

// lookup finds the address of an instance in the member list or, failing that, in an earlier hello.
func (m *Messenger) lookup(instance string) (string, bool) {
	if address, found := m.resolver.PeerAddress(instance); found {
		return address, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	address, found := m.addresses[instance]
	return address, found
}

// connect opens a connection and exchanges hello; expected may be empty.
func (m *Messenger) connect(ctx context.Context, address, expected string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultDial)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := m.add(conn, true)
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
	m.adopt(l, hello)
	return l, nil
}

// add tracks a new connection; it returns nil when the messenger is closed.
func (m *Messenger) add(conn net.Conn, dialled bool) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		// The connection was never used.
		_ = conn.Close()
		return nil
	}
	l := newLink(m, conn, dialled)
	m.links[l] = true
	return l
}

// answerHello answers the first request on an accepted connection.
func (l *link) answerHello(params json.RawMessage) (any, *jsonrpc2.Error) {
	var hello encoder.HelloMessage
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: err.Error()}
	}
	if hello.Instance == "" || l.dialled {
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: "hello without a name or on a dialled connection"}
	}
	// The other end refuses a connection to itself.
	if hello.Instance != l.owner.identity.Instance {
		l.owner.adopt(l, hello)
	}
	return l.owner.hello(), nil
}

func (m *Messenger) hello() encoder.HelloMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return encoder.HelloMessage{
		Instance: m.identity.Instance, Incarnation: m.identity.Incarnation, FailureDomain: m.identity.FailureDomain,
		PeerAddress: m.advertised, Joining: m.joining(), Clock: m.clock.Now(),
	}
}

// adopt puts a connection into use for its peer. Of two connections between the same two incarnations, both ends
// prefer the one dialled by the instance whose name sorts first; a connection to a new incarnation replaces the old.
func (m *Messenger) adopt(l *link, hello encoder.HelloMessage) {
	m.clock.Observe(hello.Clock)
	peer := &Peer{Instance: hello.Instance, Incarnation: hello.Incarnation, FailureDomain: hello.FailureDomain}
	if !l.peer.CompareAndSwap(nil, peer) {
		return
	}
	defer m.heard(hello)
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(l.ready)
	if hello.PeerAddress != "" {
		m.addresses[peer.Instance] = hello.PeerAddress
	}
	if !m.links[l] || l.retired {
		// The monitor may retire the connection as soon as it has a peer.
		return
	}
	delete(m.failures, peer.Instance)
	old := m.preferred[peer.Instance]
	if old != nil && old.peer.Load().Incarnation == peer.Incarnation && m.ranks(old) && !m.ranks(l) {
		return
	}
	m.preferred[peer.Instance] = l
	if m.known[peer.Instance] != peer.Incarnation {
		m.known[peer.Instance] = peer.Incarnation
		m.events.Record(recorder.KindPeerConnected, peer.Instance, "", peer.Incarnation)
	}
}

// ranks reports whether the connection was dialled by the end whose name sorts first.
func (m *Messenger) ranks(l *link) bool {
	return l.dialled == (m.identity.Instance < l.peer.Load().Instance)
}

// replaced reports whether calls to the peer use another connection.
func (m *Messenger) replaced(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.preferred[l.peer.Load().Instance]
	return current != nil && current != l
}

// remove forgets a closed connection; another open one to the same peer takes its place.
func (m *Messenger) remove(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, l)
	peer := l.peer.Load()
	if peer == nil || m.preferred[peer.Instance] != l {
		return
	}
	delete(m.preferred, peer.Instance)
	if m.preferAnother(*peer) {
		return
	}
	delete(m.known, peer.Instance)
	kind := recorder.KindPeerLost
	if l.silent.Load() {
		kind = recorder.KindConnectionSilent
	}
	m.events.Record(kind, peer.Instance, "", peer.Incarnation)
}
