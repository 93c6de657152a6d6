//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached a target.
type arrival struct {
	id     string
	target string
	at     time.Time
	ran    bool
}

// leaf is the stand-in for one target. It may end and start again under the same id at the same address.
type leaf struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	work    time.Duration

	mu       sync.Mutex
	server   *http.Server
	running  int
	seq      int
	born     int64
	arrivals []arrival
	// ended holds when the target has ended the work on a request, by its id.
	ended map[string]time.Time
}

func newLeaf(w *world, id, service, zone string, work time.Duration) (*leaf, error) {
	l := &leaf{w: w, id: id, service: service, zone: zone, work: work, ended: make(map[string]time.Time)}
	address, err := freeAddress()
	l.address = address
	return l, err
}

// start starts the target. The start time is what the clock of its machine shows.
func (l *leaf) start(born time.Time) error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.seq, l.born = 0, born.UnixMilli()
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	server := l.server
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	l.w.log("target %s starts, born %d", l.id, born.UnixMilli())
	return nil
}

// stop ends the target as a process that exits: the listener and all connections are closed.
func (l *leaf) stop() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	l.w.log("target %s ends", l.id)
}

// entry returns the next entry of the target for the store.
func (l *leaf) entry(state string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	return map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": 3, "state": state,
		"warmup_left_ms": 0, "seq": l.seq, "born": l.born,
	}
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", l.id)
	if r.URL.Path == "/health" {
		return
	}
	expected := r.Header.Get("X-Expected-Instance")
	a := arrival{id: id, target: l.id, at: time.Now(), ran: expected == "" || expected == l.id}
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	if a.ran {
		l.running++
	}
	running := l.running
	l.mu.Unlock()
	l.w.log("target %s gets %s, %d bytes, runs %v", l.id, id, len(body), a.ran)
	if !a.ran {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(l.work):
	case <-r.Context().Done():
	}
	l.mu.Lock()
	l.running--
	l.ended[id] = time.Now()
	l.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,3", running))
	w.Header().Set("X-Server-Stamp", "s."+l.id+"."+id)
	text := "answer of " + l.id + " to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// arrivalsAfter returns the requests that have reached the target after a time.
func (l *leaf) arrivalsAfter(at time.Time) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var late []arrival
	for _, a := range l.arrivals {
		if a.ran && a.at.After(at) {
			late = append(late, a)
		}
	}
	return late
}

// endOf returns when the target has ended the work on a request; zero if it has not.
func (l *leaf) endOf(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended[id]
}
