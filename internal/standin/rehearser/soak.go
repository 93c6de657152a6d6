package rehearser

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/httpresponder"
	"apricotflow/internal/standin/keeper"
	"apricotflow/platform"
)

// Load, durations and limits of a soak.
const (
	soakRate = 60
	// minFaultDuration and maxFaultDuration limit the duration of a fault, maxFaultGap the time between the starts of
	// two faults.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	maxFaultGap      = 700 * time.Millisecond
	// rewriteTime is the time in which the authors of what a restored store has lost write it again.
	rewriteTime = time.Second
	// recoveryPeriod is the time after the last fault until all requests must be served again.
	recoveryPeriod = 5 * time.Second
	// recoveryLoadDuration is the duration of the load that checks the recovery.
	recoveryLoadDuration = 1500 * time.Millisecond
	// limitedShards is the number of shards of which one target states a request limit, requestLimit, during the load of
	// every second soak. That is about a third of what the target gets without it.
	limitedShards = 4
	requestLimit  = 10.0
	// limitNoticeTime is the time until a request limit has to be kept. From then on a target may get limitTolerance times
	// the limit plus limitSlack requests in any limitWindow.
	limitNoticeTime = 4 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitSlack      = 5
	// minRecoveredCoverage is the minimum coverage after the recovery, with targets that pause 4% of the time.
	minRecoveredCoverage = 0.97
)

// fault is one kind of fault. start begins it and returns a function that ends it, or nil if nothing needs to end.
type fault struct {
	name  string
	start func(s *soak) (end func())
}

// faults are all kinds of faults, which are drawn with equal probability. Errors at the end of a fault are ignored
// where they concern processes that have exited in the meantime.
var faults = []fault{
	{"kill", func(s *soak) func() { return s.restartInstance(syscall.SIGKILL) }},
	{"terminate", func(s *soak) func() { return s.restartInstance(syscall.SIGTERM) }},
	{"suspend", (*soak).pauseInstance},
	{"reload", (*soak).reloadInstance},
	{"store busy", func(s *soak) func() { return s.failStore(keeper.Busy) }},
	{"store silent", func(s *soak) func() { return s.failStore(keeper.Silent) }},
	{"store reset", func(s *soak) func() { return s.failStore(keeper.Reset) }},
	{"store endless", func(s *soak) func() { return s.failStore(keeper.Endless) }},
	{"store watches silent", func(s *soak) func() { return s.failStore(keeper.WatchesMissChanges) }},
	{"store restored", (*soak).restoreStore},
	{"store odd entry", (*soak).writeOddEntry},
	{"store link", (*soak).failStoreLink},
	{"target links", (*soak).failTargetLinks},
	{"strand", (*soak).strandInstances},
	{"targets", (*soak).misbehaveTargets},
	{"replace", (*soak).replaceTarget},
	{"leave", (*soak).leaveTarget},
	{"pause", (*soak).pauseTarget},
	{"evacuate", (*soak).evacuateDomain},
	{"configure", func(s *soak) func() { s.deployment.PublishConfig(); return func() { s.deployment.PublishConfig() } }},
}

// soak draws random faults and applies them.
type soak struct {
	deployment *Deployment
	random     *rand.Rand
	// unavailable reports which instances are stopped or paused.
	unavailable map[int]bool
	faultLog    []string
	// leaving holds since when targets state that they leave.
	leaving map[string]time.Time
	// impaired holds the targets whose replies were spoiled or lost at some time, so that instances may not have read them.
	impaired map[string]bool
	// downgrading reports whether instances are replaced by the previous version.
	downgrading bool
	// failures describes what did not go as expected while faults were injected.
	failures []string
}

