package forwarder

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// pipe is one forwarded connection.
type pipe struct {
	link   *Forwarder
	near   net.Conn
	source string
	// silent stops the pipe for good; link.mu guards it.
	silent bool
	ended  chan struct{}
	ending sync.Once
	farMu  sync.Mutex
	far    net.Conn
}

// chunk is data in transit.
type chunk struct {
	data []byte
	due  time.Time
}

// connect sets the far side, which is reset at once when the pipe has ended.
func (p *pipe) connect(far net.Conn) {
	p.farMu.Lock()
	p.far = far
	p.farMu.Unlock()
	select {
	case <-p.ended:
		reset(far)
	default:
	}
}

// reset ends both sides so that the peers see a reset.
func (p *pipe) reset() {
	p.ending.Do(func() {
		close(p.ended)
		reset(p.near)
		p.farMu.Lock()
		defer p.farMu.Unlock()
		if p.far != nil {
			reset(p.far)
		}
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// flowing blocks while the pipe is silent; it returns false when the pipe has ended.
func (p *pipe) flowing() bool {
	for {
		p.link.mu.Lock()
		blocked := p.silent || p.link.mode(p.source) == ModeSilentAll
		changed := p.link.changed
		p.link.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-p.ended:
			return false
		case <-p.link.done:
			return false
		}
	}
}

// forward copies one direction until either side ends, then passes the end on.
func (p *pipe) forward(from, to net.Conn) {
	transit := make(chan chunk, chunksInTransit)
	var writer sync.WaitGroup
	writer.Go(func() { p.write(to, transit) })
	defer writer.Wait()
	defer close(transit)
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		p.link.mu.Lock()
		delay := p.link.delay
		p.link.mu.Unlock()
		select {
		case transit <- chunk{data: buffer[:n], due: time.Now().Add(delay)}:
		case <-p.ended:
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

func (p *pipe) write(to net.Conn, transit <-chan chunk) {
	for c := range transit {
		select {
		case <-time.After(time.Until(c.due)):
		case <-p.ended:
		}
		if !p.flowing() {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			p.reset()
			break
		}
	}
	for range transit {
		// Lets the reading side end.
	}
	if p.flowing() {
		closeWrite(to)
	}
}

// closeWrite ends one direction and leaves the other one open.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
