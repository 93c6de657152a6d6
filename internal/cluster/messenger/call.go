package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// handler answers one method.
type handler func(ctx context.Context, peer Peer, params json.RawMessage) (any, error)

// paramsError reports a request that does not have the form of its method.
type paramsError struct {
	method string
	cause  error
}

func (e *paramsError) Error() string {
	return fmt.Sprintf("messenger: decode request of %s: %v", e.method, e.cause)
}

func (e *paramsError) Unwrap() error {
	return e.cause
}

// Handle answers a method. It is called before Start. Handlers run concurrently, also for the messages of one peer.
// The context ends with the connection.
func Handle[Q, R any](m *Messenger, method string, f func(ctx context.Context, peer Peer, request Q) (R, error)) {
	requestClock, replyClock := clockFieldOf[Q](), clockFieldOf[R]()
	m.handle(method, func(ctx context.Context, peer Peer, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &paramsError{method: method, cause: err}
		}
		observe(requestClock, m.clock, &request)
		reply, err := f(ctx, peer, request)
		if err != nil {
			return nil, err
		}
		stamp(replyClock, m.clock, &reply)
		return reply, nil
	})
}

// Call sends a request to an instance and waits for the reply. It stamps the clock of the request unless it is set,
// and merges the clock of the reply.
func Call[Q, R any](ctx context.Context, m *Messenger, instance, method string, request Q) (R, error) {
	var reply R
	stamp(clockFieldOf[Q](), m.clock, &request)
	waiter, l, err := m.dispatch(ctx, instance, method, request)
	if err != nil {
		return reply, err
	}
	defer l.release()
	if err := waiter.Wait(ctx, &reply); err != nil {
		var refusal *jsonrpc2.Error
		if errors.As(err, &refusal) {
			return reply, &RemoteError{Instance: instance, Method: method, Code: Code(refusal.Code), Message: refusal.Message}
		}
		return reply, &LostError{Instance: instance, Method: method, Cause: l.failure(err)}
	}
	observe(clockFieldOf[R](), m.clock, &reply)
	return reply, nil
}

// Notify sends a message to an instance without a reply. Without an error the message may still be lost.
func Notify[Q any](ctx context.Context, m *Messenger, instance, method string, message Q) error {
	stamp(clockFieldOf[Q](), m.clock, &message)
	return m.attempt(ctx, instance, method, func(l *link) error {
		if err := l.rpc.Notify(ctx, method, message); err != nil {
			return err
		}
		l.release()
		return nil
	})
}

// dispatch queues a request; the link counts it as active until the caller has its reply.
func (m *Messenger) dispatch(ctx context.Context, instance, method string, request any) (jsonrpc2.Waiter, *link, error) {
	var waiter jsonrpc2.Waiter
	var used *link
	err := m.attempt(ctx, instance, method, func(l *link) error {
		w, err := l.rpc.DispatchCall(ctx, method, request)
		if err != nil {
			return err
		}
		waiter, used = w, l
		return nil
	})
	return waiter, used, err
}

// attempt sends over the connection to the instance. Since a failed send has sent no byte, it is repeated once when
// the connection turns out to be closed.
func (m *Messenger) attempt(ctx context.Context, instance, method string, send func(*link) error) error {
	for try := 0; ; try++ {
		l, err := m.link(ctx, instance)
		if err != nil {
			return &UnreachableError{Instance: instance, Method: method, Cause: err}
		}
		err = send(l)
		if err == nil {
			return nil
		}
		l.release()
		if !errors.Is(err, jsonrpc2.ErrClosed) || try > 0 {
			return &UnreachableError{Instance: instance, Method: method, Cause: err}
		}
		m.remove(l)
	}
}
