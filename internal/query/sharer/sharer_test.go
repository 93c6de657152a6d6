package sharer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/discoverer"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/query/sharer"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

// startInstance starts an instance that knows nothing of any request.
func startInstance(t *testing.T, name, seed string) *quarantiner.Quarantiner {
	t.Helper()
	address := seed
	if name != "a" {
		address = freeAddress(t)
	}
	quiet := log.New(io.Discard)
	identity := messenger.Identity{Instance: name, Incarnation: name + address, FailureDomain: "east"}
	d := discoverer.New(identity, address, []string{seed}, registrar.New(), quiet)
	clock := timekeeper.NewHybridClock(time.Now)
	m := messenger.New(identity, address, d, clock, recorder.New(name, clock, 10))
	d.Attach(m)
	q := quarantiner.New()
	s := sharer.New(d, q, quiet, tally.NoopScope)
	s.Attach(m)
	d.SetQuarantine(s)
	assert.NilError(t, m.Start())
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	go s.Run(ctx)
	t.Cleanup(func() {
		cancel()
		closing, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		assert.NilError(t, m.Close(closing))
	})
	return q
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > within {
			t.Fatalf("after %s: %s", within, what)
		}
	}
}

// Guards against a caller whose request has just ended targets and who sends it again to another instance, and against
// instances that do not know of it because they have started since.
func TestObservationsReachOtherInstances(t *testing.T) {
	seed := freeAddress(t)
	a, b := startInstance(t, "a", seed), startInstance(t, "b", seed)
	// The instances have found each other when the first observation arrives.
	eventually(t, 8*time.Second, "not suspected on the other instance", func() bool {
		a.RecordEnd("f", "t1", false)
		return b.Verdict("f") != quarantiner.Unsuspected
	})
	a.RecordEnd("f", "t2", false)
	a.RecordEnd("f", "t3", true)
	eventually(t, time.Second, "not quarantined on the other instance", func() bool { return b.Verdict("f") == quarantiner.Quarantined })
	late := startInstance(t, "c", seed)
	eventually(t, 4*time.Second, "not quarantined on the late instance", func() bool { return late.Verdict("f") == quarantiner.Quarantined })
	b.RecordSuccess("f")
	eventually(t, 4*time.Second, "not cleared", func() bool {
		return a.Verdict("f") == quarantiner.Unsuspected && late.Verdict("f") == quarantiner.Unsuspected
	})
}
