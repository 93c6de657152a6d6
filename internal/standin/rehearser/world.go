// Package rehearser runs instances that relay requests as real processes, before stand-ins for the store and the targets
// of the operators' platform, and verifies every answer.
package rehearser

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/worker"
	"apricotflow/platform"
)

// Layout of the rehearsal.
const (
	shards = 12
	// topRecords and partRecords are the records of an answer and of a part.
	topRecords  = 20
	partRecords = 40
	leastShare  = 0.75
	// searchHost and the prefixes select the two routes.
	searchHost   = "shop.example"
	searchPrefix = "/search/"
	orderPrefix  = "/orders/"
	// searchObjective and searchTimeout are those of queries, orderTimeout that of orders, in milliseconds.
	searchObjective = 120
	searchTimeout   = 1200
	orderTimeout    = 2000
	// searchWork and orderWork are the times that a target works.
	searchWork = 6 * time.Millisecond
	orderWork  = 20 * time.Millisecond
	// pauseLength of each pauseInterval a target of a shard stands still.
	pauseLength   = 120 * time.Millisecond
	pauseInterval = 3 * time.Second
	// graceSeconds is the time between the signal to stop and the end by force.
	graceSeconds = 6
	readyLimit   = 15 * time.Second
	// balancerTimeout bounds a question of the balancer, which a suspended instance does not answer.
	balancerTimeout = 300 * time.Millisecond
)

// domains are the failure domains; the last one has no targets of the shards.
var domains = []string{"east", "west", "north"}

// entries are the instances by failure domain; those of the first one are enough to follow each other.
var entries = []struct{ name, domain string }{
	{"entry-east", "east"}, {"entry-west", "west"}, {"entry-north", "north"}, {"entry-east-2", "east"}, {"entry-east-3", "east"},
}

// instance is a running process.
type instance struct {
	name    string
	callers string
	admin   string
	ready   string
	file    string
	program *launcher.Program
}

// World is a running rehearsal.
type World struct {
	program string
	folder  string
	store   *keeper.Store

	mu        sync.Mutex
	instances []*instance
	targets   map[string]*worker.Target
	// links leads to the targets by id, and storeLinks to the store from each instance.
	links      map[string]*forwarder.Forwarder
	storeLinks []*forwarder.Forwarder
	// domains holds the failure domain of each target.
	domains  map[string]string
	services map[string][]string
	version  int
	born     int
}

// NewWorld starts the store, the targets and the instances.
func NewWorld(program, folder string) (*World, error) {
	w := &World{program: program, folder: folder, store: keeper.New(), targets: make(map[string]*worker.Target), services: make(map[string][]string)}
	w.links, w.domains = make(map[string]*forwarder.Forwarder), make(map[string]string)
	for i := range shards {
		for _, domain := range domains[:2] {
			w.AddTarget(shardName(i), domain, searchWork)
		}
	}
	for _, domain := range domains {
		w.AddTarget("orders", domain, orderWork)
	}
	w.Configure()
	if err := w.startInstances(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// link starts a link to an address; it cannot fail on a machine with free ports.
func link(upstream string) *forwarder.Forwarder {
	l, err := forwarder.Start("127.0.0.1:0", upstream, "127.0.0.1:0")
	if err != nil {
		panic("rehearser: start link: " + err.Error())
	}
	return l
}

func shardName(i int) string { return fmt.Sprintf("parts%02d", i) }

// AddTarget starts a target, which registers itself, and returns its id.
func (w *World) AddTarget(service, domain string, work time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	id := fmt.Sprintf("i-%s-%d", service, w.born)
	phase := time.Duration(w.born) * pauseInterval / 7
	target := worker.New(id, partOf(service))
	target.Behave(usual(service, work, phase))
	w.targets[id] = target
	w.domains[id] = domain
	w.links[id] = link(target.Address())
	w.services[service] = append(w.services[service], id)
	w.register(id, service, domain, platform.StateReady)
	return id
}

// usual returns the behaviour of a sound target; those of shards pause now and then.
func usual(service string, work, phase time.Duration) func(*http.Request) (worker.Behaviour, time.Duration) {
	return func(*http.Request) (worker.Behaviour, time.Duration) {
		position := (time.Duration(time.Now().UnixNano()) + phase) % pauseInterval
		if service != "orders" && position < pauseLength {
			return worker.Answer, work + pauseLength - position
		}
		return worker.Answer, work
	}
}

func (w *World) register(id, service, domain, state string) {
	w.store.Put(platform.PrefixServers+id, map[string]any{
		"service": service, "address": w.links[id].Address(), "zone": domain, "version": "v1", "slots": 4, "state": state, "warmup_left_ms": 0, "seq": 1,
	})
}

func (w *World) target(id string) *worker.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[id]
}

// Drain reports a target as leaving.
func (w *World) Drain(id, service, domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.register(id, service, domain, platform.StateDraining)
}

// partOf returns the records of a service, which every target of it answers with.
func partOf(service string) []byte {
	var raw []byte
	seed := uint64(14695981039346656037)
	for _, b := range []byte(service) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	for i := range uint64(partRecords) {
		seed = seed*6364136223846793005 + 1442695040888963407
		raw = binary.BigEndian.AppendUint64(raw, seed)
		raw = binary.BigEndian.AppendUint64(raw, i)
	}
	return raw
}

// Configure writes the next version of the configuration and returns it.
func (w *World) Configure() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	config := platform.Config{Version: w.version}
	config.Limits.BodyBytes, config.Limits.IdleMs = 1<<16, 15_000
	search := platform.Route{
		Name: "search", Host: searchHost, Prefix: searchPrefix, Kind: platform.KindIdempotent, TimeoutMs: searchTimeout,
		TargetLatencyMs: searchObjective, MaxAttempts: 2, TopK: topRecords, MinVersion: leastShare,
	}
	for i := range shards {
		search.Gather = append(search.Gather, shardName(i))
		config.Services = append(config.Services, platform.Service{Name: shardName(i), MaxConnections: 24})
	}
	config.Services = append(config.Services, platform.Service{Name: "orders", MaxConnections: 40})
	orders := platform.Route{
		Name: "orders", Host: searchHost, Prefix: orderPrefix, Kind: "non_idempotent", TimeoutMs: orderTimeout, TargetLatencyMs: 400, MaxAttempts: 2, Service: "orders",
	}
	config.Routes = []platform.Route{search, orders}
	w.store.Put(platform.KeyConfig, config)
	return w.version
}

