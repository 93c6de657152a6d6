//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// world holds the processes and stand-ins of a scenario.
type world struct {
	program string
	// trouble reports whether the disruption is played.
	trouble   bool
	directory string
	store     *store
	start     time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	instances []*instance
	closed    bool
}

func newWorld(program, recordFile string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{program: program, trouble: trouble, directory: directory, store: s, start: time.Now(), file: file, record: bufio.NewWriter(file)}, nil
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	_, _ = fmt.Fprintf(w.record, "%9.4f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and writes the record.
func (w *world) close() {
	w.mu.Lock()
	instances := w.instances
	w.mu.Unlock()
	for _, i := range instances {
		i.kill()
	}
	w.store.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.record.Flush()
	_ = w.file.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(w.directory, keep)
		return
	}
	_ = os.RemoveAll(w.directory)
}

// Ports of the machines. They lie below those that the kernel gives to connections, so that none is taken while a process is
// down, and are drawn at random, so that scripts that run at the same time do not choose the same ones.
const (
	firstPort = 10000
	portCount = 22000
)

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		l, err = net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(firstPort+rand.IntN(portCount)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

// instance is a machine of the system with one process.
type instance struct {
	world *world
	name  string
	zone  string
	// front, ready, control and admin are the addresses of the process.
	front, ready, control, admin string
	settings                     string
	mu                           sync.Mutex
	command                      *exec.Cmd
	exited                       chan struct{}
}

// newInstance prepares a machine. Seeds are filled in by write.
func (w *world) newInstance(name, zone string) (*instance, error) {
	i := &instance{world: w, name: name, zone: zone, settings: filepath.Join(w.directory, name+".json")}
	for _, address := range []*string{&i.front, &i.ready, &i.control, &i.admin} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	return i, nil
}

// writeSettings writes the settings as the template of the deploy file fills them in for a small deployment.
func (i *instance) writeSettings(seeds []string) error {
	raw, err := json.MarshalIndent(map[string]any{
		"instance": i.name, "failure-domain": i.zone, "caller-address": i.front, "peer-address": i.control, "admin-address": i.admin,
		"platform-address": i.world.store.address(), "seeds": seeds,
		"relay": map[string]any{
			"ready-address": i.ready, "ready-path": "/ready", "grace-seconds": 6, "extra-load-ratio": 0.2, "extra-load-slack": 58,
			"extra-load-window-seconds": 10, "cold-factor": 1.5, "cold-slack": 5, "configuration-ms": 3000, "drain-ms": 3000, "memory-mb": 414,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, raw, 0o600)
}

// run starts the process of the machine with the command of the deploy file.
func (i *instance) run() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	logs, err := os.OpenFile(filepath.Join(i.world.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command(i.world.program, "serve", "--settings", i.settings)
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.command, i.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	i.world.logf("machine %s: process %d started", i.name, command.Process.Pid)
	return nil
}

// kill ends the process at once and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	command, exited := i.command, i.exited
	i.command = nil
	i.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
	i.world.logf("machine %s: process ended", i.name)
}

// waitReady waits until the process answers the balancer's question with 200.
func (i *instance) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case <-i.exited:
			return fmt.Errorf("machine %s: the process has ended%s", i.name, i.logTail())
		default:
		}
		response, err := client.Get("http://" + i.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			i.world.logf("machine %s: ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready after %s%s", i.name, limit, i.logTail())
}

// logTail returns the end of the log of the process, for a case that could not run.
func (i *instance) logTail() string {
	raw, err := os.ReadFile(filepath.Join(i.world.directory, i.name+".log"))
	if err != nil {
		return ""
	}
	return "; log: " + string(raw[max(0, len(raw)-600):])
}

// store is a stand-in for the platform's store.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision int
	changed  chan struct{}
	// turnsAway reports whether the store answers a call with 503; nil if it serves all.
	turnsAway func(remote net.Addr) bool
}

// storeItem is an item, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, items: make(map[string]storeItem), revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if s.refuses(r) {
			http.Error(rw, "busy", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// setTurnsAway sets which calls get 503.
func (s *store) setTurnsAway(turnsAway func(remote net.Addr) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnsAway = turnsAway
}

func (s *store) refuses(r *http.Request) bool {
	s.mu.Lock()
	turnsAway := s.turnsAway
	s.mu.Unlock()
	if turnsAway == nil {
		return false
	}
	remote, err := net.ResolveTCPAddr("tcp", r.RemoteAddr)
	return err == nil && turnsAway(remote)
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// put writes an item.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
}

func (s *store) publish(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// pageItems is the maximum number of items in a page.
const pageItems = 500

func (s *store) serveRange(rw http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	items := make([]storeItem, 0, len(s.items))
	for key, it := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sortItems(items)
	truncated := len(items) > pageItems
	writeJSON(rw, map[string]any{"items": items[:min(len(items), pageItems)], "truncated": truncated, "store_revision": revision})
}

func sortItems(items []storeItem) {
	for i := 1; i < len(items); i++ {
		for j := i; j > 0 && items[j].Key < items[j-1].Key; j-- {
			items[j], items[j-1] = items[j-1], items[j]
		}
	}
}

func (s *store) serveWatch(rw http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.Atoi(r.FormValue("after"))
	wait, errWait := strconv.Atoi(r.FormValue("wait_ms"))
	if errAfter != nil || errWait != nil {
		http.Error(rw, "bad parameters", http.StatusBadRequest)
		return
	}
	prefix := r.FormValue("prefix")
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && len(it.Key) >= len(prefix) && it.Key[:len(prefix)] == prefix {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			if s.refuses(r) {
				http.Error(rw, "busy", http.StatusServiceUnavailable)
				return
			}
			writeJSON(rw, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if s.refuses(r) {
				http.Error(rw, "busy", http.StatusServiceUnavailable)
				return
			}
			writeJSON(rw, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _ = rw.Write(raw)
}

// route returns a route to one service.
func route(name, prefix, kind, service string, timeoutMs, objectiveMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "target_latency_ms": objectiveMs,
		"priority": 2, "service": service, "max_attempts": 2,
	}
}

// host is the name of the host in all configurations.
const host = "pupu76.example"

// putConfig writes a configuration.
func (w *world) putConfig(version int, routes []map[string]any, services []string, maxConnections int) {
	listed := []map[string]any{}
	for _, name := range services {
		listed = append(listed, map[string]any{
			"name": name, "health_path": "/health", "max_connections": maxConnections, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.logf("store: configuration %d acknowledged", version)
}
