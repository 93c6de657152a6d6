package soaker

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/publisher"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// membersLag is the delay of the member list while it lags.
	membersLag = 2 * time.Second
	// stopLimit is how long a planned stop may take: balancer-ms, shutdown-ms and closing the connections.
	stopLimit = 40 * time.Second
)

// undo ends a fault; it is nil when nothing is left to do.
type undo func(context.Context) error

func (r *run) apply(ctx context.Context, f Fault) (undo, error) {
	switch f.Kind {
	case KindKillInstance, KindKillTarget:
		r.world.setDown(f.Subject, true)
		return r.restart(f.Subject), r.launcher.Kill(f.Subject)
	case KindPauseInstance, KindPauseTarget:
		r.world.setPaused(f.Subject, true)
		return func(context.Context) error {
			defer r.world.setPaused(f.Subject, false)
			return r.launcher.Continue(f.Subject)
		}, r.launcher.Stop(f.Subject)
	case KindStopInstance:
		return r.stop(f.Subject)
	case KindAddInstance:
		return r.add(ctx)
	case KindSilentPeer, KindSilentTarget:
		r.launcher.Link(f.Subject).Control(forwarder.Control{Mode: forwarder.ModeSilent})
		return nil, nil
	case KindColdTarget, KindDrainTarget:
		return r.control(ctx, f)
	case KindLeavingTarget:
		return func(ctx context.Context) error {
			r.world.setLeaving(f.Subject, false)
			return r.launcher.Leaving(ctx, f.Subject, false)
		}, r.leave(ctx, f.Subject)
	case KindPullDomain:
		return func(ctx context.Context) error {
			r.world.setClosed(f.Subject, false)
			return r.change(func() error { return r.launcher.WithDomain(ctx, f.Subject, encoder.FailureDomainStateOpen) })
		}, r.pull(ctx, f.Subject)
	case KindNewVersion:
		return nil, r.change(func() error { return r.launcher.NewVersion(ctx, f.Subject) })
	case KindRepartition:
		return nil, r.change(func() error { return r.launcher.Repartition(ctx, f.Subject) })
	case KindPartition:
		r.launcher.Partition(f.Subject, f.Other, mode(f))
		r.world.setCut(f.Subject, f.Other, true)
		return func(context.Context) error {
			r.launcher.Partition(f.Subject, f.Other, forwarder.ModeNormal)
			r.world.setCut(f.Subject, f.Other, false)
			return nil
		}, nil
	case KindCutPlatform:
		r.launcher.PartitionPlatform(f.Subject, mode(f))
		r.world.setCut(f.Subject, "", true)
		return func(context.Context) error {
			r.launcher.PartitionPlatform(f.Subject, forwarder.ModeNormal)
			r.world.setCut(f.Subject, "", false)
			return nil
		}, nil
	default:
		return r.platform(ctx, f.Kind)
	}
}

func mode(f Fault) forwarder.Mode {
	if f.Silent {
		return forwarder.ModeSilentAll
	}
	return forwarder.ModeCut
}

func (r *run) restart(name string) undo {
	return func(ctx context.Context) error {
		err := r.launcher.Restart(ctx, name)
		r.world.setDown(name, false)
		return err
	}
}

// stop is a planned stop, which must cut off no request.
func (r *run) stop(name string) (undo, error) {
	r.world.setDown(name, true)
	if err := r.launcher.Terminate(name); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		r.checkStop(name)(r.launcher.Wait(name, stopLimit))
		return r.restart(name)(ctx)
	}, nil
}

func (r *run) checkStop(name string) func(int, error) {
	return func(code int, err error) {
		if code != 0 || err != nil {
			r.violate("stop-not-graceful", fmt.Sprintf("%s: exit code %d, error %v", name, code, err))
		}
	}
}

func (r *run) add(ctx context.Context) (undo, error) {
	n, err := r.launcher.AddInstance(ctx)
	if err != nil {
		return nil, err
	}
	r.world.setStarted(n.Name)
	return func(ctx context.Context) error {
		r.world.setDown(n.Name, true)
		r.checkStop(n.Name)(r.launcher.RemoveInstance(ctx, n.Name, stopLimit))
		return nil
	}, nil
}

func (r *run) control(ctx context.Context, f Fault) (undo, error) {
	cold := true
	if f.Kind == KindColdTarget {
		_, err := r.launcher.ControlTarget(ctx, f.Subject, responder.Control{Cold: &cold})
		return nil, err
	}
	_, err := r.launcher.ControlTarget(ctx, f.Subject, responder.Control{Drain: true})
	return func(ctx context.Context) error {
		_, err := r.launcher.ControlTarget(ctx, f.Subject, responder.Control{Undrain: true})
		return err
	}, err
}

func (r *run) leave(ctx context.Context, target string) error {
	lag := r.world.lag()
	err := r.launcher.Leaving(ctx, target, true)
	r.world.setLeaving(target, true)
	r.world.postpone(target, lag)
	return err
}

func (r *run) pull(ctx context.Context, domain string) error {
	err := r.change(func() error { return r.launcher.WithDomain(ctx, domain, encoder.FailureDomainStateClosed) })
	r.world.setClosed(domain, true)
	return err
}

// change publishes a manifest, one at a time.
func (r *run) change(publish func() error) error {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	err := publish()
	r.world.setPublished(r.manifest().Generation)
	return err
}

func (r *run) platform(ctx context.Context, kind Kind) (undo, error) {
	set := func(ctx context.Context, on bool) error {
		var c publisher.Control
		lag := 0
		switch kind {
		case KindPlatformDown:
			c.Down = &on
		case KindPlatformStale:
			c.Stale = &on
		default:
			if on {
				lag = int(membersLag.Milliseconds())
			}
			c.LagMs = &lag
		}
		r.world.setPlatform(kind, on)
		_, err := r.launcher.ControlPlatform(ctx, c)
		return err
	}
	return func(ctx context.Context) error { return set(ctx, false) }, set(ctx, true)
}
