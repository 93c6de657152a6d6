package soaker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// observeInterval is the time between two observations, observeTimeout that of one request.
	observeInterval, observeTimeout = 400 * time.Millisecond, time.Second
	// invariantCounter counts violated invariants in an instance.
	invariantCounter = "invariant-violations"
)

// sample is the last observation of a process.
type sample struct {
	incarnation string
	// generation belongs to an instance, the other fields to a target.
	generation, received, overload int
	// closed is set when the target had to get no new work at that time.
	closed bool
}

// observe checks all processes again and again until ctx ends.
func (r *run) observe(ctx context.Context) {
	for ctx.Err() == nil {
		r.world.observe(r.launcher.Instances())
		down, paused := r.world.unavailable()
		var asking sync.WaitGroup
		for target := range r.world.domains {
			r.checkRunning(target, down)
			if !down[target] && !paused[target] {
				asking.Go(func() { r.observeTarget(ctx, target) })
			}
		}
		for _, n := range r.launcher.Instances() {
			r.checkRunning(n.Name, down)
			if !down[n.Name] && !paused[n.Name] {
				asking.Go(func() { r.observeInstance(ctx, n) })
			}
		}
		asking.Wait()
		sleep(ctx, observeInterval)
	}
}

// checkRunning reports a process that ended by itself.
func (r *run) checkRunning(name string, down map[string]bool) {
	if down[name] {
		return
	}
	code, err := r.launcher.Wait(name, 0)
	if now, _ := r.world.unavailable(); err != nil || now[name] {
		return
	}
	r.world.setDown(name, true)
	r.violate("exited", fmt.Sprintf("%s with code %d", name, code))
}

func (r *run) observeTarget(ctx context.Context, name string) {
	ctx, stop := context.WithTimeout(ctx, observeTimeout)
	defer stop()
	closed := r.world.forbidden(name, time.Now())
	s, err := r.launcher.ControlTarget(ctx, name, responder.Control{})
	if err != nil {
		return
	}
	now := sample{incarnation: s.Incarnation, received: s.Executed, overload: s.ColdOverload, closed: closed}
	for _, n := range s.NotRun {
		now.received += n
	}
	r.mu.Lock()
	before := r.samples[name]
	r.samples[name] = now
	r.mu.Unlock()
	if before.incarnation != now.incarnation {
		before = sample{closed: before.closed}
	}
	if n := now.overload - before.overload; n > 0 {
		r.violate("cold-overload", fmt.Sprintf("%s: %d times", name, n))
	}
	if n := now.received - before.received; n > 0 && before.closed && closed {
		r.violate("work-after-closure", fmt.Sprintf("%s in %s: %d sub-queries", name, r.world.domains[name], n))
	}
	if s.ConnectionsRefused > 0 {
		r.violate("connection-cap", fmt.Sprintf("%s: %d connections refused", name, s.ConnectionsRefused))
	}
}

func (r *run) observeInstance(ctx context.Context, n launcher.Instance) {
	ctx, stop := context.WithTimeout(ctx, observeTimeout)
	defer stop()
	events, err := replier.Get[encoder.EventsReply](ctx, fmt.Sprintf("http://%s/v1/events?after=%d", n.Admin, r.events.after(n.Name)))
	if err != nil {
		return
	}
	r.events.add(n.Name, events.Events)
	required := r.world.required(n.Name)
	s, err := replier.Get[encoder.StatusReply](ctx, "http://"+n.Admin+"/v1/status")
	if err != nil {
		return
	}
	r.mu.Lock()
	before := r.samples[n.Name]
	r.samples[n.Name] = sample{incarnation: s.Incarnation, generation: s.Generation}
	r.mu.Unlock()
	if before.incarnation == s.Incarnation && s.Generation < before.generation {
		r.violate("generation-reverted", fmt.Sprintf("%s: %d after %d", n.Name, s.Generation, before.generation))
	}
	if s.Generation < required && r.world.required(n.Name) > 0 {
		r.violate("generation-late", fmt.Sprintf("%s has generation %d of %d", n.Name, s.Generation, required))
	}
	if v := s.Counters[invariantCounter]; v > 0 {
		r.violate("invariant", fmt.Sprintf("%s: %d violations", n.Name, v))
	}
}
