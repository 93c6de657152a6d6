// Package rehearser runs instances in relay mode as real processes, with stand-ins for the store and the targets of the
// operators' platform, and verifies every answer under load and faults. The standin command runs its demo, and the
// tests run its soak; packages demonstrator and soaker do the same for native mode. Package launcher starts the
// processes.
package rehearser

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/httpresponder"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/standin/launcher"
	"apricotflow/platform"
)

// Layout of the deployment.
const (
	// shardCount is the number of shards of a search. Each shard is a service of its own, whose reply is one part of
	// the answer.
	shardCount = 12
	// answerRecords and partRecords are the numbers of records in an answer and in a part.
	answerRecords = 20
	partRecords   = 40
	// minCoverage is the minimum fraction of the shards that an answer must cover.
	minCoverage = 0.75
	// searchHost and the path prefixes select the two routes.
	searchHost   = "shop.example"
	searchPrefix = "/search/"
	orderPrefix  = "/orders/"
	// The objectives and time-outs of the two routes are in milliseconds.
	searchObjective = 120
	searchTimeout   = 1200
	orderObjective  = 400
	orderTimeout    = 2000
	// searchServiceTime and orderServiceTime are the times that a target takes for a search and for an order.
	searchServiceTime = 6 * time.Millisecond
	orderServiceTime  = 20 * time.Millisecond
	// The targets of shards pause for pauseLength in each pauseInterval.
	pauseLength   = 120 * time.Millisecond
	pauseInterval = 3 * time.Second
	// graceSeconds is the time in seconds that an instance has to stop gracefully before it is killed.
	graceSeconds = 6
	// MaxBodyBytes is the maximum size of the body of a caller's request in bytes.
	MaxBodyBytes = 256 << 10
	// SmallestMemoryMB is the memory of the smallest instance of the deployments in MB.
	SmallestMemoryMB = 284
	readyTimeout     = 15 * time.Second
	// balancerTimeout limits a readiness check of the load balancer, which a paused instance does not answer.
	balancerTimeout = 300 * time.Millisecond
)

// domains are the failure domains. The last one has no targets of shards.
var domains = []string{"east", "west", "north"}

// instancePlacements are the instances with their failure domains. The first failure domain has enough instances for
// some of them to follow another one instead of the store (see packages follower and feeder).
var instancePlacements = []placement{
	{"entry-east", "east"}, {"entry-west", "west"}, {"entry-north", "north"}, {"entry-east-2", "east"}, {"entry-east-3", "east"},
}

// placement is the name of an instance and its failure domain.
type placement struct{ name, domain string }

// instance is an instance with the addresses and the settings file that it keeps over restarts.
type instance struct {
	name string
	// path is the executable that the next start runs.
	path          string
	callerAddress string
	adminAddress  string
	readyAddress  string
	settingsPath  string
	program       *launcher.Program
}

// Deployment holds the store, the targets and the instances of a rehearsal.
type Deployment struct {
	program string
	// previous is the executable of the version that runs before an upgrade; empty if there is none.
	previous  string
	directory string
	store     *keeper.Store

	// placements are the instances to start.
	placements []placement
	// processorShares are the shares of a core of the first instance and of each other one; 0 if they state none.
	processorShares [2]float64
	// shardConnections is the number of connections that a target of a shard states to accept.
	shardConnections int

	mu        sync.Mutex
	instances []*instance
	targets   map[string]*httpresponder.Target
	// links holds the link in front of each target by the target's id, storeLinks the link from each instance to the
	// store.
	links      map[string]*forwarder.Forwarder
	storeLinks []*forwarder.Forwarder
	// domains holds the failure domain of each target.
	domains  map[string]string
	services map[string][]string
	// healthy holds the behaviour of each target while it does not misbehave.
	healthy map[string]func(*http.Request) (httpresponder.Behaviour, time.Duration)
	// started holds the start of each target in Unix milliseconds, entryWrites the number of writes of its entry.
	started       map[string]int64
	entryWrites   map[string]int
	configVersion int
	// tenants are the tenants of the configuration.
	tenants          []platform.Tenant
	lastTargetNumber int
	// ends holds the times at which targets ended under requests.
	ends []time.Time
	// stranded holds the modes of the links from stranded instances to all targets, by the name of the instance.
	stranded map[string]forwarder.Mode
	// pids holds the ids of the processes of the instances, by their names. It has no lock, because the owners of connections
	// are asked for while links are controlled.
	pids   sync.Map
	owners *launcher.ConnectionOwners
	// closed reports whether Close was called, so that nothing starts any more.
	closed bool
}

// Option configures a Deployment.
type Option func(*Deployment)

