package relayer

import (
	"fmt"
	"time"

	"apricotflow/internal/target/transporter"
)

// take handles results of requests.
func (f *flight) take(a arrival) {
	if a.merged {
		f.merged = append(f.merged, a.records)
	}
	for _, one := range a.items {
		f.takeItem(one, a.merged)
	}
}

func (f *flight) takeItem(a item, merged bool) {
	p := f.parts[a.part]
	p.flying--
	if merged && p.reply != nil && a.result.Usable() {
		// The merged records hold this part, so the reply of a hedge that came before gives way.
		p.reply = a.result.Reply
		return
	}
	if !p.open() {
		return
	}
	switch a.result.Outcome {
	case transporter.Answered:
		p.ran = true
		if f.accept(p, a) {
			return
		}
		p.failure = a.result.Reply
		f.note(p, a.target.ID, fmt.Sprintf("status %d", a.result.Reply.Status))
	case transporter.Unsent:
		p.arrived--
		p.committed--
		f.note(p, a.target.ID, describe(a.result))
	case transporter.Lost:
		p.ran = true
		f.note(p, a.target.ID, describe(a.result))
	default:
		p.committed--
		f.note(p, a.target.ID, describe(a.result))
	}
	f.repeat(a.part)
}

func describe(r transporter.Result) string {
	if r.Err == nil {
		return r.Outcome.String()
	}
	return r.Outcome.String() + ": " + r.Err.Error()
}

// serverError is the lowest status of a failure that another target may not share.
const serverError = 500

// accept takes a reply as the part if it is one. Failures that speak against the request are passed on, those that
// speak against the target only if the request cannot be repeated.
func (f *flight) accept(p *part, a item) bool {
	reply := a.result.Reply
	if f.request.Route.Scattered() {
		if !a.result.Usable() {
			return false
		}
	} else if !reply.Success() && reply.Status >= serverError {
		return false
	}
	p.reply = reply
	f.served++
	f.opened--
	return true
}

// repeat sends the request for the part again after a failure, if it may be repeated.
func (f *flight) repeat(i int) {
	p := f.parts[i]
	if p.flying > 0 {
		return
	}
	if p.ran && !f.request.Route.Idempotent || p.committed >= f.request.Route.MaxTargets || f.work.Err() != nil {
		f.end(p)
		return
	}
	if _, found := f.untried(p); !found {
		f.pause(p)
		return
	}
	f.send(i, false)
}

// pause waits before a target gets the request again, for as long as there is one and the answer can still be in time.
func (f *flight) pause(p *part) {
	if !f.sender.Serving(p.service.Name) || time.Now().After(f.patience()) {
		f.end(p)
		return
	}
	p.waitUntil = time.Now().Add(retryPause)
}
