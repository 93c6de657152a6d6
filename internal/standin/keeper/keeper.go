// Package keeper is the stand-in for the store of the operators' platform, which relay mode uses. It keeps items with a
// history of changes. It serves ranges (the items whose keys have a prefix) in pages, and watches of such ranges, and
// simulates the ways in which the store fails. Tests of the cluster packages and the rehearser start it in their own
// process.
package keeper

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotflow/platform"
)

// maxPageItems is the maximum number of items in one page of a range.
const maxPageItems = 50

// endlessPageItems is the number of items in one of the pages without end, which has about 1 MB, and endlessItemBytes the
// length of the version of a target there.
const (
	endlessPageItems = 8
	endlessItemBytes = 100 << 10
)

// Fault is a way in which the store fails.
type Fault int

// Faults of the store.
const (
	// NoFault means that the store works.
	NoFault Fault = iota
	// Busy responds to every call with status 503.
	Busy
	// Silent doesn't respond until the client gives up.
	Silent
	// Reset closes the connection of every call without a response.
	Reset
	// Endless responds to every call with a body without end.
	Endless
	// WatchesMissChanges hides all changes from watches; ranges work.
	WatchesMissChanges
	// EndlessHead responds to every call with a header line without end.
	EndlessHead
	// EndlessPages responds to every range with a page of further targets after which there are more, and fails watches.
	EndlessPages
)

// Store is a running store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]platform.Item
	history  []platform.Item
	revision int
	// compactedRevision is the revision up to which the history has been dropped.
	compactedRevision int
	// epoch counts how often the store came back from a copy, from 1.
	epoch     int
	fault     Fault
	callCount int
	// changed is closed and replaced whenever the watches have to check for changes.
	changed chan struct{}
}

// New starts an empty store on a loopback address.
func New() *Store {
	s := &Store{items: make(map[string]platform.Item), revision: 1, epoch: 1, changed: make(chan struct{})}
	router := http.NewServeMux()
	router.HandleFunc(platform.PathRange, s.withFault(s.serveRange))
	router.HandleFunc(platform.PathWatch, s.withFault(s.serveWatch))
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

// Put writes an item and returns its revision. A []byte is stored as it is, any other value as JSON.
func (s *Store) Put(key string, value any) int {
	raw, ok := value.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic("keeper: encode value of " + key + ": " + err.Error())
		}
	}
	return s.appendChange(platform.Item{Key: key, Value: raw})
}

// Remove removes an item and returns the revision of the change.
func (s *Store) Remove(key string) int {
	return s.appendChange(platform.Item{Key: key, Removed: true})
}

func (s *Store) appendChange(item platform.Item) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	s.wakeWatches()
	return s.revision
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history and closes the connections of pending watches.
func (s *Store) Compact() {
	s.mu.Lock()
	s.compactedRevision, s.history = s.revision, nil
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Copy is the content of a store at one time.
type Copy struct {
	items             map[string]platform.Item
	history           []platform.Item
	revision          int
	compactedRevision int
}

// Copy returns a copy of the content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, compactedRevision: s.compactedRevision}
}

// Restore replaces the content of the store by a copy, begins another epoch and closes the connections of pending
// watches. It returns the items of the lost content that differ from the copy, which their authors would write again.
func (s *Store) Restore(c Copy) []platform.Item {
	s.mu.Lock()
	var lost []platform.Item
	for key, item := range s.items {
		if item.Revision != c.items[key].Revision {
			lost = append(lost, item)
		}
	}
	for key := range c.items {
		if _, found := s.items[key]; !found {
			lost = append(lost, platform.Item{Key: key, Removed: true})
		}
	}
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.epoch++
	s.wakeWatches()
	s.mu.Unlock()
	s.server.CloseClientConnections()
	return lost
}

// SetFault sets the fault of the store. All faults but NoFault and WatchesMissChanges also close the open connections.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	s.fault = fault
	s.wakeWatches()
	s.mu.Unlock()
	if fault != NoFault && fault != WatchesMissChanges {
		s.server.CloseClientConnections()
	}
}

// CallCount returns the number of calls received so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// withFault wraps a handler so that the current fault applies to each call.
func (s *Store) withFault(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCount++
		fault := s.fault
		w.Header().Set(platform.HeaderEpoch, strconv.Itoa(s.epoch))
		s.mu.Unlock()
		switch fault {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Silent:
			<-r.Context().Done()
		case Reset:
			panic(http.ErrAbortHandler)
		case Endless:
			writeEndlessly(w)
		case EndlessHead:
			writeHeadEndlessly(w)
		case EndlessPages:
			writePage(w, r)
		default:
			handler(w, r)
		}
	}
}

// writeEndlessly writes a body until the caller closes the connection.
func writeEndlessly(w io.Writer) {
	chunk := bytes.Repeat([]byte(" "), 64<<10)
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// writeHeadEndlessly writes a header line until the caller closes the connection.
func writeHeadEndlessly(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Line: ")
	for line := strings.Repeat("x", 64<<10); err == nil; {
		_, err = io.WriteString(conn, line)
	}
}

// writePage writes a page of targets after the last one of the page before. There is always another page.
func writePage(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathRange {
		w.WriteHeader(http.StatusGone)
		return
	}
	page := platform.Page{Revision: 1, More: true}
	first, _ := strconv.Atoi(strings.TrimPrefix(r.FormValue(platform.ParameterAfter), platform.PrefixTargets+"i-"))
	version := strings.Repeat("v", endlessItemBytes)
	for n := range endlessPageItems {
		value := fmt.Sprintf(`{"service":"more","address":"127.0.0.1:9","zone":"east","version":"%s","slots":4,"state":"ready","warmup_left_ms":0,"seq":1,"born":%d}`, version, n)
		page.Items = append(page.Items, platform.Item{Key: fmt.Sprintf("%si-%012d", platform.PrefixTargets, first+n+1), Value: []byte(value), Revision: 1})
	}
	writeJSON(w, page)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, afterKey := r.FormValue(platform.ParameterPrefix), r.FormValue(platform.ParameterAfter)
	s.mu.Lock()
	page := platform.Page{Items: []platform.Item{}, Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			page.Items = append(page.Items, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b platform.Item) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Items) > maxPageItems {
		page.Items, page.More = page.Items[:maxPageItems], true
	}
	writeJSON(w, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue(platform.ParameterPrefix)
	afterRevision, errAfter := strconv.Atoi(r.FormValue(platform.ParameterAfter))
	wait, errWait := strconv.Atoi(r.FormValue(platform.ParameterWaitMs))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		changes, compacted, changed := s.changesAfter(prefix, afterRevision)
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0:
			writeJSON(w, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, platform.Changes{Events: []platform.Item{}, Revision: afterRevision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision, whether they are missing from the history because it was
// compacted, and a channel that is closed when the watches have to check again.
func (s *Store) changesAfter(prefix string, afterRevision int) (platform.Changes, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := platform.Changes{Events: []platform.Item{}, Revision: s.revision}
	if s.fault == WatchesMissChanges {
		return changes, false, s.changed
	}
	if afterRevision < s.compactedRevision || afterRevision > s.revision {
		return changes, true, s.changed
	}
	for _, item := range s.history {
		if item.Revision > afterRevision && strings.HasPrefix(item.Key, prefix) {
			changes.Events = append(changes.Events, item)
		}
	}
	return changes, false, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have closed the connection; there is nobody else to report the error to.
	_ = json.NewEncoder(w).Encode(value)
}
