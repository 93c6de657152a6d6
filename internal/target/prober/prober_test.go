package prober_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/target/prober"
)

var errCut = errors.New("cut")

// start runs a prober over two failure domains with some targets each; the path to west fails while cut is set.
func start(t *testing.T, targets int) (*prober.Prober, *atomic.Bool) {
	t.Helper()
	state := registrar.New()
	var change registrar.Change
	for _, domain := range []string{"east", "west"} {
		for i := range targets {
			change.Put = append(change.Put, registrar.Target{ID: fmt.Sprintf("%s%d", domain, i), Address: domain, FailureDomain: domain})
		}
	}
	state.Apply(change, true)
	cut := new(atomic.Bool)
	p := prober.New(state, log.New(io.Discard), prober.WithDial(func(_ context.Context, address string) error {
		if address == "west" && cut.Load() {
			return errCut
		}
		return nil
	}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, cut
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begin := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 2*time.Second {
			t.Fatal(what)
		}
	}
}

// A cut is noticed by requests that wait, and its end by probes without any request.
func TestCutAndReturn(t *testing.T) {
	p, cut := start(t, 4)
	cut.Store(true)
	wait := p.Begin("west")
	eventually(t, "cut not noticed", func() bool { return !p.Reachable("west") })
	assert.Assert(t, p.Reachable("east"))
	assert.Assert(t, !p.AllReachable())
	wait.End(false)
	cut.Store(false)
	eventually(t, "return not noticed", func() bool { return p.AllReachable() })
}

// Slow answers alone do not put a failure domain out of reach: its targets still accept connections.
func TestSlowTargetsStayInReach(t *testing.T) {
	p, _ := start(t, 4)
	p.Begin("west")
	time.Sleep(600 * time.Millisecond)
	assert.Assert(t, p.AllReachable())
}

// Failed connections count like silence, so that a cut that refuses is noticed too.
func TestFailuresWithoutReplies(t *testing.T) {
	p, cut := start(t, 4)
	cut.Store(true)
	p.Begin("west").End(false)
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, p.Reachable("west"))
	for range 3 {
		p.Begin("west").End(false)
	}
	eventually(t, "cut not noticed", func() bool { return !p.Reachable("west") })
}

// Few targets may all be down on their own; that is no cut.
func TestFewTargetsAreNoEvidence(t *testing.T) {
	p, cut := start(t, 2)
	cut.Store(true)
	p.Begin("west")
	time.Sleep(600 * time.Millisecond)
	assert.Assert(t, p.Reachable("west"))
}
