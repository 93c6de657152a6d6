package feeder

import (
	"fmt"
	"slices"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// TableError reports an invalid routing table from another instance.
type TableError struct {
	// Problems holds at least one problem.
	Problems []resolver.Problem
}

func (e *TableError) Error() string {
	return fmt.Sprintf("feeder: invalid routing table from another instance: %s", resolver.Summarize(e.Problems))
}

// positionOf returns the position of the store that the state of a reply corresponds to.
func positionOf(reply encoder.FollowReply) registrar.Position {
	return registrar.Position{Epoch: reply.Epoch, Revision: reply.Revision}
}

// positionOfRequest returns the position of the store that the sender of a request has.
func positionOfRequest(request encoder.FollowRequest) registrar.Position {
	return registrar.Position{Epoch: request.Epoch, Revision: request.Revision}
}

// encodeChange adds a change to a reply. The change must name all closed failure domains, as ChangeSince returns them.
// Times are sent as durations, because the clocks of instances differ.
func encodeChange(reply *encoder.FollowReply, change registrar.Change, now time.Time) {
	reply.Epoch, reply.Revision, reply.Complete = change.Position.Epoch, change.Position.Revision, change.Complete
	reply.Removed, reply.ClosedDomains = change.Removed, change.Closed
	if change.Table != nil {
		table := change.Table.Encoded()
		reply.Table = &table
	}
	for _, t := range change.Put {
		reply.Targets = append(reply.Targets, encoder.RegisteredTarget{
			Target: t.ID, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain, Slots: t.Slots,
			Draining: t.Draining, Leaving: t.Leaving, Seq: t.Seq, Withdrawn: t.Withdrawn, Started: t.Started, WarmupMs: int(max(t.ColdUntil.Sub(now), 0).Milliseconds()),
		})
	}
}

// decodeChange returns the change that leads from a state with the given closed failure domains to that of the reply. A
// reply names all closed domains; a partial change only those that were closed or opened.
func decodeChange(reply encoder.FollowReply, closed []string, now time.Time) (registrar.Change, error) {
	change := registrar.Change{Position: positionOf(reply), Removed: reply.Removed, Closed: reply.ClosedDomains, Complete: reply.Complete}
	if !reply.Complete {
		change.Closed = difference(reply.ClosedDomains, closed)
		change.Opened = difference(closed, reply.ClosedDomains)
	}
	if reply.Table != nil {
		table, problems := mapper.New(*reply.Table)
		if len(problems) > 0 {
			return change, &TableError{Problems: problems}
		}
		change.Table = table
	}
	for _, t := range reply.Targets {
		target := registrar.Target{
			ID: t.Target, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain, Slots: t.Slots, Draining: t.Draining,
			Leaving: t.Leaving, Seq: t.Seq, Withdrawn: t.Withdrawn, Started: t.Started, ColdUntil: registrar.WarmupEnd(now, float64(t.WarmupMs)),
		}
		if target.Validate(now) != nil {
			// The other instance has taken an entry that names no target, which it must not do; its other targets hold.
			change.Removed = append(change.Removed, target.ID)
			continue
		}
		change.Put = append(change.Put, target)
	}
	return change, nil
}

// difference returns the names that others does not contain.
func difference(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}
