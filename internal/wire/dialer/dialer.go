// Package dialer creates dialers for TCP connections that detect a failed network path within seconds, idle or not. The
// transporter uses it for connections to targets, and package platform for those to the store. Reconnecting is left to
// them.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval is the interval of the probes on an idle connection. Linux ignores keepAliveProbes, the number of
	// probes without a reply, while unackedTimeout is set: it closes an idle connection about 3 s after the latest packet
	// has arrived on it.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// unackedTimeout is the time after which the kernel closes a connection whose written bytes are not acknowledged, or
	// an idle one whose probes are not.
	unackedTimeout = 3 * time.Second
)

// New returns a dialer whose attempts to connect fail after the timeout.
func New(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets the socket option that limits how long written bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}
