package rationer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/allotter"
	"apricotflow/internal/query/rationer"
	"apricotflow/internal/wire/encoder"
)

var bounds = allotter.Bounds{Window: 5 * time.Second, Overrun: 0.25, Slack: 20}

// fleet is a list of instances that does not change. It implements rationer.Fleet, rationer.Domains and rationer.Tables.
type fleet struct {
	own       string
	addresses map[string]string
	// hasNoTenants reports whether the instance has no table with tenants.
	hasNoTenants bool
}

func (f fleet) Statuses() []encoder.MemberStatus {
	var statuses []encoder.MemberStatus
	for name := range f.addresses {
		if name != f.own {
			statuses = append(statuses, encoder.MemberStatus{Instance: name, FailureDomain: "east", Reachable: true})
		}
	}
	return statuses
}

func (f fleet) SeedsReached() (reached, total int) { return 0, 0 }

func (f fleet) Seeds() map[string]string { return nil }
func (f fleet) Reachable(string) bool    { return true }
func (f fleet) TableVersion() int        { return 1 }
func (f fleet) HasTenants() bool         { return !f.hasNoTenants }

func (f fleet) PeerAddress(name string) (string, bool) {
	address, found := f.addresses[name]
	return address, found
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func newAddresses(t testing.TB, names ...string) map[string]string {
	addresses := make(map[string]string)
	for _, name := range names {
		addresses[name] = freeAddress(t)
	}
	return addresses
}

// newMessenger returns a messenger of an instance that closes with the test.
func newMessenger(t testing.TB, f fleet) *messenger.Messenger {
	clock := timekeeper.NewHybridClock(time.Now)
	identity := messenger.Identity{Instance: f.own, Incarnation: f.own, FailureDomain: "east"}
	m := messenger.New(identity, f.addresses[f.own], f, clock, recorder.New(f.own, clock, 10))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.NilError(t, m.Close(ctx))
	})
	return m
}

// start starts an instance and returns when its process is old enough to issue tokens.
func start(t testing.TB, addresses map[string]string, names ...string) []*rationer.Rationer {
	ctx, cancel := context.WithCancel(context.Background())
	var rationers []*rationer.Rationer
	for _, name := range names {
		f := fleet{own: name, addresses: addresses, hasNoTenants: name == "without-tenants"}
		m := newMessenger(t, f)
		r := rationer.New(rationer.Identity{Instance: name, FailureDomain: "east"}, bounds, f, f, f, recorder.New(name, timekeeper.NewHybridClock(time.Now), 10),
			log.New(io.Discard), tally.NoopScope)
		r.Attach(m)
		assert.NilError(t, m.Start())
		go r.Run(ctx)
		rationers = append(rationers, r)
	}
	t.Cleanup(cancel)
	time.Sleep(1500 * time.Millisecond)
	return rationers
}

