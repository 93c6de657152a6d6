package recorder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/recorder"
)

// clock is a hybrid logical clock that is set by hand.
type clock struct {
	at      time.Duration
	counter int
}

func (c *clock) Now() int {
	c.counter++
	return int(c.at.Milliseconds())<<16 + c.counter
}

// A fault that affects every query must not push the events that explain it out of the ring, and a reader must learn
// that events were left out.
func TestFrequentEventsAreLimited(t *testing.T) {
	c := &clock{at: time.Hour}
	r := recorder.New("a", c, 100)
	r.Record(recorder.KindTargetDown, "t", "", "")
	for range 1000 {
		r.Record(recorder.KindQueryPartial, "", "q", "1 of 2")
	}
	r.Record(recorder.KindQueryUnknown, "", "q", "")
	c.at += time.Second
	r.Record(recorder.KindQueryPartial, "", "q", "1 of 2")
	r.Record(recorder.KindQueryPartial, "", "q", "1 of 2")
	events, dropped := r.Events(0)
	assert.Equal(t, dropped, 0)
	assert.Equal(t, len(events), 1+2+1+2)
	assert.Equal(t, events[0].Kind, string(recorder.KindTargetDown))
	assert.Equal(t, events[4].Detail, "1 of 2 (998 more left out before)")
	assert.Equal(t, events[5].Detail, "1 of 2")
}

// Changes of state must not be left out, however many targets change at the same time.
func TestChangesOfStateAreNotLimited(t *testing.T) {
	r := recorder.New("a", &clock{}, 1000)
	for range 500 {
		r.Record(recorder.KindTargetWarm, "t", "", "")
	}
	events, _ := r.Events(0)
	assert.Equal(t, len(events), 500)
}

// The ring must keep the latest events in order and count the others.
func TestRingKeepsTheLatest(t *testing.T) {
	r := recorder.New("a", &clock{}, 3)
	for _, subject := range []string{"1", "2", "3", "4", "5"} {
		r.Record(recorder.KindTargetWarm, subject, "", "")
	}
	events, dropped := r.Events(0)
	assert.Equal(t, dropped, 2)
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].Subject+events[1].Subject+events[2].Subject, "345")
	later, _ := r.Events(events[1].Clock)
	assert.Equal(t, len(later), 1)
}
