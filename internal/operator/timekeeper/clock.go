// Package timekeeper provides the clocks of an instance: boot time for durations, and a hybrid logical clock that
// orders events across instances. Packages of both modes use it, and the command line converts clock values with it.
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started. It includes the time for which the process or machine was
// suspended, and never goes back.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("timekeeper: read boot time: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// logicalBits is the number of bits of the counter in a value of the hybrid logical clock. The bits above it are
// milliseconds of Unix time.
const logicalBits = 16

// HybridClock is a hybrid logical clock. A value is greater than all values that were read or observed before, in this
// process or in those whose values it has observed.
type HybridClock struct {
	// last is the latest value; it only rises.
	last atomic.Int64
	wall func() time.Time
}

// NewHybridClock creates a clock from a source of wall time, usually time.Now.
func NewHybridClock(wall func() time.Time) *HybridClock {
	return &HybridClock{wall: wall}
}

// Now returns the next value, to stamp an event or a message with. Its lower logicalBits bits are a counter, the bits
// above are milliseconds of Unix time.
func (c *HybridClock) Now() int {
	return c.advance(0)
}

// Observe advances the clock beyond the value of a received message.
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

// WallTime returns the wall time in a value of a hybrid logical clock, to the millisecond.
func WallTime(value int) time.Time {
	return time.UnixMilli(int64(value) >> logicalBits)
}

// ValueAt returns the smallest value of a hybrid logical clock at the wall time.
func ValueAt(wall time.Time) int {
	return int(wall.UnixMilli() << logicalBits)
}
