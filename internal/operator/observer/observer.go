// Package observer provides the configuration, members and targets for the status of a relaying instance, and records
// their changes as events for the timeline. In native mode, other packages provide the status and record the events.
// Serving the status is left to package server.
package observer

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/server"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/wire/encoder"
)

// States of a target in the status. The names are shared with native mode, in which a healthy target is warm instead of
// serving.
const (
	targetStateServing = "serving"
	targetStateDown    = "down"
	targetStateClosed  = "closed"
	// targetStateLeaving is the state of a withdrawn target: another one has answered at its address.
	targetStateLeaving  = "leaving"
	targetStateDraining = "draining"
	targetStateCold     = "cold"
)

// Targets provides the load and health of a target as seen by this instance.
type Targets interface {
	TargetUsage(t registrar.Target, service mapper.Service) picker.TargetUsage
}

// Members provides the status of the other instances.
type Members interface {
	Statuses() []encoder.MemberStatus
}

// PlatformState provides the time since the state of the platform's store was last known to be current.
type PlatformState interface {
	Age() time.Duration
}

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Observer provides the state of one instance and records its changes.
type Observer struct {
	registrar *registrar.Registrar
	targets   Targets
	members   Members
	platform  PlatformState
	events    Events
	// appliedAt is the time at which the routing table came into force, in Unix nanoseconds; 0 before the first table.
	appliedAt atomic.Int64
}

// New creates an observer.
func New(r *registrar.Registrar, targets Targets, members Members, platform PlatformState, events Events) *Observer {
	return &Observer{registrar: r, targets: targets, members: members, platform: platform, events: events}
}

// Configuration describes the routing table in force.
func (o *Observer) Configuration() server.Configuration {
	c := server.Configuration{PlatformAge: o.platform.Age()}
	if table := o.registrar.View().Table(); table != nil {
		c.Generation = table.Version()
	}
	if at := o.appliedAt.Load(); at > 0 {
		c.Age = time.Since(time.Unix(0, at))
	}
	return c
}

// Members returns the status of the known instances.
func (o *Observer) Members() []encoder.MemberStatus { return o.members.Statuses() }

// Targets returns the status of each target as seen by this instance.
func (o *Observer) Targets() []encoder.TargetStatus {
	view := o.registrar.View()
	statuses := []encoder.TargetStatus{}
	for _, t := range view.Targets() {
		usage := o.targets.TargetUsage(t, view.Table().Service(t.Service))
		statuses = append(statuses, encoder.TargetStatus{
			Target: t.ID, FailureDomain: t.FailureDomain, State: targetState(view, t, usage),
			// Targets have no owners in relay mode, so the share of this instance is its whole limit.
			Limit: usage.Limit, Share: usage.Limit, InFlight: usage.InFlight,
		})
	}
	return statuses
}

// targetState returns the state of a target. If several apply, the one that keeps requests away for the longest time
// counts. The order differs from the order by severity in package commander, which merges the states of several
// instances.
func targetState(view *registrar.View, t registrar.Target, usage picker.TargetUsage) string {
	switch {
	case slices.Contains(view.ClosedDomains(), t.FailureDomain):
		return targetStateClosed
	case t.Withdrawn:
		return targetStateLeaving
	case t.Draining, t.Leaving:
		return targetStateDraining
	case usage.IsDown:
		return targetStateDown
	case usage.IsCold:
		return targetStateCold
	}
	return targetStateServing
}

// Run records changes of the routing table, failure domains and targets as events until the context ends.
func (o *Observer) Run(ctx context.Context) {
	// Compare the first view with an empty one.
	before := registrar.New().View()
	for {
		changed := o.registrar.Changed()
		after := o.registrar.View()
		if after != before {
			o.recordChanges(before, after)
			before = after
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// recordChanges records an event for each difference between two views. The kinds of event are those of native mode:
// the routing table takes the place of the manifest, and its version that of the generation.
func (o *Observer) recordChanges(before, after *registrar.View) {
	if table := after.Table(); table != nil && table != before.Table() {
		o.appliedAt.Store(time.Now().UnixNano())
		o.events.Record(recorder.KindManifestApplied, "platform", "", fmt.Sprintf("generation %d", table.Version()))
	}
	closedBefore, closedAfter := before.ClosedDomains(), after.ClosedDomains()
	for _, domain := range closedAfter {
		if !slices.Contains(closedBefore, domain) {
			o.events.Record(recorder.KindFailureDomainClosed, domain, "", "")
		}
	}
	for _, domain := range closedBefore {
		if !slices.Contains(closedAfter, domain) {
			o.events.Record(recorder.KindFailureDomainOpen, domain, "", "")
		}
	}
	for _, t := range after.Targets() {
		old, known := before.Target(t.ID)
		switch {
		case t.Draining && (!known || !old.Draining):
			o.events.Record(recorder.KindTargetDraining, t.ID, "", t.Service)
		case t.Withdrawn && (!known || !old.Withdrawn):
			// Recorded as down, although the status shows a withdrawn target as leaving.
			o.events.Record(recorder.KindTargetDown, t.ID, "", "another target has answered at "+t.Address)
		case !known && !before.Position().IsZero():
			// The targets of the first view are not recorded.
			o.events.Record(recorder.KindTargetUp, t.ID, "", t.Service)
		}
	}
	for _, t := range before.Targets() {
		if _, known := after.Target(t.ID); !known {
			o.events.Record(recorder.KindTargetDown, t.ID, "", "no longer listed by the store")
		}
	}
}
