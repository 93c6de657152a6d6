package relayer

import "time"

// outlookInterval is the minimum time between two looks at the outlook of a waiting request, which take time for each
// other one that waits.
const outlookInterval = 10 * time.Millisecond

// refuseIfHopeless gives up the part of a request without shards that cannot get a target before its wait ends, and
// reports whether it has. The caller then has more time to retry. Only a request that no target has run is refused.
func (f *forwarder) refuseIfHopeless(p *part) bool {
	now := time.Now()
	if f.request.Route.IsSharded() || f.mayHaveRun() || now.Before(f.nextOutlook) {
		return false
	}
	f.nextOutlook = now.Add(outlookInterval)
	outlook := f.sender.Outlook(p.service, f.rank(), p.waiter, f.targetWaitDeadline())
	if !outlook.Hopeless {
		return false
	}
	f.roomAfter = limitRetryAfter(outlook.RoomAfter)
	f.addDecision(p, "", "queue too long")
	f.giveUp(p)
	return true
}

// certainWaitEnd returns the time until which a waiting part waits at least, unless it gets a target. A sharded query may
// wait longer, depending on the parts that it gets.
func (f *forwarder) certainWaitEnd() time.Time {
	end := f.targetWaitDeadline()
	if !f.cutoff.IsZero() {
		if cutoff := f.cutoff.Add(-retryDelay); cutoff.Before(end) {
			return cutoff
		}
	}
	return end
}
