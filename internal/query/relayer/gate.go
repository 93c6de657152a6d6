package relayer

import (
	"sync"
	"time"
)

// shortageTime is how long less urgent queries yield after a more urgent one was refused.
const shortageTime = time.Second

// limitGate coordinates the starts of requests to targets with request limits.
type limitGate struct {
	// starts is held while the first requests of a query are chosen, so that two queries do not count on the same
	// allowance.
	starts sync.Mutex

	mu sync.Mutex
	// refusals holds the latest refusal for lack of allowance, by the first service of the query. Queries of different
	// routes to the same shards may need different numbers of parts; those that need fewer would otherwise take what the
	// others lack, whatever their priority.
	refusals map[string]refusal
}

// refusal is the refusal of one query.
type refusal struct {
	at       time.Time
	priority int
	// parts is the number of parts that the query needed.
	parts int
}

func newLimitGate() *limitGate { return &limitGate{refusals: make(map[string]refusal)} }

// recordRefusal records a refusal. It is ignored while that of a more urgent query counts.
func (g *limitGate) recordRefusal(service string, r refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, found := g.refusals[service]; found && last.priority < r.priority && r.at.Sub(last.at) < shortageTime {
		return
	}
	g.refusals[service] = r
}

// partsRefused returns the number of parts that a more urgent query needed that was refused within shortageTime; 0 if
// there was none.
func (g *limitGate) partsRefused(service string, priority int, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, found := g.refusals[service]
	if !found || last.priority >= priority || now.Sub(last.at) >= shortageTime {
		return 0
	}
	return last.parts
}
