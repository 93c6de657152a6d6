package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// handler handles the requests of one method.
type handler func(ctx context.Context, peer Peer, params json.RawMessage) (any, error)

// paramsError reports request parameters that cannot be decoded into the request type of the method.
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

// Handle registers the handler of a method. It must be called before Start, which creates the counters of its messages;
// those of a method registered later are counted under "other". Handlers run concurrently, even for messages of the
// same peer. The context of a handler ends with the connection.
func Handle[Q, R any](m *Messenger, method string, f func(ctx context.Context, peer Peer, request Q) (R, error)) {
	requestClock, replyClock := clockFieldOf[Q](), clockFieldOf[R]()
	m.addHandler(method, func(ctx context.Context, peer Peer, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &paramsError{method: method, cause: err}
		}
		observeClock(requestClock, m.clock, &request)
		reply, err := f(ctx, peer, request)
		if err != nil {
			return nil, err
		}
		stampClock(replyClock, m.clock, &reply)
		return reply, nil
	})
}

// Call sends a request to an instance and waits for the reply. It sets the clock of the request unless it is set
// already, and merges the clock of the reply. Its errors are NotSentError, NoReplyError and RemoteError.
func Call[Q, R any](ctx context.Context, m *Messenger, instance, method string, request Q) (R, error) {
	var reply R
	stampClock(clockFieldOf[Q](), m.clock, &request)
	waiter, l, err := m.dispatch(ctx, instance, method, request)
	if err != nil {
		return reply, err
	}
	defer l.release()
	if err := waiter.Wait(ctx, &reply); err != nil {
		var rpcErr *jsonrpc2.Error
		if errors.As(err, &rpcErr) {
			return reply, &RemoteError{Instance: instance, Method: method, Code: Code(rpcErr.Code), Message: rpcErr.Message}
		}
		return reply, &NoReplyError{Instance: instance, Method: method, Cause: l.lossCause(err)}
	}
	observeClock(clockFieldOf[R](), m.clock, &reply)
	return reply, nil
}

// Notify sends a message that has no reply to an instance. The message may be lost even if the error is nil.
func Notify[Q any](ctx context.Context, m *Messenger, instance, method string, message Q) error {
	stampClock(clockFieldOf[Q](), m.clock, &message)
	return m.sendWithRetry(ctx, instance, method, func(l *link) error { return l.notify(ctx, method, message) })
}

// NotifyIncarnation is like Notify, but sends the message only to this start of the peer. A process that was started later
// under the same name does not get it; the cause of the NotSentError is then an IncarnationError.
func NotifyIncarnation[Q any](ctx context.Context, m *Messenger, peer Peer, method string, message Q) error {
	stampClock(clockFieldOf[Q](), m.clock, &message)
	return m.sendWithRetry(ctx, peer.Instance, method, func(l *link) error {
		if actual := l.peer.Load().Incarnation; actual != peer.Incarnation {
			return &IncarnationError{Instance: peer.Instance, Expected: peer.Incarnation, Actual: actual}
		}
		return l.notify(ctx, method, message)
	})
}

// dispatch queues a request and returns the link it uses. The link counts the call as active until it is released.
func (m *Messenger) dispatch(ctx context.Context, instance, method string, request any) (jsonrpc2.Waiter, *link, error) {
	var waiter jsonrpc2.Waiter
	var used *link
	err := m.sendWithRetry(ctx, instance, method, func(l *link) error {
		waiting, err := l.rpc.DispatchCall(ctx, method, request)
		if err != nil {
			return err
		}
		waiter, used = waiting, l
		return nil
	})
	return waiter, used, err
}

// sendWithRetry sends over the connection to the instance. If the connection turns out to be closed, it retries once,
// which is safe because a failed send has sent no byte.
func (m *Messenger) sendWithRetry(ctx context.Context, instance, method string, send func(*link) error) error {
	for attempt := 0; ; attempt++ {
		l, err := m.acquireLink(ctx, instance)
		if err != nil {
			return &NotSentError{Instance: instance, Method: method, Cause: err}
		}
		err = send(l)
		if err == nil {
			return nil
		}
		l.release()
		if !errors.Is(err, jsonrpc2.ErrClosed) || attempt > 0 {
			return &NotSentError{Instance: instance, Method: method, Cause: err}
		}
		m.removeLink(l)
	}
}
