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

func class(priority encoder.QueryClassPriority) encoder.QueryClass {
	return encoder.QueryClass{Index: "x", Priority: priority, Routing: encoder.QueryClassRoutingAll}
}

func newAdmitter(limit int) (*admitter.Admitter, *recorder.Recorder) {
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	return admitter.New(limit, events, tally.NoopScope), events
}

func fill(t *testing.T, a *admitter.Admitter, priority encoder.QueryClassPriority) (releases []admitter.Release) {
	t.Helper()
	for {
		release, err := a.Admit(t.Context(), class(priority), time.Second)
		if err != nil {
			assert.ErrorType(t, err, &admitter.ShedError{})
			return releases
		}
		releases = append(releases, release)
	}
}

// Background queries must not fill the limit, or urgent ones would be shut out.
func TestLowerPrioritiesAreShedFirstWhenLimitFills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(20)
		assert.Equal(t, len(fill(t, a, background)), 10)
		assert.Equal(t, len(fill(t, a, normal)), 8)
		assert.Equal(t, len(fill(t, a, urgent)), 2)
		assert.Equal(t, a.Running(), 20)
	})
}

// An urgent query must get the next free slot instead of being shed in a short burst. No slot may leak when it is
// handed over, or when a caller leaves while it waits.
func TestUrgentQueryWaitsWhenLimitIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(4)
		releases := fill(t, a, urgent)
		time.AfterFunc(5*time.Millisecond, func() { releases[0](true); releases[0](true) })
		started := time.Now()
		release, err := a.Admit(t.Context(), class(urgent), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), 5*time.Millisecond)
		assert.Equal(t, a.Running(), 4)
		started = time.Now()
		_, err = a.Admit(t.Context(), class(urgent), 40*time.Millisecond)
		assert.ErrorType(t, err, &admitter.ShedError{})
		assert.Equal(t, time.Since(started), 10*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = a.Admit(ctx, class(urgent), time.Second)
		assert.ErrorIs(t, err, context.DeadlineExceeded, "a caller that leaves while it waits")
		release(true)
		for _, r := range releases {
			r(true)
		}
		assert.Equal(t, a.Running(), 0)
	})
}

// Only the start and the end of shedding may be recorded: an event per shed query would push all others out of the ring
// buffer during an overload.
func TestEventIsRecordedWhenSheddingStartsAndStops(t *testing.T) {
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

// A query whose deadline is below the latency of all recent queries must be refused, but not once they are no longer
// recent.
func TestQueryIsRefusedWhenDeadlineIsBelowRecentLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(4)
		release, err := a.Admit(t.Context(), class(urgent), time.Second)
		assert.NilError(t, err)
		time.Sleep(30 * time.Millisecond)
		release(true)
		_, err = a.Admit(t.Context(), class(urgent), 29*time.Millisecond)
		assert.ErrorType(t, err, &admitter.DeadlineTooShortError{})
		_, err = a.Admit(t.Context(), class(urgent), 30*time.Millisecond)
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		_, err = a.Admit(t.Context(), class(urgent), time.Millisecond)
		assert.NilError(t, err)
	})
}

// offerQueries offers one query every interval for a second and returns how many were admitted; each takes the latency.
func offerQueries(t *testing.T, a *admitter.Admitter, class encoder.QueryClass, interval, latency time.Duration) (admitted int) {
	t.Helper()
	for range time.Second / interval {
		if release, err := a.Admit(t.Context(), class, 2*time.Second); err == nil {
			admitted++
			time.AfterFunc(latency, func() { release(true) })
		}
		time.Sleep(interval)
	}
	return admitted
}

// Saturated targets must shed lower priorities long before the limit of the instance is reached. Urgent queries and
// queries of other indexes must not be shed, nor any once the targets have recovered.
func TestLowerPrioritiesAreShedWhenTargetsAreSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(256)
		other := class(background)
		other.Index = "y"
		assert.Equal(t, offerQueries(t, a, class(background), 5*time.Millisecond, 5*time.Millisecond), 200)
		offerQueries(t, a, class(background), 5*time.Millisecond, 200*time.Millisecond)
		admitted := offerQueries(t, a, class(background), 5*time.Millisecond, 200*time.Millisecond)
		assert.Assert(t, admitted <= 50, "%d admitted", admitted)
		assert.Equal(t, offerQueries(t, a, class(urgent), 5*time.Millisecond, 200*time.Millisecond), 200)
		assert.Equal(t, offerQueries(t, a, other, 5*time.Millisecond, 5*time.Millisecond), 200)
		offerQueries(t, a, class(background), 5*time.Millisecond, 5*time.Millisecond)
		assert.Equal(t, offerQueries(t, a, class(background), 5*time.Millisecond, 5*time.Millisecond), 200)
	})
}

// A few slow queries at low load must not lower the limit so far that queries are shed when the load rises.
func TestNothingIsShedAfterSlowQueriesAtLowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newAdmitter(256)
		for range 10 {
			offerQueries(t, a, class(normal), 20*time.Millisecond, 5*time.Millisecond)
			offerQueries(t, a, class(normal), 500*time.Millisecond, 100*time.Millisecond)
		}
		assert.Equal(t, offerQueries(t, a, class(background), time.Millisecond, 5*time.Millisecond), 1000)
	})
}
