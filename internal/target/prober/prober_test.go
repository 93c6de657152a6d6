package prober_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/target/prober"
)

var errPartitioned = errors.New("partitioned")

// startProber runs a prober over two failure domains with the given number of targets each. The path to west fails
// while partitioned is set.
func startProber(t *testing.T, targets int) (*prober.Prober, *atomic.Bool) {
	t.Helper()
	state := registrar.New()
	var change registrar.Change
	for _, domain := range []string{"east", "west"} {
		for i := range targets {
			change.Put = append(change.Put, registrar.Target{ID: fmt.Sprintf("%s%d", domain, i), Address: domain, FailureDomain: domain})
		}
	}
	state.Apply(change, true)
	partitioned := new(atomic.Bool)
	p := prober.New(state, log.New(io.Discard), prober.WithDial(func(_ context.Context, address string) error {
		if address == "west" && partitioned.Load() {
			return errPartitioned
		}
		return nil
	}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, partitioned
}

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 2*time.Second {
			t.Fatal(failure)
		}
	}
}

// Guards against a partition that goes unnoticed while requests are pending, and one that never ends because an
// unreachable domain gets no requests.
func TestDomainIsUnreachableOnlyDuringPartition(t *testing.T) {
	p, partitioned := startProber(t, 4)
	partitioned.Store(true)
	pending := p.Begin("west")
	eventually(t, "partition not detected", func() bool { return !p.Reachable("west") })
	assert.Assert(t, p.Reachable("east"))
	assert.Assert(t, !p.AllReachable())
	pending.End(false)
	partitioned.Store(false)
	eventually(t, "end of partition not detected", func() bool { return p.AllReachable() })
}

// Load pattern: requests that wait for five failure domains when the one of the instance is cut off. All of them must be
// noticed within the time of one probe, not one after the other.
func TestAllDomainsAreNoticedAtOnceWhenCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := registrar.New()
		var change registrar.Change
		domains := []string{"b", "c", "d", "e", "f"}
		for _, domain := range domains {
			for i := range 3 {
				change.Put = append(change.Put, registrar.Target{ID: fmt.Sprintf("%s%d", domain, i), Address: domain, FailureDomain: domain})
			}
		}
		state.Apply(change, true)
		p := prober.New(state, log.New(io.Discard), prober.WithDial(func(ctx context.Context, _ string) error {
			<-ctx.Done()
			return ctx.Err()
		}))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		for _, domain := range domains {
			p.Begin(domain)
		}
		// The silence that is needed, the time to the next check, and the time of a probe.
		time.Sleep(650 * time.Millisecond)
		for _, domain := range domains {
			assert.Assert(t, !p.Reachable(domain), domain)
		}
	})
}

// Guards against taking slow targets for a partition: they still accept connections.
func TestDomainStaysReachableWhenTargetsAreSlow(t *testing.T) {
	p, _ := startProber(t, 4)
	p.Begin("west")
	time.Sleep(600 * time.Millisecond)
	assert.Assert(t, p.AllReachable())
}

// Guards against a partition that goes unnoticed because connections are refused at once and no request stays
// pending.
func TestDomainIsUnreachableAfterFailuresWithoutReplies(t *testing.T) {
	p, partitioned := startProber(t, 4)
	partitioned.Store(true)
	p.Begin("west").End(false)
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, p.Reachable("west"))
	for range 3 {
		p.Begin("west").End(false)
	}
	eventually(t, "partition not detected", func() bool { return !p.Reachable("west") })
}

// Guards against probes of a failure domain whose path no request has tried: requests that this instance gave up are no
// sign of a partition.
func TestDomainIsNotProbedAfterRequestsGivenUpHere(t *testing.T) {
	p, partitioned := startProber(t, 4)
	partitioned.Store(true)
	for range 5 {
		p.Begin("west").Cancel()
	}
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, p.Reachable("west"))
}

// Guards against taking targets that are down for a partition: in a domain of two targets, both may be down
// independently.
func TestDomainStaysReachableWhenItHasTooFewTargets(t *testing.T) {
	p, partitioned := startProber(t, 2)
	partitioned.Store(true)
	p.Begin("west")
	time.Sleep(600 * time.Millisecond)
	assert.Assert(t, p.Reachable("west"))
}
