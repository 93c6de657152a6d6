package launcher

import (
	"context"
	"slices"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// Manifest returns the newest manifest.
func (l *Launcher) Manifest() encoder.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manifest
}

// WithDomain opens or closes a failure domain.
func (l *Launcher) WithDomain(ctx context.Context, name string, state encoder.FailureDomainState) error {
	return l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest { return deployer.WithDomain(m, name, state) })
}

// NewVersion gives the targets a new version of an index and then publishes it.
func (l *Launcher) NewVersion(ctx context.Context, index string) error {
	return l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest { return deployer.WithNewVersion(m, index) })
}

// Repartition gives the targets a new version of an index with twice the shards and then publishes it.
func (l *Launcher) Repartition(ctx context.Context, index string) error {
	return l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest { return deployer.WithRepartition(m, index) })
}

// Leaving lists a target as leaving or as live in the member list.
func (l *Launcher) Leaving(ctx context.Context, target string, leaving bool) error {
	return l.changeMembers(ctx, func(m *encoder.MemberList) {
		m.Targets = slices.DeleteFunc(m.Targets, func(t encoder.MemberTarget) bool { return t.Name == target })
		if leaving {
			m.Targets = append(m.Targets, encoder.MemberTarget{Name: target, State: encoder.MemberTargetStateLeaving})
		}
	})
}

// ChangeManifest publishes the result of change. Targets that can be reached hold its versions before.
func (l *Launcher) ChangeManifest(ctx context.Context, change func(encoder.Manifest) encoder.Manifest) error {
	l.changes.Lock()
	defer l.changes.Unlock()
	old := l.Manifest()
	changed := change(old)
	l.mu.Lock()
	l.manifest = changed
	controls := l.controls
	l.mu.Unlock()
	for name := range controls {
		before, held := deployer.Held(old, name), deployer.Held(changed, name)
		if slices.Equal(before, held) {
			continue
		}
		// Queries that run during the change still need the versions before; a target that cannot be reached
		// gets its versions when it starts again.
		for _, v := range before {
			if !slices.Contains(held, v) {
				held = append(held, v)
			}
		}
		_, _ = l.ControlTarget(ctx, name, responder.Control{Versions: &held})
	}
	return l.publish(ctx)
}

func (l *Launcher) changeMembers(ctx context.Context, change func(*encoder.MemberList)) error {
	l.changes.Lock()
	defer l.changes.Unlock()
	l.mu.Lock()
	l.members.Revision++
	l.members.Instances, l.members.Targets = slices.Clone(l.members.Instances), slices.Clone(l.members.Targets)
	change(&l.members)
	l.mu.Unlock()
	return l.publish(ctx)
}

// publish puts manifest and member list on the platform.
func (l *Launcher) publish(ctx context.Context) error {
	l.mu.Lock()
	manifest, members := encoder.Encode(l.manifest), encoder.Encode(l.members)
	l.mu.Unlock()
	url := "http://" + l.platform + "/v1/control/values/"
	if err := replier.Put(ctx, url+"manifest", manifest); err != nil {
		return err
	}
	return replier.Put(ctx, url+"members", members)
}
