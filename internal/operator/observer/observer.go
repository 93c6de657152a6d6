// Package observer shows operators the state of an instance that relays: its part of the status, and the changes of that
// state as events for the time line.
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

// States of a target in the status.
const (
	stateServing  = "serving"
	stateDown     = "down"
	stateClosed   = "closed"
	stateLeaving  = "leaving"
	stateDraining = "draining"
	stateCold     = "cold"
)

// Targets provides what is known of the requests to a target.
type Targets interface {
	Report(t registrar.Target, service mapper.Service) picker.Report
}

// Members provides the other instances.
type Members interface {
	Statuses() []encoder.MemberStatus
}

// Freshness tells how old what is known of the platform is.
type Freshness interface {
	Age() time.Duration
}

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Observer shows the state of one instance.
type Observer struct {
	registrar *registrar.Registrar
	targets   Targets
	members   Members
	freshness Freshness
	events    Events
	// appliedAt is when the table came into force, in Unix nanoseconds; 0 before the first one.
	appliedAt atomic.Int64
}

// New creates an observer.
func New(r *registrar.Registrar, targets Targets, members Members, freshness Freshness, events Events) *Observer {
	return &Observer{registrar: r, targets: targets, members: members, freshness: freshness, events: events}
}

// Configuration describes the routing table in force.
func (o *Observer) Configuration() server.Configuration {
	c := server.Configuration{PlatformAge: o.freshness.Age()}
	if table := o.registrar.View().Table(); table != nil {
		c.Generation = table.Version()
	}
	if at := o.appliedAt.Load(); at > 0 {
		c.Age = time.Since(time.Unix(0, at))
	}
	return c
}

// Members returns the known instances.
func (o *Observer) Members() []encoder.MemberStatus { return o.members.Statuses() }

// Targets returns the state of each target as this instance sees it.
func (o *Observer) Targets() []encoder.TargetStatus {
	view := o.registrar.View()
	statuses := []encoder.TargetStatus{}
	for _, t := range view.Targets() {
		report := o.targets.Report(t, view.Table().Service(t.Service))
		statuses = append(statuses, encoder.TargetStatus{
			Target: t.ID, FailureDomain: t.FailureDomain, State: state(view, t, report),
			Limit: report.Limit, Share: report.Limit, InFlight: report.InFlight,
		})
	}
	return statuses
}

func state(view *registrar.View, t registrar.Target, report picker.Report) string {
	switch {
	case slices.Contains(view.ClosedDomains(), t.FailureDomain):
		return stateClosed
	case t.Withdrawn:
		return stateLeaving
	case t.Draining:
		return stateDraining
	case report.Down:
		return stateDown
	case report.Cold:
		return stateCold
	}
	return stateServing
}

// Run records changes of the state until the context ends.
func (o *Observer) Run(ctx context.Context) {
	before := registrar.New().View()
	for {
		changed := o.registrar.Changed()
		after := o.registrar.View()
		if after != before {
			o.compare(before, after)
			before = after
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// compare records what differs between two views.
func (o *Observer) compare(before, after *registrar.View) {
	if table := after.Table(); table != nil && table != before.Table() {
		o.appliedAt.Store(time.Now().UnixNano())
		o.events.Record(recorder.KindManifestApplied, "platform", "", fmt.Sprintf("generation %d", table.Version()))
	}
	was, is := before.ClosedDomains(), after.ClosedDomains()
	for _, domain := range is {
		if !slices.Contains(was, domain) {
			o.events.Record(recorder.KindFailureDomainClosed, domain, "", "")
		}
	}
	for _, domain := range was {
		if !slices.Contains(is, domain) {
			o.events.Record(recorder.KindFailureDomainOpen, domain, "", "")
		}
	}
	for _, t := range after.Targets() {
		old, known := before.Target(t.ID)
		switch {
		case t.Draining && (!known || !old.Draining):
			o.events.Record(recorder.KindTargetDraining, t.ID, "", t.Service)
		case t.Withdrawn && (!known || !old.Withdrawn):
			o.events.Record(recorder.KindTargetDown, t.ID, "", "another target has answered at "+t.Address)
		case !known && before.Revision() > 0:
			o.events.Record(recorder.KindTargetUp, t.ID, "", t.Service)
		}
	}
	for _, t := range before.Targets() {
		if _, known := after.Target(t.ID); !known {
			o.events.Record(recorder.KindTargetDown, t.ID, "", "left the directory")
		}
	}
}
