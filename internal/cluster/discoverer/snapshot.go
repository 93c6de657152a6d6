package discoverer

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// TableError reports a routing table of another instance that has problems.
type TableError struct {
	// Problems is never empty.
	Problems []resolver.Problem
}

func (e *TableError) Error() string {
	return fmt.Sprintf("discoverer: routing table of another instance: %s", resolver.Summarize(e.Problems))
}

// answerSnapshot returns all that this instance knows of the platform.
func (d *Discoverer) answerSnapshot(context.Context, messenger.Peer, encoder.SnapshotRequest) (encoder.SnapshotReply, error) {
	return encodeSnapshot(d.registrar.View(), time.Now()), nil
}

func encodeSnapshot(view *registrar.View, now time.Time) encoder.SnapshotReply {
	reply := encoder.SnapshotReply{Revision: view.Revision(), ClosedDomains: view.ClosedDomains()}
	if view.Table() != nil {
		table := view.Table().Wire()
		reply.Table = &table
	}
	for _, t := range view.Targets() {
		reply.Targets = append(reply.Targets, encoder.RegisteredTarget{
			Target: t.ID, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain, Slots: t.Slots,
			Draining: t.Draining, Started: t.Started, WarmupMs: int(max(t.ColdUntil.Sub(now), 0).Milliseconds()),
		})
	}
	return reply
}

func decodeSnapshot(reply encoder.SnapshotReply) (registrar.Change, error) {
	change := registrar.Change{Revision: reply.Revision, Closed: reply.ClosedDomains, Complete: true}
	if reply.Table != nil {
		table, problems := mapper.New(*reply.Table)
		if len(problems) > 0 {
			return change, &TableError{Problems: problems}
		}
		change.Table = table
	}
	for _, t := range reply.Targets {
		change.Put = append(change.Put, registrar.Target{
			ID: t.Target, Service: t.Service, Address: t.Address, FailureDomain: t.FailureDomain, Slots: t.Slots,
			Draining: t.Draining, Started: t.Started, ColdUntil: time.Now().Add(time.Duration(t.WarmupMs) * time.Millisecond),
		})
	}
	return change, nil
}
