package launcher

import (
	"context"
	"slices"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// Manifest returns the newest manifest. Its publication may have failed, or may still be in progress.
func (l *Launcher) Manifest() encoder.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manifest
}

// SetDomainState publishes a manifest in which a failure domain is open or closed.
func (l *Launcher) SetDomainState(ctx context.Context, name string, state encoder.FailureDomainState) error {
	return l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest { return deployer.WithDomainState(m, name, state) })
}

// PublishNewVersion gives the targets a new version of an index and then publishes it.
func (l *Launcher) PublishNewVersion(ctx context.Context, index string) error {
	return l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest { return deployer.WithNewVersion(m, index) })
}

// PublishRepartition gives the targets a new version of an index with twice the shards and then publishes it.
func (l *Launcher) PublishRepartition(ctx context.Context, index string) error {
	return l.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest { return deployer.WithRepartition(m, index) })
}

// SetTargetLeaving lists a target as leaving in the member list, or removes it from the list.
func (l *Launcher) SetTargetLeaving(ctx context.Context, target string, leaving bool) error {
	return l.changeMembers(ctx, func(m *encoder.MemberList) {
		m.Targets = slices.DeleteFunc(m.Targets, func(t encoder.MemberTarget) bool { return t.Name == target })
		if leaving {
			m.Targets = append(m.Targets, encoder.MemberTarget{Name: target, State: encoder.MemberTargetStateLeaving})
		}
	})
}

// ChangeManifest applies change to the manifest and publishes the result. Before that, it gives the new versions to the
// targets that can be reached.
func (l *Launcher) ChangeManifest(ctx context.Context, change func(encoder.Manifest) encoder.Manifest) error {
	l.changeMu.Lock()
	defer l.changeMu.Unlock()
	old := l.Manifest()
	changed := change(old)
	l.mu.Lock()
	l.manifest = changed
	controlAddresses := l.controlAddresses
	l.mu.Unlock()
	for name := range controlAddresses {
		before, held := deployer.HeldVersions(old, name), deployer.HeldVersions(changed, name)
		if slices.Equal(before, held) {
			continue
		}
		// Queries that run during the change still need the old versions. A target that cannot be reached gets its
		// versions when it starts again.
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
	l.changeMu.Lock()
	defer l.changeMu.Unlock()
	l.mu.Lock()
	l.members.Revision++
	l.members.Instances, l.members.Targets = slices.Clone(l.members.Instances), slices.Clone(l.members.Targets)
	change(&l.members)
	l.mu.Unlock()
	return l.publish(ctx)
}

// publish puts the manifest and the member list on the platform.
func (l *Launcher) publish(ctx context.Context) error {
	l.mu.Lock()
	manifest, members := encoder.Encode(l.manifest), encoder.Encode(l.members)
	l.mu.Unlock()
	url := "http://" + l.platformAddress + "/v1/control/values/"
	if err := replier.Put(ctx, url+"manifest", manifest); err != nil {
		return err
	}
	return replier.Put(ctx, url+"members", members)
}
