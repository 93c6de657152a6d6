package recorder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/recorder"
)

// manualClock is a hybrid logical clock whose wall time is set by the test.
type manualClock struct {
	at      time.Duration
	counter int
}

func (c *manualClock) Now() int {
	c.counter++
	return int(c.at.Milliseconds())<<16 + c.counter
}

// Guards against a fault that affects every query and fills the ring with its events, so that the events that explain
// it are lost, and against events that are left out without notice.
func TestFrequentEventsAreLimitedPerSecond(t *testing.T) {
	c := &manualClock{at: time.Hour}
	r := recorder.New("a", c, 100)
	r.Record(recorder.KindTargetDown, "t", "", "")
	for range 1000 {
		r.Record(recorder.KindQueryPartial, "", "q", "1 of 2")
	}
	r.Record(recorder.KindQueryUnknown, "", "q", "")
	c.at += time.Second
	r.Record(recorder.KindQueryPartial, "", "q", "1 of 2")
	r.Record(recorder.KindQueryPartial, "", "q", "1 of 2")
	events, overwritten := r.Events(0)
	assert.Equal(t, overwritten, 0)
	assert.Equal(t, len(events), 1+2+1+2)
	assert.Equal(t, events[0].Kind, string(recorder.KindTargetDown))
	assert.Equal(t, events[4].Detail, "1 of 2 (998 more left out before)")
	assert.Equal(t, events[5].Detail, "1 of 2")
}

// Guards against changes of state that are left out because many targets change at the same time.
func TestStateChangeEventsAreNotLimited(t *testing.T) {
	r := recorder.New("a", &manualClock{}, 1000)
	for range 500 {
		r.Record(recorder.KindTargetWarm, "t", "", "")
	}
	events, _ := r.Events(0)
	assert.Equal(t, len(events), 500)
}

// Guards against a full ring that loses the latest events, returns them in the wrong order or miscounts the overwritten
// ones.
func TestRingKeepsLatestEventsWhenFull(t *testing.T) {
	r := recorder.New("a", &manualClock{}, 3)
	for _, subject := range []string{"1", "2", "3", "4", "5"} {
		r.Record(recorder.KindTargetWarm, subject, "", "")
	}
	events, overwritten := r.Events(0)
	assert.Equal(t, overwritten, 2)
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].Subject+events[1].Subject+events[2].Subject, "345")
	later, _ := r.Events(events[1].Clock)
	assert.Equal(t, len(later), 1)
}
