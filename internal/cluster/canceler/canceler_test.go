package canceler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/canceler"
)

// Guards against work that goes on although its cancellation has arrived, before or after its begin.
func TestWorkIsCanceledWheneverCancellationArrives(t *testing.T) {
	c := canceler.New()
	work, end := c.Begin(t.Context(), "a")
	other, endOther := c.Begin(t.Context(), "b")
	c.Cancel("a")
	assert.Assert(t, work.Err() != nil)
	assert.NilError(t, other.Err())
	end()
	endOther()
	assert.Assert(t, other.Err() != nil)
	c.Cancel("c")
	early, endEarly := c.Begin(t.Context(), "c")
	assert.Assert(t, early.Err() != nil)
	endEarly()
}

// Guards against cancellations that fill the memory because their work never begins.
func TestEarlyCancellationsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := canceler.New()
		begins := func(key string) bool {
			work, end := c.Begin(t.Context(), key)
			defer end()
			return work.Err() == nil
		}
		for n := range 5000 {
			c.Cancel(fmt.Sprint("many", n))
		}
		assert.Assert(t, begins("many0"))
		assert.Assert(t, !begins("many4999"))
		time.Sleep(6 * time.Second)
		c.Cancel("next")
		assert.Assert(t, begins("many4999"))
		assert.Assert(t, !begins("next"))
	})
}
