// Package keeper is a stand-in for the store of the operators' platform: items with a history, ranges in pages, watches,
// and the ways in which the store fails.
package keeper

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotflow/platform"
)

// pageSize is the number of items in one page of a range.
const pageSize = 50

// Fault is a way in which the store fails.
type Fault int

// Faults of the store.
const (
	// None lets the store work.
	None Fault = iota
	// Busy answers 503.
	Busy
	// Silent answers nothing until the caller gives up.
	Silent
	// Reset closes the connection of every call.
	Reset
	// Deaf lets watches hear nothing; ranges work.
	Deaf
)

// Store is a stand-in for the store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]platform.Item
	history  []platform.Item
	revision int
	// dropped is the revision up to which the history is gone.
	dropped int
	fault   Fault
	calls   int
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// New starts an empty store on a loopback address.
func New() *Store {
	s := &Store{items: make(map[string]platform.Item), revision: 1, changed: make(chan struct{})}
	router := http.NewServeMux()
	router.HandleFunc(platform.PathRange, s.guard(s.serveRange))
	router.HandleFunc(platform.PathWatch, s.guard(s.serveWatch))
	s.server = httptest.NewServer(router)
	return s
}

// Address returns the address that the store listens on.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Put writes an item; value is encoded as JSON unless it is a []byte.
func (s *Store) Put(key string, value any) int {
	raw, ok := value.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic("keeper: encode value of " + key + ": " + err.Error())
		}
	}
	return s.change(platform.Item{Key: key, Value: raw})
}

// Remove removes an item.
func (s *Store) Remove(key string) int {
	return s.change(platform.Item{Key: key, Removed: true})
}

func (s *Store) change(it platform.Item) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	s.wake()
	return s.revision
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history and cuts the watches that wait.
func (s *Store) Compact() {
	s.mu.Lock()
	s.dropped, s.history = s.revision, nil
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Fail lets the store fail from now on.
func (s *Store) Fail(fault Fault) {
	s.mu.Lock()
	s.fault = fault
	s.wake()
	s.mu.Unlock()
	if fault != None && fault != Deaf {
		s.server.CloseClientConnections()
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// guard applies the fault in force to a call.
func (s *Store) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		switch fault {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Silent:
			<-r.Context().Done()
		case Reset:
			panic(http.ErrAbortHandler)
		default:
			serve(w, r)
		}
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue(platform.ParameterPrefix), r.FormValue(platform.ParameterAfter)
	s.mu.Lock()
	page := platform.Page{Items: []platform.Item{}, Revision: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b platform.Item) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Items) > pageSize {
		page.Items, page.More = page.Items[:pageSize], true
	}
	write(w, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue(platform.ParameterPrefix)
	after, errAfter := strconv.Atoi(r.FormValue(platform.ParameterAfter))
	wait, errWait := strconv.Atoi(r.FormValue(platform.ParameterWaitMs))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		changes, gone, changed := s.after(prefix, after)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0:
			write(w, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			write(w, platform.Changes{Events: []platform.Item{}, Revision: after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// after returns the changes after a revision, whether their history is gone, and a channel that is closed with the next
// change.
func (s *Store) after(prefix string, after int) (platform.Changes, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := platform.Changes{Events: []platform.Item{}, Revision: s.revision}
	if s.fault == Deaf {
		return changes, false, s.changed
	}
	if after < s.dropped {
		return changes, true, s.changed
	}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			changes.Events = append(changes.Events, it)
		}
	}
	return changes, false, s.changed
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left cannot be told.
	_ = json.NewEncoder(w).Encode(value)
}