// Soak runs a load under random faults, which overlap and repeat. It returns the violations and a log of the faults.
// The same seed draws the same faults.
func Soak(ctx context.Context, program, directory string, seed uint64, duration time.Duration, opts ...Option) (violations, log []string, err error) {
	d, err := NewDeployment(program, directory, opts...)
	if err != nil {
		return nil, nil, err
	}
	defer d.Close()
	s := &soak{deployment: d, random: rand.New(rand.NewPCG(seed, seed)), unavailable: make(map[int]bool), leaving: make(map[string]time.Time), impaired: make(map[string]bool)}
	reports := make(chan Report, 1)
	limited, limitedAt := s.limitTargets(), time.Now()
	go func() { reports <- d.RunLoad(ctx, soakRate, duration) }()
	until := time.Now().Add(duration - maxFaultDuration)
	endFatalRequests := s.sendFatalRequests(ctx, until)
	s.injectFaults(ctx, until)
	s.finishUpgrade()
	report := <-reports
	violations = append(s.failures, report.Violations...)
	violations = append(violations, s.endLimits(limited, limitedAt.Add(limitNoticeTime))...)
	violations = append(violations, endFatalRequests()...)
	violations = append(violations, s.endDepartures()...)
	time.Sleep(recoveryPeriod)
	after := d.RunLoad(ctx, soakRate, recoveryLoadDuration)
	violations = append(violations, after.Violations...)
	if after.Failed > 0 || after.Coverage() < minRecoveredCoverage {
		violations = append(violations, fmt.Sprintf("after recovery: %d requests failed, %d were answered; coverage of the answers %.3f; causes of unanswered requests: %v",
			after.Failed, after.Searches+after.Orders, after.Coverage(), after.UnansweredCauses))
	}
	return violations, s.faultLog, nil
}

// drawFault returns the next fault. In an upgrade, every second one replaces an instance.
func (s *soak) drawFault() fault {
	f := faults[s.random.IntN(len(faults))]
	if s.deployment.previous != "" && s.random.IntN(2) == 0 {
		return fault{"upgrade", (*soak).replaceInstance}
	}
	return f
}

// injectFaults starts faults until the given time and then waits until all of them have ended.
func (s *soak) injectFaults(ctx context.Context, until time.Time) {
	type ending struct {
		at  time.Time
		end func()
	}
	// Faults end in the order in which they started, so one may last longer than its length.
	var endings []ending
	startedAt := time.Now()
	for time.Now().Before(until) && ctx.Err() == nil {
		f := s.drawFault()
		length := minFaultDuration + time.Duration(s.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		s.faultLog = append(s.faultLog, fmt.Sprintf("%s %s for %s", time.Since(startedAt).Round(time.Millisecond), f.name, length.Round(time.Millisecond)))
		if end := f.start(s); end != nil {
			endings = append(endings, ending{at: time.Now().Add(length), end: end})
		}
		next := time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultGap))))
		for time.Now().Before(next) {
			time.Sleep(10 * time.Millisecond)
			for len(endings) > 0 && time.Now().After(endings[0].at) {
				endings[0].end()
				endings = endings[1:]
			}
		}
	}
	for _, e := range endings {
		time.Sleep(max(time.Until(e.at), 0))
		e.end()
	}
}

// limitTargets makes one target of some shards state a request limit in every second soak. It returns their ids.
func (s *soak) limitTargets() []string {
	var ids []string
	if s.random.IntN(2) == 0 {
		return nil
	}
	for _, i := range s.random.Perm(shardCount)[:limitedShards] {
		id := s.deployment.services[shardName(i)][s.random.IntN(2)]
		s.deployment.SetRequestLimit(id, requestLimit)
		ids = append(ids, id)
	}
	s.faultLog = append(s.faultLog, fmt.Sprintf("request limit of %v during the load", ids))
	return ids
}

// endLimits ends the request limits of the targets and reports those that got too many requests after the given time.
func (s *soak) endLimits(ids []string, after time.Time) (violations []string) {
	allowed := int(limitTolerance*requestLimit*limitWindow.Seconds()) + limitSlack
	for _, id := range ids {
		if n := s.deployment.MostReceived(id, after, limitWindow); n > allowed {
			violations = append(violations, fmt.Sprintf("target %s with a request limit of %g/s got %d requests in %s, %d are allowed", id, requestLimit, n, limitWindow, allowed))
		}
		s.deployment.EndRequestLimit(id)
	}
	return violations
}

// takeInstance selects an instance and marks it as unavailable. It returns false if another one is stopped or paused
// already, because at most one may be at a time.
func (s *soak) takeInstance() (int, bool) {
	i := s.random.IntN(len(s.deployment.instances))
	if len(s.unavailable) > 0 {
		return 0, false
	}
	s.unavailable[i] = true
	return i, true
}

