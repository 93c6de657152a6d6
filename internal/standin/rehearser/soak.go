package rehearser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/standin/worker"
	"apricotflow/platform"
)

// Times of a soak.
const (
	soakRate = 60
	// shortestFault and longestFault bound one fault, and longestGap the time between the starts of two.
	shortestFault = 300 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
	longestGap    = 700 * time.Millisecond
	// recoveryTime is the time after the last fault until everything has to be served again.
	recoveryTime = 5 * time.Second
	// recoveredLoad is how long it is then checked.
	recoveredLoad = 1500 * time.Millisecond
	// recoveredCoverage is the coverage that is expected then, with targets that pause 4% of the time.
	recoveredCoverage = 0.97
)

// fault is one kind of trouble; it returns how to end it.
type fault struct {
	name  string
	begin func(s *soak) (end func())
}

// faults are all kinds, drawn with the same chance. Ends that fail concern processes that have ended meanwhile.
var faults = []fault{
	{"kill", func(s *soak) func() { return s.stop(syscall.SIGKILL) }},
	{"terminate", func(s *soak) func() { return s.stop(syscall.SIGTERM) }},
	{"suspend", (*soak).suspend},
	{"reload", (*soak).reload},
	{"store busy", func(s *soak) func() { return s.store(keeper.Busy) }},
	{"store silent", func(s *soak) func() { return s.store(keeper.Silent) }},
	{"store reset", func(s *soak) func() { return s.store(keeper.Reset) }},
	{"store deaf", func(s *soak) func() { return s.store(keeper.Deaf) }},
	{"store link", (*soak).cutStore},
	{"target links", (*soak).cutTargets},
	{"targets", (*soak).spoilTargets},
	{"replace", (*soak).replace},
	{"evacuate", (*soak).evacuate},
	{"configure", func(s *soak) func() { s.world.Configure(); return func() { s.world.Configure() } }},
}

// soak draws faults and applies them.
type soak struct {
	world  *World
	random *rand.Rand
	// busy tells which instances are stopped or suspended.
	busy   map[int]bool
	log    []string
	failed []string
}

// Soak runs a load under random faults, which overlap and repeat, and returns what broke a guarantee together with the
// faults that were drawn. The same seed draws the same faults.
func Soak(ctx context.Context, program, folder string, seed uint64, duration time.Duration) (violations, log []string, err error) {
	w, err := NewWorld(program, folder)
	if err != nil {
		return nil, nil, err
	}
	defer w.Close()
	s := &soak{world: w, random: rand.New(rand.NewPCG(seed, seed)), busy: make(map[int]bool)}
	reports := make(chan Report, 1)
	go func() { reports <- w.Load(ctx, soakRate, duration) }()
	s.run(ctx, time.Now().Add(duration-longestFault))
	report := <-reports
	violations = append(s.failed, report.Violations...)
	time.Sleep(recoveryTime)
	after := w.Load(ctx, soakRate, recoveredLoad)
	violations = append(violations, after.Violations...)
	if after.Failed > 0 || after.Coverage() < recoveredCoverage {
		violations = append(violations, fmt.Sprintf("after recovery %d of %d failed with coverage %.3f: %v",
			after.Failed, after.Searches+after.Orders, after.Coverage(), after.Causes))
	}
	return violations, s.log, nil
}

