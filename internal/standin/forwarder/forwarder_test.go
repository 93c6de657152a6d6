package forwarder_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/forwarder"
)

// startLink starts a link to an echo server.
func startLink(t *testing.T, options ...forwarder.Option) *forwarder.Forwarder {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	f, err := forwarder.Start("127.0.0.1:0", echo.Addr().String(), "127.0.0.1:0", options...)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func dial(t *testing.T, f *forwarder.Forwarder) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends one byte and returns the error from reading it back within the given time.
func echo(t *testing.T, c net.Conn, timeout time.Duration) error {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(timeout)))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a cut that leaves open connections working or lets new ones through.
func TestCutResetsOpenAndNewConnections(t *testing.T) {
	f := startLink(t)
	open := dial(t, f)
	assert.NilError(t, echo(t, open, time.Second))
	f.Control(forwarder.Control{Mode: forwarder.ModeCut})
	assert.Assert(t, echo(t, open, time.Second) != nil)
	// The reset may arrive before the dial returns.
	late, err := net.Dial("tcp", f.Address())
	if err == nil {
		defer func() { _ = late.Close() }()
		err = echo(t, late, time.Second)
	}
	assert.Assert(t, err != nil)
	f.Control(forwarder.Control{Mode: forwarder.ModeNormal})
	assert.NilError(t, echo(t, dial(t, f), time.Second))
}

// Guards against a silent link that resets its connections, lets them recover, or affects new ones.
func TestSilentStopsOpenConnectionsPermanently(t *testing.T) {
	f := startLink(t)
	open := dial(t, f)
	assert.NilError(t, echo(t, open, time.Second))
	f.Control(forwarder.Control{Mode: forwarder.ModeSilent})
	assert.ErrorContains(t, echo(t, open, 100*time.Millisecond), "timeout")
	assert.NilError(t, echo(t, dial(t, f), time.Second))
	f.Control(forwarder.Control{Mode: forwarder.ModeNormal})
	assert.ErrorContains(t, echo(t, open, 100*time.Millisecond), "timeout")
}

// Guards against a partition that loses data or lets new connections through.
func TestSilentAllDeliversDataWhenModeEnds(t *testing.T) {
	f := startLink(t)
	open := dial(t, f)
	assert.NilError(t, echo(t, open, time.Second))
	f.Control(forwarder.Control{Mode: forwarder.ModeSilentAll})
	assert.ErrorContains(t, echo(t, open, 100*time.Millisecond), "timeout")
	assert.ErrorContains(t, echo(t, dial(t, f), 100*time.Millisecond), "timeout")
	f.Control(forwarder.Control{Mode: forwarder.ModeNormal})
	assert.NilError(t, open.SetDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadFull(open, make([]byte, 1))
	assert.NilError(t, err)
}

// Guards against a delay that is missing in one direction.
func TestDelayAppliesInEachDirection(t *testing.T) {
	f := startLink(t)
	delay := 50
	f.Control(forwarder.Control{DelayMs: &delay})
	c := dial(t, f)
	began := time.Now()
	assert.NilError(t, echo(t, c, 5*time.Second))
	assert.Assert(t, time.Since(began) >= 100*time.Millisecond)
}

// Guards against a fault between two failure domains that also affects a third one.
func TestModeAppliesToItsSourceOnly(t *testing.T) {
	source := make(chan string, 2)
	f := startLink(t, forwarder.WithClassifier(func(net.Conn) string { return <-source }))
	source <- "north"
	north := dial(t, f)
	assert.NilError(t, echo(t, north, time.Second))
	source <- "south"
	south := dial(t, f)
	assert.NilError(t, echo(t, south, time.Second))
	f.Control(forwarder.Control{Mode: forwarder.ModeCut, Source: "north"})
	assert.Assert(t, echo(t, north, time.Second) != nil)
	assert.NilError(t, echo(t, south, time.Second))
}
