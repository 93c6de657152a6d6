package prober_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

// startManual runs a prober over the targets of some failure domains. The address of each target is its id, and accepts
// decides which of them accept connections.
func startManual(t *testing.T, targets map[string]int, accepts func(address string) bool) *prober.Prober {
	t.Helper()
	state := registrar.New()
	var change registrar.Change
	for domain, n := range targets {
		for i := range n {
			id := fmt.Sprintf("%s%d", domain, i)
			change.Put = append(change.Put, registrar.Target{ID: id, Address: id, FailureDomain: domain})
		}
	}
	state.Apply(change, true)
	p := prober.New(state, log.New(io.Discard), prober.WithDial(func(_ context.Context, address string) error {
		if accepts(address) {
			return nil
		}
		return errPartitioned
	}))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p
}

// Guards against an instance that has lost all targets and notices the failure domains one after the other, as requests
// fail in each: small ones count too when others are out of reach.
func TestAllDomainsAreVerifiedWhenOneIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startManual(t, map[string]int{"a": 5, "b": 5, "c": 2}, func(string) bool { return false })
		lost := p.Lost()
		p.Begin("a")
		time.Sleep(500 * time.Millisecond)
		for _, domain := range []string{"a", "b", "c"} {
			assert.Assert(t, !p.Reachable(domain), domain)
		}
		select {
		case <-lost:
		default:
			t.Fatal("requests are not told of the loss")
		}
	})
}

// Guards against an instance whose open connections live on while new ones are refused: they end one by one, and what needs
// a new one fails until then.
func TestDomainIsUnreachableWhenItsTargetsRefuseNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startManual(t, map[string]int{"a": 10}, func(string) bool { return false })
		for range 10 {
			for i := range 3 {
				p.RecordUnconnectable("a", fmt.Sprintf("a%d", i))
			}
			p.Begin("a").End(true)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, !p.Reachable("a"))
	})
}

// Guards against taking a failure domain for lost when many of its targets have ended at once, while others reply.
func TestDomainStaysReachableWhenManyTargetsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := map[string]bool{"a0": true, "a1": true, "a2": true, "a3": true, "a4": true, "a5": true, "a6": true}
		p := startManual(t, map[string]int{"a": 10}, func(address string) bool { return !ended[address] })
		for range 40 {
			for id := range ended {
				p.RecordUnconnectable("a", id)
			}
			p.Begin("a").End(true)
			assert.Assert(t, p.Reachable("a"))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against an instance that has sent nothing lately, such as one that has just started, and takes itself for one that
// reaches targets.
func TestVerifyFindsThatIdleInstanceReachesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startManual(t, map[string]int{"a": 5, "b": 5}, func(string) bool { return false })
		assert.Assert(t, p.AllReachable())
		p.Verify(t.Context())
		assert.Assert(t, !p.Reachable("a") && !p.Reachable("b"))
	})
}

// Guards against probes that take something on the way, which accepts connections and ends them, for a target, also if that
// takes it longer later.
func TestConnectionThatEndsIsNoProofOfReach(t *testing.T) {
	for _, ends := range []bool{true, false} {
		var delay atomic.Int64
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if ends {
					time.AfterFunc(time.Duration(delay.Load()), func() { _ = conn.Close() })
				}
			}
		}()
		state := registrar.New()
		var change registrar.Change
		for i := range 3 {
			change.Put = append(change.Put, registrar.Target{ID: fmt.Sprintf("a%d", i), Address: listener.Addr().String(), FailureDomain: "a"})
		}
		state.Apply(change, true)
		p := prober.New(state, log.New(io.Discard))
		p.Verify(t.Context())
		assert.Equal(t, p.Reachable("a"), !ends)
		delay.Store(int64(50 * time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		p.Run(ctx)
		cancel()
		assert.Equal(t, p.Reachable("a"), !ends)
	}
}
