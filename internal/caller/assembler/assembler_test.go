package assembler_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/assembler"
	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/loader"
	"apricotflow/platform"
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

// source is a store whose calls fail endDelay after their context has ended.
type source struct {
	endDelay time.Duration
	// ended is the number of calls that have ended.
	ended atomic.Int32
}

var errStoreDown = errors.New("store is down")

func (s *source) Load(ctx context.Context, _ time.Duration) (registrar.Change, error) {
	<-ctx.Done()
	time.Sleep(s.endDelay)
	s.ended.Add(1)
	return registrar.Change{}, errStoreDown
}

func (s *source) Watch(ctx context.Context, _ int, _ time.Duration) (registrar.Change, error) {
	return s.Load(ctx, 0)
}

// writerFunc is a log output that calls the function with each line.
type writerFunc func(line []byte)

func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

// freeAddresses returns addresses that nothing listens on.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, l.Close()) }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// relaySettings returns the settings of an instance in relay mode with the caller, peer, admin and ready addresses.
func relaySettings(t *testing.T, addresses []string) loader.Settings {
	t.Helper()
	settings, err := loader.Parse(fmt.Appendf(nil, `{"instance": "a", "failure-domain": "d", "caller-address": %q, "peer-address": %q,
		"admin-address": %q, "platform-address": "127.0.0.1:4", "relay": {"ready-address": %q, "grace-seconds": 1, "extra-load-ratio": 0.2,
		"extra-load-slack": 60, "cold-factor": 1.5, "cold-slack": 5}}`, addresses[0], addresses[1], addresses[2], addresses[3]))
	assert.NilError(t, err)
	return settings
}

func adapters(s *source) assembler.PlatformAdapters {
	return assembler.PlatformAdapters{
		NewSource:     func(string, *log.Logger) follower.Source { return s },
		TargetHeaders: platform.TargetHeaders{}, CallerHeaders: platform.CallerHeaders{},
	}
}

// Guards against a relaying instance that reports its end while its background goroutines still run.
func TestRelayWaitsForBackgroundGoroutines(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	store := &source{endDelay: 60 * time.Millisecond}
	var endedBefore int32
	logs := writerFunc(func(line []byte) {
		if bytes.Contains(line, []byte("instance stopped")) {
			endedBefore = store.ended.Load()
		}
	})
	assert.NilError(t, assembler.RunRelay(ctx, relaySettings(t, freeAddresses(t, 4)), "test", logs, adapters(store)))
	assert.Equal(t, endedBefore, int32(1))
}

// Guards against listeners that stay open after a start that failed because another address is in use.
func TestRelayClosesListenersWhenStartFails(t *testing.T) {
	addresses := freeAddresses(t, 3)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, taken.Close()) }()
	settings := relaySettings(t, append(addresses, taken.Addr().String()))
	var start *assembler.StartError
	assert.Assert(t, errors.As(assembler.RunRelay(t.Context(), settings, "test", io.Discard, adapters(&source{})), &start))
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
	}
}
