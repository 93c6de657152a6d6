package timekeeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/timekeeper"
)

// Guards against a standstill that goes unnoticed by what runs before the next beat, and against ordinary delays that
// count as one.
func TestStandstillIsNoticedBeforeAndAfterNextBeat(t *testing.T) {
	now := time.Hour
	d := timekeeper.NewStandstillDetector(func() time.Duration { return now })
	for range 5 {
		now += 300 * time.Millisecond
		assert.Assert(t, !d.JustResumed())
		d.Beat()
	}
	now += 2 * time.Second
	assert.Assert(t, d.JustResumed())
	d.Beat()
	now += 100 * time.Millisecond
	d.Beat()
	assert.Assert(t, d.JustResumed())
	now += 200 * time.Millisecond
	d.Beat()
	assert.Assert(t, !d.JustResumed())
}