// WithInstances sets the number of instances, if it is larger than the usual one. Further ones are spread over all failure
// domains.
func WithInstances(n int) Option {
	return func(d *Deployment) {
		for i := len(d.placements); i < n; i++ {
			domain := domains[i%len(domains)]
			d.placements = append(d.placements, placement{name: fmt.Sprintf("entry-%s-%d", domain, i), domain: domain})
		}
	}
}

// WithPreviousVersion makes the instances start with the executable of another version, and a soak replace them one after
// the other by the program, and back.
func WithPreviousVersion(program string) Option {
	return func(d *Deployment) { d.previous = program }
}

// NewDeployment starts the store, the targets and the instances.
func NewDeployment(program, directory string, opts ...Option) (*Deployment, error) {
	d := &Deployment{shardConnections: defaultShardConnections, program: program, directory: directory, placements: slices.Clone(instancePlacements), store: keeper.New(), targets: make(map[string]*httpresponder.Target), services: make(map[string][]string)}
	d.healthy = make(map[string]func(*http.Request) (httpresponder.Behaviour, time.Duration))
	d.started, d.entryWrites = make(map[string]int64), make(map[string]int)
	d.stranded = make(map[string]forwarder.Mode)
	d.owners = launcher.NewConnectionOwners(d.instancePIDs)
	d.links, d.domains = make(map[string]*forwarder.Forwarder), make(map[string]string)
	for _, opt := range opts {
		opt(d)
	}
	for i := range shardCount {
		for _, domain := range domains[:2] {
			d.AddTarget(shardName(i), domain, searchServiceTime)
		}
	}
	for _, domain := range domains {
		d.AddTarget("orders", domain, orderServiceTime)
	}
	d.PublishConfig()
	if err := d.startInstances(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// startLink starts a link to an address. It panics on an error, which cannot occur on a machine with free ports.
func startLink(upstream string, opts ...forwarder.Option) *forwarder.Forwarder {
	l, err := forwarder.Start("127.0.0.1:0", upstream, "127.0.0.1:0", opts...)
	if err != nil {
		panic("rehearser: start link: " + err.Error())
	}
	return l
}

func shardName(i int) string { return fmt.Sprintf("parts%02d", i) }

// AddTarget starts a target, registers it in the store and returns its id.
func (d *Deployment) AddTarget(service, domain string, serviceTime time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTargetNumber++
	id := fmt.Sprintf("i-%s-%d", service, d.lastTargetNumber)
	pauseOffset := time.Duration(d.lastTargetNumber) * pauseInterval / 7
	target := httpresponder.New(id, partRecordsOf(service))
	normal := normalBehaviour(service, serviceTime, pauseOffset)
	d.healthy[id] = func(r *http.Request) (httpresponder.Behaviour, time.Duration) {
		if r.URL.Path == fatalPath {
			time.AfterFunc(fatalTime, func() { d.endTarget(id, service, domain) })
			return httpresponder.Hang, 0
		}
		return normal(r)
	}
	target.SetBehaviour(d.healthy[id])
	d.targets[id] = target
	d.domains[id] = domain
	d.started[id] = time.Now().UnixMilli()
	d.links[id] = startLink(target.Address(), forwarder.WithClassifierOnDemand(d.owners.Owner))
	for name, mode := range d.stranded {
		d.links[id].Control(forwarder.Control{Source: name, Mode: mode})
	}
	d.services[service] = append(d.services[service], id)
	d.register(id, service, domain, platform.StateReady)
	return id
}

// normalBehaviour returns the behaviour of a healthy target. Targets of shards pause regularly.
func normalBehaviour(service string, serviceTime, pauseOffset time.Duration) func(*http.Request) (httpresponder.Behaviour, time.Duration) {
	return func(*http.Request) (httpresponder.Behaviour, time.Duration) {
		position := (time.Duration(time.Now().UnixNano()) + pauseOffset) % pauseInterval
		if service != "orders" && position < pauseLength {
			return httpresponder.Answer, serviceTime + pauseLength - position
		}
		return httpresponder.Answer, serviceTime
	}
}

// register writes the entry of a target.
func (d *Deployment) register(id, service, domain, state string) {
	d.entryWrites[id]++
	d.store.Put(platform.PrefixTargets+id, map[string]any{
		"service": service, "address": d.links[id].Address(), "zone": domain, "version": "v1", "slots": 4, "state": state, "warmup_left_ms": 0, "seq": d.entryWrites[id], "born": d.started[id],
	})
}

// Misbehave makes a target handle every second request with the behaviour, until Recover. Requests under which it ends do
// so all the same.
func (d *Deployment) Misbehave(id string, behaviour httpresponder.Behaviour) {
	d.mu.Lock()
	target, healthy := d.targets[id], d.healthy[id]
	d.mu.Unlock()
	var n atomic.Int64
	target.SetBehaviour(func(r *http.Request) (httpresponder.Behaviour, time.Duration) {
		normal, delay := healthy(r)
		if n.Add(1)%2 == 0 && r.URL.Path != fatalPath {
			return behaviour, delay
		}
		return normal, delay
	})
}

// target returns a target by its id.
func (d *Deployment) target(id string) *httpresponder.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[id]
}

// Recover ends the misbehaviour of a target.
func (d *Deployment) Recover(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[id].SetBehaviour(d.healthy[id])
}

// MisbehaveAll makes all targets handle every request with the behaviour, until RecoverAll.
func (d *Deployment) MisbehaveAll(behaviour httpresponder.Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, target := range d.targets {
		target.SetFixedBehaviour(behaviour, 0)
	}
}

// RecoverAll ends the misbehaviour of all targets.
func (d *Deployment) RecoverAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, target := range d.targets {
		target.SetBehaviour(d.healthy[id])
	}
}

