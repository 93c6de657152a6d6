// Package forwarder is the stand-in for a network link: a TCP proxy that can delay, silence or reset connections,
// either all of them or those of one source. It runs in "standin link" processes, in tests and in the programs that
// inject network faults. It does not interpret the data that it forwards, so it serves native and relay mode alike.
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

// Mode is the fault that a link applies to its connections.
type Mode string

// Values of Mode.
const (
	ModeNormal Mode = "normal"
	// ModeCut resets all connections, open and new ones.
	ModeCut Mode = "cut"
	// ModeCutNew resets new connections; open ones work.
	ModeCutNew Mode = "cut-new"
	// ModeSilent permanently stops the data of connections that are open now; new connections work.
	ModeSilent Mode = "silent"
	// ModeSilentAll holds the data of all connections, open and new ones, until the mode changes.
	ModeSilentAll Mode = "silent-all"
)

const (
	// chunkSize is the maximum number of bytes that are forwarded in one step.
	chunkSize = 32 << 10
	// maxChunksInTransit limits the data that one delayed direction buffers, in chunks.
	maxChunksInTransit = 256
)

// Control is a request that changes the behaviour of a link. Absent fields change nothing.
type Control struct {
	Mode Mode `json:"mode,omitempty"`
	// DelayMs is the one-way delay in each direction, in milliseconds.
	DelayMs *int `json:"delay-ms,omitempty"`
	// Source restricts the mode to connections of one source. ModeNormal removes the mode of that source, so that the
	// default mode applies. If Source is empty, the mode is the default of all sources that have no mode of their own;
	// ModeCut and ModeSilent then still affect the open connections of all sources.
	Source string `json:"source,omitempty"`
}

// Statistics holds the mode of the link, the number of connections accepted since the start and the number of open
// ones.
type Statistics struct {
	Mode     Mode `json:"mode"`
	Accepted int  `json:"accepted"`
	Open     int  `json:"open"`
}

// Classifier returns the source of an accepted connection, such as a failure domain.
type Classifier func(c net.Conn) string

// Forwarder is a running link.
type Forwarder struct {
	listener      net.Listener
	control       net.Listener
	controlServer *http.Server
	upstream      string
	classify      Classifier
	// classifiesOnDemand reports whether connections are classified only while a source has a mode.
	classifiesOnDemand bool
	done               chan struct{}
	closeOnce          sync.Once

	mu    sync.Mutex
	modes map[string]Mode
	// modeChanged is closed and replaced whenever a mode changes.
	modeChanged chan struct{}
	delay       time.Duration
	openConns   map[*proxiedConn]bool
	accepted    int
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithClassifier assigns connections to sources, each of which can have a mode of its own.
func WithClassifier(c Classifier) Option {
	return func(f *Forwarder) { f.classify = c }
}

// WithClassifierOnDemand is like WithClassifier, but connections are assigned only while a source has a mode of its own: the
// open ones when it is set, which suits classifiers that take long.
func WithClassifierOnDemand(c Classifier) Option {
	return func(f *Forwarder) { f.classify, f.classifiesOnDemand = c, true }
}

// Start forwards connections from address to upstream until Close; control is the address of the control endpoints.
func Start(address, upstream, control string, options ...Option) (*Forwarder, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("forwarder: listen: %w", err)
	}
	cl, err := net.Listen("tcp", control)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("forwarder: listen on control address: %w", err)
	}
	f := &Forwarder{
		listener: l, control: cl, upstream: upstream,
		classify:    func(net.Conn) string { return "" },
		done:        make(chan struct{}),
		modes:       map[string]Mode{"": ModeNormal},
		modeChanged: make(chan struct{}),
		openConns:   make(map[*proxiedConn]bool),
	}
	for _, o := range options {
		o(f)
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/control", replier.Handle(f.Control)).Methods(http.MethodPost)
	router.HandleFunc("/v1/statistics", func(w http.ResponseWriter, _ *http.Request) {
		replier.WriteReply(w, http.StatusOK, f.Statistics())
	}).Methods(http.MethodGet)
	f.controlServer = replier.Serve(cl, &http.Server{Handler: router})
	go f.accept()
	return f, nil
}

// Address returns the address that accepts the connections to forward.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// ControlAddress returns the address of the control endpoints.
func (f *Forwarder) ControlAddress() string { return f.control.Addr().String() }

// Close resets all connections and stops the link.
func (f *Forwarder) Close() {
	f.closeOnce.Do(func() { close(f.done) })
	_ = f.listener.Close()
	_ = f.controlServer.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.openConns {
		p.reset()
	}
}

// Control changes the behaviour of the link and returns its statistics.
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

// setMode changes the mode of a source, or the default mode if the source is empty. The caller must hold f.mu.
func (f *Forwarder) setMode(source string, mode Mode) {
	f.modes[source] = mode
	if mode == ModeNormal && source != "" {
		delete(f.modes, source)
	}
	for p := range f.openConns {
		if source != "" {
			f.assignSource(p)
			if p.source != source {
				continue
			}
		}
		switch mode {
		case ModeCut:
			p.reset()
		case ModeSilent:
			p.silenced = true
		}
	}
	close(f.modeChanged)
	f.modeChanged = make(chan struct{})
}

// Statistics returns the default mode and the connection counts.
func (f *Forwarder) Statistics() Statistics {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Statistics{Mode: f.modes[""], Accepted: f.accepted, Open: len(f.openConns)}
}

// hasSourceMode reports whether a source has a mode of its own.
func (f *Forwarder) hasSourceMode() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.modes) > 1
}

// assignSource classifies a connection that has not been. The caller must hold f.mu.
func (f *Forwarder) assignSource(p *proxiedConn) {
	if !p.classified {
		p.source, p.classified = f.classify(p.client), true
	}
}

// modeOf returns the mode of a source. The caller must hold f.mu.
func (f *Forwarder) modeOf(source string) Mode {
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

func (f *Forwarder) serve(client net.Conn) {
	p := &proxiedConn{forwarder: f, client: client, closed: make(chan struct{})}
	if !f.classifiesOnDemand || f.hasSourceMode() {
		p.source, p.classified = f.classify(client), true
	}
	f.mu.Lock()
	f.accepted++
	f.openConns[p] = true
	mode := f.modeOf(p.source)
	cut := mode == ModeCut || mode == ModeCutNew
	f.mu.Unlock()
	defer f.remove(p)
	if cut || !p.awaitUnblocked() {
		p.reset()
		return
	}
	server, err := net.Dial("tcp", f.upstream)
	if err != nil {
		p.reset()
		return
	}
	p.setServer(server)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(client, server) })
	directions.Go(func() { p.forward(server, client) })
	directions.Wait()
}

func (f *Forwarder) remove(p *proxiedConn) {
	p.reset()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openConns, p)
}
