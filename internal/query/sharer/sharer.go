// Package sharer exchanges what the instances know of requests under which targets end, in relay mode. An observation is
// sent to all other instances at once, and everything known goes along with the periodic exchanges of package discoverer,
// which repairs lost messages and tells instances that have started or were cut off. Package quarantiner decides by it.
package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/wire/encoder"
)

const (
	methodQuarantine = "quarantine"
	// maxSharedRecords is the maximum number of records in a message, which takes up to 20 KB with them.
	maxSharedRecords = 64
	// sendInterval is the minimum time between two notifications of all instances. Observations in between share one.
	sendInterval = 50 * time.Millisecond
	// sendTimeout limits a notification of one instance.
	sendTimeout = time.Second
)

// Instances lists the other instances.
type Instances interface {
	OtherInstances() []string
}

// Sharer sends the observations of this instance and receives those of the others.
type Sharer struct {
	instances  Instances
	quarantine *quarantiner.Quarantiner
	logger     *log.Logger
	scope      tally.Scope
	messenger  *messenger.Messenger
	// wake receives a value when there is something to send.
	wake chan struct{}

	mu sync.Mutex
	// unsent holds the latest record of each request that was observed since the last notification.
	unsent map[quarantiner.Fingerprint]quarantiner.Record
}

// New returns a Sharer without a messenger; see Attach.
func New(instances Instances, q *quarantiner.Quarantiner, logger *log.Logger, scope tally.Scope) *Sharer {
	s := &Sharer{
		instances: instances, quarantine: q, logger: logger, scope: scope, wake: make(chan struct{}, 1),
		unsent: make(map[quarantiner.Fingerprint]quarantiner.Record),
	}
	q.Subscribe(s.enqueue, s.logChange)
	return s
}

// Attach sets the messenger and registers the method on it. It must be called before the messenger starts.
func (s *Sharer) Attach(m *messenger.Messenger) {
	s.messenger = m
	messenger.Handle(m, methodQuarantine, func(_ context.Context, _ messenger.Peer, message encoder.QuarantineMessage) (struct{}, error) {
		s.Merge(message.Records)
		return struct{}{}, nil
	})
}

// Run sends observations until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.sendToAll(ctx, s.takeUnsent())
		timekeeper.Sleep(ctx, sendInterval)
	}
}

// enqueue queues an observation for the next notification.
func (s *Sharer) enqueue(r quarantiner.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent[r.Fingerprint] = r
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sharer) takeUnsent() []quarantiner.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]quarantiner.Record, 0, len(s.unsent))
	for _, r := range s.unsent {
		if len(records) == maxSharedRecords {
			// The rest goes along with the periodic exchanges.
			break
		}
		records = append(records, r)
	}
	clear(s.unsent)
	return records
}

// sendToAll notifies all other instances. Those that are not reached learn of it by the periodic exchanges.
func (s *Sharer) sendToAll(ctx context.Context, records []quarantiner.Record) {
	message := encoder.QuarantineMessage{Records: encode(records, time.Now())}
	for _, name := range s.instances.OtherInstances() {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := messenger.Notify(callCtx, s.messenger, name, methodQuarantine, message); err != nil {
				s.scope.Counter("quarantine-unsent").Inc(1)
				s.logger.Debug("observations of requests not sent", "peer", name, "error", err)
			}
		}()
	}
}

// logChange logs a change of the verdict on a request.
func (s *Sharer) logChange(c quarantiner.Change) {
	pairs := []any{"fingerprint", c.Record.Fingerprint, "generation", c.Record.Generation, "ended", c.Record.Ended, "tried", c.Record.Tried}
	switch {
	case c.After == quarantiner.Quarantined:
		s.scope.Counter("quarantine-begun").Inc(1)
		s.logger.Warn("request quarantined, targets have ended under it", pairs...)
	case c.Before == quarantiner.Unsuspected:
		s.scope.Counter("quarantine-suspected").Inc(1)
		s.logger.Info("request suspected, targets have ended under it", pairs...)
	case c.After == quarantiner.Unsuspected:
		s.scope.Counter("quarantine-cleared").Inc(1)
		s.logger.Info("request no longer suspected, a target has answered it", pairs...)
	}
}

// Records returns what is known of requests, for the periodic exchange.
func (s *Sharer) Records() []encoder.QuarantineRecord {
	return encode(s.quarantine.Records(maxSharedRecords), time.Now())
}

// Merge merges what another instance knows of requests.
func (s *Sharer) Merge(records []encoder.QuarantineRecord) {
	now := time.Now()
	decoded := make([]quarantiner.Record, 0, len(records))
	for _, r := range records[:min(len(records), maxSharedRecords)] {
		decoded = append(decoded, quarantiner.Record{
			Fingerprint: quarantiner.Fingerprint(r.Fingerprint), Generation: r.Generation, Cleared: r.Cleared, Ended: r.Ended, Tried: r.Tried,
			At: now.Add(-time.Duration(max(r.AgeMs, 0)) * time.Millisecond),
		})
	}
	s.quarantine.Merge(decoded)
}

// encode encodes records. Times are sent as ages, because the clocks of instances differ.
func encode(records []quarantiner.Record, now time.Time) []encoder.QuarantineRecord {
	encoded := make([]encoder.QuarantineRecord, 0, len(records))
	for _, r := range records {
		encoded = append(encoded, encoder.QuarantineRecord{
			Fingerprint: string(r.Fingerprint), Generation: r.Generation, Cleared: r.Cleared, Ended: append([]string{}, r.Ended...), Tried: r.Tried,
			AgeMs: int(now.Sub(r.At).Milliseconds()),
		})
	}
	return encoded
}