func (w *World) startInstances() error {
	var peers []string
	for range entries {
		peers = append(peers, launcher.FreeAddress())
	}
	for i, e := range entries {
		w.storeLinks = append(w.storeLinks, link(w.store.Address()))
		n := &instance{
			name: e.name, callers: launcher.FreeAddress(), admin: launcher.FreeAddress(), ready: launcher.FreeAddress(),
			file: filepath.Join(w.folder, e.name+".json"),
		}
		settings, err := json.Marshal(map[string]any{
			"instance": n.name, "failure-domain": e.domain, "caller-address": n.callers, "peer-address": peers[i],
			"admin-address": n.admin, "platform-address": w.storeLinks[i].Address(), "seeds": peers[:3],
			"relay": map[string]any{
				"ready-address": n.ready, "grace-seconds": graceSeconds, "extra-load-ratio": 0.2, "extra-load-slack": 60, "cold-factor": 1.5, "cold-slack": 5,
			},
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.file, settings, 0o600); err != nil {
			return err
		}
		w.instances = append(w.instances, n)
	}
	for i := range w.instances {
		if err := w.Start(i); err != nil {
			return err
		}
	}
	for i := range w.instances {
		if err := w.WaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of an instance.
func (w *World) Start(i int) error {
	n := w.instances[i]
	p, err := launcher.StartProgram(n.name, filepath.Join(w.folder, n.name+".log"), w.program, "serve", "--settings", n.file)
	n.program = p
	return err
}

// NotReadyError reports an instance that did not become ready.
type NotReadyError struct {
	Instance string
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("rehearser: %s is not ready after %s", e.Instance, readyLimit)
}

// WaitReady waits until an instance answers the balancer.
func (w *World) WaitReady(i int) error {
	for start := time.Now(); time.Since(start) < readyLimit; time.Sleep(20 * time.Millisecond) {
		if w.Ready(i) {
			return nil
		}
	}
	return &NotReadyError{Instance: w.instances[i].name}
}

// Ready reports whether an instance is ready.
func (w *World) Ready(i int) bool {
	balancer := http.Client{Timeout: balancerTimeout}
	response, err := balancer.Get("http://" + w.instances[i].ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Program returns the process of an instance.
func (w *World) Program(i int) *launcher.Program { return w.instances[i].program }

// Store returns the store.
func (w *World) Store() *keeper.Store { return w.store }

// Runs returns how often each order ran at a target.
func (w *World) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int)
	for _, id := range w.services["orders"] {
		for _, r := range w.targets[id].Received() {
			if r.Ran {
				runs[r.Header.Get(platform.HeaderRequestID)]++
			}
		}
	}
	return runs
}

// Reached returns the number of requests that reached a target after a time.
func (w *World) Reached(id string, after time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.targets[id].Received() {
		if r.At.After(after) {
			n++
		}
	}
	return n
}

// Close ends everything.
func (w *World) Close() {
	for _, n := range w.instances {
		if n.program != nil {
			// A process that has exited needs no end.
			_ = n.program.Kill()
		}
	}
	for _, t := range w.targets {
		t.Close()
	}
	for _, l := range w.links {
		l.Close()
	}
	for _, l := range w.storeLinks {
		l.Close()
	}
	w.store.Close()
}