// reloadInstance makes an instance reload its settings.
func (s *soak) reloadInstance() func() {
	i, found := s.takeInstance()
	if !found {
		return nil
	}
	_ = s.deployment.Program(i).Signal(syscall.SIGHUP)
	delete(s.unavailable, i)
	return nil
}

// restartInstance restarts a random instance with a signal.
func (s *soak) restartInstance(signal syscall.Signal) func() {
	i, found := s.takeInstance()
	if !found {
		return nil
	}
	return s.restart(i, signal)
}

// restart sends a signal that ends an instance. The returned function waits for its exit and starts it again.
func (s *soak) restart(i int, signal syscall.Signal) func() {
	_ = s.deployment.Program(i).Signal(signal)
	return func() {
		if _, err := s.deployment.Program(i).Wait((graceSeconds + 1) * time.Second); err != nil {
			s.failures = append(s.failures, fmt.Sprintf("instance %d has not exited: %v", i, err))
			_ = s.deployment.Program(i).Kill()
		}
		if err := s.deployment.Start(i); err != nil {
			s.failures = append(s.failures, err.Error())
		}
		delete(s.unavailable, i)
	}
}

// replaceInstance terminates the next instance that runs the version to be replaced, and starts it with the other one. Once
// all run the same version, they are replaced by the version before.
func (s *soak) replaceInstance() func() {
	if len(s.unavailable) > 0 {
		return nil
	}
	from, to := s.deployment.previous, s.deployment.program
	if s.downgrading {
		from, to = to, from
	}
	instances := s.deployment.instances
	i := slices.IndexFunc(instances, func(n *instance) bool { return n.path == from })
	if i < 0 {
		s.downgrading = !s.downgrading
		return nil
	}
	s.unavailable[i] = true
	instances[i].path = to
	s.faultLog = append(s.faultLog, fmt.Sprintf("%s is replaced by %s", instances[i].name, to))
	return s.restart(i, syscall.SIGTERM)
}

// finishUpgrade replaces the instances that still run the previous version.
func (s *soak) finishUpgrade() {
	s.downgrading = false
	for s.deployment.previous != "" && slices.ContainsFunc(s.deployment.instances, func(n *instance) bool { return n.path == s.deployment.previous }) {
		s.replaceInstance()()
	}
}

func (s *soak) pauseInstance() func() {
	i, found := s.takeInstance()
	if !found {
		return nil
	}
	_ = s.deployment.Program(i).Signal(syscall.SIGSTOP)
	return func() {
		_ = s.deployment.Program(i).Signal(syscall.SIGCONT)
		delete(s.unavailable, i)
	}
}

func (s *soak) failStore(f keeper.Fault) func() {
	s.deployment.store.SetFault(f)
	return func() {
		if f == keeper.WatchesMissChanges {
			// The watches missed changes. After the compaction, the instances read everything again.
			s.deployment.store.Compact()
		}
		s.deployment.store.SetFault(keeper.NoFault)
	}
}

// restoreStore copies the store, which returns to the copy at the end. What was written since is then written again.
func (s *soak) restoreStore() func() {
	store := s.deployment.store
	copied := store.Copy()
	return func() {
		lost := store.Restore(copied)
		for _, item := range lost {
			time.Sleep(rewriteTime / time.Duration(len(lost)))
			if item.Removed {
				store.Remove(item.Key)
			} else {
				store.Put(item.Key, item.Value)
			}
		}
	}
}

// oddEntries are entries of another writer among those of targets that name no target.
var oddEntries = [][]byte{
	{},
	[]byte("null"), []byte("\xff\x00"), bytes.Repeat([]byte("["), 100_000),
	[]byte(`{"service":"parts00","address":"127.0.0.1:70000","zone":"east","version":"v1","slots":4,"state":"ready","warmup_left_ms":0,"seq":1}`),
	[]byte(`{"service":"parts00","address":"127.0.0.1:1","zone":"east","version":"v1","slots":1e400,"state":"ready","warmup_left_ms":1e300,"seq":1}`),
	[]byte(`{"service":"parts00","address":"127.0.0.1:1","zone":"east","version":"v1","slots":4,"state":"ready","warmup_left_ms":0,"seq":9223372036854775807}`),
}

