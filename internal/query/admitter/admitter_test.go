package admitter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/admitter"
	"apricotflow/internal/wire/encoder"
)

const (
	urgent     = encoder.QueryClassPriorityUrgent
	normal     = encoder.QueryClassPriorityNormal
	background = encoder.QueryClassPriorityBackground
)

func newAdmitter(limit int) (*admitter.Admitter, *recorder.Recorder) {
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	return admitter.New(limit, events, tally.NoopScope), events
}

func fill(t *testing.T, a *admitter.Admitter, priority encoder.QueryClassPriority) (releases []admitter.Release) {
	t.Helper()
	for {
		release, err := a.Admit(t.Context(), priority, time.Second)
		if err != nil {
			assert.ErrorType(t, err, &admitter.ShedError{})
			return releases
		}
		releases = append(releases, release)
	}
}

// Background work that fills the limit would shut out urgent queries.
func TestLowerPrioritiesAreShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(20)
		assert.Equal(t, len(fill(t, a, background)), 10)
		assert.Equal(t, len(fill(t, a, normal)), 8)
		assert.Equal(t, len(fill(t, a, urgent)), 2)
		assert.Equal(t, a.Running(), 20)
	})
}

// An urgent query must get the next slot instead of being shed in a short burst, and neither a slot handed
// over nor a caller that leaves while it waits must leak one.
func TestUrgentWaitsShortlyForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(4)
		releases := fill(t, a, urgent)
		time.AfterFunc(5*time.Millisecond, func() { releases[0](true); releases[0](true) })
		started := time.Now()
		release, err := a.Admit(t.Context(), urgent, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), 5*time.Millisecond)
		assert.Equal(t, a.Running(), 4)
		started = time.Now()
		_, err = a.Admit(t.Context(), urgent, 40*time.Millisecond)
		assert.ErrorType(t, err, &admitter.ShedError{})
		assert.Equal(t, time.Since(started), 10*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = a.Admit(ctx, urgent, time.Second)
		assert.ErrorIs(t, err, context.DeadlineExceeded, "a caller that leaves while it waits")
		release(true)
		for _, r := range releases {
			r(true)
		}
		assert.Equal(t, a.Running(), 0)
	})
}

// An event per shed query would push everything else out of the ring during an overload.
func TestSheddingIsRecordedWhenItStartsAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, events := newAdmitter(1)
		releases := fill(t, a, background)
		for range 10 {
			fill(t, a, background)
		}
		list, _ := events.Events(0)
		assert.Equal(t, len(list), 1)
		time.Sleep(time.Second)
		releases[0](true)
		list, _ = events.Events(0)
		assert.Equal(t, len(list), 2)
		assert.Equal(t, list[0].Kind+" "+list[1].Kind, "shedding-started shedding-stopped")
	})
}

// A query whose deadline cannot be met must be refused while service is slow, and no longer than that.
func TestDeadlineBelowRecentServiceTimeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(4)
		release, err := a.Admit(t.Context(), urgent, time.Second)
		assert.NilError(t, err)
		time.Sleep(30 * time.Millisecond)
		release(true)
		_, err = a.Admit(t.Context(), urgent, 29*time.Millisecond)
		assert.ErrorType(t, err, &admitter.DeadlineError{})
		_, err = a.Admit(t.Context(), urgent, 30*time.Millisecond)
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		_, err = a.Admit(t.Context(), urgent, time.Millisecond)
		assert.NilError(t, err)
	})
}
