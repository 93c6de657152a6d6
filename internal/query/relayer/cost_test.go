package relayer_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/standin/httpresponder"
)

// Load pattern: long and short requests to two equal targets of four slots. Guards against the cost of the routes or the
// speed of the machines that does not get from the replies to the choice: while one target runs two long requests and the
// other one a long one, the next three short ones belong to the latter.
func TestShortRequestsAvoidTargetWithMoreLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		work := map[string]time.Duration{"/long": 40 * time.Millisecond, "/short": 5 * time.Millisecond}
		for _, target := range f.targets["s0"] {
			target.SetLoad("0,0,4,100")
			target.SetBehaviour(func(r *http.Request) (httpresponder.Behaviour, time.Duration) {
				return httpresponder.Answer, work[r.URL.Path]
			})
		}
		long, short := singleRoute(false), singleRoute(false)
		long.Name, short.Name = "long", "short"
		for i := range 40 {
			f.relay(long, "l"+strconv.Itoa(i))
			f.relay(short, "s"+strconv.Itoa(i))
		}
		var running sync.WaitGroup
		send := func(n int, route *mapper.Route) (toFirst, toSecond int) {
			before := []int{f.targets["s0"][0].RunCount(), f.targets["s0"][1].RunCount()}
			for i := range n {
				running.Go(func() { f.relay(route, "next-"+route.Name+strconv.Itoa(i)) })
				time.Sleep(time.Millisecond)
			}
			return f.targets["s0"][0].RunCount() - before[0], f.targets["s0"][1].RunCount() - before[1]
		}
		longFirst, longSecond := send(3, long)
		assert.Assert(t, min(longFirst, longSecond) == 1 && longFirst+longSecond == 3, "%d and %d", longFirst, longSecond)
		shortFirst, shortSecond := send(3, short)
		assert.Assert(t, (longFirst < longSecond && shortFirst == 3) || (longFirst > longSecond && shortSecond == 3),
			"long ones: %d and %d, short ones: %d and %d", longFirst, longSecond, shortFirst, shortSecond)
		running.Wait()
	})
}