// SetRequestLimit makes a target state a request limit, in requests per second, until EndRequestLimit.
func (d *Deployment) SetRequestLimit(id string, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[id].SetRequestLimit(&perSecond)
}

// EndRequestLimit ends the request limit of a target.
func (d *Deployment) EndRequestLimit(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[id].SetRequestLimit(nil)
}

// DrainTarget registers a target as draining.
func (d *Deployment) DrainTarget(id, service, domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.register(id, service, domain, platform.StateDraining)
}

// partRecordsOf returns the records of a service, which are pseudo-random and depend on its name only. Every target of
// the service replies with them.
func partRecordsOf(service string) []byte {
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

// PublishConfig writes the next version of the configuration to the store and returns its version number.
func (d *Deployment) PublishConfig() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion += 2
	config := platform.RoutingConfig{Version: d.configVersion, Tenants: d.tenants}
	config.Limits.BodyBytes, config.Limits.IdleMs = MaxBodyBytes, 15_000
	search := platform.Route{
		Name: "search", Host: searchHost, Prefix: searchPrefix, Kind: platform.KindIdempotent, TimeoutMs: searchTimeout,
		ObjectiveMs: searchObjective, MaxAttempts: 2, TopRecords: answerRecords, MinShardShare: minCoverage,
	}
	for i := range shardCount {
		search.Shards = append(search.Shards, shardName(i))
		config.Services = append(config.Services, platform.Service{Name: shardName(i), MaxConnections: d.shardConnections})
	}
	config.Services = append(config.Services, platform.Service{Name: "orders", MaxConnections: 40})
	orders := platform.Route{
		Name: "orders", Host: searchHost, Prefix: orderPrefix, Kind: "non_idempotent", TimeoutMs: orderTimeout, ObjectiveMs: orderObjective, MaxAttempts: 2, Service: "orders",
		AllowsAnonymous: len(d.tenants) > 0,
	}
	config.Routes = []platform.Route{search, orders}
	d.store.Put(platform.KeyRoutingConfig, config)
	return d.configVersion
}

