package timekeeper

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the interval at which a StandstillDetector records that the process runs.
	beatInterval = 100 * time.Millisecond
	// minStandstill is the minimum time without a beat that counts as a standstill.
	minStandstill = 500 * time.Millisecond
	// resumePeriod is the time after a standstill in which what the process reads may have been sent before its end.
	resumePeriod = 250 * time.Millisecond
)

// StandstillDetector notices that the process or its machine stood still, as when it is frozen or suspended.
type StandstillDetector struct {
	// beatAt and resumedAt are boot times in nanoseconds; resumedAt is 0 before the first standstill.
	beatAt, resumedAt atomic.Int64
	bootTime          func() time.Duration
}

// NewStandstillDetector returns a detector, with BootTime as the usual clock.
func NewStandstillDetector(bootTime func() time.Duration) *StandstillDetector {
	d := &StandstillDetector{bootTime: bootTime}
	d.beatAt.Store(int64(bootTime()))
	return d
}

// Run records beats until the context ends.
func (d *StandstillDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.Beat()
		}
	}
}

// Beat records that the process runs.
func (d *StandstillDetector) Beat() {
	now := d.bootTime()
	if now-time.Duration(d.beatAt.Swap(int64(now))) >= minStandstill {
		d.resumedAt.Store(int64(now))
	}
}

// JustResumed reports whether a standstill has ended within the last moments.
func (d *StandstillDetector) JustResumed() bool {
	now := d.bootTime()
	// The first beat after a standstill may come after the first requests.
	if now-time.Duration(d.beatAt.Load()) >= minStandstill {
		return true
	}
	resumedAt := time.Duration(d.resumedAt.Load())
	return resumedAt > 0 && now-resumedAt < resumePeriod
}
