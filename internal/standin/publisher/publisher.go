// Package publisher is the stand-in for the platform's configuration service.
package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"apricotflow/internal/standin/replier"
)

const (
	// valueLimit is the size of the largest value, in bytes.
	valueLimit = 1 << 20
	// longestWait bounds the duration of a watch.
	longestWait = 5 * time.Minute
	// membersKey is the value whose updates are delayed.
	membersKey = "members"
)

// Control changes the behaviour; absent fields change nothing.
type Control struct {
	// Down closes every connection of readers without a reply.
	Down *bool `json:"down,omitempty"`
	// Stale keeps serving the present values; later ones are served when it ends.
	Stale *bool `json:"stale,omitempty"`
	// DelayMs is added to every read.
	DelayMs *int `json:"delay-ms,omitempty"`
	// LagMs delays updates of the value members.
	LagMs *int `json:"lag-ms,omitempty"`
}

// Statistics are counted since the start.
type Statistics struct {
	// Reads counts reads by key; a watch is one read.
	Reads map[string]int `json:"reads"`
	// Pending is the number of watches in progress.
	Pending int `json:"pending"`
	// PendingMax is the largest number of watches in progress at the same time.
	PendingMax int `json:"pending-max"`
	// Failed counts reads refused while the service was down.
	Failed int `json:"failed"`
}

// value is an immutable value with its ETag.
type value struct {
	raw  []byte
	etag string
	// revision orders the updates of one key.
	revision int
}

// Publisher is a running configuration service.
type Publisher struct {
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// served is what readers see; newest is what operators have put and is not delayed any more.
	served, newest map[string]value
	revision       int
	// changed is closed and replaced with every change that a watch must see.
	changed    chan struct{}
	down       bool
	stale      bool
	delay, lag time.Duration
	counts     Statistics
}

// Start listens and serves until Close.
func Start(address string) (*Publisher, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("publisher: listen: %w", err)
	}
	p := &Publisher{
		listener: l,
		served:   make(map[string]value),
		newest:   make(map[string]value),
		changed:  make(chan struct{}),
		counts:   Statistics{Reads: make(map[string]int)},
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/values/{key}", p.serveValue).Methods(http.MethodGet)
	router.HandleFunc("/v1/control/values/{key}", p.servePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/control", replier.Handle(p.Control)).Methods(http.MethodPost)
	router.HandleFunc("/v1/statistics", func(w http.ResponseWriter, _ *http.Request) {
		replier.Write(w, http.StatusOK, p.Statistics())
	}).Methods(http.MethodGet)
	p.server = replier.Serve(l, &http.Server{Handler: router})
	return p, nil
}

// Address returns the address of readers and of the control endpoints.
func (p *Publisher) Address() string { return p.listener.Addr().String() }

// Close ends the service.
func (p *Publisher) Close() { _ = p.server.Close() }

// Put stores a value as an operator does.
func (p *Publisher) Put(key string, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	digest := sha256.Sum256(raw)
	v := value{raw: raw, etag: `"` + hex.EncodeToString(digest[:]) + `"`, revision: p.revision}
	if key == membersKey && p.lag > 0 {
		time.AfterFunc(p.lag, func() { p.publish(key, v) })
		return
	}
	p.release(key, v)
}

func (p *Publisher) publish(key string, v value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(key, v)
}

// release makes a value the newest one; p.mu is held.
func (p *Publisher) release(key string, v value) {
	if p.newest[key].revision > v.revision {
		return
	}
	p.newest[key] = v
	p.refresh()
}

// refresh lets readers see the newest values unless the service is stale; p.mu is held.
func (p *Publisher) refresh() {
	if !p.stale {
		p.served = maps.Clone(p.newest)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Control changes the behaviour and returns the statistics.
func (p *Publisher) Control(c Control) Statistics {
	p.mu.Lock()
	if c.Down != nil {
		p.down = *c.Down
	}
	if c.Stale != nil {
		p.stale = *c.Stale
	}
	if c.DelayMs != nil {
		p.delay = time.Duration(*c.DelayMs) * time.Millisecond
	}
	if c.LagMs != nil {
		p.lag = time.Duration(*c.LagMs) * time.Millisecond
	}
	p.refresh()
	p.mu.Unlock()
	return p.Statistics()
}

// Statistics returns what was counted since the start.
func (p *Publisher) Statistics() Statistics {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.counts
	s.Reads = maps.Clone(s.Reads)
	return s
}

func (p *Publisher) servePut(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, valueLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.Put(mux.Vars(r)["key"], raw)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Publisher) serveValue(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	delay := p.count(key)
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	v, err := p.watch(r.Context(), key, r.Header.Get("If-None-Match"), waitTime(r))
	if err != nil {
		// Closes the connection without a reply.
		panic(http.ErrAbortHandler)
	}
	if v.raw == nil {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", v.etag)
	if v.etag == r.Header.Get("If-None-Match") {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(v.raw)
}

// count records a read and returns the delay of its reply.
func (p *Publisher) count(key string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads[key]++
	return p.delay
}

// downError reports that the service is down.
type downError struct{}

func (downError) Error() string { return "publisher: down" }

// watch returns the value as soon as its ETag differs from the known one, or after the wait time.
func (p *Publisher) watch(ctx context.Context, key, known string, wait time.Duration) (value, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.addPending(1)
	defer p.addPending(-1)
	for {
		p.mu.Lock()
		v, down, changed := p.served[key], p.down, p.changed
		if down {
			p.counts.Failed++
		}
		p.mu.Unlock()
		if down {
			return value{}, downError{}
		}
		if known == "" || v.etag != known && v.raw != nil {
			return v, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return v, nil
		case <-ctx.Done():
			return value{}, ctx.Err()
		}
	}
}

func (p *Publisher) addPending(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Pending += n
	p.counts.PendingMax = max(p.counts.PendingMax, p.counts.Pending)
}

// waitTime returns the time of the preference "wait", in seconds.
func waitTime(r *http.Request) time.Duration {
	for _, preference := range strings.Split(r.Header.Get("Prefer"), ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(preference), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "wait") {
			return min(time.Duration(max(n, 0))*time.Second, longestWait)
		}
	}
	return 0
}
