//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy in front of a machine. It can behave as the network does when the machine loses power: connections
// that were open then go silent, and new ones are opened only while there is power.
type link struct {
	listener net.Listener
	upstream string

	mu   sync.Mutex
	dark bool
	// pipes holds the open connections.
	pipes map[*pipe]bool
}

// pipe is one connection through a link.
type pipe struct {
	// near is the end of the side that opened the connection, far that of the machine behind the link.
	near, far net.Conn
	// silent reports whether the machine behind one end has lost its power since.
	mu     sync.Mutex
	silent bool
	// unanswered reports whether bytes have been sent to a machine that no longer knows the connection.
	unanswered bool
}

func newLink(upstream string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, upstream: upstream, pipes: make(map[*pipe]bool)}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		dark := k.dark
		k.mu.Unlock()
		if dark {
			// A machine without power does not answer; the connection is never used.
			continue
		}
		far, err := net.Dial("tcp", k.upstream)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pipe{near: near, far: far}
		k.mu.Lock()
		k.pipes[p] = true
		k.mu.Unlock()
		go p.copy(near, far)
		go p.copy(far, near)
	}
}

// copy passes bytes on in one direction until the connection ends or goes silent.
func (p *pipe) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		if silent && n > 0 {
			p.unanswered = true
		}
		p.mu.Unlock()
		switch {
		case silent && err != nil:
			return
		case silent:
			continue
		case err != nil:
			_ = to.Close()
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// cutPower makes the open connections silent at both ends.
func (k *link) cutPower() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = true
	for p := range k.pipes {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// restorePower lets new connections through. The old ones, of which the machine knows nothing, are reset as soon as the
// other side has sent something on them, as the machine itself would do.
func (k *link) restorePower() {
	k.mu.Lock()
	k.dark = false
	old := k.pipes
	k.pipes = make(map[*pipe]bool)
	k.mu.Unlock()
	go func() {
		for end := time.Now().Add(30 * time.Second); len(old) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			for p := range old {
				p.mu.Lock()
				isDead := p.unanswered
				p.mu.Unlock()
				if !isDead {
					continue
				}
				for _, conn := range []net.Conn{p.near, p.far} {
					reset(conn)
				}
				delete(old, p)
			}
		}
	}()
}
