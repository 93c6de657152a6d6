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

// urgency orders requests by the priority of the tenant, then by that of the route; 0 is the highest.
type urgency struct{ tenant, route int }

func (u urgency) precedes(other urgency) bool {
	if u.tenant != other.tenant {
		return u.tenant < other.tenant
	}
	return u.route < other.route
}

// urgency returns the urgency of the request.
func (r Request) urgency() urgency {
	return urgency{tenant: r.tenantPriority(), route: r.Route.Priority}
}

// refusal is the refusal of one query.
type refusal struct {
	at      time.Time
	urgency urgency
	// parts is the number of parts that the query needed.
	parts int
}

func newLimitGate() *limitGate { return &limitGate{refusals: make(map[string]refusal)} }

// recordRefusal records a refusal. It is ignored while that of a more urgent query counts.
func (g *limitGate) recordRefusal(service string, r refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, found := g.refusals[service]; found && last.urgency.precedes(r.urgency) && r.at.Sub(last.at) < shortageTime {
		return
	}
	g.refusals[service] = r
}

// partsRefused returns the number of parts that a more urgent query needed that was refused within shortageTime; 0 if
// there was none.
func (g *limitGate) partsRefused(service string, u urgency, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, found := g.refusals[service]
	if !found || !last.urgency.precedes(u) || now.Sub(last.at) >= shortageTime {
		return 0
	}
	return last.parts
}
