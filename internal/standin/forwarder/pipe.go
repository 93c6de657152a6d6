package forwarder

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxiedConn is one forwarded connection: the accepted one from the client and the one to the server.
type proxiedConn struct {
	forwarder *Forwarder
	client    net.Conn
	// source is the source of the connection once it is classified.
	source     string
	classified bool
	// silenced stops the connection permanently; it is guarded by forwarder.mu.
	silenced  bool
	closed    chan struct{}
	resetOnce sync.Once
	serverMu  sync.Mutex
	server    net.Conn
}

// chunk is a piece of data in transit, to be written when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// setServer sets the connection to the server and resets it at once if the proxied connection is already closed.
func (p *proxiedConn) setServer(server net.Conn) {
	p.serverMu.Lock()
	p.server = server
	p.serverMu.Unlock()
	select {
	case <-p.closed:
		reset(server)
	default:
	}
}

// reset closes both connections so that the peers see a TCP reset.
func (p *proxiedConn) reset() {
	p.resetOnce.Do(func() {
		close(p.closed)
		reset(p.client)
		p.serverMu.Lock()
		defer p.serverMu.Unlock()
		if p.server != nil {
			reset(p.server)
		}
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// awaitUnblocked blocks while the connection is silenced, which lasts until it is closed, or while its mode is
// ModeSilentAll. It returns false if the connection or the link is closed meanwhile.
func (p *proxiedConn) awaitUnblocked() bool {
	for {
		p.forwarder.mu.Lock()
		blocked := p.silenced || p.forwarder.modeOf(p.source) == ModeSilentAll
		modeChanged := p.forwarder.modeChanged
		p.forwarder.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-modeChanged:
		case <-p.closed:
			return false
		case <-p.forwarder.done:
			return false
		}
	}
}

// forward copies data in one direction. At the end of the data it closes that direction; a read or write error resets
// both connections.
func (p *proxiedConn) forward(from, to net.Conn) {
	transit := make(chan chunk, maxChunksInTransit)
	var writer sync.WaitGroup
	writer.Go(func() { p.deliver(to, transit) })
	defer writer.Wait()
	defer close(transit)
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		p.forwarder.mu.Lock()
		delay := p.forwarder.delay
		p.forwarder.mu.Unlock()
		select {
		case transit <- chunk{data: buffer[:n], due: time.Now().Add(delay)}:
		case <-p.closed:
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// deliver writes each chunk when it is due, and closes the direction after the last one.
func (p *proxiedConn) deliver(to net.Conn, transit <-chan chunk) {
	for c := range transit {
		select {
		case <-time.After(time.Until(c.due)):
		case <-p.closed:
		}
		if !p.awaitUnblocked() {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			p.reset()
			break
		}
	}
	for range transit {
		// Discards the remaining chunks, so that the reader is not blocked.
	}
	if p.awaitUnblocked() {
		closeWrite(to)
	}
}

// closeWrite closes one direction and leaves the other one open.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
