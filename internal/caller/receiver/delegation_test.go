package receiver_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
)

func newDelegation(host string) relayer.Delegation {
	dueIn := 50 * time.Millisecond
	return relayer.Delegation{
		Origin: "entry-west", Outbound: transporter.NewRequest("r1", http.MethodGet, "/in/x?q=1", host, nil, nil), Version: 1,
		DueIn: &dueIn, TimeLeft: 200 * time.Millisecond, PriorRuns: 0,
	}
}

// Guards against a request that goes further than one instance, or gets more time than its caller has.
func TestDelegatedRequestIsServedByOwnRoute(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer}
	rc, _ := startReceiver(t, r, true)
	before := time.Now()
	answer, err := rc.ServeDelegated(t.Context(), newDelegation("a.example"))
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, relayer.Relayed)
	assert.Equal(t, r.lastRequest.Route.Name, "inner")
	assert.Assert(t, r.lastRequest.Delegated)
	assert.Assert(t, !r.lastRequest.Deadline.After(time.Now().Add(200*time.Millisecond)))
	assert.Assert(t, r.lastRequest.Due.After(before) && r.lastRequest.Due.Before(r.lastRequest.Deadline))
	assert.Equal(t, r.lastRequest.Outbound.RequireFreshConnection, !r.lastRequest.Route.Idempotent)
}

// Guards against a request that is sent to targets although this instance must not or cannot serve it, and against a refusal
// that another instance could not tell from a failure.
func TestDelegatedRequestIsNotAcceptedWhenItCannotBeServed(t *testing.T) {
	newer, exhausted := newDelegation("a.example"), newDelegation("a.example")
	newer.Version, exhausted.PriorRuns = 2, 100
	wide, wideOlder := newDelegation("a.example"), newDelegation("a.example")
	wide.Wide, wideOlder.Wide = true, true
	wideOlder.Version--
	for _, c := range []struct {
		reason     string
		relay      *fakeRelay
		delegation relayer.Delegation
		configured bool
	}{
		{"older configuration", &fakeRelay{}, newDelegation("a.example"), false},
		{"older configuration", &fakeRelay{}, newer, true},
		{"no route", &fakeRelay{}, newDelegation("unknown.example"), true},
		{"too few serving and reachable targets", &fakeRelay{cannotServe: true}, newDelegation("a.example"), true},
		{"newer configuration", &fakeRelay{}, wideOlder, true},
		{"too little CPU capacity left", &fakeRelay{hasNoRoom: true}, wide, true},
		{"no further run allowed", &fakeRelay{}, exhausted, true},
	} {
		rc, _ := startReceiver(t, c.relay, c.configured)
		_, err := rc.ServeDelegated(t.Context(), c.delegation)
		var notAccepted *relayer.NotAcceptedError
		assert.Assert(t, errors.As(err, &notAccepted), c.reason)
		assert.Equal(t, notAccepted.Reason, c.reason)
		assert.Equal(t, c.relay.lastRequest.Route == nil, true)
	}
}

// Guards against requests of others that take more than the limit of concurrent requests, and against an instance that
// offers help while it has no room, cannot serve or stops.
func TestInstanceOffersHelpOnlyWhenItCanServe(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer, release: make(chan struct{})}
	rc, _ := startReceiver(t, r, true)
	assert.Assert(t, rc.CanServeOthers(t.Context()))
	done := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := rc.ServeDelegated(t.Context(), newDelegation("a.example"))
			done <- err
		}()
	}
	for rc.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !rc.CanServeOthers(t.Context()))
	_, err := rc.ServeDelegated(t.Context(), newDelegation("a.example"))
	var notAccepted *relayer.NotAcceptedError
	assert.Assert(t, errors.As(err, &notAccepted))
	close(r.release)
	assert.NilError(t, errors.Join(<-done, <-done))
	rc.Drain(time.Now().Add(time.Second))
	assert.Assert(t, !rc.CanServeOthers(t.Context()))
	stranded, _ := startReceiver(t, &fakeRelay{cannotServe: true}, true)
	assert.Assert(t, !stranded.CanServeOthers(t.Context()))
}
