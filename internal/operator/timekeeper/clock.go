// Package timekeeper provides the clocks of an instance: boot time for durations and a hybrid logical clock for events.
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started. It counts through a suspended process or machine, and
// never goes back.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("timekeeper: read boot time: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// logicalBits is the width of the counter below the milliseconds of a hybrid logical clock.
const logicalBits = 16

// HybridClock is a hybrid logical clock: a value read after another one, on the same or on a notified process,
// is greater.
type HybridClock struct {
	// last only rises.
	last atomic.Int64
	wall func() time.Time
}

// NewHybridClock creates a clock over a source of wall time, usually time.Now.
func NewHybridClock(wall func() time.Time) *HybridClock {
	return &HybridClock{wall: wall}
}

// Now returns the next value, to be recorded or sent.
func (c *HybridClock) Now() int {
	return c.advance(0)
}

// Observe takes the value of a received message into account.
func (c *HybridClock) Observe(remote int) {
	c.advance(int64(remote))
}

func (c *HybridClock) advance(remote int64) int {
	wall := c.wall().UnixMilli() << logicalBits
	for {
		last := c.last.Load()
		next := max(wall, last+1, remote+1)
		if c.last.CompareAndSwap(last, next) {
			return int(next)
		}
	}
}

// WallTime returns the wall time within a value of a hybrid logical clock, to the millisecond.
func WallTime(value int) time.Time {
	return time.UnixMilli(int64(value) >> logicalBits)
}

// ValueAt returns the smallest value of a hybrid logical clock at the wall time.
func ValueAt(wall time.Time) int {
	return int(wall.UnixMilli() << logicalBits)
}
