// Package publisher is the stand-in for the platform of native mode, the configuration service that serves the manifest
// and the member list. It stores values with ETags without interpreting them, lets readers watch them, and simulates
// outages, stale reads and delays. It runs in "standin platform" processes. Package keeper is the stand-in for the
// store of the operators' platform, which relay mode uses.
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
	// maxValueSize is the maximum size of a value, in bytes.
	maxValueSize = 1 << 20
	// maxWatchTime limits the duration of a watch.
	maxWatchTime = 5 * time.Minute
	// membersKey is the key of the member list, the only value whose updates can be delayed.
	membersKey = "members"
)

// Control is a request that changes the behaviour of the service. Absent fields change nothing.
type Control struct {
	// Down closes the connection of every reader without a reply.
	Down *bool `json:"down,omitempty"`
	// Stale keeps serving the current values; newer ones are served once it ends.
	Stale *bool `json:"stale,omitempty"`
	// DelayMs is the delay of every read, in milliseconds.
	DelayMs *int `json:"delay-ms,omitempty"`
	// MembersLagMs is the delay of updates to the member list, in milliseconds.
	MembersLagMs *int `json:"lag-ms,omitempty"`
}

// Statistics holds the counters since the start.
type Statistics struct {
	// Reads is the number of reads by key; a watch is one read.
	Reads map[string]int `json:"reads"`
	// Pending is the number of watches in progress.
	Pending int `json:"pending"`
	// PendingMax is the maximum number of watches in progress at the same time.
	PendingMax int `json:"pending-max"`
	// Failed is the number of reads whose connection was closed without a reply because the service was down.
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
	// served holds the values that readers see; newest holds those that operators have put and whose lag has passed.
	served, newest map[string]value
	revision       int
	// changed is closed and replaced whenever a watch has to check its value again.
	changed chan struct{}
	down    bool
	stale   bool
	// delay is the delay of every read, membersLag that of updates to the member list.
	delay, membersLag time.Duration
	counts            Statistics
}

// Start starts the service, which runs until Close.
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
		replier.WriteReply(w, http.StatusOK, p.Statistics())
	}).Methods(http.MethodGet)
	p.server = replier.Serve(l, &http.Server{Handler: router})
	return p, nil
}

// Address returns the address of the service, for readers and for control requests.
func (p *Publisher) Address() string { return p.listener.Addr().String() }

// Close stops the service.
func (p *Publisher) Close() { _ = p.server.Close() }

// Put stores a value as an operator does.
func (p *Publisher) Put(key string, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	digest := sha256.Sum256(raw)
	v := value{raw: raw, etag: `"` + hex.EncodeToString(digest[:]) + `"`, revision: p.revision}
	if key == membersKey && p.membersLag > 0 {
		time.AfterFunc(p.membersLag, func() { p.publish(key, v) })
		return
	}
	p.publishLocked(key, v)
}

func (p *Publisher) publish(key string, v value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishLocked(key, v)
}

// publishLocked makes v the newest value of a key unless a later one has overtaken it. The caller must hold p.mu.
func (p *Publisher) publishLocked(key string, v value) {
	if p.newest[key].revision > v.revision {
		return
	}
	p.newest[key] = v
	p.updateServed()
}

// updateServed lets readers see the newest values, unless the service is stale, and wakes the watches. The caller must
// hold p.mu.
func (p *Publisher) updateServed() {
	if !p.stale {
		p.served = maps.Clone(p.newest)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Control changes the behaviour of the service and returns its statistics.
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
	if c.MembersLagMs != nil {
		p.membersLag = time.Duration(*c.MembersLagMs) * time.Millisecond
	}
	p.updateServed()
	p.mu.Unlock()
	return p.Statistics()
}

// Statistics returns a copy of the counters.
func (p *Publisher) Statistics() Statistics {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.counts
	s.Reads = maps.Clone(s.Reads)
	return s
}

func (p *Publisher) servePut(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.Put(mux.Vars(r)["key"], raw)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Publisher) serveValue(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	delay := p.countRead(key)
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	v, err := p.watch(r.Context(), key, r.Header.Get("If-None-Match"), preferredWait(r))
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

// countRead counts a read and returns the delay of its reply.
func (p *Publisher) countRead(key string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads[key]++
	return p.delay
}

// downError reports that the service is down.
type downError struct{}

func (downError) Error() string { return "publisher: service is down" }

// watch returns the value as soon as its ETag differs from the known one, or after the wait time.
func (p *Publisher) watch(ctx context.Context, key, knownETag string, wait time.Duration) (value, error) {
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
		if knownETag == "" || v.etag != knownETag && v.raw != nil {
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

// preferredWait returns the "wait" preference of the Prefer header, which is in seconds, or 0 without one.
func preferredWait(r *http.Request) time.Duration {
	for _, preference := range strings.Split(r.Header.Get("Prefer"), ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(preference), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "wait") {
			return min(time.Duration(max(n, 0))*time.Second, maxWatchTime)
		}
	}
	return 0
}