// Guards against instances that together exceed the limit, or leave a part of it unused, over real connections.
func TestInstancesTogetherKeepLimit(t *testing.T) {
	rationers := start(t, newAddresses(t, "a", "b", "c"), "a", "b", "c")
	const rate, burst = 60, 20
	var admitted atomic.Int64
	var callers sync.WaitGroup
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, r := range rationers {
			callers.Go(func() {
				ok, retryAfter := r.Admit(context.Background(), "t", rate, burst)
				if ok {
					admitted.Add(1)
				} else {
					assert.Check(t, retryAfter >= 20*time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	t.Logf("%d admitted", admitted.Load())
	assert.Assert(t, admitted.Load() >= 0.9*3*rate, "%d admitted", admitted.Load())
	assert.Assert(t, admitted.Load() <= 3*rate+burst+0.1*5*rate+24, "%d admitted", admitted.Load())
	usage := rationers[0].Usage()
	assert.Equal(t, len(usage), 1)
	assert.Equal(t, usage[0].Asked, usage[0].Granted+usage[0].Refused)
	assert.Equal(t, len(usage[0].Custodians), 12)
}

// Guards against an instance without a table that is asked for tokens and takes itself for the only custodian, since it has
// not followed the list of instances.
func TestInstanceWithoutTenantsIssuesOnlyItsPortions(t *testing.T) {
	addresses := newAddresses(t, "a", "without-tenants")
	other := newMessenger(t, fleet{own: "a", addresses: addresses})
	messenger.Handle(other, "quota-take", func(context.Context, messenger.Peer, encoder.QuotaRequest) (encoder.QuotaReply, error) {
		objects := true
		return encoder.QuotaReply{Objects: &objects}, nil
	})
	assert.NilError(t, other.Start())
	start(t, addresses, "without-tenants")
	request := encoder.QuotaRequest{Tenant: "t", Rate: 20, Burst: 100, Wanted: 100}
	reply, err := messenger.Call[encoder.QuotaRequest, encoder.QuotaReply](t.Context(), other, "without-tenants", "quota-take", request)
	assert.NilError(t, err)
	assert.Equal(t, reply.Granted, 0)
}

// Guards against requests that wait for instances that never answer, beyond the time for a decision or after their callers
// have left.
func TestAdmitDecidesInTimeWhenNoInstanceAnswers(t *testing.T) {
	addresses := newAddresses(t, "a", "b", "c", "d", "e")
	for _, name := range []string{"b", "c", "d", "e"} {
		silent, err := net.Listen("tcp", addresses[name])
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, silent.Close()) })
	}
	r := start(t, addresses, "a")[0]
	for _, timeout := range []time.Duration{time.Minute, 10 * time.Millisecond} {
		// One portion, whose custodian for one of the names is another instance.
		for _, tenant := range []string{"t1", "t2", "t3", "t4", "t5", "t6"} {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			began := time.Now()
			r.Admit(ctx, tenant+timeout.String(), 1, 0)
			took := time.Since(began)
			cancel()
			assert.Assert(t, took < min(timeout, allotter.DecisionTime)+100*time.Millisecond, "%v", took)
		}
	}
}

// Guards against a tenant that gets nothing at an instance of this version, while the others run one without quotas.
func TestTenantGetsItsLimitBesideInstancesOfEarlierVersion(t *testing.T) {
	addresses := newAddresses(t, "a", "b", "c", "d")
	for _, name := range []string{"b", "c", "d"} {
		assert.NilError(t, newMessenger(t, fleet{own: name, addresses: addresses}).Start())
	}
	r := start(t, addresses, "a")[0]
	admitted := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok, _ := r.Admit(context.Background(), "t", 20, 0); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted > 20, "%d admitted", admitted)
}

// Guards against state that grows without bound, or an unlimited tenant that is limited.
func TestTenantWithoutRateIsNotLimited(t *testing.T) {
	r := rationer.New(rationer.Identity{Instance: "a", FailureDomain: "east"}, bounds, fleet{own: "a"}, fleet{}, fleet{}, nil, log.New(io.Discard), tally.NoopScope)
	for range 1000 {
		ok, _ := r.Admit(context.Background(), "t", 0, 0)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(r.Usage()), 0)
}

// BenchmarkAdmitWithLocalTokens measures the cost of a request whose tenant has tokens at this instance.
func BenchmarkAdmitWithLocalTokens(b *testing.B) {
	f := fleet{own: "a", addresses: map[string]string{"a": ""}}
	var now atomic.Int64
	r := rationer.New(rationer.Identity{Instance: "a", FailureDomain: "east"}, bounds, f, f, f, nil, log.New(io.Discard), tally.NoopScope,
		rationer.WithClock(func() time.Duration { return time.Duration(now.Load()) }))
	for range 20 {
		now.Add(int64(time.Second))
		r.Admit(context.Background(), "t", 1e6, 1e6)
	}
	b.ReportAllocs()
	refused := 0
	for b.Loop() {
		now.Add(int64(2 * time.Microsecond))
		if ok, _ := r.Admit(context.Background(), "t", 1e6, 1e6); !ok {
			refused++
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}
