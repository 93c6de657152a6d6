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
	// memberListLag is the delay of the member list during a KindMembersLag fault.
	memberListLag = 2 * time.Second
	// gracefulStopTimeout limits a graceful stop, which takes balancer-ms, shutdown-ms and the time to close the
	// connections.
	gracefulStopTimeout = 40 * time.Second
)

// revertFunc ends a fault. It is nil if nothing has to end the fault.
type revertFunc func(context.Context) error

// applyFault applies a fault and returns the function that ends it. That function must also be called after an error,
// because the fault may be partly in effect.
//
// The checks must never be stricter than the deployment allows. For this reason, an exclusion is recorded after its
// publication and removed before its end is published, and a process counts as down or paused from before the fault
// until after its end.
func (r *soakRun) applyFault(ctx context.Context, f Fault) (revertFunc, error) {
	switch f.Kind {
	case KindKillInstance, KindKillTarget:
		r.deployment.setDown(f.Subject, true)
		return r.restartFunc(f.Subject), r.launcher.Kill(f.Subject)
	case KindPauseInstance, KindPauseTarget:
		r.deployment.setPaused(f.Subject, true)
		return func(context.Context) error {
			defer r.deployment.setPaused(f.Subject, false)
			return r.launcher.Resume(f.Subject)
		}, r.launcher.Pause(f.Subject)
	case KindStopInstance:
		return r.stopInstance(f.Subject)
	case KindAddInstance:
		return r.addInstance(ctx)
	case KindSilentPeer, KindSilentTarget:
		r.launcher.Link(f.Subject).Control(forwarder.Control{Mode: forwarder.ModeSilent})
		return nil, nil
	case KindColdTarget, KindDrainTarget:
		return r.applyTargetFault(ctx, f)
	case KindLeavingTarget:
		return func(ctx context.Context) error {
			r.deployment.setLeaving(f.Subject, false)
			return r.launcher.SetTargetLeaving(ctx, f.Subject, false)
		}, r.markLeaving(ctx, f.Subject)
	case KindPullDomain:
		return func(ctx context.Context) error {
			r.deployment.setClosed(f.Subject, false)
			return r.publishManifest(func() error { return r.launcher.SetDomainState(ctx, f.Subject, encoder.FailureDomainStateOpen) })
		}, r.closeDomain(ctx, f.Subject)
	case KindNewVersion:
		return nil, r.publishManifest(func() error { return r.launcher.PublishNewVersion(ctx, f.Subject) })
	case KindRepartition:
		return nil, r.publishManifest(func() error { return r.launcher.PublishRepartition(ctx, f.Subject) })
	case KindPartition:
		r.launcher.SetDomainLinkMode(f.Subject, f.OtherDomain, linkMode(f))
		r.deployment.setPartitioned(f.Subject, f.OtherDomain, true)
		return func(context.Context) error {
			r.launcher.SetDomainLinkMode(f.Subject, f.OtherDomain, forwarder.ModeNormal)
			r.deployment.setPartitioned(f.Subject, f.OtherDomain, false)
			return nil
		}, nil
	case KindCutPlatform:
		r.launcher.SetPlatformLinkMode(f.Subject, linkMode(f))
		r.deployment.setPartitioned(f.Subject, "", true)
		return func(context.Context) error {
			r.launcher.SetPlatformLinkMode(f.Subject, forwarder.ModeNormal)
			r.deployment.setPartitioned(f.Subject, "", false)
			return nil
		}, nil
	default:
		return r.applyPlatformFault(ctx, f.Kind)
	}
}

func linkMode(f Fault) forwarder.Mode {
	if f.Silent {
		return forwarder.ModeSilentAll
	}
	return forwarder.ModeCut
}

func (r *soakRun) restartFunc(name string) revertFunc {
	return func(ctx context.Context) error {
		err := r.launcher.Restart(ctx, name)
		r.deployment.setDown(name, false)
		return err
	}
}

// stopInstance asks an instance for a graceful stop. The returned function waits for its exit and starts it again.
func (r *soakRun) stopInstance(name string) (revertFunc, error) {
	r.deployment.setDown(name, true)
	if err := r.launcher.Terminate(name); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		r.gracefulExitCheck(name)(r.launcher.Wait(name, gracefulStopTimeout))
		return r.restartFunc(name)(ctx)
	}, nil
}

// gracefulExitCheck returns a function that takes the exit code of a stopped instance and the error of waiting for it,
// and records a violation unless the instance stopped gracefully.
func (r *soakRun) gracefulExitCheck(name string) func(int, error) {
	return func(code int, err error) {
		if code != 0 || err != nil {
			r.recordViolation("stop-not-graceful", fmt.Sprintf("%s: exit code %d, error %v", name, code, err))
		}
	}
}

func (r *soakRun) addInstance(ctx context.Context) (revertFunc, error) {
	n, err := r.launcher.AddInstance(ctx)
	if err != nil {
		return nil, err
	}
	r.deployment.markStarted(n.Name)
	return func(ctx context.Context) error {
		r.deployment.setDown(n.Name, true)
		r.gracefulExitCheck(n.Name)(r.launcher.StopAndRemoveInstance(ctx, n.Name, gracefulStopTimeout))
		return nil
	}, nil
}

// applyTargetFault makes a target cold, or makes it drain.
func (r *soakRun) applyTargetFault(ctx context.Context, f Fault) (revertFunc, error) {
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

func (r *soakRun) markLeaving(ctx context.Context, target string) error {
	lag := r.deployment.currentMemberListLag()
	err := r.launcher.SetTargetLeaving(ctx, target, true)
	r.deployment.setLeaving(target, true)
	r.deployment.extendDeadline(target, lag)
	return err
}

func (r *soakRun) closeDomain(ctx context.Context, domain string) error {
	err := r.publishManifest(func() error { return r.launcher.SetDomainState(ctx, domain, encoder.FailureDomainStateClosed) })
	r.deployment.setClosed(domain, true)
	return err
}

// publishManifest calls publish, one call at a time, and records the generation that it published.
func (r *soakRun) publishManifest(publish func() error) error {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	err := publish()
	r.deployment.setPublished(r.manifestWithAllVersions().Generation)
	return err
}

func (r *soakRun) applyPlatformFault(ctx context.Context, kind Kind) (revertFunc, error) {
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
				lag = int(memberListLag.Milliseconds())
			}
			c.MembersLagMs = &lag
		}
		r.deployment.setPlatformFault(kind, on)
		_, err := r.launcher.ControlPlatform(ctx, c)
		return err
	}
	return func(ctx context.Context) error { return set(ctx, false) }, set(ctx, true)
}
