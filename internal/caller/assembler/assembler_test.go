package assembler_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/assembler"
	"apricotflow/internal/operator/loader"
)

// Guards against an instance that fails instead of stopping gracefully when the stop signal arrives before it has
// started.
func TestRunStopsGracefullyWhenCancelledBeforeStart(t *testing.T) {
	settings, err := loader.Parse([]byte(`{"instance": "a", "failure-domain": "d", "caller-address": "127.0.0.1:1",
		"peer-address": "127.0.0.1:2", "admin-address": "127.0.0.1:3", "platform-address": "127.0.0.1:4"}`))
	assert.NilError(t, err)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings = settings.WithListeners(anyPort, anyPort, anyPort).WithShutdownTimes(0, time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, assembler.Run(ctx, settings, "test", io.Discard))
}