// writeOddEntry leaves an entry of another writer among those of targets.
func (s *soak) writeOddEntry() func() {
	key := fmt.Sprintf("%sodd entry %d", platform.PrefixTargets, s.random.IntN(len(oddEntries)))
	s.deployment.store.Put(key, oddEntries[s.random.IntN(len(oddEntries))])
	return func() { s.deployment.store.Remove(key) }
}

// linkFailureModes are the modes of a link that fails.
var linkFailureModes = []forwarder.Mode{forwarder.ModeCut, forwarder.ModeSilent, forwarder.ModeSilentAll}

func setMode(links []*forwarder.Forwarder, mode forwarder.Mode) {
	for _, l := range links {
		l.Control(forwarder.Control{Mode: mode})
	}
}

func (s *soak) failStoreLink() func() {
	links := []*forwarder.Forwarder{s.deployment.storeLinks[s.random.IntN(len(s.deployment.storeLinks))]}
	setMode(links, linkFailureModes[s.random.IntN(len(linkFailureModes))])
	return func() { setMode(links, forwarder.ModeNormal) }
}

// randomTargets returns the ids of a random selection of targets, or of all targets of a random failure domain.
func (s *soak) randomTargets() []string {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	domain := domains[s.random.IntN(len(domains))]
	wholeDomain := s.random.IntN(3) == 0
	var ids []string
	for _, service := range append([]string{"orders"}, shardNames()...) {
		for _, id := range s.deployment.services[service] {
			if wholeDomain && s.deployment.domains[id] == domain || !wholeDomain && s.random.IntN(4) == 0 {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func shardNames() []string {
	names := make([]string, 0, shardCount)
	for i := range shardCount {
		names = append(names, shardName(i))
	}
	return names
}

func (s *soak) failTargetLinks() func() {
	var links []*forwarder.Forwarder
	for _, id := range s.randomTargets() {
		s.impaired[id] = true
		s.deployment.mu.Lock()
		links = append(links, s.deployment.links[id])
		s.deployment.mu.Unlock()
	}
	setMode(links, linkFailureModes[s.random.IntN(len(linkFailureModes))])
	return func() { setMode(links, forwarder.ModeNormal) }
}

// strandModes are the modes of the links between a stranded instance and all targets.
var strandModes = []forwarder.Mode{forwarder.ModeCut, forwarder.ModeCutNew, forwarder.ModeSilentAll}

// strandInstances cuts some instances off from all targets, while callers, the store and other instances reach them.
func (s *soak) strandInstances() func() {
	mode := strandModes[s.random.IntN(len(strandModes))]
	instances := s.random.Perm(len(s.deployment.instances))[:1+s.random.IntN(len(s.deployment.instances)-1)]
	s.faultLog = append(s.faultLog, fmt.Sprintf("stranded: %v, links %s", instances, mode))
	for _, i := range instances {
		s.deployment.Strand(i, mode)
	}
	s.deployment.mu.Lock()
	for id := range s.deployment.targets {
		s.impaired[id] = true
	}
	s.deployment.mu.Unlock()
	return func() {
		for _, i := range instances {
			s.deployment.Strand(i, forwarder.ModeNormal)
		}
	}
}

// misbehaveTargets makes random targets misbehave for half of their requests.
func (s *soak) misbehaveTargets() func() {
	behaviour := httpresponder.Shed + httpresponder.Behaviour(s.random.IntN(int(httpresponder.LastBehaviour-httpresponder.Shed)+1))
	ids := s.randomTargets()
	for _, id := range ids {
		s.impaired[id] = true
		s.deployment.Misbehave(id, behaviour)
	}
	return func() {
		for _, id := range ids {
			s.deployment.Recover(id)
		}
	}
}

// replaceTarget starts a new target and drains another one of the same service and failure domain.
func (s *soak) replaceTarget() func() {
	old, service, domain := s.drawTarget()
	s.deployment.AddTarget(service, domain, searchServiceTime)
	s.deployment.DrainTarget(old, service, domain)
	return nil
}

// evacuateDomain closes one of the failure domains with targets of shards, by means of an evacuate item in the store.
func (s *soak) evacuateDomain() func() {
	key := platform.PrefixClosedDomains + domains[s.random.IntN(2)]
	s.deployment.store.Put(key, map[string]any{})
	return func() { s.deployment.store.Remove(key) }
}
