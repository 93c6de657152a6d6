package delegator

import (
	"context"
	"encoding/base64"
	"errors"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/wire/encoder"
)

// serveAbility states whether this instance can relay requests for others.
func (d *Delegator) serveAbility(ctx context.Context, _ messenger.Peer, _ encoder.AbilityRequest) (encoder.AbilityReply, error) {
	return encoder.AbilityReply{Able: d.server.CanServeOthers(ctx)}, nil
}

// serveRequest serves a request that another instance has handed over.
func (d *Delegator) serveRequest(ctx context.Context, peer messenger.Peer, message encoder.DelegatedRequest) (encoder.DelegatedAnswer, error) {
	answer, err := d.serveDecoded(ctx, peer, message)
	if d.inProgress != nil {
		inProgress := d.inProgress()
		answer.InProgress = &inProgress
	}
	return answer, err
}

func (d *Delegator) serveDecoded(ctx context.Context, peer messenger.Peer, message encoder.DelegatedRequest) (encoder.DelegatedAnswer, error) {
	delegation, err := decodeRequest(peer.Instance, message)
	if err != nil {
		return encoder.DelegatedAnswer{Outcome: err.Error()}, nil
	}
	key := delegationKey(peer, message.Id)
	ctx, end := d.served.Begin(ctx, key)
	defer end()
	if ctx.Err() != nil {
		return encoder.DelegatedAnswer{Outcome: "canceled by the origin"}, nil
	}
	if delegation.Wide {
		r := &repetition{announce: func() { d.sendRepeatNotice(peer, message.Id) }}
		d.repetitions.Store(key, r)
		defer d.repetitions.Delete(key)
		delegation.MayRepeat = r.begin
	}
	answer, err := d.server.ServeDelegated(ctx, delegation)
	var notAccepted *relayer.NotAcceptedError
	if errors.As(err, &notAccepted) {
		d.scope.Counter("delegator-refused").Inc(1)
		return encoder.DelegatedAnswer{Outcome: notAccepted.Reason}, nil
	}
	if err != nil {
		return encoder.DelegatedAnswer{}, err
	}
	d.scope.Counter("delegator-served").Inc(1)
	encoded, body := encodeAnswer(answer)
	if len(body) > maxMessageBody && !d.bodies.hold(key, body, time.Now().Add(delegation.TimeLeft)) {
		d.scope.Counter("delegator-bodies-dropped").Inc(1)
		encoded, body = encodeAnswer(relayer.Answer{Outcome: relayer.Failed, Decisions: answer.Decisions})
	}
	if ctx.Err() != nil {
		// The origin no longer reads the body; its message may have come before the body was held.
		d.bodies.drop(key)
	}
	encoded.BodyBytes = len(body)
	encoded.Body = base64.StdEncoding.EncodeToString(body[:min(len(body), maxMessageBody)])
	return encoded, nil
}

// delegationKey returns the key of a delegation. Each incarnation of an instance numbers its delegations from 1.
func delegationKey(peer messenger.Peer, id string) string {
	return peer.Instance + " " + peer.Incarnation + " " + id
}

// errUnknownBody is returned for a body that is not held, or no longer.
var errUnknownBody = errors.New("delegator: no such body")

// serveBody returns further bytes of the body of an answer.
func (d *Delegator) serveBody(_ context.Context, peer messenger.Peer, message encoder.BodyRequest) (encoder.BodyReply, error) {
	next, found := d.bodies.read(delegationKey(peer, message.Id), message.Offset)
	if !found {
		return encoder.BodyReply{}, errUnknownBody
	}
	return encoder.BodyReply{Body: base64.StdEncoding.EncodeToString(next)}, nil
}

// cancelRequest cancels a request whose caller has left or got another answer, and drops the rest of its answer.
func (d *Delegator) cancelRequest(_ context.Context, peer messenger.Peer, message encoder.EndDelegation) (struct{}, error) {
	key := delegationKey(peer, message.Id)
	d.served.Cancel(key)
	d.bodies.drop(key)
	return struct{}{}, nil
}