func (d *Deployment) startInstances() error {
	var peers []string
	for range d.placements {
		peers = append(peers, launcher.FreeAddress())
	}
	for i, e := range d.placements {
		d.storeLinks = append(d.storeLinks, startLink(d.store.Address()))
		n := &instance{
			name: e.name, path: cmp.Or(d.previous, d.program), callerAddress: launcher.FreeAddress(), adminAddress: launcher.FreeAddress(), readyAddress: launcher.FreeAddress(),
			settingsPath: filepath.Join(d.directory, e.name+".json"),
		}
		relay := map[string]any{
			"ready-address": n.readyAddress, "grace-seconds": graceSeconds, "extra-load-ratio": 0.2, "extra-load-slack": 60, "cold-factor": 1.5, "cold-slack": 5,
			"memory-mb": SmallestMemoryMB,
		}
		if share := d.processorShare(i); share > 0 {
			relay["processor-share"] = share
		}
		settings, err := json.Marshal(map[string]any{
			"instance": n.name, "failure-domain": e.domain, "caller-address": n.callerAddress, "peer-address": peers[i],
			"admin-address": n.adminAddress, "platform-address": d.storeLinks[i].Address(), "seeds": peers[:3],
			"relay": relay,
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settingsPath, settings, 0o600); err != nil {
			return err
		}
		d.instances = append(d.instances, n)
	}
	for i := range d.instances {
		if err := d.Start(i); err != nil {
			return err
		}
	}
	for i := range d.instances {
		if err := d.WaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of an instance.
func (d *Deployment) Start(i int) error {
	n := d.instances[i]
	p, err := launcher.StartProgram(n.name, filepath.Join(d.directory, n.name+".log"), n.path, "serve", "--settings", n.settingsPath)
	n.program = p
	if err == nil {
		d.pids.Store(n.name, p.PID())
	}
	return err
}

// instancePIDs returns the ids of the processes of the instances, by their names.
func (d *Deployment) instancePIDs() map[string]int {
	pids := make(map[string]int)
	d.pids.Range(func(name, pid any) bool {
		pids[name.(string)] = pid.(int)
		return true
	})
	return pids
}

// Strand sets the mode of the links from an instance to all targets. ModeNormal ends it.
func (d *Deployment) Strand(i int, mode forwarder.Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := d.instances[i].name
	d.stranded[name] = mode
	if mode == forwarder.ModeNormal {
		delete(d.stranded, name)
	}
	for _, l := range d.links {
		l.Control(forwarder.Control{Source: name, Mode: mode})
	}
}

// isStranded reports whether an instance is stranded.
func (d *Deployment) isStranded(i int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.stranded[d.instances[i].name]
	return found
}

// NotReadyError reports an instance that was not ready in time.
type NotReadyError struct {
	Instance string
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("rehearser: %s is not ready after %s", e.Instance, readyTimeout)
}

// WaitReady waits until an instance reports to the load balancer that it is ready.
func (d *Deployment) WaitReady(i int) error {
	for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		if d.IsReady(i) {
			return nil
		}
	}
	return &NotReadyError{Instance: d.instances[i].name}
}

// IsReady reports whether an instance is ready.
func (d *Deployment) IsReady(i int) bool {
	balancer := http.Client{Timeout: balancerTimeout}
	response, err := balancer.Get("http://" + d.instances[i].readyAddress + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Program returns the process of an instance.
func (d *Deployment) Program(i int) *launcher.Program { return d.instances[i].program }

// InstanceCount returns the number of instances.
func (d *Deployment) InstanceCount() int { return len(d.instances) }

// CallerAddress returns the address of an instance for callers.
func (d *Deployment) CallerAddress(i int) string { return d.instances[i].callerAddress }

// Store returns the store.
func (d *Deployment) Store() *keeper.Store { return d.store }

// OrderRuns returns how often each order ran on all targets, by request id.
func (d *Deployment) OrderRuns() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := make(map[string]int)
	for _, id := range d.services["orders"] {
		for _, r := range d.targets[id].Received() {
			if r.Ran {
				runs[r.Header.Get(platform.HeaderRequestID)]++
			}
		}
	}
	return runs
}

// SearchRuns returns how many targets ran each search, by request id.
func (d *Deployment) SearchRuns() map[string]int {
	runs := make(map[string]int)
	d.forEachRun(func(service string, r httpresponder.ReceivedRequest) {
		if service != "orders" {
			runs[r.Header.Get(platform.HeaderRequestID)]++
		}
	})
	return runs
}

// LeastTimeLeft returns the least time left that a request had when it reached a target that ran it, as a fraction of
// the objective of its route.
func (d *Deployment) LeastTimeLeft() float64 {
	least := math.Inf(1)
	d.forEachRun(func(service string, r httpresponder.ReceivedRequest) {
		objective := float64(searchObjective)
		if service == "orders" {
			objective = orderObjective
		}
		if ms, err := strconv.ParseFloat(r.Header.Get(platform.HeaderTimeLeft), 64); err == nil {
			least = min(least, ms/objective)
		}
	})
	return least
}

// forEachRun calls a function for each request that a target ran, with the service of the target.
func (d *Deployment) forEachRun(f func(service string, r httpresponder.ReceivedRequest)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, ids := range d.services {
		for _, id := range ids {
			for _, r := range d.targets[id].Received() {
				if r.Ran {
					f(service, r)
				}
			}
		}
	}
}

// ReceivedAfter returns the number of requests that a target received after the given time.
func (d *Deployment) ReceivedAfter(id string, after time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.targets[id].Received() {
		if r.ReadAt.After(after) {
			n++
		}
	}
	return n
}

// MostReceived returns the largest number of requests that a target received in a window of the given length that begins
// after the given time.
func (d *Deployment) MostReceived(id string, after time.Time, window time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	var times []time.Time
	for _, r := range d.targets[id].Received() {
		if r.ReadAt.After(after) {
			times = append(times, r.ReadAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Close ends the processes, the targets, the links and the store.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, n := range d.instances {
		if n.program != nil {
			// Errors are ignored, because the process may have exited already.
			_ = n.program.Kill()
		}
	}
	for _, t := range d.targets {
		t.Close()
	}
	for _, l := range d.links {
		l.Close()
	}
	for _, l := range d.storeLinks {
		l.Close()
	}
	d.store.Close()
}
