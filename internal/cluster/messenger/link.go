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
	// Incarnation changes with each start of the instance.
	Incarnation   string
	FailureDomain string
}

// link is one connection to a peer.
type link struct {
	owner  *Messenger
	stream *stream
	rpc    *jsonrpc2.Conn
	// dialled tells which end opened the connection.
	dialled bool
	// peer is nil until hello.
	peer atomic.Pointer[Peer]
	// ready is closed after hello; requests that overtake its handling wait for it.
	ready chan struct{}
	// active counts the calls in flight in both directions. It rises from 0 for an outgoing call only under the
	// messenger's lock.
	active atomic.Int64
	// used is the time of the last call, since the stream's epoch.
	used atomic.Int64
	// retired tells that no new call uses the connection; it is guarded by the messenger's lock.
	retired bool
	// silent tells that the connection was closed for want of heartbeats.
	silent atomic.Bool
	// closing tells that both ends agreed to close the connection; only the monitor uses it.
	closing bool
	// created is the time of the connection.
	created time.Time
}

func newLink(m *Messenger, conn net.Conn, dialled bool) *link {
	l := &link{owner: m, stream: newStream(conn, m.sizeLimit, m.traffic), dialled: dialled, created: time.Now(), ready: make(chan struct{})}
	l.rpc = jsonrpc2.NewConn(m.ctx, l.stream, l, jsonrpc2.SetLogger(discard{}))
	m.background.Go(l.monitor)
	return l
}

// Handle starts the handler of a request.
func (l *link) Handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method == methodHeartbeat {
		l.observeHeartbeat(request)
		return
	}
	if request.Method == methodRetire {
		// A reply that cannot be sent ends the connection all the same.
		_ = l.rpc.Reply(ctx, request.ID, l.owner.retire(l))
		return
	}
	if !l.owner.begin() {
		return
	}
	l.acquire()
	go func() {
		defer l.owner.end()
		defer l.release()
		l.answer(ctx, request)
	}()
}

func (l *link) answer(ctx context.Context, request *jsonrpc2.Request) {
	result, failure := l.run(ctx, request)
	// After Close has ended the handlers their results mean nothing; the closed connection tells the other end.
	if request.Notif || l.owner.ctx.Err() != nil {
		return
	}
	if failure == nil {
		err := l.rpc.Reply(ctx, request.ID, result)
		if err == nil {
			return
		}
		failure = &jsonrpc2.Error{Code: int64(CodeFailed), Message: err.Error()}
	}
	// A reply that cannot be sent is a lost one for the other end.
	_ = l.rpc.ReplyWithError(ctx, request.ID, failure)
}

// run calls the handler and turns its error or panic into a JSON-RPC error.
func (l *link) run(ctx context.Context, request *jsonrpc2.Request) (result any, failure *jsonrpc2.Error) {
	defer func() {
		if p := recover(); p != nil {
			l.owner.panicked(request.Method, p)
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
	case <-l.ready:
	case <-ctx.Done():
		return nil, &jsonrpc2.Error{Code: int64(CodeInvalid), Message: "no hello"}
	}
	peer := l.peer.Load()
	h := l.owner.handler(request.Method)
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

// monitor sends heartbeats and closes a silent connection.
func (l *link) monitor() {
	ticker := time.NewTicker(l.owner.heartbeat)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-l.rpc.DisconnectNotify():
			l.owner.remove(l)
			return
		case <-ticker.C:
		}
		// After a pause of this process, received heartbeats may still wait to be read.
		paused := time.Since(last) > 2*l.owner.heartbeat
		last = time.Now()
		if !paused && l.stream.idle() > l.owner.silence {
			l.silent.Store(true)
			_ = l.rpc.Close()
			continue
		}
		l.retireIdle()
		if l.stream.quiet() < l.owner.heartbeat {
			// The other end has heard of this one.
			continue
		}
		// A heartbeat that cannot be queued shows up as silence at the other end.
		_ = l.rpc.Notify(l.owner.ctx, methodHeartbeat, heartbeatMessage{Clock: l.owner.clock.Now()})
	}
}

// acquire counts a call, and release ends it.
func (l *link) acquire() {
	l.active.Add(1)
	l.touch()
}

func (l *link) release() {
	l.touch()
	l.active.Add(-1)
}

func (l *link) touch() {
	l.used.Store(int64(time.Since(l.stream.epoch)))
}

func (l *link) observeHeartbeat(request *jsonrpc2.Request) {
	if request.Params == nil {
		return
	}
	var message heartbeatMessage
	if err := json.Unmarshal(*request.Params, &message); err != nil {
		return
	}
	l.owner.clock.Observe(message.Clock)
}

// failure returns why calls in flight on a closed connection are lost.
func (l *link) failure(err error) error {
	if l.silent.Load() {
		return &SilentError{}
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return &ClosedError{}
	}
	return err
}

// heartbeatMessage keeps a connection alive.
type heartbeatMessage struct {
	Clock int `json:"clock"`
}

// discard drops the log of jsonrpc2: lost connections are recorded as events.
type discard struct{}

func (discard) Printf(string, ...any) {}
