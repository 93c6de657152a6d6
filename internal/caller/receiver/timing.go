package receiver

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// oneWayLatency is the network latency between a caller and its instance in one direction. It is assumed to be the
	// same for all callers.
	oneWayLatency = 3 * time.Millisecond
	// handshakeTrips is the number of one-way trips until the first request of a new connection arrives: SYN, SYN-ACK,
	// and the request.
	handshakeTrips = 3
	// maxFirstRequestDelay is the maximum time between the acceptance of a connection and the request that it was opened
	// for. A first request that arrives later did not wait for the handshake, because the connection was opened in
	// advance.
	maxFirstRequestDelay = 50 * time.Millisecond
)

// connectionInfo describes the connection that a request arrived on.
type connectionInfo struct {
	acceptedAt time.Time
	// hadRequest is set by the first request of the connection.
	hadRequest atomic.Bool
}

type connectionInfoKey struct{}

// withConnectionInfo records in the context when a connection was accepted.
func withConnectionInfo(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionInfoKey{}, &connectionInfo{acceptedAt: time.Now()})
}

// requestStart estimates when the caller started to wait for the response; the objective counts from then. A request on
// a reused connection was sent one trip before it arrived. The first on a new connection also waited for the handshake.
func requestStart(ctx context.Context, arrived time.Time) time.Time {
	info, found := ctx.Value(connectionInfoKey{}).(*connectionInfo)
	if !found || info.hadRequest.Swap(true) || arrived.Sub(info.acceptedAt) > maxFirstRequestDelay {
		return arrived.Add(-oneWayLatency)
	}
	return info.acceptedAt.Add(-handshakeTrips * oneWayLatency)
}

// answerDue returns when the response has to be sent to reach the caller within the objective, or the zero time if
// there is no objective.
func answerDue(started time.Time, objective time.Duration) time.Time {
	if objective <= 0 {
		return time.Time{}
	}
	return started.Add(objective - oneWayLatency)
}
