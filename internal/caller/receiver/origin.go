package receiver

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// callerWay is the time of one way between a caller and its instance, as the deployments state it.
	callerWay = 3 * time.Millisecond
	// handshakeWays is the number of ways before the first request of a new connection arrives: the caller opens the
	// connection, the instance agrees, and the request follows.
	handshakeWays = 3
	// firstRequestTime bounds the time between a new connection and a request that the connection was opened for.
	firstRequestTime = 50 * time.Millisecond
)

// origin is what is known of the connection that a request came on.
type origin struct {
	accepted time.Time
	// used is set by the first request.
	used atomic.Bool
}

type originKey struct{}

// withOrigin notes when a connection was accepted.
func withOrigin(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, originKey{}, &origin{accepted: time.Now()})
}

// begun returns when the caller is likely to have begun to wait for a request that has arrived. The objective counts from
// there: a request on a kept connection was one way under way, the first on a new connection waited for the handshake too.
func begun(ctx context.Context, arrived time.Time) time.Time {
	o, found := ctx.Value(originKey{}).(*origin)
	if !found || o.used.Swap(true) || arrived.Sub(o.accepted) > firstRequestTime {
		return arrived.Add(-callerWay)
	}
	return o.accepted.Add(-handshakeWays * callerWay)
}

// due returns when an answer has to leave to reach the caller within the objective; zero without an objective.
func due(begun time.Time, objective time.Duration) time.Time {
	if objective <= 0 {
		return time.Time{}
	}
	return begun.Add(objective - callerWay)
}
