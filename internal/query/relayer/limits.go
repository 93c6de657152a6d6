package relayer

import (
	"context"
	"slices"
	"time"

	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/throttler"
)

// sendFirstOrRefuse sends the first requests of all parts as soon as the request limits of the targets allow as many parts as an
// answer needs. It returns an answer if the request ends before: it is refused if that takes longer than it may wait.
// Nothing has been sent by then, because a query that uses up the limits of some shards and cannot get the others would
// take them from other queries and fail.
func (f *forwarder) sendFirstOrRefuse(ctx context.Context) (Answer, bool) {
	for {
		wait := f.sendFirstWithinLimits()
		switch {
		case wait == 0:
			return Answer{}, false
		case f.exceedsWait(wait):
			for _, p := range f.parts {
				f.sender.NoteRefused(p.service.Name, f.rank())
			}
			f.gate.recordRefusal(f.parts[0].service.Name, refusal{at: time.Now(), urgency: f.request.urgency(), parts: f.minParts()})
			return f.answerLimited(wait), true
		}
		timekeeper.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return Answer{Outcome: Abandoned}, true
		}
	}
}

// exceedsWait reports whether the time until the request limits allow the request is longer than it may wait.
func (f *forwarder) exceedsWait(wait time.Duration) bool {
	return time.Now().Add(wait).After(f.targetWaitDeadline())
}

// sendFirstWithinLimits sends the first requests of all parts, or returns the time until the request limits allow that.
func (f *forwarder) sendFirstWithinLimits() time.Duration {
	if f.sender.AnyLimited() {
		f.gate.starts.Lock()
		defer f.gate.starts.Unlock()
		if wait := f.limitWait(); wait > 0 {
			return wait
		}
		f.leaveOutScarceParts()
	}
	f.sendFirst()
	return 0
}

// limitWait returns the time until the request limits of the targets allow as many parts as an answer needs.
func (f *forwarder) limitWait() time.Duration {
	waits := make([]time.Duration, len(f.parts))
	for i, p := range f.parts {
		waits[i] = f.sender.LimitWait(p.service.Name, f.rank())
	}
	slices.Sort(waits)
	return waits[f.partsToStart()-1]
}

// partsToStart returns the number of parts that the request limits must allow: as many as an answer needs, and not fewer
// than a more urgent query needed that has just been refused.
func (f *forwarder) partsToStart() int {
	parts := f.gate.partsRefused(f.parts[0].service.Name, f.request.urgency(), time.Now())
	return max(f.minParts(), min(parts, len(f.parts)))
}

// leaveOutScarceParts gives up parts whose targets have no request to spare, as many as the answer can do without, the
// scarcest first. Other queries can then get an answer too.
func (f *forwarder) leaveOutScarceParts() {
	var scarce []*part
	allowances := make(map[*part]throttler.Allowance)
	for _, p := range f.parts {
		if a := f.sender.Allowance(p.service.Name); !a.HasSpare() {
			scarce = append(scarce, p)
			allowances[p] = a
		}
	}
	slices.SortFunc(scarce, func(a, b *part) int {
		switch {
		case allowances[a].Exceeds(allowances[b]):
			return 1
		case allowances[b].Exceeds(allowances[a]):
			return -1
		}
		return 0
	})
	for _, p := range scarce[:min(len(scarce), len(f.parts)-f.minParts())] {
		f.addDecision(p, "", "left out, request limits of targets nearly used up")
		f.giveUp(p)
	}
}
