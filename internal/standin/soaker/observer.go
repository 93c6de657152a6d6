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
	// observeInterval is the time between two rounds of checks, observeTimeout limits one request.
	observeInterval, observeTimeout = 400 * time.Millisecond, time.Second
	// invariantCounter is the counter of invariant violations in the status of an instance.
	invariantCounter = "invariant-violations"
)

// observation is the state of a process at its last check.
type observation struct {
	incarnation string
	// generation is set for instances only, the following fields for targets only.
	generation, receivedSubQueries, coldOverloads int
	// workForbidden reports whether the target must not have received new work at that time.
	workForbidden bool
}

// observe checks all processes at each interval until ctx ends.
func (r *soakRun) observe(ctx context.Context) {
	for ctx.Err() == nil {
		r.deployment.recordUninformed(r.launcher.Instances())
		down, paused := r.deployment.unavailable()
		var checks sync.WaitGroup
		for target := range r.deployment.domains {
			r.checkRunning(target, down)
			if !down[target] && !paused[target] {
				checks.Go(func() { r.checkTarget(ctx, target) })
			}
		}
		for _, n := range r.launcher.Instances() {
			r.checkRunning(n.Name, down)
			if !down[n.Name] && !paused[n.Name] {
				checks.Go(func() { r.checkInstance(ctx, n) })
			}
		}
		checks.Wait()
		sleep(ctx, observeInterval)
	}
}

// checkRunning records a violation if a process exited without a fault that stopped it.
func (r *soakRun) checkRunning(name string, down map[string]bool) {
	if down[name] {
		return
	}
	// An error means that the process is still running. A fault may have stopped it since down was read.
	code, err := r.launcher.Wait(name, 0)
	if now, _ := r.deployment.unavailable(); err != nil || now[name] {
		return
	}
	r.deployment.setDown(name, true)
	r.recordViolation("exited", fmt.Sprintf("%s: exit code %d", name, code))
}

func (r *soakRun) checkTarget(ctx context.Context, name string) {
	ctx, stop := context.WithTimeout(ctx, observeTimeout)
	defer stop()
	workForbidden := r.deployment.isWorkForbidden(name, time.Now())
	s, err := r.launcher.ControlTarget(ctx, name, responder.Control{})
	if err != nil {
		return
	}
	now := observation{incarnation: s.Incarnation, receivedSubQueries: s.Executed, coldOverloads: s.ColdOverload, workForbidden: workForbidden}
	for _, n := range s.NotRun {
		now.receivedSubQueries += n
	}
	r.mu.Lock()
	before := r.observations[name]
	r.observations[name] = now
	r.mu.Unlock()
	if before.incarnation != now.incarnation {
		// The counters of a restarted target begin at 0.
		before = observation{workForbidden: before.workForbidden}
	}
	if n := now.coldOverloads - before.coldOverloads; n > 0 {
		r.recordViolation("cold-overload", fmt.Sprintf("%s: %d sub-queries above the cold limit", name, n))
	}
	// The sub-queries arrived at some time since the last check, so work must have been forbidden then, too.
	if n := now.receivedSubQueries - before.receivedSubQueries; n > 0 && before.workForbidden && workForbidden {
		r.recordViolation("work-after-closure", fmt.Sprintf("%s in %s: received %d sub-queries", name, r.deployment.domains[name], n))
	}
	if s.ConnectionsRefused > 0 {
		r.recordViolation("connection-cap", fmt.Sprintf("%s: %d connections refused", name, s.ConnectionsRefused))
	}
}

func (r *soakRun) checkInstance(ctx context.Context, n launcher.Instance) {
	ctx, stop := context.WithTimeout(ctx, observeTimeout)
	defer stop()
	events, err := replier.Get[encoder.EventsReply](ctx, fmt.Sprintf("http://%s/v1/events?after=%d", n.AdminAddress, r.events.lastClock(n.Name)))
	if err != nil {
		return
	}
	r.events.add(n.Name, events.Events)
	requiredGeneration := r.deployment.requiredGeneration(n.Name)
	s, err := replier.Get[encoder.StatusReply](ctx, "http://"+n.AdminAddress+"/v1/status")
	if err != nil {
		return
	}
	r.mu.Lock()
	before := r.observations[n.Name]
	r.observations[n.Name] = observation{incarnation: s.Incarnation, generation: s.Generation}
	r.mu.Unlock()
	if before.incarnation == s.Incarnation && s.Generation < before.generation {
		r.recordViolation("generation-reverted", fmt.Sprintf("%s: generation %d after generation %d", n.Name, s.Generation, before.generation))
	}
	// A fault may have excused the instance since the first call of requiredGeneration.
	if s.Generation < requiredGeneration && r.deployment.requiredGeneration(n.Name) > 0 {
		r.recordViolation("generation-late", fmt.Sprintf("%s: generation %d instead of %d", n.Name, s.Generation, requiredGeneration))
	}
	if v := s.Counters[invariantCounter]; v > 0 {
		r.recordViolation("invariant", fmt.Sprintf("%s: %d invariant violations", n.Name, v))
	}
}
