package dialer_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"apricotflow/internal/wire/dialer"
)

// Guards against connections, idle or not, that stay open after their path has failed: without these socket options the
// kernel does not close them within seconds.
func TestSocketOptionsDetectFailedPathWithinSeconds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	d := dialer.New(time.Second)
	conn, err := d.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var unacked, probes, idle, interval int
	var errs [4]error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		unacked, errs[0] = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		probes, errs[1] = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		idle, errs[2] = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		interval, errs[3] = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	}))
	assert.NilError(t, errors.Join(errs[:]...))
	assert.Assert(t, unacked > 0 && unacked <= 3000, unacked)
	assert.Assert(t, idle+probes*interval <= 5, "%d s and %d probes each %d s", idle, probes, interval)
}
