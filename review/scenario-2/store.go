//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the stand-in for the store of the platform.
type store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int
	changed  chan struct{}
	// cutAfter is the time after which a watch that waits is cut; 0 for none.
	cutAfter time.Duration
	cuts     int
}

func newStore() *store {
	s := &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	routes := http.NewServeMux()
	routes.HandleFunc("/kv-range", s.serveRange)
	routes.HandleFunc("/kv-key", s.serveKey)
	routes.HandleFunc("/kv-watch", s.serveWatch)
	s.server = httptest.NewUnstartedServer(routes)
	if l, err := net.Listen("tcp", ownHost()+":0"); err == nil {
		_ = s.server.Listener.Close()
		s.server.Listener = l
	}
	s.server.Start()
	return s
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

func (s *store) close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// put writes an item and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: raw})
}

// remove removes an item and returns when the store has acknowledged it.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Removed: true}) }

func (s *store) write(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		it.Created = s.revision
		if old, found := s.items[it.Key]; found {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// setCut sets the time after which a watch that waits is cut.
func (s *store) setCut(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
}

func (s *store) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[r.URL.Query().Get("key")]
	if !found {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "store_revision": s.revision})
}

// eventsAfter returns the changes after a revision, the current revision, and the channel of the next change.
func (s *store) eventsAfter(prefix string, after int) (events []item, revision int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.Atoi(query.Get("after"))
	waitMs, errWait := strconv.Atoi(query.Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed query"})
		return
	}
	wait := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer wait.Stop()
	s.mu.Lock()
	cutAfter := s.cutAfter
	s.mu.Unlock()
	var cut <-chan time.Time
	if cutAfter > 0 {
		cut = time.After(cutAfter)
	}
	for {
		events, revision, changed := s.eventsAfter(query.Get("prefix"), after)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			closeConnection(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// closeConnection closes the connection of a call without a response.
func closeConnection(w http.ResponseWriter) {
	var conn net.Conn
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
