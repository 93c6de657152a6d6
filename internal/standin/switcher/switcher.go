// Package switcher is a network in memory that connects stand-ins with the code under test. Unlike sockets, its
// connections can be used in a testing/synctest bubble, so that tests of waits and deadlines run in virtual time and do
// not depend on the load of the machine.
package switcher

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// RefusedError reports an address that nothing listens on.
type RefusedError struct {
	Address string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("switcher: nothing listens on %s", e.Address)
}

// Unwrap returns the error of a socket in the same case.
func (e *RefusedError) Unwrap() error { return syscall.ECONNREFUSED }

// Network connects listeners and dialers by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// refusesNew reports whether all new connections are refused. Open ones live on.
	refusesNew bool
}

// New returns a Network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen returns a listener on the address, which replaces an earlier one.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// RefuseNew sets whether all new connections are refused.
func (n *Network) RefuseNew(refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusesNew = refuse
}

// Dial connects to the listener on the address. Writes to the connection wait until the other end has read them.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, refuses := n.listeners[address], n.refusesNew
	n.mu.Unlock()
	if l == nil || refuses {
		return nil, &RefusedError{Address: address}
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, &RefusedError{Address: address}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener accepts the connections to one address.
type listener struct {
	network   *Network
	address   string
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is an address of a Network.
type address string

// Network returns the name of the network.
func (address) Network() string { return "memory" }

// String returns the address.
func (a address) String() string { return string(a) }
