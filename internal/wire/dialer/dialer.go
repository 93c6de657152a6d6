// Package dialer opens TCP connections that notice a failed path within seconds.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval and probeCount let the kernel end an idle connection whose path has failed after about 3 s.
	probeInterval = time.Second
	probeCount    = 3
	// unackedTimeout ends a connection whose written bytes are not acknowledged.
	unackedTimeout = 3 * time.Second
)

// New returns a dialer whose attempts end after the timeout.
func New(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
}

// limitUnacked bounds how long written bytes may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
