// Package forwarder is the stand-in for a network link: a TCP proxy with faults.
package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"apricotflow/internal/standin/replier"
)

// Mode is the state of a link.
type Mode string

// Values of Mode.
const (
	ModeNormal Mode = "normal"
	// ModeCut resets all connections, open and new ones.
	ModeCut Mode = "cut"
	// ModeSilent stops the connections that are open now for good; new ones work.
	ModeSilent Mode = "silent"
	// ModeSilentAll stops all connections, open and new ones, until the mode changes.
	ModeSilentAll Mode = "silent-all"
)

const (
	// chunkSize is the most that is forwarded in one step, in bytes.
	chunkSize = 32 << 10
	// chunksInTransit bounds what a delayed direction holds.
	chunksInTransit = 256
)

// Control changes the behaviour; absent fields change nothing.
type Control struct {
	Mode Mode `json:"mode,omitempty"`
	// DelayMs is the one-way delay in each direction.
	DelayMs *int `json:"delay-ms,omitempty"`
	// Source limits the mode to connections of one source; empty means all sources without a mode of their own.
	Source string `json:"source,omitempty"`
}

// Statistics are counted since the start.
type Statistics struct {
	Mode     Mode `json:"mode"`
	Accepted int  `json:"accepted"`
	Open     int  `json:"open"`
}

// Classifier names the source of an accepted connection, such as a failure domain.
type Classifier func(c net.Conn) string

// Forwarder is a running link.
type Forwarder struct {
	listener net.Listener
	control  net.Listener
	server   *http.Server
	upstream string
	classify Classifier
	done     chan struct{}
	closing  sync.Once

	mu    sync.Mutex
	modes map[string]Mode
	// changed is closed and replaced with every change of a mode.
	changed  chan struct{}
	delay    time.Duration
	open     map[*pipe]bool
	accepted int
}

// Option changes a forwarder.
type Option func(*Forwarder)

// WithClassifier gives each source a mode of its own.
func WithClassifier(c Classifier) Option {
	return func(f *Forwarder) { f.classify = c }
}

// Start forwards connections from address to upstream until Close; control serves the endpoints for tests.
func Start(address, upstream, control string, options ...Option) (*Forwarder, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("forwarder: listen: %w", err)
	}
	cl, err := net.Listen("tcp", control)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("forwarder: listen for control: %w", err)
	}
	f := &Forwarder{
		listener: l, control: cl, upstream: upstream,
		classify: func(net.Conn) string { return "" },
		done:     make(chan struct{}),
		modes:    map[string]Mode{"": ModeNormal},
		changed:  make(chan struct{}),
		open:     make(map[*pipe]bool),
	}
	for _, o := range options {
		o(f)
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/control", replier.Handle(f.Control)).Methods(http.MethodPost)
	router.HandleFunc("/v1/statistics", func(w http.ResponseWriter, _ *http.Request) {
		replier.Write(w, http.StatusOK, f.Statistics())
	}).Methods(http.MethodGet)
	f.server = replier.Serve(cl, &http.Server{Handler: router})
	go f.accept()
	return f, nil
}

// Address returns the address that accepts connections.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// ControlAddress returns the address of the endpoints for tests.
func (f *Forwarder) ControlAddress() string { return f.control.Addr().String() }

// Close resets all connections and ends the link.
func (f *Forwarder) Close() {
	f.closing.Do(func() { close(f.done) })
	_ = f.listener.Close()
	_ = f.server.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.open {
		p.reset()
	}
}

// Control changes the behaviour and returns the statistics.
func (f *Forwarder) Control(c Control) Statistics {
	f.mu.Lock()
	if c.DelayMs != nil {
		f.delay = time.Duration(*c.DelayMs) * time.Millisecond
	}
	if c.Mode != "" {
		f.setMode(c.Source, c.Mode)
	}
	f.mu.Unlock()
	return f.Statistics()
}

// setMode changes the mode of a source; f.mu is held.
func (f *Forwarder) setMode(source string, mode Mode) {
	f.modes[source] = mode
	if mode == ModeNormal && source != "" {
		delete(f.modes, source)
	}
	for p := range f.open {
		if source != "" && p.source != source {
			continue
		}
		switch mode {
		case ModeCut:
			p.reset()
		case ModeSilent:
			p.silent = true
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Statistics returns what was counted since the start.
func (f *Forwarder) Statistics() Statistics {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Statistics{Mode: f.modes[""], Accepted: f.accepted, Open: len(f.open)}
}

// mode returns the mode of a source; f.mu is held.
func (f *Forwarder) mode(source string) Mode {
	if m, found := f.modes[source]; found {
		return m
	}
	return f.modes[""]
}

func (f *Forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(c)
	}
}

func (f *Forwarder) serve(near net.Conn) {
	p := &pipe{link: f, near: near, source: f.classify(near), ended: make(chan struct{})}
	f.mu.Lock()
	f.accepted++
	f.open[p] = true
	cut := f.mode(p.source) == ModeCut
	f.mu.Unlock()
	defer f.remove(p)
	if cut || !p.flowing() {
		p.reset()
		return
	}
	far, err := net.Dial("tcp", f.upstream)
	if err != nil {
		p.reset()
		return
	}
	p.connect(far)
	var both sync.WaitGroup
	both.Go(func() { p.forward(near, far) })
	both.Go(func() { p.forward(far, near) })
	both.Wait()
}

func (f *Forwarder) remove(p *pipe) {
	p.reset()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, p)
}
