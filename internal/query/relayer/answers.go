package relayer

import (
	"slices"
	"strings"
	"time"

	"apricotflow/internal/target/combiner"
)

// conclude returns the answer when it is time for it.
func (f *flight) conclude() (Answer, bool) {
	now := time.Now()
	switch {
	case f.served == len(f.parts):
		return f.succeed(), true
	case f.served >= f.least() && (f.opened == 0 || !f.cutoff.IsZero() && !now.Before(f.cutoff)):
		return f.succeed(), true
	case !now.Before(f.request.Deadline):
		// At this time the requests in flight end too, so that no part may be open any more.
		return f.expire(), true
	case f.served+f.opened < f.least():
		return f.fail(), true
	}
	return Answer{}, false
}

func (f *flight) note(p *part, target, event string) {
	f.decisions = append(f.decisions, Decision{After: time.Since(f.request.Arrived), Service: p.service.Name, Target: target, Event: event})
}

// ran reports whether a target may have run the request.
func (f *flight) ran() bool {
	return slices.ContainsFunc(f.parts, func(p *part) bool { return p.ran || p.flying > 0 })
}

func (f *flight) succeed() Answer {
	if !f.request.Route.Scattered() {
		return Answer{Outcome: Relayed, Reply: f.parts[0].reply}
	}
	answer := Answer{Outcome: Merged, Missing: len(f.parts) - f.served, Signatures: make([]string, 0, f.served)}
	m := combiner.New(f.request.Route.TopRecords)
	for _, records := range f.merged {
		m.Add(records)
	}
	for _, p := range f.parts {
		if p.reply != nil {
			answer.Signatures = append(answer.Signatures, p.reply.Signature)
			m.Add(p.reply.Body)
			continue
		}
		f.note(p, strings.Join(p.tried, ","), "missing")
	}
	answer.Records = m.Bytes()
	return answer
}

// fail answers a request that cannot succeed any more.
func (f *flight) fail() Answer {
	switch {
	case !f.ran():
		return f.refuse("not run")
	case !f.request.Route.Scattered() && f.parts[0].failure != nil:
		return Answer{Outcome: Relayed, Reply: f.parts[0].failure}
	}
	return Answer{Outcome: Failed}
}

// expire answers a request whose time is over.
func (f *flight) expire() Answer {
	if !f.ran() {
		return f.refuse("no time left")
	}
	for _, p := range f.parts {
		if p.open() {
			f.note(p, strings.Join(p.tried, ","), "no answer")
		}
	}
	return Answer{Outcome: TimedOut}
}

// refuseUnserviceable answers a request that cannot succeed with the targets in reach. Another instance may reach those
// of other failure domains; targets that are down are down for all.
func (f *flight) refuseUnserviceable() Answer {
	answer := f.refuse("too few targets in reach")
	if f.sender.AllReachable() {
		answer.RetryAfter = comeBackDown
	}
	return answer
}

func (f *flight) refuse(reason string) Answer {
	f.note(f.parts[0], "", reason)
	return Answer{Outcome: NotRun, RetryAfter: comeBack}
}
