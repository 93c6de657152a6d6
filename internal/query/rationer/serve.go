package rationer

import (
	"context"
	"math"
	"sync"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/query/allotter"
	"apricotflow/internal/wire/encoder"
)

// serve answers an instance that asks for tokens, announces itself as a custodian or tests whether this one can be reached.
func (r *Rationer) serve(_ context.Context, peer messenger.Peer, message encoder.QuotaRequest) (encoder.QuotaReply, error) {
	request := decodeRequest(message)
	if isTrue(message.Announces) {
		// The list must have the sender, which is known at the latest from the hello of its connection.
		r.update()
		r.issuerMu.Lock()
		answer := r.issuer.Review(r.now(), peer.Instance, request)
		r.issuerMu.Unlock()
		objects, issued := answer == allotter.Objected, answer == allotter.AgreedAfterIssue
		return encoder.QuotaReply{Objects: &objects, Issued: &issued}, nil
	}
	if request.Tenant == "" || request.Wanted == 0 || !isLimit(request.Limit) {
		return encoder.QuotaReply{}, nil
	}
	if !r.follows.Load() {
		r.update()
	}
	reply, inquiries := r.take(request)
	switch {
	case len(inquiries) > 0 && reply.Granted > 0:
		go r.inquire(inquiries)
	case len(inquiries) > 0:
		r.inquire(inquiries)
		reply, _ = r.take(request)
	}
	return encoder.QuotaReply{Granted: reply.Granted, NextMs: float64(reply.Next) / float64(time.Millisecond), Left: &reply.Left}, nil
}

// inquire makes the inquiries and waits for their results.
func (r *Rationer) inquire(inquiries []allotter.Inquiry) {
	var waiting sync.WaitGroup
	for _, q := range inquiries {
		waiting.Go(func() {
			r.counters.inquiries.Inc(1)
			message := encodeRequest(q.Request)
			message.Announces = &q.Announces
			reply, err := r.send(q.Peer, inquiryTimeout, message)
			answer := allotter.Agreed
			switch {
			case err != nil:
				answer = allotter.Unreached
			case isTrue(reply.Objects):
				answer = allotter.Objected
			case isTrue(reply.Issued):
				answer = allotter.AgreedAfterIssue
			}
			r.issuerMu.Lock()
			defer r.issuerMu.Unlock()
			r.issuer.Answered(r.now(), q, answer)
		})
	}
	waiting.Wait()
}

// isTrue reports whether an optional value is present and true.
func isTrue(value *bool) bool { return value != nil && *value }

// isLimit reports whether the values of another instance can be those of a limit.
func isLimit(l allotter.Limit) bool {
	return l.Rate > 0 && l.Burst >= 0 && !math.IsInf(l.Rate, 0) && !math.IsInf(l.Burst, 0)
}

func encodeRequest(r allotter.Request) encoder.QuotaRequest {
	m := encoder.QuotaRequest{
		Tenant: r.Tenant, Rate: r.Limit.Rate, Burst: r.Limit.Burst, Version: r.Version, Wanted: r.Wanted, Unreached: r.Unreached,
	}
	if r.Initial {
		m.Initial = &r.Initial
	}
	return m
}

func decodeRequest(m encoder.QuotaRequest) allotter.Request {
	return allotter.Request{
		Tenant: m.Tenant, Limit: allotter.Limit{Rate: m.Rate, Burst: m.Burst}, Version: m.Version, Wanted: min(max(m.Wanted, 0), maxWanted),
		Unreached: m.Unreached[:min(len(m.Unreached), maxUnreached)], Initial: isTrue(m.Initial),
	}
}

func decodeReply(m encoder.QuotaReply, wanted int) allotter.Reply {
	r := allotter.Reply{Granted: min(max(m.Granted, 0), wanted), Next: milliseconds(m.NextMs)}
	if m.Left != nil && *m.Left > 0 {
		r.Left = *m.Left
	}
	return r
}

// milliseconds returns the duration of a number of milliseconds, at most an hour.
func milliseconds(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(time.Hour/time.Millisecond)) * float64(time.Millisecond))
}