// run begins faults until the time, and ends all of them.
func (s *soak) run(ctx context.Context, until time.Time) {
	type ending struct {
		at  time.Time
		end func()
	}
	var endings []ending
	start := time.Now()
	for time.Now().Before(until) && ctx.Err() == nil {
		f := faults[s.random.IntN(len(faults))]
		length := shortestFault + time.Duration(s.random.Int64N(int64(longestFault-shortestFault)))
		s.log = append(s.log, fmt.Sprintf("%s %s for %s", time.Since(start).Round(time.Millisecond), f.name, length.Round(time.Millisecond)))
		if end := f.begin(s); end != nil {
			endings = append(endings, ending{at: time.Now().Add(length), end: end})
		}
		next := time.Now().Add(time.Duration(s.random.Int64N(int64(longestGap))))
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

// idle chooses an instance that is neither stopped nor suspended; at most one is at a time.
func (s *soak) idle() (int, bool) {
	i := s.random.IntN(len(s.world.instances))
	if len(s.busy) > 0 {
		return 0, false
	}
	s.busy[i] = true
	return i, true
}

// reload lets an instance read its settings again.
func (s *soak) reload() func() {
	i, found := s.idle()
	if !found {
		return nil
	}
	_ = s.world.Program(i).Signal(syscall.SIGHUP)
	delete(s.busy, i)
	return nil
}

// stop ends an instance by a signal, waits for its end, and starts it again.
func (s *soak) stop(signal syscall.Signal) func() {
	i, found := s.idle()
	if !found {
		return nil
	}
	_ = s.world.Program(i).Signal(signal)
	return func() {
		if _, err := s.world.Program(i).Wait((graceSeconds + 1) * time.Second); err != nil {
			s.failed = append(s.failed, fmt.Sprintf("instance %d has not ended: %v", i, err))
			_ = s.world.Program(i).Kill()
		}
		if err := s.world.Start(i); err != nil {
			s.failed = append(s.failed, err.Error())
		}
		delete(s.busy, i)
	}
}

func (s *soak) suspend() func() {
	i, found := s.idle()
	if !found {
		return nil
	}
	_ = s.world.Program(i).Signal(syscall.SIGSTOP)
	return func() {
		_ = s.world.Program(i).Signal(syscall.SIGCONT)
		delete(s.busy, i)
	}
}

func (s *soak) store(f keeper.Fault) func() {
	s.world.store.Fail(f)
	return func() {
		if f == keeper.Deaf {
			s.world.store.Compact()
		}
		s.world.store.Fail(keeper.None)
	}
}

// modes are the ways in which a link fails.
var modes = []forwarder.Mode{forwarder.ModeCut, forwarder.ModeSilent, forwarder.ModeSilentAll}

func set(links []*forwarder.Forwarder, mode forwarder.Mode) {
	for _, l := range links {
		l.Control(forwarder.Control{Mode: mode})
	}
}

func (s *soak) cutStore() func() {
	one := []*forwarder.Forwarder{s.world.storeLinks[s.random.IntN(len(s.world.storeLinks))]}
	set(one, modes[s.random.IntN(len(modes))])
	return func() { set(one, forwarder.ModeNormal) }
}

// some returns the ids of a random part of the targets, or of those of one failure domain.
func (s *soak) some() []string {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	domain := domains[s.random.IntN(len(domains))]
	whole := s.random.IntN(3) == 0
	var ids []string
	for _, service := range append([]string{"orders"}, shardNames()...) {
		for _, id := range s.world.services[service] {
			if whole && s.world.domains[id] == domain || !whole && s.random.IntN(4) == 0 {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func shardNames() []string {
	names := make([]string, 0, shards)
	for i := range shards {
		names = append(names, shardName(i))
	}
	return names
}

func (s *soak) cutTargets() func() {
	var links []*forwarder.Forwarder
	for _, id := range s.some() {
		s.world.mu.Lock()
		links = append(links, s.world.links[id])
		s.world.mu.Unlock()
	}
	set(links, modes[s.random.IntN(len(modes))])
	return func() { set(links, forwarder.ModeNormal) }
}

// spoilTargets lets targets misbehave with half of their requests.
func (s *soak) spoilTargets() func() {
	behaviour := worker.Shed + worker.Behaviour(s.random.IntN(int(worker.Unframed-worker.Shed)+1))
	ids := s.some()
	var n atomic.Int64
	for _, id := range ids {
		s.world.target(id).Behave(func(*http.Request) (worker.Behaviour, time.Duration) {
			if n.Add(1)%2 == 0 {
				return behaviour, searchWork
			}
			return worker.Answer, searchWork
		})
	}
	return func() {
		for _, id := range ids {
			s.world.target(id).Behave(usual("orders", searchWork, 0))
		}
	}
}

// replace starts a target beside a leaving one.
func (s *soak) replace() func() {
	service, domain := shardName(s.random.IntN(shards)), domains[s.random.IntN(2)]
	s.world.mu.Lock()
	var old string
	for _, id := range s.world.services[service] {
		if s.world.domains[id] == domain {
			old = id
		}
	}
	s.world.mu.Unlock()
	s.world.AddTarget(service, domain, searchWork)
	s.world.Drain(old, service, domain)
	return nil
}

func (s *soak) evacuate() func() {
	key := platform.PrefixEvacuate + domains[s.random.IntN(2)]
	s.world.store.Put(key, map[string]any{})
	return func() { s.world.store.Remove(key) }
}
