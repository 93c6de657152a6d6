package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Peer is the instance at the other end of a connection.
type Peer struct {
	Instance string
	// Incarnation identifies one run of the instance; it changes with each start.
	Incarnation   string
	FailureDomain string
}

// link is one connection to a peer, which both ends use for requests.
type link struct {
	messenger *Messenger
	stream    *stream
	rpc       *jsonrpc2.Conn
	// dialled reports whether this end opened the connection.
	dialled bool
	// peer is nil until hello has been exchanged.
	peer atomic.Pointer[Peer]
	// helloDone is closed once hello has been handled; handlers of requests that arrive earlier wait for it.
	helloDone chan struct{}
	// activeCalls is the number of calls in flight in both directions. For an outgoing call it rises from 0 only under
	// the messenger's lock, so that none begins while retire checks it under that lock.
	activeCalls atomic.Int64
	// lastUsed is the time when the last call began or ended, in nanoseconds since the stream's epoch.
	lastUsed atomic.Int64
	// retired reports whether new calls must not use the connection, until it is closed or used again (see reuse). It is
	// guarded by the messenger's lock.
	retired bool
	// silent reports whether the connection was closed because of missing heartbeats.
	silent atomic.Bool
	// agreedToClose reports whether both ends agreed to close the connection and its last handler has ended, or the wait
	// for that has timed out. Only the monitor uses it.
	agreedToClose bool
	// createdAt is when the connection was established.
	createdAt time.Time
}

func newLink(m *Messenger, conn net.Conn, dialled bool) *link {
	l := &link{messenger: m, stream: newStream(conn, m.sizeLimit, !dialled, m.traffic), dialled: dialled, createdAt: time.Now(), helloDone: make(chan struct{})}
	l.rpc = jsonrpc2.NewConn(m.ctx, l.stream, l, jsonrpc2.SetLogger(discardLogger{}))
	m.background.Go(l.monitor)
	return l
}

// Handle implements jsonrpc2.Handler. It runs the handlers of requests in goroutines of their own.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method == methodHeartbeat {
		l.observeHeartbeat(request)
		return
	}
	if request.Method == methodRetire {
		// The error is ignored: if the reply cannot be sent, the connection ends anyway.
		_ = l.rpc.Reply(ctx, request.ID, l.messenger.retire(l))
		return
	}
	if !l.messenger.beginHandler() {
		return
	}
	l.acquire()
	go func() {
		defer l.messenger.endHandler()
		defer l.release()
		l.handleRequest(ctx, request)
	}()
}

// handleRequest runs the handler of a request and sends its reply.
func (l *link) handleRequest(ctx context.Context, request *jsonrpc2.Request) {
	result, failure := l.callHandler(ctx, request)
	// Results of handlers that were cancelled by Close are dropped; the peer sees the closed connection.
	if request.Notif || l.messenger.ctx.Err() != nil {
		return
	}
	if failure == nil {
		err := l.rpc.Reply(ctx, request.ID, result)
		if err == nil {
			return
		}
		failure = &jsonrpc2.Error{Code: int64(CodeFailed), Message: err.Error()}
	}
	// The error is ignored: the peer treats a reply that cannot be sent as lost.
	_ = l.rpc.ReplyWithError(ctx, request.ID, failure)
}

// callHandler calls the handler and turns its error or panic into a JSON-RPC error.
func (l *link) callHandler(ctx context.Context, request *jsonrpc2.Request) (result any, failure *jsonrpc2.Error) {
	defer func() {
		if p := recover(); p != nil {
			l.messenger.logPanic(request.Method, p)
			result, failure = nil, &jsonrpc2.Error{Code: int64(CodePanic), Message: "handler panicked"}
		}
	}()
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if request.Method == methodHello {
		return l.answerHello(params)
	}
	select {
	case <-l.helloDone:
	case <-ctx.Done():
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: "no hello"}
	}
	peer := l.peer.Load()
	h := l.messenger.handler(request.Method)
	if h == nil {
		return nil, &jsonrpc2.Error{Code: int64(CodeUnknownMethod), Message: "unknown method " + request.Method}
	}
	result, err := h(ctx, *peer, params)
	if err == nil {
		return result, nil
	}
	var invalid *paramsError
	if errors.As(err, &invalid) {
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: err.Error()}
	}
	return nil, &jsonrpc2.Error{Code: int64(CodeFailed), Message: err.Error()}
}

// monitor sends heartbeats and closes the connection when it is silent or no longer needed.
func (l *link) monitor() {
	ticker := time.NewTicker(l.messenger.heartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-l.rpc.DisconnectNotify():
			l.messenger.removeLink(l)
			return
		case <-ticker.C:
		}
		// After a pause of this process, heartbeats that have arrived may not have been read yet.
		paused := time.Since(last) > 2*l.messenger.heartbeatInterval
		last = time.Now()
		if !paused && l.stream.sinceReceived() > l.messenger.silenceTimeout {
			l.silent.Store(true)
			_ = l.rpc.Close()
			continue
		}
		l.retireUnused()
		if l.stream.sinceQueued() < l.messenger.heartbeatInterval {
			// A recent message replaces the heartbeat.
			continue
		}
		// The error is ignored: the peer detects missing heartbeats.
		_ = l.rpc.Notify(l.messenger.ctx, methodHeartbeat, heartbeatMessage{Clock: l.messenger.clock.Now()})
	}
}

// acquire counts a call as active until release.
func (l *link) acquire() {
	l.activeCalls.Add(1)
	l.markUsed()
}

// release ends a call that acquire has counted.
func (l *link) release() {
	l.markUsed()
	l.activeCalls.Add(-1)
}

// notify queues a message that has no reply. It releases the link, unless it returns an error.
func (l *link) notify(ctx context.Context, method string, message any) error {
	if err := l.rpc.Notify(ctx, method, message); err != nil {
		return err
	}
	l.release()
	return nil
}

func (l *link) markUsed() {
	l.lastUsed.Store(int64(time.Since(l.stream.epoch)))
}

func (l *link) observeHeartbeat(request *jsonrpc2.Request) {
	if request.Params == nil {
		return
	}
	var message heartbeatMessage
	if err := json.Unmarshal(*request.Params, &message); err != nil {
		return
	}
	l.messenger.clock.Observe(message.Clock)
}

// lossCause returns the reason why a call in flight got no reply.
func (l *link) lossCause(err error) error {
	if l.silent.Load() {
		return &SilentError{}
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return &ClosedError{}
	}
	return err
}

// heartbeatMessage is sent when no other message was sent within the heartbeat interval.
type heartbeatMessage struct {
	Clock int `json:"clock"`
}

// discardLogger discards the log of jsonrpc2, since lost connections are recorded as events.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
